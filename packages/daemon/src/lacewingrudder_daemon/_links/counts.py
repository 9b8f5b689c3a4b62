"""Counters of the traffic and the rejections of a process's links, for its metrics."""

from __future__ import annotations

import collections
import enum
from typing import Any

from lacewingrudder_wire.codec import tag_of
from lacewingrudder_wire.exceptions import CodecError, UnauthenticatedError
from websockets.exceptions import ConnectionClosed
from websockets.frames import CloseCode


class Purpose(enum.StrEnum):
    """The purpose of a message; a label value of metrics."""

    HANDSHAKE = "handshake"
    FLOWS = "flows"
    TARGETS = "targets"
    SPREAD = "spread"
    OPERATORS = "operators"
    REPLICATION = "replication"
    MEMBERSHIP = "membership"
    FLOODS = "floods"


class Rejection(enum.StrEnum):
    """Why this process closed or refused a link; a label value of metrics."""

    MALFORMED = "malformed"
    OVERSIZED = "oversized"
    UNAUTHENTICATED = "unauthenticated"
    TOO_MANY = "too_many"
    SLOW = "slow"
    FAILED = "failed"


_CLOSE_CODES: dict[int, Rejection] = {
    CloseCode.MESSAGE_TOO_BIG: Rejection.OVERSIZED,
    CloseCode.PROTOCOL_ERROR: Rejection.MALFORMED,
    CloseCode.INVALID_DATA: Rejection.MALFORMED,
}
# Message type numbers are grouped by purpose; these are the first numbers of each group.
_FIRST_TAGS = (
    (1, Purpose.HANDSHAKE),
    (11, Purpose.TARGETS),
    (13, Purpose.MEMBERSHIP),
    (14, Purpose.FLOWS),
    (20, Purpose.SPREAD),
    (30, Purpose.OPERATORS),
    (40, Purpose.REPLICATION),
    (60, Purpose.MEMBERSHIP),
    (65, Purpose.TARGETS),
    (66, Purpose.SPREAD),
    (80, Purpose.FLOODS),
    (90, Purpose.TARGETS),
)


def purpose_of(body: Any) -> Purpose:
    """Return the purpose of a message."""
    tag = tag_of(body)
    return next(purpose for first, purpose in reversed(_FIRST_TAGS) if tag >= first)


def rejection_of(error: ConnectionClosed | CodecError) -> Rejection | None:
    """Return why this side closed a link, or ``None`` if it rejected nothing."""
    if isinstance(error, UnauthenticatedError):
        return Rejection.UNAUTHENTICATED
    if isinstance(error, CodecError):
        return Rejection.MALFORMED
    return _CLOSE_CODES.get(error.sent.code) if error.sent is not None else None


class LinkCounts:
    """Monotonic counters of a process's links."""

    def __init__(self) -> None:
        self.sent_bytes: collections.Counter[Purpose] = collections.Counter()
        self.received_bytes: collections.Counter[Purpose] = collections.Counter()
        self.rejections: collections.Counter[Rejection] = collections.Counter()

    @property
    def all_sent_bytes(self) -> int:
        """Bytes sent for all purposes."""
        return sum(self.sent_bytes.values())
