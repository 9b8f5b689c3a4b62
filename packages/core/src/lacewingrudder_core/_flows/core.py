"""The packet path: which host keeps a flow, and which target a packet of it goes to.

Every packet of a flow goes to the flow's home, which alone decides. A home that does not know the
flow of a packet asks, with the packet itself, the hosts that may have kept it before, and at last
the targets; only a SYN may choose a target.
"""

from __future__ import annotations

from .._admission.policy import AdmissionPolicy
from .._propagation.token_bucket import TokenBucket
from .._routing.health import HealthTracker
from .._routing.loads import LoadTracker
from .._routing.placement import PlacementPolicy
from .._routing.view import KindRoute, RoutingView, TargetRoute
from ..core import Core
from ..types import Endpoint, FlowKey, HostName, TargetName
from .handover import next_hop
from .handshake import Opener, StartReason, refuse, reset_caller
from .keeper import FlowKeeper
from .lookup import Looked, Lookup
from .routes import RouteBook
from .serving import Serving
from .silence import SilenceWatch
from .table import WINDOW_BYTES, Flow, FlowState
from .target_tags import NO_TAG
from .types import (
    ACK,
    RST,
    SEQUENCE_MASK,
    SYN,
    Drop,
    DropReason,
    FlowEffect,
    FlowEvent,
    FlowTick,
    LeaveRequested,
    PinsReceived,
    Relay,
    Replicate,
    Reset,
    Segment,
    SegmentArrived,
    Stage,
)
from .use import UseBook
from .verdicts import verdict_on

