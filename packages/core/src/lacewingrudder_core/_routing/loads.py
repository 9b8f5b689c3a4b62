"""What this host sees of its targets' load: open and busy flows of which it is the home."""

from __future__ import annotations

from typing import NamedTuple

from ..types import TargetName
from .answer_times import AnswerTimes


class TargetLoad(NamedTuple):
    """Load of one target as this host sees it.

    :param flows: open flows, half-open ones included.
    :param busy: flows that wait for the target after the caller's last payload.
    """

    flows: int
    busy: int


class LoadTracker:
    """Counts flows per target; the flow table reports, placement and admission read."""

    def __init__(self) -> None:
        self._flows: dict[TargetName, int] = {}
        self._busy: dict[TargetName, int] = {}
        self._answer_times = AnswerTimes()

    @property
    def answer_times(self) -> AnswerTimes:
        """How long the targets take to answer."""
        return self._answer_times

    @property
    def in_use(self) -> frozenset[TargetName]:
        """The targets that have flows."""
        return frozenset(name for name, flows in self._flows.items() if flows > 0)

    def load(self, target: TargetName) -> TargetLoad:
        """Return the load of one target."""
        return TargetLoad(self._flows.get(target, 0), self._busy.get(target, 0))

    def opened(self, target: TargetName) -> None:
        """Count a flow that was placed on a target."""
        self._flows[target] = self._flows.get(target, 0) + 1

    def closed(self, target: TargetName) -> None:
        """Count a flow as ended; the caller reports it idle before."""
        self._flows[target] -= 1

    def became_busy(self, target: TargetName) -> None:
        """Count a flow that waits for its target."""
        self._busy[target] = self._busy.get(target, 0) + 1

    def became_idle(self, target: TargetName) -> None:
        """Count a flow that no longer waits for its target."""
        self._busy[target] -= 1
