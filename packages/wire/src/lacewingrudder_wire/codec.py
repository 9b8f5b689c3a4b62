"""CBOR codec for messages on links; every field is validated against its type annotation.

A message is encoded as ``[wall, counter, tag, [field, ...]]``: the sender's clock, the number of
the message type, and the fields of the message.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import cbor2
from lacewingrudder_core import messages as m
from lacewingrudder_core.clock import HybridTime

from . import handshake as h
from .exceptions import CodecError
from .replica_tags import REPLICA_TAGS
from .values import from_builtins, to_builtins

MAX_MESSAGE_BYTES = 1 << 20

_TYPES_BY_TAG: dict[int, type[Any]] = {
    **REPLICA_TAGS,
    1: h.Challenge,
    2: h.Hello,
    3: h.Welcome,
    4: h.OperatorHello,
    11: m.TargetUpdates,
    13: m.LeaveNotice,
    14: m.Pins,
    20: m.Subscribe,
    21: m.Changes,
    30: m.SubmitNote,
    31: m.SubmitOrder,
    38: m.SubmitZoneOrder,
    35: m.SubmitConfiguration,
    36: m.ReadConfiguration,
    37: m.ConfigurationReply,
    32: m.StatusRequest,
    33: m.Status,
    34: m.OperatorReply,
    60: m.Ping,
    61: m.Ack,
    62: m.ProbeRequest,
    63: m.MembersPull,
    64: m.MemberUpdates,
    65: m.TargetsPull,
    66: m.SubscribeReply,
    67: m.SnapshotPart,
    68: m.SnapshotPull,
    69: m.PeerStatusRequest,
    70: m.PeerStatusReply,
    90: m.TargetsInUse,
}
_TAGS_BY_TYPE = {cls: tag for tag, cls in _TYPES_BY_TAG.items()}


class Envelope(NamedTuple):
    """A message with the timestamp of its sender's clock."""

    time: HybridTime
    body: Any


def tag_of(body: Any) -> int:
    """Return the tag that identifies the type of a message."""
    return _TAGS_BY_TYPE[type(body)]


def encode(envelope: Envelope) -> bytes:
    """Encode a message."""
    body = envelope.body
    return cbor2.dumps([*envelope.time, _TAGS_BY_TYPE[type(body)], to_builtins(body)])


def decode(data: bytes) -> Envelope:
    """Decode a message.

    :raises CodecError: if the data is not a valid message.
    """
    try:
        wall, counter, tag, fields = cbor2.loads(data)
        cls = _TYPES_BY_TAG[tag]
        time = HybridTime(_check_integer(wall), _check_integer(counter))
        return Envelope(time, from_builtins(cls, fields))
    except CodecError:
        raise
    except Exception as error:
        raise CodecError(f"malformed message: {type(error).__name__}") from error


def _check_integer(value: Any) -> int:
    if type(value) is not int:
        raise CodecError("expected integers for the time of the message")
    return value
