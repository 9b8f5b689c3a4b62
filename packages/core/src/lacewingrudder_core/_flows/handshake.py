"""How a flow starts: admission, the choice of its target, and retries before the first payload."""

from __future__ import annotations

import enum

from .._admission.policy import AdmissionPolicy, Refused
from .._admission.retry_budget import RetryBudget
from .._routing.health import HealthTracker
from .._routing.loads import LoadTracker
from .._routing.placement import PlacementPolicy
from .._routing.view import KindRoute
from ..types import Endpoint, FlowKey, TargetName, Verdict
from .keeper import FlowKeeper
from .routes import RouteBook
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
from .use import UseBook
from .verdicts import verdict_on

SYN_RETRY_SECONDS = 0.5
SYN_DEADLINE_SECONDS = 3.0
_CHOICES_PER_RETRY = 4


class StartReason(enum.StrEnum):
    """Why a flow did not start; the label of a metric."""

    NO_TARGET = "no_target"
    REFUSED_BY_TARGET = "refused_by_target"
    UNANSWERED = "unanswered"
    WITHDRAWN = "withdrawn"


class Opener:
    """Decides on SYNs and on half-open flows.

    :param keeper: takes in the flows.
    :param uses: knows how long flows have been half open.
    :param admission: decides on new flows.
    :param placement: chooses their targets.
    :param health: takes evidence on targets.
    """

    def __init__(
        self,
        keeper: FlowKeeper,
        routes: RouteBook,
        uses: UseBook,
        loads: LoadTracker,
        admission: AdmissionPolicy,
        placement: PlacementPolicy,
        health: HealthTracker,
    ) -> None:
        self._keeper = keeper
        self._routes = routes
        self._uses = uses
        self._loads = loads
        self._admission = admission
        self._placement = placement
        self._health = health
        self._budget = RetryBudget()

    def syn(
        self, event: SegmentArrived, key: FlowKey, route: KindRoute, now: float
    ) -> list[FlowEffect]:
        """Decide on a caller's SYN at the flow's home."""
        segment = event.segment
        flow = self._keeper.table.get(key)
        if flow is None:
            return self._open(event, key, route, None, now)
        if flow.isn == segment.seq:
            return self._again(flow)
        if flow.previous_isn == segment.seq:
            return [Drop(DropReason.OLD_INCARNATION)]
        ended = self._supersede(flow, now)
        return ended + self._open(event, key, route, flow.isn, now)

    def refused(self, flow: Flow, now: float) -> list[FlowEffect]:
        """Decide on a target's reset in answer to a SYN."""
        self._health.syn_failed(flow.target, now)
        retry = self._retry(flow, now)
        if retry:
            return [Drop(DropReason.REFUSAL_RETRIED), *retry]
        self._keeper.close(flow, now)
        service = Endpoint(flow.key.service, flow.key.service_port)
        return [ToCaller(service), verdict_on(flow, StartReason.REFUSED_BY_TARGET)]

    def tick(self, now: float) -> list[FlowEffect]:
        """Retry or give up half-open flows."""
        effects: list[FlowEffect] = []
        for flow in self._due(now):
            effects += self._unanswered(flow, now)
        for key in self._uses.expired(now):
            late = self._keeper.table.get(key)
            if late is not None:
                self._keeper.forget(late, now)
        return effects

    def _again(self, flow: Flow) -> list[FlowEffect]:
        if flow.state is FlowState.CLOSED:
            return [Drop(DropReason.OLD_INCARNATION)]
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
        digest = self._keeper.digest(key)
        target = self._placement.choose(route, digest, 0, self._loads, now)
        if target is None:
            return refuse(segment, StartReason.NO_TARGET)
        endpoint = route.endpoints[target]
        flow, given_up = self._keeper.open(route, key, target, endpoint, now)
        flow.start(segment, previous_isn)
        flow.syn = b"" if segment.payload else event.packet
        self._keeper.table.unanswered[key] = flow
        self._budget.record_attempt()
        if given_up is not None:
            self._keeper.forget(given_up, now)
        return [ToTarget(endpoint)]

    def _supersede(self, flow: Flow, now: float) -> list[FlowEffect]:
        """End the earlier incarnation; its target is told before it gets the new SYN."""
        if flow.state is FlowState.CLOSED:
            self._keeper.forget(flow, now)
            return []
        verdict = verdict_on(flow, "superseded")
        self._keeper.forget(flow, now)
        return [reset_target(flow, flow.endpoint), verdict]

    def _due(self, now: float) -> list[Flow]:
        due = []
        for flow in self._keeper.table.unanswered.values():
            if now - flow.sent_at < SYN_RETRY_SECONDS:
                break
            due.append(flow)
        for flow in due:
            if not self._keeper.is_home(flow):
                del self._keeper.table.unanswered[flow.key]
        return [flow for flow in due if self._keeper.is_home(flow)]

    def _unanswered(self, flow: Flow, now: float) -> list[FlowEffect]:
        self._health.syn_failed(flow.target, now)
        if now - flow.opened_at < SYN_DEADLINE_SECONDS or not self._keeper.is_settled(now):
            retry = self._retry(flow, now)
            if not retry:
                self._wait(flow, now)
            return retry
        caller = Endpoint(flow.key.caller, flow.key.caller_port)
        service = Endpoint(flow.key.service, flow.key.service_port)
        self._keeper.close(flow, now)
        return [
            Reset(service, caller, 0, flow.caller_next, RST | ACK),
            verdict_on(flow, StartReason.UNANSWERED),
        ]

    def _retry(self, flow: Flow, now: float) -> list[FlowEffect]:
        """Place a flow on another target, or return nothing if that is not possible now.

        The first target is reset when its answer comes after all. It is not reset before: an answer
        that went through another home may have connected the caller.
        """
        if not flow.syn or now - flow.opened_at >= SYN_DEADLINE_SECONDS:
            return []
        if not self._keeper.is_settled(now):
            return []
        target = self._other_target(flow, now)
        if target is None:
            return []
        endpoint = self._routes.endpoint(Endpoint(flow.key.service, flow.key.service_port), target)
        if endpoint is None or not self._budget.try_spend():
            return []
        self._keeper.move(flow, target, endpoint)
        self._wait(flow, now)
        return [Resend(flow.syn, endpoint)]

    def _wait(self, flow: Flow, now: float) -> None:
        unanswered = self._keeper.table.unanswered
        flow.sent_at = now
        unanswered.pop(flow.key, None)
        unanswered[flow.key] = flow

    def _other_target(self, flow: Flow, now: float) -> TargetName | None:
        route = self._routes.route(Endpoint(flow.key.service, flow.key.service_port))
        if route is None:
            return None
        tried = (*flow.abandoned, flow.target)
        for _ in range(_CHOICES_PER_RETRY):
            flow.attempt += 1
            target = self._placement.choose(route, flow.digest, flow.attempt, self._loads, now)
            if target is not None and target not in tried:
                return target
        return None


def reset_target(flow: Flow, endpoint: Endpoint) -> Reset:
    """Return the reset that makes a target forget a flow."""
    caller = Endpoint(flow.key.caller, flow.key.caller_port)
    return Reset(caller, endpoint, flow.caller_next, flow.target_next, RST | ACK)


def reset_caller(flow: Flow) -> Reset:
    """Return the reset that tells a caller that its flow ended."""
    caller = Endpoint(flow.key.caller, flow.key.caller_port)
    service = Endpoint(flow.key.service, flow.key.service_port)
    return Reset(service, caller, flow.target_next, flow.caller_next, RST | ACK)


def refuse(segment: Segment, reason: str) -> list[FlowEffect]:
    """Return the reset that answers a refused SYN, and its verdict."""
    key = FlowKey(*segment.source, *segment.destination)
    ack = (segment.seq + 1) & SEQUENCE_MASK
    return [
        Reset(segment.destination, segment.source, 0, ack, RST | ACK),
        VerdictReached(key, "", Verdict.NOT_RUN, reason),
    ]
