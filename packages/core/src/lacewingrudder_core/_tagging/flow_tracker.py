"""Tracks recently seen flows: how many each target has open, and how many await an answer.

Only the packets of callers pass through a host, so an answer shows up as a new acknowledgement
number. This only estimates load: forwarding doesn't depend on it.
"""

from __future__ import annotations

import collections
import enum
import heapq
from collections.abc import Callable
from typing import NamedTuple

from ..latencies import LatencyHistogram
from ..types import FlowKey
from .types import TagSegment

MAX_OPENING_SECONDS = 2.0
"""How long an unanswered flow is tracked after its first SYN; callers give up after 1.4 s."""

SEQUENCE_WINDOW_BYTES = 1 << 18
"""Packets of one flow have sequence numbers that differ by less than this: more than callers send
between two packets that one host sees. Those of a later flow from the same port are random."""

SEQUENCE_COUNT = 1 << 32

MAX_TRACKED_FLOWS = 50_000
"""Maximum number of tracked flows; the least recently seen are dropped first."""


class OpeningFlow:
    """A flow of which this host has seen a SYN but no later packet.

    :param service: service chosen at the first SYN. Retransmissions stay with it while the route
        has it.
    :param opened_at: time of the first SYN that this host saw.
    :param sequence: sequence number of the SYN.
    :param has_first: whether that was no retransmission.
    :ivar tried_tags: tags of the targets that the SYN and its retransmissions were sent to.
    :ivar packet: the latest of these packets, if other targets may have got one; otherwise empty.
    :ivar sent_at: time of the latest transmission that went to a target.
    """

    __slots__ = (
        "has_first",
        "opened_at",
        "packet",
        "sent_at",
        "sequence",
        "service",
        "tried_tags",
    )

    def __init__(self, service: str, opened_at: float, sequence: int, has_first: bool) -> None:
        self.service = service
        self.opened_at = opened_at
        self.sequence = sequence
        self.has_first = has_first
        self.tried_tags: list[int] = []
        self.packet = b""
        self.sent_at = opened_at


class _Flow:
    """A flow of which this host has seen a packet after the SYN.

    :ivar is_waiting: whether its request awaits an answer.
    :ivar is_counted: whether that request counts as load of the target.
    """

    __slots__ = (
        "acknowledged",
        "requested_at",
        "is_counted",
        "is_retransmitted",
        "is_waiting",
        "seen_at",
        "seen_sequence",
        "sequence",
        "tag",
    )

    def __init__(self, tag: int, now: float) -> None:
        self.tag = tag
        self.seen_sequence = 0
        self.seen_at = now
        self.sequence = -1
        self.acknowledged = -1
        self.is_counted = False
        self.is_waiting = False
        self.is_retransmitted = False
        self.requested_at = now


class _CountedRequest(NamedTuple):
    """A request that counts as load until some time; ordered by that time."""

    until: float
    requested_at: float
    flow: FlowKey


class AnswerStatus(enum.Enum):
    """What a packet shows of its target: an answer, a retransmitted request, or neither."""

    UNKNOWN = enum.auto()
    ANSWERED = enum.auto()
    RETRANSMITTED = enum.auto()


class Observation(NamedTuple):
    """What a packet reveals about its target.

    :param answer_seconds: response time of the request whose answer this packet is the first to
        acknowledge. ``None`` for any other packet, and for a retransmitted request, whose answer
        may belong to either transmission (Karn's algorithm).
    """

    answer_status: AnswerStatus
    answer_seconds: float | None = None


class TargetLoad(NamedTuple):
    """Load of a target, counting only what passes through this host.

    :param flows: number of open flows.
    :param opening: number of SYNs sent to it by flows that haven't opened yet.
    :param waiting: number of requests that await an answer; without those that have waited for so
        long that their flows have probably moved to another host.
    """

    flows: int
    opening: int
    waiting: int


