"""Opens flows: admission, target selection, and retries until a target accepts the SYN."""

from __future__ import annotations

import enum

from .._admission.policy import AdmissionPolicy, Refused
from .._admission.retry_budget import RetryBudget
from .._routing.health import HealthTracker
from .._routing.loads import LoadTracker
from .._routing.placement import PlacementPolicy
from .._routing.view import KindRoute
from ..types import Endpoint, FlowKey, TargetName, Verdict
from .routes import RouteTable
from .store import FlowStore
from .table import Flow, FlowState
from .types import (
    ACK,
    RST,
    SEQUENCE_MASK,
    Drop,
    DropReason,
    FlowEffect,
    Resend,
    Reset,
    Segment,
    SegmentArrived,
    ToCaller,
    ToTarget,
    VerdictReached,
)
from .usage import UsageTracker
from .verdicts import make_verdict

SYN_RETRY_INTERVAL_SECONDS = 0.5
# A flow is retried for this long after its first SYN. It is then refused, or, if the set of hosts
# changed recently, once the set is stable again.
SYN_TIMEOUT_SECONDS = 3.0
_MAX_CHOICES_PER_RETRY = 4


class StartReason(enum.StrEnum):
    """Why a flow was not opened; used as a metric label."""

    NO_TARGET = "no_target"
    REFUSED_BY_TARGET = "refused_by_target"
    UNANSWERED = "unanswered"
    WITHDRAWN = "withdrawn"


