"""Passive health checks: outlier ejection by what this host observes of targets.

The observations take precedence over what targets report. A target that fails several times in a
row, by not accepting a SYN or by not answering on any flow, is ejected: it gets no new flows from
this host for a time that doubles with each ejection, up to a maximum. After its first ejection, one
failure ejects it again. A cap on ejected targets prevents a fault of this host's own network from
leaving a service without targets.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from ..types import TargetName

FAILURES_TO_EJECT = 3
INITIAL_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 160.0
MAX_EJECTED_FRACTION = 1 / 3
# A SYN answered this long after the last failure and the end of the last ejection clears the count
# of ejections.
EJECTION_RESET_SECONDS = 60.0
RECENT_ANSWER_SECONDS = 5.0


class _Observations:
    """The failures and ejections of one target."""

    __slots__ = ("failures", "ejections", "ejected_until", "failed_at")

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected_until = -math.inf
        self.failed_at = -math.inf


class HealthTracker:
    """Counts failures per target and determines which targets are ejected."""

    def __init__(self) -> None:
        self._observations: dict[TargetName, _Observations] = {}
        self._answered_at: dict[TargetName, float] = {}
        self._service_of: dict[TargetName, str] = {}
        self._targets: dict[str, frozenset[TargetName]] = {}

    def set_targets(self, services: Mapping[str, Iterable[TargetName]]) -> None:
        """Set the targets that accept new flows, by service.

        The cap on ejected targets applies to these. Observations of targets that are no longer in
        any service are dropped.
        """
        self._targets = {name: frozenset(targets) for name, targets in services.items()}
        self._service_of = {
            target: name for name, targets in self._targets.items() for target in targets
        }
        self._observations = {
            target: observations
            for target, observations in self._observations.items()
            if target in self._service_of
        }
        self._answered_at = {
            target: at for target, at in self._answered_at.items() if target in self._service_of
        }

    def record_syn_answered(self, target: TargetName, now: float) -> None:
        """Record that a target answered a SYN."""
        self._answered_at[target] = now
        observations = self._observations.get(target)
        if observations is None:
            return
        observations.failures = 0
        if now - max(observations.failed_at, observations.ejected_until) > EJECTION_RESET_SECONDS:
            del self._observations[target]

    def record_syn_failed(self, target: TargetName, now: float) -> None:
        """Record that a target left a SYN unanswered or refused it."""
        self._record_failure(target, now)

    def record_unresponsive_flow(self, target: TargetName, now: float) -> None:
        """Record that a target does not answer on an established flow.

        This counts as a failure only if the target has not answered a new flow recently.
        Otherwise a device between caller and target dropped the state of the flow, which is no
        fault of the target.
        """
        if now - self._answered_at.get(target, -math.inf) > RECENT_ANSWER_SECONDS:
            self._record_failure(target, now)

    def is_ejected(self, target: TargetName, now: float) -> bool:
        """Return whether a target gets no new flows from this host now."""
        observations = self._observations.get(target)
        if observations is None or observations.ejected_until <= now:
            return False
        return target in self._capped_ejections(self._service_of.get(target, ""), now)

    def ejected_targets(self, now: float) -> frozenset[TargetName]:
        """Return all targets that are ejected now."""
        return frozenset(target for target in self._observations if self.is_ejected(target, now))

    def _record_failure(self, target: TargetName, now: float) -> None:
        observations = self._observations.setdefault(target, _Observations())
        if observations.ejected_until > now:
            return
        observations.failures += 1
        observations.failed_at = now
        needed = 1 if observations.ejections else FAILURES_TO_EJECT
        if observations.failures < needed:
            return
        observations.ejected_until = now + min(
            MAX_EJECTION_SECONDS, INITIAL_EJECTION_SECONDS * 2**observations.ejections
        )
        observations.ejections += 1
        observations.failures = 0

    def _capped_ejections(self, service: str, now: float) -> list[TargetName]:
        """Return the ejected targets of a service up to the cap, most often ejected first."""
        targets = self._targets.get(service, frozenset())
        ejected = [name for name in targets if self._is_ejection_active(name, now)]
        cap = min(max(1, int(len(targets) * MAX_EJECTED_FRACTION)), len(targets) - 1)
        return sorted(ejected, key=lambda name: (-self._observations[name].ejections, name))[
            : max(0, cap)
        ]

    def _is_ejection_active(self, target: TargetName, now: float) -> bool:
        observations = self._observations.get(target)
        return observations is not None and observations.ejected_until > now