class FlowTracker:
    """Tracks the flows that recently passed through this host."""

    def __init__(self) -> None:
        self._flows: collections.OrderedDict[FlowKey, _Flow] = collections.OrderedDict()
        self._openings: dict[FlowKey, OpeningFlow] = {}
        self._counted: list[_CountedRequest] = []
        self._open_counts: collections.Counter[int] = collections.Counter()
        self._waiting_counts: collections.Counter[int] = collections.Counter()
        self._opening_counts: collections.Counter[int] = collections.Counter()
        self._answer_seconds = LatencyHistogram()

    @property
    def answer_seconds(self) -> LatencyHistogram:
        """Times from a request to the first acknowledgement of its answer."""
        return self._answer_seconds

    @property
    def flow_count(self) -> int:
        """Number of tracked flows."""
        return len(self._flows)

    def load(self, tag: int) -> TargetLoad:
        """Return the load of a target."""
        return TargetLoad(
            self._open_counts[tag], self._opening_counts[tag], self._waiting_counts[tag]
        )

    def loads_at_syn(self, flow: FlowKey, now: float) -> Callable[[int], TargetLoad]:
        """Return the loads of targets that the first SYN of a flow would find, without a change.

        Abandoned requests no longer count then, nor does an earlier attempt to open the flow.
        """
        opening = self._openings.get(flow)
        tried = collections.Counter(() if opening is None else opening.tried_tags)
        due = {row for row in self._counted if row.until <= now}
        expired = {row.flow for row in due if self._has_request(row)}
        abandoned = collections.Counter(
            self._flows[key].tag for key in expired if self._flows[key].is_counted
        )

        if not tried and not abandoned:
            return self.load

        def load(tag: int) -> TargetLoad:
            flows, openings, waiting = self.load(tag)
            return TargetLoad(flows, openings - tried[tag], waiting - abandoned[tag])

        return load

    def get_opening(self, flow: FlowKey) -> OpeningFlow | None:
        """Return the record of a flow that hasn't opened yet, or ``None``."""
        return self._openings.get(flow)

    def is_opening(self, flow: FlowKey, tag: int) -> bool:
        """Return whether a flow hasn't opened yet and one of its SYNs was sent to a target."""
        opening = self._openings.get(flow)
        return opening is not None and tag in opening.tried_tags

    def record_syn(self, segment: TagSegment, service: str, tag: int, now: float) -> None:
        """Record that a SYN was sent to a target."""
        self._remove(segment.flow)
        opening = self._openings.get(segment.flow)
        if opening is None:
            opening = OpeningFlow(service, now, segment.sequence, has_first=not segment.attempt)
            self._openings[segment.flow] = opening
        opening.sent_at = now
        opening.tried_tags.append(tag)
        self._opening_counts[tag] += 1

    def remove_opening(self, flow: FlowKey) -> OpeningFlow | None:
        """Remove and return the record of a flow that opened or was abandoned."""
        opening = self._openings.pop(flow, None)
        if opening is not None:
            for tag in opening.tried_tags:
                self._opening_counts[tag] -= 1
        return opening

    def opened_tag(self, segment: TagSegment) -> int | None:
        """Return the tag of the target that holds a packet's flow, ``None`` if it isn't known.

        It isn't known of the first packet of a flow, nor if a port is used for another flow. The
        packet may be a late copy of the flow's SYN.
        """
        flow = self._flows.get(segment.flow)
        if flow is None:
            return None
        distance = (segment.sequence - flow.seen_sequence) % SEQUENCE_COUNT
        is_continued = min(distance, SEQUENCE_COUNT - distance) < SEQUENCE_WINDOW_BYTES
        return flow.tag if is_continued else None

    def record_packet(
        self,
        segment: TagSegment,
        now: float,
        max_waiting_seconds: float | None = None,
    ) -> Observation:
        """Process a packet of an open flow; return what it reveals about its target.

        :param max_waiting_seconds: how long a request of the flow counts as load of its target at
            most, see :meth:`forget_abandoned_requests`; ``None`` for no limit.
        """
        flow = self._flows.get(segment.flow)
        if flow is None or flow.tag != segment.tag:
            self._remove(segment.flow)
            flow = self._flows[segment.flow] = _Flow(segment.tag, now)
            self._open_counts[segment.tag] += 1
            if len(self._flows) > MAX_TRACKED_FLOWS:
                self._remove(next(iter(self._flows)))
        flow.seen_at, flow.seen_sequence = now, segment.sequence
        self._flows.move_to_end(segment.flow)
        observation = self._observe(flow, segment, now)
        if flow.is_waiting and flow.requested_at == now and max_waiting_seconds is not None:
            request = _CountedRequest(now + max_waiting_seconds, now, segment.flow)
            heapq.heappush(self._counted, request)
        if segment.is_last:
            self._remove(segment.flow)
        return observation

    def forget_abandoned_requests(self, now: float) -> None:
        """Stop to count requests that have waited for too long as load of their targets.

        Their flows have probably moved to other hosts, as happens whenever the set of hosts
        changes, or their callers left without a word.
        """
        while self._counted and self._counted[0].until <= now:
            request = heapq.heappop(self._counted)
            if self._has_request(request):
                self._set_counted(self._flows[request.flow], False)

    def _has_request(self, request: _CountedRequest) -> bool:
        """Return whether a request is the latest one of a flow that is still tracked."""
        flow = self._flows.get(request.flow)
        return flow is not None and flow.requested_at == request.requested_at

    def expire(self, idle_seconds: float, now: float) -> None:
        """Drop idle flows, and flows that stayed unanswered for too long."""
        while self._flows:
            key, flow = next(iter(self._flows.items()))
            if now - flow.seen_at <= idle_seconds:
                break
            self._remove(key)
        expired = [
            f
            for f, opening in self._openings.items()
            if now - opening.opened_at > MAX_OPENING_SECONDS
        ]
        for key in expired:
            self.remove_opening(key)
        for counts in (self._open_counts, self._waiting_counts, self._opening_counts):
            for tag in [tag for tag, count in counts.items() if not count]:
                del counts[tag]

    def _observe(self, flow: _Flow, segment: TagSegment, now: float) -> Observation:
        is_new_ack = segment.acknowledged != flow.acknowledged
        observation = Observation(AnswerStatus.UNKNOWN)
        if is_new_ack:
            observation = self._acknowledge(flow, segment, now)
        if segment.payload:
            if segment.sequence == flow.sequence and not is_new_ack:
                observation = Observation(AnswerStatus.RETRANSMITTED)
                flow.is_retransmitted = True
            flow.sequence = segment.sequence
            if not flow.is_waiting:
                flow.requested_at = now
                flow.is_retransmitted = False
            self._set_waiting(flow, True)
        return observation

    def _acknowledge(self, flow: _Flow, segment: TagSegment, now: float) -> Observation:
        is_known = flow.acknowledged >= 0
        flow.acknowledged = segment.acknowledged
        seconds: float | None = None
        if flow.is_waiting:
            self._answer_seconds.observe(now - flow.requested_at)
            seconds = None if flow.is_retransmitted else now - flow.requested_at
        self._set_waiting(flow, False)
        return Observation(AnswerStatus.ANSWERED if is_known else AnswerStatus.UNKNOWN, seconds)

    def _set_waiting(self, flow: _Flow, is_waiting: bool) -> None:
        if flow.is_waiting != is_waiting:
            flow.is_waiting = is_waiting
            self._set_counted(flow, is_waiting)

    def _set_counted(self, flow: _Flow, is_counted: bool) -> None:
        if flow.is_counted != is_counted:
            flow.is_counted = is_counted
            self._waiting_counts[flow.tag] += 1 if is_counted else -1

    def _remove(self, key: FlowKey) -> None:
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._set_waiting(flow, False)
            self._open_counts[flow.tag] -= 1