RECENT_SECONDS = 5.0
LOOKUPS_PER_SECOND = 2_000.0
TARGET_MOVED = "target_moved"


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
        health: HealthTracker,
    ) -> None:
        self._name = name
        self._is_leaving = False
        self._loads = loads = LoadTracker()
        uses = UseBook(admission, loads)
        self._routes = RouteBook(view)
        self._keeper = FlowKeeper(name, view, uses)
        self._table = self._keeper.table
        self._opener = Opener(self._keeper, self._routes, uses, loads, admission, placement, health)
        self._lookup = Lookup(self._keeper, self._routes)
        self._lookups = TokenBucket(LOOKUPS_PER_SECOND, LOOKUPS_PER_SECOND)
        self._silence = SilenceWatch(self._keeper, health)
        self._serving = Serving(self._keeper, self._opener, self._silence, health)

    @property
    def flow_count(self) -> int:
        """How many flows this host keeps."""
        return len(self._table)

    @property
    def pin_count(self) -> int:
        """How many of this host's flows are on another target than the table gives."""
        return self._keeper.pins.own_count

    @property
    def targets_in_use(self) -> frozenset[TargetName]:
        """The targets that have flows of this host."""
        return self._loads.in_use

    def handle(self, event: FlowEvent, now: float) -> list[FlowEffect]:
        """Take one event; effects that name no packet concern the segment of the event."""
        if isinstance(event, SegmentArrived):
            return self._segment(event, now)
        if isinstance(event, FlowTick):
            return self._tick(now)
        if isinstance(event, PinsReceived):
            self._keeper.pins.heard(event.pins)
            return []
        if isinstance(event, LeaveRequested):
            return self._leave(now)
        return self._change_view(event.view, now)

    def _tick(self, now: float) -> list[FlowEffect]:
        effects = self._opener.tick(now) + self._lookup.tick(now) + self._silence.tick(now)
        return effects + list(self._keeper.tick(now))

    def _change_view(self, view: RoutingView, now: float) -> list[FlowEffect]:
        moved = self._routes.update(view, now)
        homes, known = view.homes, self._keeper.homes
        if homes.members == known.members and not homes.restarted_since(known):
            homes = known
        elif self._is_leaving and len(homes.members) > 1:
            homes = homes.without(self._name)
        self._keeper.change_view(view, homes, now)
        return self._end_flows_on(moved, now) if moved else []

    def _end_flows_on(self, moved: frozenset[Endpoint], now: float) -> list[FlowEffect]:
        """End what is left on endpoints that serve another service now; it must not reach it."""
        effects: list[FlowEffect] = []
        for flow in list(map(self._table.get, self._table.keys())):
            if flow is None or flow.endpoint not in moved:
                continue
            self._keeper.forget(flow, now)
            if flow.state is not FlowState.CLOSED:
                effects += [reset_caller(flow), verdict_on(flow, TARGET_MOVED)]
        return effects

    def _leave(self, now: float) -> list[FlowEffect]:
        self._is_leaving = True
        homes = self._keeper.homes
        if len(homes.members) > 1:
            self._keeper.change_homes(homes.without(self._name), now)
        return [Replicate(due.host, due.pins) for due in self._keeper.pins.flush()]

    def _segment(self, event: SegmentArrived, now: float) -> list[FlowEffect]:
        segment = event.segment
        route = self._routes.route(segment.destination)
        if route is not None:
            return self._from_caller(event, route, now)
        answer = self._routes.answer(segment.source)
        if answer is not None:
            return self._from_target(event, answer, now)
        return [Drop(DropReason.FOREIGN)]

    def _from_caller(self, event: SegmentArrived, route: KindRoute, now: float) -> list[FlowEffect]:
        segment = event.segment
        key = FlowKey(*segment.source, *segment.destination)
        flow = self._table.get(key)
        if segment.flags & (SYN | ACK) == SYN:
            return self._syn(event, key, flow, route, now)
        if flow is None or not flow.knows_caller(segment):
            return self._unknown_to_home(event, key, flow, now)
        if self._keeper.is_home(flow) or event.stage is Stage.HOME:
            return self._serving.caller(flow, segment, now)
        return self._tell_home(flow) or self._serving.caller(flow, segment, now)

    def _from_target(
        self, event: SegmentArrived, answer: TargetRoute, now: float
    ) -> list[FlowEffect]:
        segment = event.segment
        key = FlowKey(*segment.destination, *answer.service)
        flow = self._table.get(key)
        if flow is None or not flow.knows_target(segment):
            return self._unknown_to_home(event, key, flow, now)
        if self._keeper.is_home(flow) or event.stage is Stage.HOME:
            return self._serving.target(flow, segment, answer.service, now)
        if flow.state is FlowState.HALF_OPEN and segment.flags & SYN:
            self._serving.syn_answered(flow, segment, now)
        return self._tell_home(flow) or self._serving.target(flow, segment, answer.service, now)

    def _tell_home(self, flow: Flow) -> list[FlowEffect]:
        """Hand a packet to its home with the flow's target, or nothing if it has no number."""
        tag = self._routes.tags.tag(flow.target)
        home = flow.homes.rank(flow.digest).home
        return [Relay(home, Stage.FOUND, tag)] if tag != NO_TAG else []

    def _syn(
        self, event: SegmentArrived, key: FlowKey, flow: Flow | None, route: KindRoute, now: float
    ) -> list[FlowEffect]:
        if event.stage <= Stage.HOME:
            home = self._keeper.homes.rank(self._keeper.digest(key)).home
            if home != self._name:
                stage = Stage.HOME if event.stage is Stage.FABRIC else Stage.SECOND
                return [Relay(home, stage)]
        if flow is None and not self._routes.is_current(event.segment.destination):
            return refuse(event.segment, StartReason.WITHDRAWN)
        return self._opener.syn(event, key, route, now)

    def _unknown_to_home(
        self, event: SegmentArrived, key: FlowKey, flow: Flow | None, now: float
    ) -> list[FlowEffect]:
        """Decide on a segment that this host's flow, if it has one, does not expect."""
        rank = self._keeper.homes.rank(self._keeper.digest(key))
        if event.stage is Stage.FABRIC and rank.home != self._name:
            return [Relay(rank.home, Stage.HOME)]
        reply = self._lookup.reply(event, key, now)
        if reply is not None:
            return self._carry_on(event.segment, reply, now)
        if flow is not None and self._keeper.is_home(flow):
            stray = self._stray(event.segment, flow, now)
            if stray:
                return stray
        looked = self._look_up(event, key, flow, now)
        if looked is not None:
            return self._carry_on(event.segment, looked, now)
        hop = next_hop(self._name, rank, event.stage)
        if hop is not None and hop.stage is Stage.SECOND and not self._lookups.take(1, now):
            return [Drop(DropReason.TOO_MANY_LOOKUPS)]
        if hop is not None:
            return [Relay(hop.host, hop.stage)]
        return self._carry_on(event.segment, self._lookup.unknown(event, key, now), now)

    def _look_up(
        self, event: SegmentArrived, key: FlowKey, flow: Flow | None, now: float
    ) -> Looked | None:
        if event.stage is Stage.FOUND:
            return self._lookup.found(event, key, now)
        return self._lookup.pinned(event, key, now) if flow is None else None

    def _carry_on(self, segment: Segment, looked: Looked, now: float) -> list[FlowEffect]:
        flow = looked.flow
        if flow is None:
            return looked.effects
        if segment.source == (flow.key.caller, flow.key.caller_port):
            served = self._serving.caller(flow, segment, now)
        else:
            service = Endpoint(flow.key.service, flow.key.service_port)
            served = self._serving.target(flow, segment, service, now)
        return served + looked.effects

    def _stray(self, segment: Segment, flow: Flow, now: float) -> list[FlowEffect]:
        """Return what happens to a segment of another incarnation; nothing if that is open."""
        if segment.source == (flow.key.caller, flow.key.caller_port):
            return self._stale(flow, DropReason.OLD_INCARNATION, now)
        answer = self._routes.answer(segment.source)
        if answer is not None and answer.target in flow.abandoned:
            return [Drop(DropReason.ABANDONED_TARGET), *_forget_there(segment)]
        is_other = segment.source != flow.endpoint
        if flow.state is not FlowState.HALF_OPEN:
            reason = DropReason.OTHER_TARGET if is_other else DropReason.OLD_INCARNATION
            return self._stale(flow, reason, now)
        if (segment.ack - flow.caller_floor) & SEQUENCE_MASK < WINDOW_BYTES:
            return []
        forgotten = [] if is_other else _forget_there(segment)
        return [Drop(DropReason.OLD_INCARNATION), *forgotten]

    def _stale(self, flow: Flow, reason: DropReason, now: float) -> list[FlowEffect]:
        if flow.state is FlowState.HALF_OPEN or now - flow.last_seen > RECENT_SECONDS:
            return []
        return [Drop(reason)]


def _forget_there(segment: Segment) -> list[FlowEffect]:
    """Return the reset with which a caller answers a segment that it does not expect."""
    if segment.flags & RST:
        return []
    return [Reset(segment.destination, segment.source, segment.ack, 0, RST)]
