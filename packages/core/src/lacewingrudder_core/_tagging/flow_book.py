"""What a host sees of open flows: how many a target has, and how many wait for an answer.

Only callers' packets pass a host, so that an answer shows as a new acknowledgement. The book serves
estimates of load alone: forwarding needs no flow to be known.
"""

from __future__ import annotations

import collections
import enum
from typing import NamedTuple

from ..latencies import LatencyHistogram
from ..types import FlowKey
from .types import TagSegment

OPENING_SECONDS = 2.0
"""How long an unanswered SYN is kept; a caller gives up after 1.4 s."""

FLOWS_LIMIT = 50_000
"""Flows kept at the most; the oldest is forgotten first."""


class Opening:
    """A SYN whose flow has not opened as far as this host sees.

    :param service: chosen for it; its copies stay with that service.
    """

    __slots__ = ("service", "since", "tried")

    def __init__(self, service: str, since: float) -> None:
        self.service = service
        self.since = since
        self.tried: list[int] = []


class _Flow:
    __slots__ = ("acknowledged", "asked", "is_repeated", "is_waiting", "seen", "sequence", "tag")

    def __init__(self, tag: int, now: float) -> None:
        self.tag = tag
        self.seen = now
        self.sequence = -1
        self.acknowledged = -1
        self.is_waiting = False
        self.is_repeated = False
        self.asked = now


class Progress(enum.Enum):
    """What a packet shows of its target."""

    NOTHING = enum.auto()
    ANSWERED = enum.auto()
    REPEATED = enum.auto()


class Observation(NamedTuple):
    """What a packet shows of its target.

    :param answer_seconds: how long the answer took that it acknowledges first; ``None`` for any
        other packet, and for an answer to a repeated request, which may be to either copy (Karn's
        algorithm).
    """

    progress: Progress
    answer_seconds: float | None = None


class TargetLoad(NamedTuple):
    """What a target has to do, as far as this host sees.

    :param flows: that are open.
    :param opening: SYNs that it got of flows that have not opened.
    :param waiting: requests that wait for their answers.
    """

    flows: int
    opening: int
    waiting: int


class FlowBook:
    """Flows that passed this host of late."""

    def __init__(self) -> None:
        self._flows: collections.OrderedDict[FlowKey, _Flow] = collections.OrderedDict()
        self._openings: dict[FlowKey, Opening] = {}
        self._open: collections.Counter[int] = collections.Counter()
        self._waiting: collections.Counter[int] = collections.Counter()
        self._pending: collections.Counter[int] = collections.Counter()
        self._answer_seconds = LatencyHistogram()

    @property
    def answer_seconds(self) -> LatencyHistogram:
        """From a request to the first acknowledgement of its answer."""
        return self._answer_seconds

    @property
    def flows(self) -> int:
        """How many flows are known."""
        return len(self._flows)

    def load(self, tag: int) -> TargetLoad:
        """Return what a target has to do."""
        return TargetLoad(self._open[tag], self._pending[tag], self._waiting[tag])

    def opening(self, flow: FlowKey) -> Opening | None:
        """Return the SYN of a flow that has not opened, or ``None``."""
        return self._openings.get(flow)

    def open(self, flow: FlowKey, service: str, tag: int, now: float) -> None:
        """Take in that a SYN goes to a target."""
        self._forget(flow)
        opening = self._openings.get(flow)
        if opening is None:
            opening = self._openings[flow] = Opening(service, now)
        opening.tried.append(tag)
        self._pending[tag] += 1

    def close_opening(self, flow: FlowKey) -> Opening | None:
        """Forget a SYN, since its flow opened or came to nothing; return it."""
        opening = self._openings.pop(flow, None)
        if opening is not None:
            for tag in opening.tried:
                self._pending[tag] -= 1
        return opening

    def take(self, segment: TagSegment, now: float) -> Observation:
        """Take in a packet of an open flow; return what it shows of its target."""
        flow = self._flows.get(segment.flow)
        if flow is None or flow.tag != segment.tag:
            self._forget(segment.flow)
            flow = self._flows[segment.flow] = _Flow(segment.tag, now)
            self._open[segment.tag] += 1
            if len(self._flows) > FLOWS_LIMIT:
                self._forget(next(iter(self._flows)))
        flow.seen = now
        self._flows.move_to_end(segment.flow)
        observation = self._observe(flow, segment, now)
        if segment.is_last:
            self._forget(segment.flow)
        return observation

    def expire(self, idle_seconds: float, now: float) -> None:
        """Forget idle flows and old SYNs."""
        while self._flows:
            key, flow = next(iter(self._flows.items()))
            if now - flow.seen <= idle_seconds:
                break
            self._forget(key)
        late = [f for f, opening in self._openings.items() if now - opening.since > OPENING_SECONDS]
        for key in late:
            self.close_opening(key)
        for counts in (self._open, self._waiting, self._pending):
            for tag in [tag for tag, count in counts.items() if not count]:
                del counts[tag]

    def _observe(self, flow: _Flow, segment: TagSegment, now: float) -> Observation:
        is_new_ack = segment.acknowledged != flow.acknowledged
        observation = Observation(Progress.NOTHING)
        if is_new_ack:
            observation = self._acknowledge(flow, segment, now)
        if segment.payload:
            if segment.sequence == flow.sequence and not is_new_ack:
                observation = Observation(Progress.REPEATED)
                flow.is_repeated = True
            flow.sequence = segment.sequence
            if not flow.is_waiting:
                flow.asked = now
                flow.is_repeated = False
            self._set_waiting(flow, True)
        return observation

    def _acknowledge(self, flow: _Flow, segment: TagSegment, now: float) -> Observation:
        is_known = flow.acknowledged >= 0
        flow.acknowledged = segment.acknowledged
        seconds: float | None = None
        if flow.is_waiting:
            self._answer_seconds.observe(now - flow.asked)
            seconds = None if flow.is_repeated else now - flow.asked
        self._set_waiting(flow, False)
        return Observation(Progress.ANSWERED if is_known else Progress.NOTHING, seconds)

    def _set_waiting(self, flow: _Flow, waiting: bool) -> None:
        if flow.is_waiting != waiting:
            flow.is_waiting = waiting
            self._waiting[flow.tag] += 1 if waiting else -1

    def _forget(self, key: FlowKey) -> None:
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._set_waiting(flow, False)
            self._open[flow.tag] -= 1
