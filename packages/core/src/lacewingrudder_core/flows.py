"""The packet path: which host keeps a flow, and which target a packet of it goes to."""

from __future__ import annotations

import enum
from typing import NamedTuple

from .admission import AdmissionPolicy, RefusalReason, Refused
from .core import Core
from .flow_use import FlowUse, UseBook
from .hashing import flow_hash
from .health import HealthBook
from .loads import LoadBook
from .placement import PlacementPolicy
from .types import Endpoint, FlowKey, HostName, TargetName, Verdict
from .view import KindRoute, RoutingView, TargetRoute

FIN = 0x01
SYN = 0x02
RST = 0x04
ACK = 0x10

FLOW_IDLE_SECONDS = 6 * 3600.0


class Stage(enum.IntEnum):
    """How often a packet was handed from one entry host to another, and why.

    A packet only ever moves to a higher stage, so that two hosts that name each other as home
    cannot pass it back and forth.
    """

    FABRIC = 0
    HOME = 1
    SECOND = 2
    HEIR = 3
    UNKNOWN = 4


class Segment(NamedTuple):
    """The fields of a TCP segment that decisions need.

    :param flags: the TCP flags byte.
    :param payload: number of payload bytes.
    """

    source: Endpoint
    destination: Endpoint
    flags: int
    seq: int
    ack: int
    payload: int


class SegmentArrived(NamedTuple):
    """A segment came from the fabric or from another entry host.

    :param sender: the entry host that relayed it; empty if it came from the fabric.
    """

    segment: Segment
    stage: Stage
    sender: HostName


class ViewChanged(NamedTuple):
    """Hosts, targets or services changed."""

    view: RoutingView


FlowEvent = SegmentArrived | ViewChanged


class DropReason(enum.StrEnum):
    """Why a packet was dropped; the label of a metric."""

    FOREIGN = "foreign"
    NO_HOME = "no_home"
    NOT_READY = "not_ready"
    NO_TARGET = "no_target"
    UNKNOWN_FLOW = "unknown_flow"


class ToTarget(NamedTuple):
    """Send the current packet to a target: rewrite its destination."""

    endpoint: Endpoint


class ToCaller(NamedTuple):
    """Send the current packet to its caller: rewrite its source."""

    service: Endpoint


class Relay(NamedTuple):
    """Hand the current packet unchanged to another entry host."""

    host: HostName
    stage: Stage


class Drop(NamedTuple):
    """Drop the current packet and count it."""

    reason: DropReason


class Reset(NamedTuple):
    """Send a reset segment of our own."""

    source: Endpoint
    destination: Endpoint
    seq: int
    ack: int
    flags: int


class VerdictReached(NamedTuple):
    """A flow ended otherwise than by its ends; for the time line and metrics."""

    key: FlowKey
    target: TargetName
    verdict: Verdict
    reason: str


FlowEffect = ToTarget | ToCaller | Relay | Drop | Reset | VerdictReached


class Flow:
    """One flow at its home."""

    __slots__ = ("target", "endpoint", "use", "last_seen")

    def __init__(self, target: TargetName, endpoint: Endpoint, use: FlowUse, now: float) -> None:
        self.target = target
        self.endpoint = endpoint
        self.use = use
        self.last_seen = now


