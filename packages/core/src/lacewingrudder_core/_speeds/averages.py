"""Moving averages of response times that return to a base value without new samples."""

from __future__ import annotations

import math
from collections.abc import Hashable
from typing import NamedTuple

SAMPLE_WEIGHT = 0.3
"""Weight of the newest response time in the average of a target."""

RETENTION_TIME_CONSTANTS = 10.0
"""By then an average is practically the base value."""


class _Average(NamedTuple):
    """Moving average of the response times of one target.

    :param seconds: the average, valid at ``updated_at``.
    """

    seconds: float
    updated_at: float


class DecayingAverages:
    """One moving average for each target.

    :param decay_seconds: time constant with which an average returns to the base value, so that a
        target that was slow is tried again.
    """

    def __init__(self, decay_seconds: float) -> None:
        self._decay_seconds = decay_seconds
        self._rows: dict[Hashable, _Average] = {}

    def __contains__(self, target: Hashable) -> bool:
        return target in self._rows

    def estimate(self, target: Hashable, base: float, now: float) -> float:
        """Return the average of a target in seconds, the base value if it is unknown."""
        row = self._rows.get(target)
        if row is None:
            return base
        return base + (row.seconds - base) * math.exp((row.updated_at - now) / self._decay_seconds)

    def add(self, target: Hashable, seconds: float, base: float, now: float) -> None:
        """Add a response time of a target."""
        average = self.estimate(target, base, now)
        self._rows[target] = _Average(average + SAMPLE_WEIGHT * (seconds - average), now)

    def expire(self, now: float) -> None:
        """Drop averages that have returned to the base value."""
        oldest = RETENTION_TIME_CONSTANTS * self._decay_seconds
        self._rows = {
            target: row for target, row in self._rows.items() if now - row.updated_at <= oldest
        }
