"""How fast the targets of a service are, as one host estimates it from its own flows."""

from __future__ import annotations

import abc
from collections.abc import Callable, Hashable

from .averages import DecayingAverages

DECAY_SECONDS = 1.0
"""Time constant with which the average of a target returns to that of its service."""

SERVICE_SAMPLE_WEIGHT = 0.02
"""Weight of the newest response time in the average of a service, over many targets."""

MIN_SAMPLE_SHARE = 0.25
"""Response times below this share of what is usual are ignored: a target that is full rejects
requests at once, which doesn't show that it is fast."""


class TargetSpeeds(abc.ABC):
    """Response times of the targets of one service."""

    @abc.abstractmethod
    def record(
        self,
        target: Hashable,
        kind: Hashable,
        seconds: float,
        now: float,
        caller: Hashable = None,
    ) -> None:
        """Record the response time of a target.

        :param kind: identifies the route of the request.
        :param caller: whose acknowledgement ended the response time; ``None`` if unknown.
        """

    def record_request(  # noqa: B027
        self,
        target: Hashable,
        request: Hashable,
        kind: Hashable,
        now: float,
        caller: Hashable = None,
    ) -> None:
        """Record that a request was sent to a target, unless it is known to wait already.

        :param request: identifies it among those that wait.
        """

    def record_end(self, target: Hashable, request: Hashable) -> None:  # noqa: B027
        """Record that a request no longer waits, with or without an answer."""

    @abc.abstractmethod
    def ratio(self, target: Hashable, now: float) -> float:
        """Return the expected response time relative to the service, 1.0 for an unknown target."""

    @abc.abstractmethod
    def has_samples(self, target: Hashable) -> bool:
        """Return whether this host measured a response time of a target."""

    @abc.abstractmethod
    def expire(self, now: float) -> None:
        """Drop what no longer matters."""


class AverageSpeeds(TargetSpeeds):
    """Compares a moving average of each target with that of the service, over all kinds of work."""

    def __init__(self) -> None:
        self._mean: float | None = None
        self._averages = DecayingAverages(DECAY_SECONDS)

    def record(
        self,
        target: Hashable,
        kind: Hashable,
        seconds: float,
        now: float,
        caller: Hashable = None,
    ) -> None:
        """Record the response time of a target; kind and caller are ignored."""
        if self._mean is None:
            self._mean = seconds
        if seconds < MIN_SAMPLE_SHARE * self._mean:
            return
        self._averages.add(target, seconds, self._mean, now)
        self._mean += SERVICE_SAMPLE_WEIGHT * (seconds - self._mean)

    def ratio(self, target: Hashable, now: float) -> float:
        """Return the expected response time relative to the service, 1.0 for an unknown target."""
        if not self._mean:
            return 1.0
        return self._averages.estimate(target, self._mean, now) / self._mean

    def has_samples(self, target: Hashable) -> bool:
        """Return whether this host measured a response time of a target."""
        return target in self._averages

    def expire(self, now: float) -> None:
        """Drop averages that have returned to that of the service."""
        self._averages.expire(now)


class SpeedsByService:
    """The speeds of all targets.

    :param make: returns an empty record for a service.
    """

    def __init__(self, make: Callable[[], TargetSpeeds]) -> None:
        self._make = make
        self._services: dict[str, TargetSpeeds] = {}

    def service(self, service: str) -> TargetSpeeds:
        """Return the speeds of the targets of a service."""
        speeds = self._services.get(service)
        if speeds is None:
            speeds = self._services[service] = self._make()
        return speeds

    def find(self, service: str) -> TargetSpeeds:
        """Return the speeds of a service to read; empty ones if there are none yet."""
        return self._services.get(service) or self._make()

    def expire(self, now: float) -> None:
        """Drop what no longer matters."""
        for speeds in self._services.values():
            speeds.expire(now)


def make_speeds(learns_speeds: bool) -> Callable[[], TargetSpeeds]:
    """Return what makes the record of a service.

    :param learns_speeds: whether to learn speeds rather than to compare averages.
    """
    if not learns_speeds:
        return AverageSpeeds
    # Imported only where it is used, since hosts that start should forward as soon as they can.
    from .learned import LearnedSpeeds

    return LearnedSpeeds
