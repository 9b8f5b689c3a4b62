"""Updates the load and admission counters whenever a flow changes its state."""

from __future__ import annotations

from .._admission.policy import AdmissionPolicy
from .._admission.syn_guard import HalfOpenFlows
from .._routing.loads import LoadTracker
from .._routing.view import KindRoute
from ..types import FlowKey, TargetName


class FlowUsage:
    """The state in which one flow is counted; only :class:`UsageTracker` changes it."""

    __slots__ = ("service", "kind", "target", "is_half_open", "is_busy", "busy_since")

    def __init__(self, service: str, kind: str, target: TargetName) -> None:
        self.service = service
        self.kind = kind
        self.target = target
        self.is_half_open = True
        self.is_busy = False
        self.busy_since = 0.0


class UsageTracker:
    """Keeps the load, admission and half-open counters consistent with the flow table.

    :param admission: admits or refuses new flows.
    :param loads: counts flows per target.
    """

    def __init__(self, admission: AdmissionPolicy, loads: LoadTracker) -> None:
        self._admission = admission
        self._loads = loads
        self._half_open = HalfOpenFlows()

    def record_opened(
        self, route: KindRoute, key: FlowKey, target: TargetName, now: float
    ) -> tuple[FlowUsage, FlowKey | None]:
        """Count a new flow.

        :return: the flow's usage, and the half-open flow that has to be evicted for it, if any.
        """
        usage = FlowUsage(route.service, route.kind.name, target)
        self._loads.record_opened(target)
        self._admission.record_opened(route, now)
        return usage, self._half_open.add(usage.service, usage.kind, key, now)

    def record_adopted(
        self, route: KindRoute, key: FlowKey, target: TargetName, now: float
    ) -> FlowUsage:
        """Count a flow that another host served before.

        The flow does not count as waiting for its first request at admission, and adds no sample
        of the target's response time.
        """
        usage, _ = self.record_opened(route, key, target, now)
        self.record_established(usage, key, now)
        self._admission.record_busy(usage.service, usage.kind, now)
        self._admission.record_idle(usage.service, usage.kind, now)
        return usage

    def record_moved(self, usage: FlowUsage, target: TargetName) -> None:
        """Count a half-open flow that moved to another target."""
        self._loads.record_closed(usage.target)
        usage.target = target
        self._loads.record_opened(target)

    def record_established(self, usage: FlowUsage, key: FlowKey, now: float) -> None:
        """Count a flow as established: the caller acknowledged the target's SYN-ACK."""
        if usage.is_half_open:
            usage.is_half_open = False
            self._half_open.remove(usage.service, usage.kind, key)
            self._admission.record_established(usage.service, usage.kind, now)

    def record_request(self, usage: FlowUsage, now: float) -> None:
        """Count a flow as busy from the caller's payload on."""
        if not usage.is_busy:
            usage.is_busy = True
            usage.busy_since = now
            self._loads.answer_times.record_wait_start(usage.target, now)
            self._loads.record_busy(usage.target)
            self._admission.record_busy(usage.service, usage.kind, now)

    def record_response(self, usage: FlowUsage, now: float) -> None:
        """Count a flow as idle: the target sent payload."""
        if usage.is_busy:
            usage.is_busy = False
            self._loads.answer_times.record_wait_end(usage.target, usage.busy_since, now)
            self._loads.record_idle(usage.target)
            self._admission.record_idle(usage.service, usage.kind, now)

    def record_ended(self, usage: FlowUsage, key: FlowKey, now: float) -> None:
        """Stop counting a flow that ended for any reason."""
        self.record_response(usage, now)
        self._loads.record_closed(usage.target)
        if usage.is_half_open:
            self._half_open.remove(usage.service, usage.kind, key)
            self._admission.record_abandoned(usage.service, usage.kind, now)
        else:
            self._admission.record_closed(usage.service, usage.kind, now)

    def expired(self, now: float) -> list[FlowKey]:
        """Return the keys of flows whose time in the half-open state has run out."""
        return self._half_open.find_timed_out(now)
