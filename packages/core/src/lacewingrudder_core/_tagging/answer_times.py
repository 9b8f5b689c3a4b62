"""Recent response times of targets, relative to those of their service.

A host sees only its own flows, but the response times of these also tell how busy the flows of
other hosts keep a target.
"""

from __future__ import annotations

import math
from typing import NamedTuple

SAMPLE_WEIGHT = 0.3
"""Weight of the newest response time in the average of a target."""

SERVICE_SAMPLE_WEIGHT = 0.02
"""Weight of the newest response time in the average of a service, over many targets."""

DECAY_SECONDS = 1.0
"""Time constant with which the average of a target returns to that of its service, so that a target
that was slow is tried again."""

RETENTION_SECONDS = 10 * DECAY_SECONDS
"""By then an average is practically that of the service."""

MIN_SAMPLE_SHARE = 0.25
"""Response times below this share of the service's average are ignored: a target that is full
rejects requests at once, which doesn't show that it is fast."""


class _Average(NamedTuple):
    """Moving average of the response times of one target.

    :param seconds: the average, valid at ``updated_at``.
    """

    seconds: float
    updated_at: float


class ServiceAnswerTimes:
    """Response times of the targets of one service."""

    def __init__(self) -> None:
        self._mean: float | None = None
        self._averages: dict[int, _Average] = {}

    def record(self, tag: int, seconds: float, now: float) -> None:
        """Record the response time of a target."""
        if self._mean is None:
            self._mean = seconds
        if seconds < MIN_SAMPLE_SHARE * self._mean:
            return
        average = self._estimate(tag, now)
        self._averages[tag] = _Average(average + SAMPLE_WEIGHT * (seconds - average), now)
        self._mean += SERVICE_SAMPLE_WEIGHT * (seconds - self._mean)

    def ratio(self, tag: int, now: float) -> float:
        """Return the expected response time of a target relative to the average of its service."""
        return self._estimate(tag, now) / self._mean if self._mean else 1.0

    def has_samples(self, tag: int) -> bool:
        """Return whether this host measured a response time of a target."""
        return tag in self._averages

    def expire(self, now: float) -> None:
        """Drop averages that have returned to that of the service."""
        self._averages = {
            tag: row
            for tag, row in self._averages.items()
            if now - row.updated_at <= RETENTION_SECONDS
        }

    def _estimate(self, tag: int, now: float) -> float:
        mean = self._mean or 0.0
        row = self._averages.get(tag)
        if row is None:
            return mean
        return mean + (row.seconds - mean) * math.exp((row.updated_at - now) / DECAY_SECONDS)


_NO_ANSWER_TIMES = ServiceAnswerTimes()


class AnswerTimes:
    """Response times of all targets, by service."""

    def __init__(self) -> None:
        self._services: dict[str, ServiceAnswerTimes] = {}

    def service(self, service: str) -> ServiceAnswerTimes:
        """Return the response times of a service."""
        return self._services.setdefault(service, ServiceAnswerTimes())

    def find(self, service: str) -> ServiceAnswerTimes:
        """Return the response times of a service to read; empty ones if there are none yet."""
        return self._services.get(service, _NO_ANSWER_TIMES)

    def expire(self, now: float) -> None:
        """Drop what no longer matters."""
        for times in self._services.values():
            times.expire(now)
