"""This host's own evidence on targets; it outranks what targets report of themselves.

A target that leaves several SYNs in a row unanswered, or falls silent altogether, is ejected:
it gets no new flow of this host for a time that doubles with each repetition. A cap keeps wrong
evidence, such as a fault of this host's own network, from emptying a service.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from ..types import TargetName

FAILURES_TO_EJECT = 3
EJECTION_SECONDS = 5.0
EJECTION_SECONDS_MAX = 160.0
EJECTED_FRACTION_MAX = 1 / 3
GOOD_SECONDS_TO_FORGET = 60.0
ANSWER_FRESH_SECONDS = 5.0


class _Evidence:
    """What this host saw of one target."""

    __slots__ = ("failures", "ejections", "until", "failed_at")

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.until = -math.inf
        self.failed_at = -math.inf


class HealthTracker:
    """Counts evidence per target and says which targets are ejected."""

    def __init__(self) -> None:
        self._evidence: dict[TargetName, _Evidence] = {}
        self._answered: dict[TargetName, float] = {}
        self._service: dict[TargetName, str] = {}
        self._targets: dict[str, frozenset[TargetName]] = {}

    def set_targets(self, services: Mapping[str, Iterable[TargetName]]) -> None:
        """Take the targets that take work, by service; the cap counts over these.

        Evidence on targets that are in no service any more is forgotten.
        """
        self._targets = {name: frozenset(targets) for name, targets in services.items()}
        self._service = {
            target: name for name, targets in self._targets.items() for target in targets
        }
        self._evidence = {
            target: evidence
            for target, evidence in self._evidence.items()
            if target in self._service
        }
        self._answered = {
            target: at for target, at in self._answered.items() if target in self._service
        }

    def syn_answered(self, target: TargetName, now: float) -> None:
        """Take note that a target accepted a flow."""
        self._answered[target] = now
        evidence = self._evidence.get(target)
        if evidence is None:
            return
        evidence.failures = 0
        if now - max(evidence.failed_at, evidence.until) > GOOD_SECONDS_TO_FORGET:
            del self._evidence[target]

    def syn_failed(self, target: TargetName, now: float) -> None:
        """Take note that a target left a SYN unanswered or refused it."""
        self._failed(target, now)

    def silent(self, target: TargetName, now: float) -> None:
        """Take note that a target does not answer what a caller sent it.

        This counts only if no new flow was answered of late: else something between the two ends
        forgot the flow, which says nothing of the target.
        """
        if now - self._answered.get(target, -math.inf) > ANSWER_FRESH_SECONDS:
            self._failed(target, now)

    def ejected(self, target: TargetName, now: float) -> bool:
        """Return whether a target gets no new flow of this host now."""
        evidence = self._evidence.get(target)
        if evidence is None or evidence.until <= now:
            return False
        return target in self._within_cap(self._service.get(target, ""), now)

    def ejected_targets(self, now: float) -> frozenset[TargetName]:
        """Return all targets that are ejected now."""
        return frozenset(target for target in self._evidence if self.ejected(target, now))

    def _failed(self, target: TargetName, now: float) -> None:
        evidence = self._evidence.setdefault(target, _Evidence())
        if evidence.until > now:
            return
        evidence.failures += 1
        evidence.failed_at = now
        needed = 1 if evidence.ejections else FAILURES_TO_EJECT
        if evidence.failures < needed:
            return
        evidence.until = now + min(EJECTION_SECONDS_MAX, EJECTION_SECONDS * 2**evidence.ejections)
        evidence.ejections += 1
        evidence.failures = 0

    def _within_cap(self, service: str, now: float) -> list[TargetName]:
        """Return the ejected targets of a service, those that are out longest first."""
        targets = self._targets.get(service, frozenset())
        out = [name for name in targets if self._is_out(name, now)]
        cap = min(max(1, int(len(targets) * EJECTED_FRACTION_MAX)), len(targets) - 1)
        return sorted(out, key=lambda name: (-self._evidence[name].ejections, name))[: max(0, cap)]

    def _is_out(self, target: TargetName, now: float) -> bool:
        evidence = self._evidence.get(target)
        return evidence is not None and evidence.until > now