class FlowOpener:
    """Handles SYNs and half-open flows.

    :param store: adds and changes the flows.
    :param usage_tracker: determines which half-open flows have expired.
    :param admission: admits or refuses new flows.
    :param placement: selects the targets of new flows.
    :param health: receives what this host observes of targets.
    """

    def __init__(
        self,
        store: FlowStore,
        routes: RouteTable,
        usage_tracker: UsageTracker,
        loads: LoadTracker,
        admission: AdmissionPolicy,
        placement: PlacementPolicy,
        health: HealthTracker,
    ) -> None:
        self._store = store
        self._routes = routes
        self._usage_tracker = usage_tracker
        self._loads = loads
        self._admission = admission
        self._placement = placement
        self._health = health
        self._retry_budget = RetryBudget()

    def handle_syn(
        self, event: SegmentArrived, key: FlowKey, route: KindRoute, now: float
    ) -> list[FlowEffect]:
        """Handle a caller's SYN at the flow's home."""
        segment = event.segment
        flow = self._store.table.get(key)
        if flow is None:
            return self._open(event, key, route, None, now)
        if flow.caller_isn == segment.seq:
            return self._handle_retransmission(flow, route, now)
        if flow.previous_isn == segment.seq:
            return [Drop(DropReason.OLD_INCARNATION)]
        if flow.may_have_opened_with(segment.seq):
            # The target tells a late copy, which it answers with its numbers, from a new SYN.
            return [ToTarget(flow.endpoint)]
        ended = self._supersede(flow, now)
        return ended + self._open(event, key, route, flow.caller_isn, now)

    def handle_refusal(self, flow: Flow, now: float) -> list[FlowEffect]:
        """Handle a target's reset in answer to a SYN."""
        self._health.record_syn_failed(flow.target, now)
        retry = self._retry(flow, now)
        if retry:
            return [Drop(DropReason.REFUSAL_RETRIED), *retry]
        self._store.close(flow, now)
        service = Endpoint(flow.key.service, flow.key.service_port)
        return [ToCaller(service), make_verdict(flow, StartReason.REFUSED_BY_TARGET)]

    def tick(self, now: float) -> list[FlowEffect]:
        """Retry or refuse flows whose SYN is unanswered, and remove expired half-open flows."""
        effects: list[FlowEffect] = []
        for flow in self._due_flows(now):
            effects += self._retry_or_refuse(flow, now)
        for key in self._usage_tracker.expired(now):
            expired = self._store.table.get(key)
            if expired is not None:
                self._store.remove(expired, now)
        return effects

    def _handle_retransmission(self, flow: Flow, route: KindRoute, now: float) -> list[FlowEffect]:
        """Forward a repeated SYN.

        A half-open flow leaves a target that its service doesn't have, as after a release note that
        gives the address and port to another service.
        """
        if flow.state is FlowState.CLOSED:
            return [Drop(DropReason.OLD_INCARNATION)]
        if flow.state is FlowState.HALF_OPEN and flow.target not in route.endpoints:
            endpoint = self._move(flow, now)
            return [Drop(DropReason.NO_TARGET) if endpoint is None else ToTarget(endpoint)]
        return [ToTarget(flow.endpoint)]

    def _open(
        self,
        event: SegmentArrived,
        key: FlowKey,
        route: KindRoute,
        previous_isn: int | None,
        now: float,
    ) -> list[FlowEffect]:
        segment = event.segment
        outcome = self._admission.decide(route, self._loads, now)
        if isinstance(outcome, Refused):
            return refuse(segment, outcome.reason)
        flow_hash = self._store.hash_of(key)
        target = self._placement.choose(route, flow_hash, 0, self._loads, now)
        if target is None:
            return refuse(segment, StartReason.NO_TARGET)
        endpoint = route.endpoints[target]
        flow, evicted = self._store.open(route, key, target, endpoint, now)
        flow.record_syn(segment, previous_isn)
        flow.syn_packet = b"" if segment.payload else event.packet
        self._store.table.unanswered_syns[key] = flow
        self._retry_budget.record_attempt()
        if evicted is not None:
            self._store.remove(evicted, now)
        return [ToTarget(endpoint)]

    def _supersede(self, flow: Flow, now: float) -> list[FlowEffect]:
        """End the earlier incarnation; its target is reset before it receives the new SYN."""
        if flow.state is FlowState.CLOSED:
            self._store.remove(flow, now)
            return []
        verdict = make_verdict(flow, "superseded")
        self._store.remove(flow, now)
        return [reset_target(flow, flow.endpoint), verdict]

    def _due_flows(self, now: float) -> list[Flow]:
        """Return the flows with an overdue SYN; stop the SYN timer of those with another home."""
        due = []
        for flow in self._store.table.unanswered_syns.values():
            if now - flow.syn_sent_at < SYN_RETRY_INTERVAL_SECONDS:
                break
            due.append(flow)
        for flow in due:
            if not self._store.update_home(flow):
                del self._store.table.unanswered_syns[flow.key]
        return [flow for flow in due if self._store.update_home(flow)]

    def _retry_or_refuse(self, flow: Flow, now: float) -> list[FlowEffect]:
        self._health.record_syn_failed(flow.target, now)
        if now - flow.opened_at < SYN_TIMEOUT_SECONDS or not self._store.is_membership_stable(now):
            retry = self._retry(flow, now)
            if not retry:
                self._restart_timer(flow, now)
            return retry
        caller = Endpoint(flow.key.caller, flow.key.caller_port)
        service = Endpoint(flow.key.service, flow.key.service_port)
        self._store.close(flow, now)
        return [
            Reset(service, caller, 0, flow.caller_next, RST | ACK),
            make_verdict(flow, StartReason.UNANSWERED),
        ]

    def _retry(self, flow: Flow, now: float) -> list[FlowEffect]:
        """Send a flow's SYN to another target; return nothing if that is not possible now."""
        endpoint = self._move(flow, now)
        return [] if endpoint is None else [Resend(flow.syn_packet, endpoint)]

    def _move(self, flow: Flow, now: float) -> Endpoint | None:
        """Move a flow to another target; return its endpoint, ``None`` if that is not possible now.

        The former target is reset only when its late answer arrives here: until then, that answer
        may have reached the caller through another home and completed the handshake.
        """
        if not flow.syn_packet or now - flow.opened_at >= SYN_TIMEOUT_SECONDS:
            return None
        if not self._store.is_membership_stable(now):
            return None
        target = self._next_target(flow, now)
        if target is None:
            return None
        endpoint = self._routes.endpoint(Endpoint(flow.key.service, flow.key.service_port), target)
        if endpoint is None or not self._retry_budget.try_spend():
            return None
        self._store.move(flow, target, endpoint)
        self._restart_timer(flow, now)
        return endpoint

    def _restart_timer(self, flow: Flow, now: float) -> None:
        unanswered = self._store.table.unanswered_syns
        flow.syn_sent_at = now
        unanswered.pop(flow.key, None)
        unanswered[flow.key] = flow

    def _next_target(self, flow: Flow, now: float) -> TargetName | None:
        route = self._routes.route(Endpoint(flow.key.service, flow.key.service_port))
        if route is None:
            return None
        tried = (*flow.abandoned_targets, flow.target)
        for _ in range(_MAX_CHOICES_PER_RETRY):
            flow.attempt += 1
            target = self._placement.choose(route, flow.flow_hash, flow.attempt, self._loads, now)
            if target is not None and target not in tried:
                return target
        return None


def reset_target(flow: Flow, endpoint: Endpoint) -> Reset:
    """Return the reset that ends a flow at a target."""
    caller = Endpoint(flow.key.caller, flow.key.caller_port)
    return Reset(caller, endpoint, flow.caller_next, flow.target_next, RST | ACK)


def reset_caller(flow: Flow) -> Reset:
    """Return the reset that ends a flow at the caller."""
    caller = Endpoint(flow.key.caller, flow.key.caller_port)
    service = Endpoint(flow.key.service, flow.key.service_port)
    return Reset(service, caller, flow.target_next, flow.caller_next, RST | ACK)


def refuse(segment: Segment, reason: str) -> list[FlowEffect]:
    """Return the reset that refuses a SYN, and the verdict."""
    key = FlowKey(*segment.source, *segment.destination)
    ack = (segment.seq + 1) & SEQUENCE_MASK
    return [
        Reset(segment.destination, segment.source, 0, ack, RST | ACK),
        VerdictReached(key, "", Verdict.NOT_RUN, reason),
    ]
