"""Interface for timeline events, and a rate-limited base implementation."""

from __future__ import annotations

import abc
import collections
import time
from collections.abc import Callable

from lacewingrudder_core.clock import HybridClock, HybridTime
from lacewingrudder_core.token_bucket import TokenBucket
from lacewingrudder_wire.timeline import TimelineEvent

MILLISECONDS_PER_SECOND = 1000
SUPPRESSED = "suppressed"


class EventSink(abc.ABC):
    """Receives the decisions and state changes that tasks report; never blocks or raises."""

    @abc.abstractmethod
    def record(
        self,
        event: str,
        *,
        revision: int | None = None,
        flow: str = "",
        target: str = "",
        detail: str = "",
    ) -> None:
        """Report one event; it may be suppressed if its name exceeds the rate limit."""


class RateLimitedEvents(EventSink):
    """Writes the events of one process, with a rate limit for each event name.

    The first event that is written after others of its name were dropped is preceded by a
    ``suppressed`` event, which reports how many were dropped.

    :param process: process name written with each event.
    :param rate: events per second and event name.
    :param burst: events per event name that may be written at once.
    :param wall: returns the wall-clock time in seconds.
    """

    def __init__(
        self, process: str, rate: float, burst: float, wall: Callable[[], float] = time.time
    ) -> None:
        self._process = process
        self._rate = rate
        self._burst = burst
        self._wall = wall
        self._clock = HybridClock()
        self._rate_limits: dict[str, TokenBucket] = {}
        self._suppressed: collections.Counter[str] = collections.Counter()
        self._counts: collections.Counter[str] = collections.Counter()

    @property
    def counts(self) -> collections.Counter[str]:
        """Number of events reported by event name, including suppressed ones."""
        return self._counts

    def next_timestamp(self) -> HybridTime:
        """Advance the hybrid clock and return its timestamp, for an event or a message to send."""
        return self._clock.tick(self._milliseconds())

    def merge_timestamp(self, other: HybridTime) -> None:
        """Merge the timestamp of a received message into the hybrid clock."""
        self._clock.merge(self._milliseconds(), other)

    def record(
        self,
        event: str,
        *,
        revision: int | None = None,
        flow: str = "",
        target: str = "",
        detail: str = "",
    ) -> None:
        """Write one event, unless its name exceeds the rate limit."""
        self._counts[event] += 1
        if not self._get_or_make_rate_limit(event).take(1, time.monotonic()):
            self._suppressed[event] += 1
            return
        suppressed = self._suppressed.pop(event, 0)
        if suppressed:
            suppressed_detail = f"{suppressed} {event}"
            self._write(
                TimelineEvent(
                    self.next_timestamp(), self._process, SUPPRESSED, detail=suppressed_detail
                )
            )
        self._write(
            TimelineEvent(
                self.next_timestamp(), self._process, event, revision, flow, target, detail
            )
        )

    @abc.abstractmethod
    def _write(self, event: TimelineEvent) -> None:
        """Write an event; must not raise, because a failed write must not stop the process."""

    def _get_or_make_rate_limit(self, event: str) -> TokenBucket:
        if event not in self._rate_limits:
            self._rate_limits[event] = TokenBucket(self._rate, self._burst)
        return self._rate_limits[event]

    def _milliseconds(self) -> int:
        return int(self._wall() * MILLISECONDS_PER_SECOND)
