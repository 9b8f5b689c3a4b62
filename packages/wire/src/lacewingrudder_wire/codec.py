"""CBOR codec for messages: ``[tag, field, ...]``, each field checked against its annotation."""

from __future__ import annotations

from typing import Any, NamedTuple

import cbor2
from lacewingrudder_core import messages as m
from lacewingrudder_core.clock import HybridTime

from . import handshake as h
from .exceptions import CodecError
from .replica_tags import REPLICA_TAGS
from .values import from_plain, plain

MESSAGE_LIMIT_BYTES = 1 << 20

_TAGS: dict[int, type[Any]] = {
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
_TAG_OF = {cls: tag for tag, cls in _TAGS.items()}


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
    return cbor2.dumps([*envelope.time, _TAG_OF[type(body)], plain(body)])


def decode(data: bytes) -> Envelope:
    """Return the message that the bytes hold.

    :raises CodecError: if they hold none.
    """
    try:
        wall, counter, tag, fields = cbor2.loads(data)
        cls = _TAGS[tag]
        time = HybridTime(_integer(wall), _integer(counter))
        return Envelope(time, from_plain(cls, fields))
    except CodecError:
        raise
    except Exception as error:
        raise CodecError(f"not a message: {type(error).__name__}") from error


def _integer(value: Any) -> int:
    if type(value) is not int:
        raise CodecError("an integer is missing")
    return value