class FlowCore(Core[FlowEvent, FlowEffect]):
    """Keeps the flows whose home is this host and relays the packets of others.

    :param name: the name of this host.
    :param view: the routing view to start with.
    :param admission: decides on new flows.
    :param placement: chooses their targets.
    :param health: takes this host's evidence on targets.
    """

    def __init__(
        self,
        name: HostName,
        view: RoutingView,
        admission: AdmissionPolicy,
        placement: PlacementPolicy,
        health: HealthBook,
    ) -> None:
        self._name = name
        self._admission = admission
        self._placement = placement
        self._health = health
        self._loads = LoadBook()
        self._uses = UseBook(admission, self._loads)
        self._view = view
        self._flows: dict[FlowKey, Flow] = {}

    @property
    def flow_count(self) -> int:
        """How many flows this host keeps."""
        return len(self._flows)

    def handle(self, event: FlowEvent, now: float) -> list[FlowEffect]:
        """Take one event; effects concern the segment of the event."""
        if isinstance(event, SegmentArrived):
            return self._segment(event, now)
        self._view = event.view
        return []

    def _segment(self, event: SegmentArrived, now: float) -> list[FlowEffect]:
        segment = event.segment
        route = self._view.routes.get(segment.destination)
        if route is not None:
            return self._from_caller(event, route, now)
        answer = self._view.answers.get(segment.source)
        if answer is not None:
            return self._from_target(event, answer, now)
        return [Drop(DropReason.FOREIGN)]

    def _from_caller(self, event: SegmentArrived, route: KindRoute, now: float) -> list[FlowEffect]:
        segment = event.segment
        key = FlowKey(*segment.source, *segment.destination)
        flow = self._flows.get(key)
        if flow is not None:
            flow.last_seen = now
            self._note_caller(flow, key, segment, now)
            return [ToTarget(flow.endpoint)]
        digest = flow_hash(key)
        if event.stage is Stage.FABRIC:
            return self._relay_home(digest)
        if segment.flags & SYN:
            return self._choose(segment, key, digest, route, now)
        return [Drop(DropReason.UNKNOWN_FLOW)]

    def _relay_home(self, digest: int) -> list[FlowEffect]:
        home = self._view.homes.rank(digest).home
        return [Relay(home, Stage.HOME)]

    def _choose(
        self, segment: Segment, key: FlowKey, digest: int, route: KindRoute, now: float
    ) -> list[FlowEffect]:
        outcome = self._admission.decide(route, self._loads, now)
        if isinstance(outcome, Refused):
            return self._refuse(segment, key, outcome.reason)
        name = self._placement.choose(route, digest, 0, self._loads, now)
        if name is None:
            return self._refuse(segment, key, DropReason.NO_TARGET)
        endpoint = route.endpoints[name]
        use, given_up = self._uses.opened(route, key, name, now)
        self._flows[key] = Flow(name, endpoint, use, now)
        return [ToTarget(endpoint), *self._give_up(given_up, now)]

    def _note_caller(self, flow: Flow, key: FlowKey, segment: Segment, now: float) -> None:
        if segment.flags & (SYN | ACK) == ACK:
            self._uses.acknowledged(flow.use, key, now)
        if segment.payload:
            self._uses.caller_sent(flow.use, now)

    def _give_up(self, key: FlowKey | None, now: float) -> list[FlowEffect]:
        flow = self._flows.pop(key, None) if key is not None else None
        if key is None or flow is None:
            return []
        self._uses.ended(flow.use, key, now)
        return [VerdictReached(key, flow.target, Verdict.NOT_RUN, RefusalReason.TOO_MANY_HALF_OPEN)]

    def _refuse(self, segment: Segment, key: FlowKey, reason: str) -> list[FlowEffect]:
        ack = (segment.seq + 1) & 0xFFFFFFFF
        return [
            Reset(segment.destination, segment.source, 0, ack, RST | ACK),
            VerdictReached(key, "", Verdict.NOT_RUN, reason),
        ]

    def _from_target(
        self, event: SegmentArrived, answer: TargetRoute, now: float
    ) -> list[FlowEffect]:
        segment = event.segment
        key = FlowKey(*segment.destination, *answer.service)
        flow = self._flows.get(key)
        if flow is not None:
            flow.last_seen = now
            if segment.payload:
                self._uses.target_sent(flow.use, now)
            return [ToCaller(answer.service)]
        if event.stage is Stage.FABRIC:
            return self._relay_home(flow_hash(key))
        return [Drop(DropReason.UNKNOWN_FLOW)]
