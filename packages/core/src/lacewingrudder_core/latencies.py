"""Counts of latencies by their size, kept without a metrics library.

The library takes longer to import than an entry host to start, so that it reads these counts only
once somebody asks for metrics.
"""

from __future__ import annotations

import bisect

BUCKET_BOUNDS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class LatencyHistogram:
    """A histogram of latencies in seconds."""

    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKET_BOUNDS_SECONDS) + 1)
        self._sum = 0.0

    @property
    def sum(self) -> float:
        """The sum of all latencies, in seconds."""
        return self._sum

    def observe(self, seconds: float) -> None:
        """Count one latency."""
        self._counts[bisect.bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self._sum += seconds

    def cumulative_counts(self) -> list[tuple[str, float]]:
        """Return for each bound, as text, how many latencies are at or below it."""
        total = 0
        rows: list[tuple[str, float]] = []
        for bound, count in zip(
            (*map(str, BUCKET_BOUNDS_SECONDS), "+Inf"), self._counts, strict=True
        ):
            total += count
            rows.append((bound, float(total)))
        return rows
