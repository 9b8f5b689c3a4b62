"""The packet path: which entry host serves a flow and which target its packets go to.

All packets of a flow go to the flow's home, which alone decides about it. A home that does not know
the flow of a packet relays the packet to the hosts that may have served the flow before, and
finally probes the targets. Only a SYN may select a target.
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
from .forwarding import FlowForwarder
from .handshake import FlowOpener, StartReason, refuse, reset_caller
from .liveness import LivenessMonitor
from .lookup import FlowLookup, LookupResult
from .relaying import next_hop
from .routes import RouteTable
from .store import FlowStore
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
from .usage import UsageTracker
from .verdicts import make_verdict

# The state of a flow that is not half-open is assumed up to date for this long after its last
# segment.
RECENT_ACTIVITY_SECONDS = 5.0
MAX_LOOKUPS_PER_SECOND = 2_000.0  # relays to other hosts to find unknown flows
TARGET_MOVED = "target_moved"


class FlowCore(Core[FlowEvent, FlowEffect]):
    """Serves the flows whose home is this host and relays the packets of all others.

    :param name: the name of this host.
    :param view: the initial routing view.
    :param admission: admits or refuses new flows.
    :param placement: selects the targets of new flows.
    :param health: receives what this host observes of targets.
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
        usage_tracker = UsageTracker(admission, loads)
        self._routes = RouteTable(view)
        self._store = FlowStore(name, view, usage_tracker)
        self._table = self._store.table
        self._opener = FlowOpener(
            self._store, self._routes, usage_tracker, loads, admission, placement, health
        )
        self._lookup = FlowLookup(self._store, self._routes)
        self._lookup_budget = TokenBucket(MAX_LOOKUPS_PER_SECOND, MAX_LOOKUPS_PER_SECOND)
        self._liveness = LivenessMonitor(self._store, health)
        self._forwarder = FlowForwarder(self._store, self._opener, self._liveness, health)

    @property
    def flow_count(self) -> int:
        """How many flows this host tracks."""
        return len(self._table)

    @property
    def pin_count(self) -> int:
        """How many flows whose home is this host are pinned."""
        return self._store.pins.own_count

    @property
    def targets_in_use(self) -> frozenset[TargetName]:
        """The targets of the open flows that this host tracks."""
        return self._loads.in_use

    def handle(self, event: FlowEvent, now: float) -> list[FlowEffect]:
        """Handle one event.

        An effect that carries no packet applies to the packet of the event.
        """
        if isinstance(event, SegmentArrived):
            return self._handle_segment(event, now)
        if isinstance(event, FlowTick):
            return self._tick(now)
        if isinstance(event, PinsReceived):
            self._store.pins.receive(event.pins)
            return []
        if isinstance(event, LeaveRequested):
            return self._leave(now)
        return self._change_view(event.view, now)

    def _tick(self, now: float) -> list[FlowEffect]:
        effects = self._opener.tick(now) + self._lookup.tick(now) + self._liveness.tick(now)
        return effects + list(self._store.tick(now))

    def _change_view(self, view: RoutingView, now: float) -> list[FlowEffect]:
        moved_endpoints = self._routes.update(view, now)
        homes, known = view.homes, self._store.homes
        if homes.members == known.members and not homes.restarted_since(known):
            homes = known
        elif self._is_leaving and len(homes.members) > 1:
            homes = homes.without(self._name)
        self._store.change_view(view, homes, now)
        return self._end_moved_flows(moved_endpoints, now) if moved_endpoints else []

    def _end_moved_flows(
        self, moved_endpoints: frozenset[Endpoint], now: float
    ) -> list[FlowEffect]:
        """End the flows on target endpoints that now belong to another service endpoint.

        The flows' packets must not reach the other service or kind of work.
        """
        effects: list[FlowEffect] = []
        for flow in list(map(self._table.get, self._table.keys())):
            if flow is None or flow.endpoint not in moved_endpoints:
                continue
            self._store.remove(flow, now)
            if flow.state is not FlowState.CLOSED:
                effects += [reset_caller(flow), make_verdict(flow, TARGET_MOVED)]
        return effects

    def _leave(self, now: float) -> list[FlowEffect]:
        self._is_leaving = True
        homes = self._store.homes
        if len(homes.members) > 1:
            self._store.change_homes(homes.without(self._name), now)
        return [Replicate(due.host, due.pins) for due in self._store.pins.flush()]

    def _handle_segment(self, event: SegmentArrived, now: float) -> list[FlowEffect]:
        segment = event.segment
        route = self._routes.route(segment.destination)
        if route is not None:
            return self._handle_from_caller(event, route, now)
        target_route = self._routes.target_route(segment.source)
        if target_route is not None:
            return self._handle_from_target(event, target_route, now)
        return [Drop(DropReason.FOREIGN)]

    def _handle_from_caller(
        self, event: SegmentArrived, route: KindRoute, now: float
    ) -> list[FlowEffect]:
        segment = event.segment
        key = FlowKey(*segment.source, *segment.destination)
        flow = self._table.get(key)
        if segment.flags & (SYN | ACK) == SYN:
            return self._handle_syn(event, key, flow, route, now)
        if flow is None or not flow.expects_from_caller(segment):
            return self._handle_unmatched(event, key, flow, now)
        if self._store.update_home(flow) or event.stage is Stage.HOME:
            return self._forwarder.forward_from_caller(flow, segment, now)
        return self._relay_to_home(flow) or self._forwarder.forward_from_caller(flow, segment, now)

    def _handle_from_target(
        self, event: SegmentArrived, target_route: TargetRoute, now: float
    ) -> list[FlowEffect]:
        segment = event.segment
        key = FlowKey(*segment.destination, *target_route.service)
        flow = self._table.get(key)
        if flow is None or not flow.expects_from_target(segment):
            return self._handle_unmatched(event, key, flow, now)
        if self._store.update_home(flow) or event.stage is Stage.HOME:
            return self._forwarder.forward_from_target(flow, segment, target_route.service, now)
        if flow.state is FlowState.HALF_OPEN and segment.flags & SYN:
            self._forwarder.record_syn_ack(flow, segment, now)
        return self._relay_to_home(flow) or self._forwarder.forward_from_target(
            flow, segment, target_route.service, now
        )

    def _relay_to_home(self, flow: Flow) -> list[FlowEffect]:
        """Relay a packet to the flow's home, with the target's tag.

        The result is empty if the target has no tag.
        """
        tag = self._routes.tags.tag(flow.target)
        home = flow.homes.rank(flow.flow_hash).home
        return [Relay(home, Stage.FOUND, tag)] if tag != NO_TAG else []

    def _handle_syn(
        self, event: SegmentArrived, key: FlowKey, flow: Flow | None, route: KindRoute, now: float
    ) -> list[FlowEffect]:
        if event.stage <= Stage.HOME:
            home = self._store.homes.rank(self._store.hash_of(key)).home
            if home != self._name:
                stage = Stage.HOME if event.stage is Stage.FABRIC else Stage.BACKUP
                return [Relay(home, stage)]
        if flow is None and not self._routes.is_current(event.segment.destination):
            return refuse(event.segment, StartReason.WITHDRAWN)
        return self._opener.handle_syn(event, key, route, now)

    def _handle_unmatched(
        self, event: SegmentArrived, key: FlowKey, flow: Flow | None, now: float
    ) -> list[FlowEffect]:
        """Handle a segment whose flow is unknown here, or whose sequence numbers are unexpected."""
        rank = self._store.homes.rank(self._store.hash_of(key))
        if event.stage is Stage.FABRIC and rank.home != self._name:
            return [Relay(rank.home, Stage.HOME)]
        reply = self._lookup.handle_probe_reply(event, key, now)
        if reply is not None:
            return self._forward_found(event.segment, reply, now)
        if flow is not None and self._store.update_home(flow):
            rejected = self._reject_unexpected(event.segment, flow, now)
            if rejected:
                return rejected
        result = self._look_up(event, key, flow, now)
        if result is not None:
            return self._forward_found(event.segment, result, now)
        hop = next_hop(self._name, rank, event.stage)
        if hop is not None and hop.stage is Stage.BACKUP and not self._lookup_budget.take(1, now):
            return [Drop(DropReason.TOO_MANY_LOOKUPS)]
        if hop is not None:
            return [Relay(hop.host, hop.stage)]
        return self._forward_found(event.segment, self._lookup.handle_unknown(event, key, now), now)

    def _look_up(
        self, event: SegmentArrived, key: FlowKey, flow: Flow | None, now: float
    ) -> LookupResult | None:
        if event.stage is Stage.FOUND:
            return self._lookup.take_over_reported(event, key, now)
        return self._lookup.take_over_pinned(event, key, now) if flow is None else None

    def _forward_found(
        self, segment: Segment, result: LookupResult, now: float
    ) -> list[FlowEffect]:
        flow = result.flow
        if flow is None:
            return result.effects
        if segment.source == (flow.key.caller, flow.key.caller_port):
            forwarded = self._forwarder.forward_from_caller(flow, segment, now)
        else:
            service = Endpoint(flow.key.service, flow.key.service_port)
            forwarded = self._forwarder.forward_from_target(flow, segment, service, now)
        return forwarded + result.effects

    def _reject_unexpected(self, segment: Segment, flow: Flow, now: float) -> list[FlowEffect]:
        """Return the effects for a segment of another incarnation of the flow.

        The result is empty if the segment does not show which incarnation is the current one.
        """
        if segment.source == (flow.key.caller, flow.key.caller_port):
            return self._drop_if_active(flow, DropReason.OLD_INCARNATION, now)
        if segment.flags & SYN and self._is_abandoned(segment.source, flow):
            return [Drop(DropReason.ABANDONED_TARGET), *_reset_sender(segment)]
        is_other = segment.source != flow.endpoint
        if flow.state is not FlowState.HALF_OPEN:
            reason = DropReason.OTHER_TARGET if is_other else DropReason.OLD_INCARNATION
            return self._drop_if_active(flow, reason, now)
        if (segment.ack - flow.caller_floor) & SEQUENCE_MASK < WINDOW_BYTES:
            return []
        resets = [] if is_other else _reset_sender(segment)
        return [Drop(DropReason.OLD_INCARNATION), *resets]

    def _is_abandoned(self, endpoint: Endpoint, flow: Flow) -> bool:
        """Return whether a target left the flow's SYN unanswered.

        Only its late answer to that shows that it does not hold the flow: a host that opens the
        flow by a late copy of the SYN may abandon the target that holds it.
        """
        target_route = self._routes.target_route(endpoint)
        return target_route is not None and target_route.target in flow.abandoned_targets

    def _drop_if_active(self, flow: Flow, reason: DropReason, now: float) -> list[FlowEffect]:
        """Return a drop if the flow was active recently; nothing if its state may be outdated."""
        if not flow.was_open or now - flow.last_seen > RECENT_ACTIVITY_SECONDS:
            return []
        return [Drop(reason)]


def _reset_sender(segment: Segment) -> list[FlowEffect]:
    """Return the reset that a caller would send in answer to an unexpected segment."""
    if segment.flags & RST:
        return []
    return [Reset(segment.destination, segment.source, segment.ack, 0, RST)]
