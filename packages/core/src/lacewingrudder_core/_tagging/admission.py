"""Admission of new flows: one concurrency limit for each service."""

from __future__ import annotations

import functools
from collections.abc import Callable

from .concurrency_limit import ConcurrencyLimiter
from .types import Configuration, Route


class FlowAdmission:
    """Refuses new flows to services that answer too late.

    :param count_waiting: counts the requests of a service that await an answer at some time, and
        its flows that are being opened.
    """

    def __init__(self, count_waiting: Callable[[str, float], int]) -> None:
        self._count_waiting = count_waiting
        self._limiters: dict[str, ConcurrencyLimiter] = {}
        self._max_urgencies: dict[str, int] = {}

    @property
    def services(self) -> frozenset[str]:
        """The services that flows are placed on."""
        return frozenset(self._max_urgencies)

    def configure(self, configuration: Configuration) -> None:
        """Use the routes of a configuration."""
        self._max_urgencies = _max_urgencies(configuration)

    def admits(self, service: str, route: Route, now: float) -> bool:
        """Return whether to admit a new flow of a route."""
        return self._limiter(service).admits(
            functools.partial(self._count_waiting, service, now),
            route.urgency >= self._max_urgencies[service],
        )

    def limit(self, service: str, route: Route) -> float | None:
        """Return the count of waiting requests from which on new flows of a route are refused.

        ``None`` means that there is no limit.
        """
        limiter = self._limiters.get(service)
        if limiter is None:
            return None
        return limiter.limit_for(route.urgency >= self._max_urgencies[service])

    def record_answer(
        self, service: str, tag: int, seconds: float, objective_seconds: float, now: float
    ) -> None:
        """Record an answer; see :meth:`ConcurrencyLimiter.record_answer`."""
        waiting = functools.partial(self._count_waiting, service, now)
        self._limiter(service).record_answer(tag, seconds, objective_seconds, waiting, now)

    def _limiter(self, service: str) -> ConcurrencyLimiter:
        return self._limiters.setdefault(service, ConcurrencyLimiter())


def _max_urgencies(configuration: Configuration) -> dict[str, int]:
    """Return the highest urgency of any route to each service."""
    urgencies: dict[str, int] = {}
    for route in configuration.routes.values():
        for split in (split for split in route.splits if split.weight > 0):
            urgencies[split.service] = max(urgencies.get(split.service, 0), route.urgency)
    return urgencies
