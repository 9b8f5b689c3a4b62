"""What each flow uses: tells the books of load and admission of every step in a flow's life."""

from __future__ import annotations

from .._admission.policy import AdmissionPolicy
from .._admission.syn_guard import HalfOpenFlows
from .._routing.loads import LoadTracker
from .._routing.view import KindRoute
from ..types import FlowKey, TargetName


class FlowUse:
    """One flow's part in the books; only :class:`UseBook` changes it."""

    __slots__ = ("service", "kind", "target", "is_half_open", "is_busy", "asked_at")

    def __init__(self, service: str, kind: str, target: TargetName) -> None:
        self.service = service
        self.kind = kind
        self.target = target
        self.is_half_open = True
        self.is_busy = False
        self.asked_at = 0.0


class UseBook:
    """Keeps load, admission and half-open flows in step with the flow table.

    :param admission: decides on new flows.
    :param loads: counts flows for each target.
    """

    def __init__(self, admission: AdmissionPolicy, loads: LoadTracker) -> None:
        self._admission = admission
        self._loads = loads
        self._half_open = HalfOpenFlows()

    def opened(
        self, route: KindRoute, key: FlowKey, target: TargetName, now: float
    ) -> tuple[FlowUse, FlowKey | None]:
        """Count a new flow.

        :return: the flow's part, and the half-open flow that has to be given up for it, if any.
        """
        use = FlowUse(route.service, route.kind.name, target)
        self._loads.opened(target)
        self._admission.record_opened(route, now)
        return use, self._half_open.add(use.service, use.kind, key, now)

    def adopted(self, route: KindRoute, key: FlowKey, target: TargetName, now: float) -> FlowUse:
        """Count a flow that another host kept.

        Admission expects no first request of it; how fast the target answers, it does not show.
        """
        use, _ = self.opened(route, key, target, now)
        self.acknowledged(use, key, now)
        self._admission.record_busy(use.service, use.kind, now)
        self._admission.record_idle(use.service, use.kind, now)
        return use

    def moved(self, use: FlowUse, target: TargetName) -> None:
        """Take note that a half-open flow was placed on another target."""
        self._loads.closed(use.target)
        use.target = target
        self._loads.opened(target)

    def acknowledged(self, use: FlowUse, key: FlowKey, now: float) -> None:
        """Take note that the caller acknowledged the target's answer to the SYN."""
        if use.is_half_open:
            use.is_half_open = False
            self._half_open.remove(use.service, use.kind, key)
            self._admission.record_established(use.service, use.kind, now)

    def caller_sent(self, use: FlowUse, now: float) -> None:
        """Take note of payload from the caller."""
        if not use.is_busy:
            use.is_busy = True
            use.asked_at = now
            self._loads.answer_times.asked(use.target, now)
            self._loads.became_busy(use.target)
            self._admission.record_busy(use.service, use.kind, now)

    def target_sent(self, use: FlowUse, now: float) -> None:
        """Take note of payload from the target."""
        if use.is_busy:
            use.is_busy = False
            self._loads.answer_times.answered(use.target, use.asked_at, now)
            self._loads.became_idle(use.target)
            self._admission.record_idle(use.service, use.kind, now)

    def ended(self, use: FlowUse, key: FlowKey, now: float) -> None:
        """Take note that the flow ended, in whatever way."""
        self.target_sent(use, now)
        self._loads.closed(use.target)
        if use.is_half_open:
            self._half_open.remove(use.service, use.kind, key)
            self._admission.record_abandoned(use.service, use.kind, now)
        else:
            self._admission.record_closed(use.service, use.kind, now)

    def expired(self, now: float) -> list[FlowKey]:
        """Return the flows that have been half-open for too long."""
        return self._half_open.expired(now)
