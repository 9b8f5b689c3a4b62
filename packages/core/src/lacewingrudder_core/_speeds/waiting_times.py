"""Response times of targets from past responses and from flows that still wait for one."""

from __future__ import annotations

import math
from collections.abc import Hashable

from .averages import DecayingAverages

DECAY_SECONDS = 2.0 / math.log(2)
"""Time constant of an average's return to 0: half of it is left after two seconds."""


class _Waiting:
    """The flows that wait for one target now.

    :ivar since_sum: sum of the times at which they began to wait.
    """

    __slots__ = ("count", "since_sum")

    def __init__(self) -> None:
        self.count = 0
        self.since_sum = 0.0


class WaitingTimes:
    """Estimates the response time of each target.

    The average of past response times decays, so that a target that was slow is tried again.
    """

    def __init__(self) -> None:
        self._averages = DecayingAverages(DECAY_SECONDS)
        self._waiting: dict[Hashable, _Waiting] = {}

    def record_wait_start(self, target: Hashable, now: float) -> None:
        """Record that a flow starts to wait for a target."""
        waiting = self._waiting.setdefault(target, _Waiting())
        waiting.count += 1
        waiting.since_sum += now

    def record_wait_end(self, target: Hashable, asked_at: float, now: float) -> None:
        """Record that a flow stops waiting, with or without a response.

        :param asked_at: when it began to wait.
        """
        waiting = self._waiting[target]
        waiting.count -= 1
        waiting.since_sum = waiting.since_sum - asked_at if waiting.count else 0.0
        self._averages.add(target, now - asked_at, 0.0, now)

    def estimate(self, target: Hashable, now: float) -> float:
        """Return the expected response time in seconds.

        This is the average of past response times, or the mean time that flows have been waiting
        now if that is longer.
        """
        waiting = self._waiting.get(target)
        waited = now - waiting.since_sum / waiting.count if waiting and waiting.count else 0.0
        return max(self._averages.estimate(target, 0.0, now), waited)
