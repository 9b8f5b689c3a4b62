"""Forwards the segments of known flows and updates the flows' state from them."""

from __future__ import annotations

from .._routing.health import HealthTracker
from ..types import Endpoint
from .handshake import FlowOpener
from .liveness import LivenessMonitor
from .store import FlowStore
from .table import CALLER_FIN, TARGET_FIN, Flow, FlowState
from .types import FIN, RST, SYN, FlowEffect, Segment, ToCaller, ToTarget
from .verdicts import make_verdict


class FlowForwarder:
    """Handles segments that belong to a known flow.

    :param opener: handles refused SYNs.
    :param liveness: is notified when a target answers.
    :param health: receives what this host observes of targets.
    """

    def __init__(
        self, store: FlowStore, opener: FlowOpener, liveness: LivenessMonitor, health: HealthTracker
    ) -> None:
        self._store = store
        self._opener = opener
        self._liveness = liveness
        self._health = health

    def forward_from_caller(self, flow: Flow, segment: Segment, now: float) -> list[FlowEffect]:
        """Forward a segment of the caller to the target."""
        flow.last_seen = now
        if segment.flags & RST:
            return self._handle_caller_reset(flow, now)
        if flow.state is FlowState.HALF_OPEN:
            self._store.establish(flow, now)
        if flow.record_caller_ack(segment.ack) and flow.waiting_since is not None:
            self._store.stop_waiting(flow)
        if flow.state is FlowState.CLOSED:
            return [ToTarget(flow.endpoint)]
        if segment.payload:
            self._store.record_request(flow, segment, now)
        if segment.flags & FIN and flow.record_fin(CALLER_FIN):
            self._store.close(flow, now)
        return [ToTarget(flow.endpoint)]

    def _handle_caller_reset(self, flow: Flow, now: float) -> list[FlowEffect]:
        effects: list[FlowEffect] = [ToTarget(flow.endpoint)]
        if flow.state is FlowState.HALF_OPEN or flow.usage.is_busy:
            effects.append(make_verdict(flow, "cancelled"))
        self._store.close(flow, now)
        return effects

    def forward_from_target(
        self, flow: Flow, segment: Segment, service: Endpoint, now: float
    ) -> list[FlowEffect]:
        """Forward a segment of the target to the caller.

        :param service: the service endpoint to which the caller connected.
        """
        flow.last_seen = now
        flow.unanswered_probes = 0
        if segment.flags & RST:
            return self._handle_target_reset(flow, service, now)
        if flow.state is FlowState.HALF_OPEN and segment.flags & SYN:
            self.record_syn_ack(flow, segment, now)
        flow.record_target_ack(segment.ack)
        if flow.waiting_since is not None:
            self._store.stop_waiting(flow)
        if flow.state is FlowState.CLOSED:
            return [ToCaller(service)]
        if segment.payload:
            self._liveness.record_answer(flow.target, now)
            self._store.record_response(flow, now)
        if segment.flags & FIN and flow.record_fin(TARGET_FIN):
            self._store.close(flow, now)
        return [ToCaller(service)]

    def record_syn_ack(self, flow: Flow, segment: Segment, now: float) -> None:
        """Record the target's SYN-ACK, which also shows that the target is healthy."""
        flow.record_syn_ack(segment)
        self._store.table.unanswered_syns.pop(flow.key, None)
        self._health.record_syn_answered(flow.target, now)
        self._liveness.record_answer(flow.target, now)

    def _handle_target_reset(self, flow: Flow, service: Endpoint, now: float) -> list[FlowEffect]:
        if flow.state is FlowState.CLOSED:
            return [ToCaller(service)]
        if flow.state is FlowState.HALF_OPEN and flow.target_isn is None:
            return self._opener.handle_refusal(flow, now)
        self._store.close(flow, now)
        return [ToCaller(service), make_verdict(flow, "reset_by_target")]
