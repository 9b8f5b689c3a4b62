"""The load of each target, counted as this host's open and busy flows on the target."""

from __future__ import annotations

from typing import NamedTuple

from .._speeds.waiting_times import WaitingTimes
from ..types import TargetName


class TargetLoad(NamedTuple):
    """The load of one target as this host observes it.

    :param flows: open flows, half-open ones included.
    :param busy: flows that wait for the target to answer the caller's last payload.
    """

    flows: int
    busy: int


class LoadTracker:
    """Counts flows per target: updated by the packet path, read by placement and admission."""

    def __init__(self) -> None:
        self._flows: dict[TargetName, int] = {}
        self._busy: dict[TargetName, int] = {}
        self._answer_times = WaitingTimes()

    @property
    def answer_times(self) -> WaitingTimes:
        """The response times of the targets."""
        return self._answer_times

    @property
    def in_use(self) -> frozenset[TargetName]:
        """The targets with open flows."""
        return frozenset(name for name, flows in self._flows.items() if flows > 0)

    def load(self, target: TargetName) -> TargetLoad:
        """Return the load of one target."""
        return TargetLoad(self._flows.get(target, 0), self._busy.get(target, 0))

    def record_opened(self, target: TargetName) -> None:
        """Count a flow that was placed on a target."""
        self._flows[target] = self._flows.get(target, 0) + 1

    def record_closed(self, target: TargetName) -> None:
        """Count a flow as closed; :meth:`record_idle` has to come first if it was busy."""
        self._flows[target] -= 1

    def record_busy(self, target: TargetName) -> None:
        """Count a flow that starts to wait for its target."""
        self._busy[target] = self._busy.get(target, 0) + 1

    def record_idle(self, target: TargetName) -> None:
        """Count a flow that no longer waits for its target."""
        self._busy[target] -= 1
