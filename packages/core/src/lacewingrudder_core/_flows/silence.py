"""Keeps idle flows fresh and finds those that went silent for good.

Something between the two ends may forget a flow while new flows pass. Idle flows are therefore
probed at both ends; a flow whose target leaves the caller's payload or several probes unanswered,
while the same target answers others, is reset at both ends so that the caller comes back at once.
"""

from __future__ import annotations

from collections.abc import Iterator

from .._routing.health import HealthTracker
from ..types import Endpoint, FlowKey, TargetName
from .handshake import reset_caller, reset_target
from .keeper import FlowKeeper
from .table import Flow, FlowState
from .types import SEQUENCE_MASK, FlowEffect, Probe
from .verdicts import verdict_on

SILENT_SECONDS = 3.0
KEEP_ALIVE_SECONDS = 30.0
KEEP_ALIVE_PROBES = 3
FLOW_IDLE_SECONDS = 6 * 3600.0
FORMER_SECONDS = 60.0
SWEEP_SECONDS = 5.0
PROBES_PER_TICK = 50
FLOWS_PER_TICK = 4000


class SilenceWatch:
    """Looks through the flow table, a part at a time.

    :param health: takes evidence on targets.
    """

    def __init__(self, keeper: FlowKeeper, health: HealthTracker) -> None:
        self._keeper = keeper
        self._health = health
        self._answered: dict[TargetName, float] = {}
        self._sweep: Iterator[FlowKey] = iter(())
        self._swept_at = 0.0

    def answered(self, target: TargetName, now: float) -> None:
        """Take note that a target answered a SYN or a request."""
        self._answered[target] = now

    def tick(self, now: float) -> list[FlowEffect]:
        """Return probes and resets that are due."""
        silent = self._unanswered(now) if self._keeper.is_settled(now) else []
        return silent + self._idle(now)

    def _unanswered(self, now: float) -> list[FlowEffect]:
        due = []
        for flow in self._keeper.table.waiting.values():
            if flow.asked_at is None or now - flow.asked_at < SILENT_SECONDS:
                break
            due.append(flow)
        return [effect for flow in due if self._is_silent(flow) for effect in self._end(flow, now)]

    def _is_silent(self, flow: Flow) -> bool:
        if not self._keeper.is_home(flow) or flow.asked_at is None:
            return False
        return flow.resent > 0 and self._answers_others(flow, flow.asked_at)

    def _idle(self, now: float) -> list[FlowEffect]:
        effects: list[FlowEffect] = []
        probes = 0
        for _ in range(FLOWS_PER_TICK):
            key = next(self._sweep, None)
            if key is None:
                self._restart(now)
                break
            flow = self._keeper.table.get(key)
            if flow is None or flow.state is not FlowState.ESTABLISHED:
                continue
            found = self._look(flow, now)
            effects += found
            probes += bool(found)
            if probes >= PROBES_PER_TICK:
                break
        return effects

    def _restart(self, now: float) -> None:
        if now - self._swept_at >= SWEEP_SECONDS:
            self._swept_at = now
            self._sweep = iter(self._keeper.table.keys())

    def _look(self, flow: Flow, now: float) -> list[FlowEffect]:
        idle = now - flow.last_seen
        if not self._keeper.is_home(flow):
            if idle > FORMER_SECONDS:
                self._keeper.forget(flow, now)
            return []
        if idle > FLOW_IDLE_SECONDS:
            self._keeper.forget(flow, now)
            return []
        if now - max(flow.last_seen, flow.probed_at) < KEEP_ALIVE_SECONDS:
            return []
        if flow.probes >= KEEP_ALIVE_PROBES and self._answers_others(flow, flow.probed_at):
            return self._end(flow, now)
        return self._probe(flow, now)

    def _probe(self, flow: Flow, now: float) -> list[FlowEffect]:
        flow.probes += 1
        flow.probed_at = now
        caller = Endpoint(flow.key.caller, flow.key.caller_port)
        service = Endpoint(flow.key.service, flow.key.service_port)
        before_caller = (flow.caller_next - 1) & SEQUENCE_MASK
        before_target = (flow.target_next - 1) & SEQUENCE_MASK
        return [
            Probe(caller, flow.endpoint, before_caller, flow.target_next),
            Probe(service, caller, before_target, flow.caller_next),
        ]

    def _answers_others(self, flow: Flow, since: float) -> bool:
        return self._answered.get(flow.target, 0.0) > since

    def _end(self, flow: Flow, now: float) -> list[FlowEffect]:
        self._health.silent(flow.target, now)
        self._keeper.close(flow, now)
        return [
            reset_caller(flow),
            reset_target(flow, flow.endpoint),
            verdict_on(flow, "silent"),
        ]
