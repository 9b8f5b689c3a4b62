"""The flow table, with the sequence numbers that distinguish incarnations of a flow."""

from __future__ import annotations

import enum
from collections.abc import Iterator

from .._routing.homes import HomeTable
from ..types import Endpoint, FlowKey, TargetName
from .types import ACK, RST, SEQUENCE_MASK, SYN, Segment
from .usage import FlowUsage

WINDOW_BYTES = 1 << 24
CALLER_FIN = 1
TARGET_FIN = 2


class FlowState(enum.IntEnum):
    """The connection state of a flow."""

    HALF_OPEN = 0
    ESTABLISHED = 1
    CLOSED = 2


class Flow:
    """The state of one flow.

    For the caller and the target, the flow tracks the sequence number that the peer expects next,
    and a floor. A segment belongs to this incarnation if its numbers lie within
    :data:`WINDOW_BYTES` above both floors. The floors start at the initial sequence numbers, so
    segments of an earlier incarnation fall below them.
    """

    __slots__ = (
        "key",
        "flow_hash",
        "target",
        "endpoint",
        "usage",
        "state",
        "caller_isn",
        "target_isn",
        "caller_floor",
        "target_floor",
        "caller_next",
        "caller_sent",
        "target_next",
        "opened_at",
        "last_seen",
        "waiting_since",
        "waiting_seq",
        "retransmissions",
        "probed_at",
        "unanswered_probes",
        "has_payload",
        "fins_seen",
        "syn_packet",
        "syn_sent_at",
        "attempt",
        "abandoned_targets",
        "previous_isn",
        "homes",
        "is_home",
        "is_pinned",
    )

    def __init__(
        self,
        key: FlowKey,
        flow_hash: int,
        target: TargetName,
        endpoint: Endpoint,
        usage: FlowUsage,
        homes: HomeTable,
        now: float,
    ) -> None:
        self.key = key
        self.flow_hash = flow_hash
        self.target = target
        self.endpoint = endpoint
        self.usage = usage
        self.state = FlowState.HALF_OPEN
        self.caller_isn: int | None = None
        self.target_isn: int | None = None
        self.caller_floor = 0
        self.target_floor = 0
        self.caller_next = 0
        self.caller_sent = 0
        self.target_next = 0
        self.opened_at = now
        self.last_seen = now
        self.waiting_since: float | None = None
        self.waiting_seq = 0
        self.retransmissions = 0
        self.probed_at = now
        self.unanswered_probes = 0
        self.has_payload = False
        self.fins_seen = 0
        self.syn_packet = b""
        self.syn_sent_at = now
        self.attempt = 0
        self.abandoned_targets: tuple[TargetName, ...] = ()
        self.previous_isn: int | None = None
        self.homes = homes
        self.is_home = True
        self.is_pinned = False

    @property
    def was_open(self) -> bool:
        """Whether this host has seen the flow open, or has taken it over from another.

        If not, another host may have opened it though no target answered the SYN here.
        """
        return self.state is FlowState.ESTABLISHED or (
            self.state is FlowState.CLOSED
            and (self.target_isn is not None or self.caller_isn is None)
        )

    def is_caller_in_window(self, segment: Segment) -> bool:
        """Return whether a segment of the caller belongs to this incarnation."""
        if (segment.seq - self.caller_floor) & SEQUENCE_MASK >= WINDOW_BYTES:
            return False
        if not segment.flags & ACK:
            return True
        return (segment.ack - self.target_floor) & SEQUENCE_MASK < WINDOW_BYTES

    def is_target_in_window(self, segment: Segment) -> bool:
        """Return whether a segment of the target belongs to this incarnation."""
        if (segment.seq - self.target_floor) & SEQUENCE_MASK >= WINDOW_BYTES:
            return False
        if not segment.flags & ACK:
            return True
        return (segment.ack - self.caller_floor) & SEQUENCE_MASK < WINDOW_BYTES

    def expects_from_caller(self, segment: Segment) -> bool:
        """Return whether a segment of the caller fits the flow's state and sequence numbers.

        Until the target has answered, a half-open flow expects only a reset: any other segment of
        the caller means that another host established the flow.
        """
        if self.state is FlowState.HALF_OPEN and self.target_isn is None:
            return bool(segment.flags & RST) and segment.seq == self.caller_next
        return self.is_caller_in_window(segment)

    def expects_from_target(self, segment: Segment) -> bool:
        """Return whether a segment fits the flow's target, state and sequence numbers."""
        if segment.source != self.endpoint:
            return False
        if self.state is FlowState.HALF_OPEN and self.target_isn is None:
            answers_syn = segment.ack in (self.caller_next, self.caller_sent)
            return answers_syn and bool(segment.flags & (SYN | RST))
        if segment.flags & RST:
            return (segment.seq - self.target_floor) & SEQUENCE_MASK < WINDOW_BYTES
        return self.is_target_in_window(segment)

    def record_syn(self, segment: Segment, previous_isn: int | None) -> None:
        """Initialize the sequence numbers from the caller's SYN."""
        self.caller_isn = segment.seq
        self.caller_floor = segment.seq
        self.caller_next = (segment.seq + 1) & SEQUENCE_MASK
        self.caller_sent = (self.caller_next + segment.payload) & SEQUENCE_MASK
        self.has_payload = segment.payload > 0
        self.previous_isn = previous_isn

    def record_syn_ack(self, segment: Segment) -> None:
        """Initialize the target's sequence numbers from its SYN-ACK."""
        self.target_isn = segment.seq
        self.target_floor = segment.seq
        self.target_next = (segment.seq + 1) & SEQUENCE_MASK

    def resume(self, seq: int, target_seq: int) -> None:
        """Continue an established flow that another host served before.

        :param seq: the caller's next sequence number.
        :param target_seq: the target's next sequence number.
        """
        self.state = FlowState.ESTABLISHED
        self.has_payload = True
        self.caller_next = seq
        self.caller_sent = seq
        self.target_next = target_seq
        self.caller_floor = (seq - WINDOW_BYTES // 4) & SEQUENCE_MASK
        self.target_floor = (target_seq - WINDOW_BYTES // 4) & SEQUENCE_MASK

    def may_have_opened_with(self, seq: int) -> bool:
        """Return whether a SYN may be that of a resumed flow, which this host hasn't seen.

        :param seq: sequence number of the SYN.
        """
        behind = (self.caller_next - seq) & SEQUENCE_MASK
        return self.caller_isn is None and 0 < behind <= WINDOW_BYTES // 4

    def record_payload(self, segment: Segment) -> bool:
        """Record payload from the caller; return whether any of it is new."""
        end = (segment.seq + segment.payload) & SEQUENCE_MASK
        if not 0 < (end - self.caller_sent) & SEQUENCE_MASK < WINDOW_BYTES:
            return False
        self.caller_sent = end
        return True

    def record_target_ack(self, ack: int) -> None:
        """Advance the caller's next sequence number to what the target acknowledged."""
        ahead = (ack - self.caller_next) & SEQUENCE_MASK
        if 0 < ahead < WINDOW_BYTES:
            self.caller_next = ack
            if (ack - self.caller_floor) & SEQUENCE_MASK > WINDOW_BYTES // 2:
                self.caller_floor = (ack - WINDOW_BYTES // 4) & SEQUENCE_MASK

    def record_caller_ack(self, ack: int) -> bool:
        """Advance the target's next sequence number to what the caller acknowledged.

        :return: whether the acknowledgement covers new data.
        """
        ahead = (ack - self.target_next) & SEQUENCE_MASK
        if not 0 < ahead < WINDOW_BYTES:
            return False
        self.target_next = ack
        if (ack - self.target_floor) & SEQUENCE_MASK > WINDOW_BYTES // 2:
            self.target_floor = (ack - WINDOW_BYTES // 4) & SEQUENCE_MASK
        return True

    def record_fin(self, sender: int) -> bool:
        """Record a FIN; return whether both sides have sent one.

        :param sender: :data:`CALLER_FIN` or :data:`TARGET_FIN`.
        """
        self.fins_seen |= sender
        return self.fins_seen == CALLER_FIN | TARGET_FIN


class FlowTable:
    """All flows of a host, with an index for each state that has a timeout.

    Each index keeps insertion order, so that a tick only has to check the oldest entries.
    """

    def __init__(self) -> None:
        self._flows: dict[FlowKey, Flow] = {}
        self.half_open: dict[FlowKey, Flow] = {}
        self.unanswered_syns: dict[FlowKey, Flow] = {}
        self.waiting: dict[FlowKey, Flow] = {}
        self.closed: dict[FlowKey, Flow] = {}
        self.get = self._flows.get

    def __len__(self) -> int:
        return len(self._flows)

    def __contains__(self, key: FlowKey) -> bool:
        return key in self._flows

    def __iter__(self) -> Iterator[Flow]:
        return iter(self._flows.values())

    def keys(self) -> list[FlowKey]:
        """Return a copy of the keys of all flows."""
        return list(self._flows)

    def add(self, flow: Flow) -> None:
        """Add a flow, or replace the one with the same key; the indexes are left as they are."""
        self._flows[flow.key] = flow

    def remove(self, flow: Flow) -> None:
        """Remove a flow from the table and all indexes."""
        if self._flows.get(flow.key) is flow:
            del self._flows[flow.key]
        for subset in (self.half_open, self.unanswered_syns, self.waiting, self.closed):
            subset.pop(flow.key, None)
