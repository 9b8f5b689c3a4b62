"""Sends keep-alive probes on idle flows and resets flows that no longer get through.

A device between caller and target may drop the state of a flow while new flows still pass. Idle
flows are therefore probed towards both endpoints. If a target does not answer the caller's
retransmitted payload or several probes on one flow while it answers other flows, the flow is reset
towards both endpoints, so that the caller reconnects at once.
"""

from __future__ import annotations

from collections.abc import Iterator

from .._routing.health import HealthTracker
from ..types import Endpoint, FlowKey, TargetName
from .handshake import reset_caller, reset_target
from .store import FlowStore
from .table import Flow, FlowState
from .types import SEQUENCE_MASK, FlowEffect, Probe
from .verdicts import make_verdict

UNANSWERED_PAYLOAD_TIMEOUT_SECONDS = 3.0
KEEP_ALIVE_INTERVAL_SECONDS = 30.0
MAX_UNANSWERED_PROBES = 3
FLOW_IDLE_TIMEOUT_SECONDS = 6 * 3600.0  # a flow is then removed without a reset
FORMER_HOME_TIMEOUT_SECONDS = 60.0  # how long a former home tracks an idle flow
MIN_SCAN_INTERVAL_SECONDS = 5.0
MAX_PROBED_FLOWS_PER_TICK = 50
MAX_SCANNED_FLOWS_PER_TICK = 4000


class LivenessMonitor:
    """Scans the flow table for idle and unresponsive flows, a part of it on each tick.

    :param health: receives what this host observes of targets.
    """

    def __init__(self, store: FlowStore, health: HealthTracker) -> None:
        self._store = store
        self._health = health
        self._answered_at: dict[TargetName, float] = {}
        self._scan: Iterator[FlowKey] = iter(())
        self._scan_started_at = 0.0

    def record_answer(self, target: TargetName, now: float) -> None:
        """Record that a target answered a SYN or a request."""
        self._answered_at[target] = now

    def tick(self, now: float) -> list[FlowEffect]:
        """Reset flows that no longer get through, and probe idle flows."""
        resets = self._end_unresponsive_flows(now) if self._store.is_membership_stable(now) else []
        return resets + self._check_idle_flows(now)

    def _end_unresponsive_flows(self, now: float) -> list[FlowEffect]:
        due = []
        for flow in self._store.table.waiting.values():
            if (
                flow.waiting_since is None
                or now - flow.waiting_since < UNANSWERED_PAYLOAD_TIMEOUT_SECONDS
            ):
                break
            due.append(flow)
        return [
            effect
            for flow in due
            if self._is_unresponsive(flow)
            for effect in self._end_flow(flow, now)
        ]

    def _is_unresponsive(self, flow: Flow) -> bool:
        if not self._store.update_home(flow) or flow.waiting_since is None:
            return False
        return flow.retransmissions > 0 and self._has_target_answered_since(
            flow, flow.waiting_since
        )

    def _check_idle_flows(self, now: float) -> list[FlowEffect]:
        effects: list[FlowEffect] = []
        probed_count = 0
        for _ in range(MAX_SCANNED_FLOWS_PER_TICK):
            key = next(self._scan, None)
            if key is None:
                self._restart_scan(now)
                break
            flow = self._store.table.get(key)
            if flow is None or flow.state is not FlowState.ESTABLISHED:
                continue
            found = self._check_idle(flow, now)
            effects += found
            probed_count += bool(found)
            if probed_count >= MAX_PROBED_FLOWS_PER_TICK:
                break
        return effects

    def _restart_scan(self, now: float) -> None:
        if now - self._scan_started_at >= MIN_SCAN_INTERVAL_SECONDS:
            self._scan_started_at = now
            self._scan = iter(self._store.table.keys())

    def _check_idle(self, flow: Flow, now: float) -> list[FlowEffect]:
        idle = now - flow.last_seen
        if not self._store.update_home(flow):
            if idle > FORMER_HOME_TIMEOUT_SECONDS:
                self._store.remove(flow, now)
            return []
        if idle > FLOW_IDLE_TIMEOUT_SECONDS:
            self._store.remove(flow, now)
            return []
        if now - max(flow.last_seen, flow.probed_at) < KEEP_ALIVE_INTERVAL_SECONDS:
            return []
        if flow.unanswered_probes >= MAX_UNANSWERED_PROBES and self._has_target_answered_since(
            flow, flow.probed_at
        ):
            return self._end_flow(flow, now)
        return self._probe(flow, now)

    def _probe(self, flow: Flow, now: float) -> list[FlowEffect]:
        flow.unanswered_probes += 1
        flow.probed_at = now
        caller = Endpoint(flow.key.caller, flow.key.caller_port)
        service = Endpoint(flow.key.service, flow.key.service_port)
        before_caller = (flow.caller_next - 1) & SEQUENCE_MASK
        before_target = (flow.target_next - 1) & SEQUENCE_MASK
        return [
            Probe(caller, flow.endpoint, before_caller, flow.target_next),
            Probe(service, caller, before_target, flow.caller_next),
        ]

    def _has_target_answered_since(self, flow: Flow, since: float) -> bool:
        return self._answered_at.get(flow.target, 0.0) > since

    def _end_flow(self, flow: Flow, now: float) -> list[FlowEffect]:
        self._health.record_unresponsive_flow(flow.target, now)
        self._store.close(flow, now)
        return [
            reset_caller(flow),
            reset_target(flow, flow.endpoint),
            make_verdict(flow, "silent"),
        ]
