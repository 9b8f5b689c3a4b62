"""CBOR codec for messages: ``[tag, field, ...]``, each field checked against its annotation."""

from __future__ import annotations

import enum
import types
import typing
from collections.abc import Callable
from typing import Any, NamedTuple

import cbor2
from lacewingrudder_core import messages as m
from lacewingrudder_core import replica as r
from lacewingrudder_core.clock import HybridTime

from . import handshake as h
from .exceptions import CodecError

MESSAGE_LIMIT_BYTES = 1 << 20

_TAGS: dict[int, type[Any]] = {
    1: h.Challenge,
    2: h.Hello,
    3: h.Welcome,
    4: h.OperatorHello,
    11: m.TargetUpdates,
    13: m.Goodbye,
    14: m.Pins,
    20: m.Subscribe,
    21: m.Changes,
    30: m.SubmitNote,
    31: m.SubmitOrder,
    32: m.StatusRequest,
    33: m.Status,
    34: m.OperatorReply,
    40: r.PreVoteRequest,
    41: r.PreVoteReply,
    42: r.VoteRequest,
    43: r.VoteReply,
    44: r.AppendRequest,
    45: r.AppendReply,
    46: r.SnapshotRequest,
    47: r.SnapshotReply,
    48: r.Introduce,
    49: r.Introduced,
    50: r.Found,
    51: r.ForwardRequest,
    52: r.ForwardReply,
    53: r.Handover,
    60: m.Ping,
    61: m.Ack,
    62: m.ProbeRequest,
    63: m.MembersPull,
    64: m.MemberUpdates,
    65: m.TargetsPull,
    66: m.Standing,
    67: m.SnapshotPart,
    68: m.SnapshotPull,
    69: m.SurveyRequest,
    70: m.SurveyReply,
    90: m.TargetsInUse,
}
_TAG_OF = {cls: tag for tag, cls in _TAGS.items()}

_Decoder = Callable[[Any], Any]


class Envelope(NamedTuple):
    """A message with the sender's clock."""

    time: HybridTime
    body: Any


def tag_of(body: Any) -> int:
    """Return the tag of a message."""
    return _TAG_OF[type(body)]


def encode(envelope: Envelope) -> bytes:
    """Return the bytes of a message."""
    body = envelope.body
    return cbor2.dumps([*envelope.time, _TAG_OF[type(body)], _plain(body)])


def decode(data: bytes) -> Envelope:
    """Return the message that the bytes hold.

    :raises CodecError: if they hold none.
    """
    try:
        wall, counter, tag, fields = cbor2.loads(data)
        cls = _TAGS[tag]
        time = HybridTime(_integer(wall), _integer(counter))
        return Envelope(time, _decoder(cls)(fields))
    except CodecError:
        raise
    except Exception as error:
        raise CodecError(f"not a message: {type(error).__name__}") from error


def encode_value(value: Any) -> bytes:
    """Return the bytes of any message or data tuple, without an envelope; for files."""
    return cbor2.dumps(_plain(value))


def decode_value(cls: type[Any], data: bytes) -> Any:
    """Return the tuple of the given class that the bytes hold.

    :raises CodecError: if they hold none.
    """
    try:
        return _decoder(cls)(cbor2.loads(data))
    except CodecError:
        raise
    except Exception as error:
        raise CodecError(f"not a {cls.__name__}: {type(error).__name__}") from error


def _plain(value: Any) -> Any:
    if isinstance(value, tuple):
        return [_plain(part) for part in value]
    if isinstance(value, enum.Enum):
        return value.value
    return value


def _integer(value: Any) -> int:
    if type(value) is not int:
        raise CodecError("an integer is missing")
    return value


_DECODERS: dict[Any, _Decoder] = {}


def _decoder(annotation: Any) -> _Decoder:
    found = _DECODERS.get(annotation)
    if found is None:
        found = _make_decoder(annotation)
        _DECODERS[annotation] = found
    return found


def _make_decoder(annotation: Any) -> _Decoder:
    origin = typing.get_origin(annotation)
    if origin in (types.UnionType, typing.Union):
        return _optional(typing.get_args(annotation))
    if origin is tuple:
        return _sequence(typing.get_args(annotation)[0])
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return annotation
    if hasattr(annotation, "_fields"):
        return _record(annotation)
    return _scalar(annotation)


def _optional(arguments: tuple[Any, ...]) -> _Decoder:
    inner = _decoder(next(arg for arg in arguments if arg is not type(None)))
    return lambda value: None if value is None else inner(value)


def _sequence(item: Any) -> _Decoder:
    inner = _decoder(item)

    def decode_sequence(value: Any) -> tuple[Any, ...]:
        if not isinstance(value, list):
            raise CodecError("a list is missing")
        return tuple(inner(part) for part in value)

    return decode_sequence


def _record(cls: Any) -> _Decoder:
    hints = typing.get_type_hints(cls)
    inner = [_decoder(hints[name]) for name in cls._fields]

    def decode_record(value: Any) -> Any:
        if not isinstance(value, list) or len(value) != len(inner):
            raise CodecError(f"fields of {cls.__name__} are missing")
        return cls(*(read(part) for read, part in zip(inner, value, strict=True)))

    return decode_record


def _scalar(cls: type[Any]) -> _Decoder:
    def decode_scalar(value: Any) -> Any:
        if cls is float and type(value) is int:
            return float(value)
        if type(value) is not cls:
            raise CodecError(f"a {cls.__name__} is missing")
        return value

    return decode_scalar
