"""Where tasks report decisions and changes of what they believe."""

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
    """Takes events; never blocks and never fails."""

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
        """Report one event, unless too many of its name came lately."""


class BoundedEvents(EventSink):
    """Events of one process at a bounded rate for each name.

    Those left out are counted in an event ``suppressed``, before the next one of that name.

    :param process: the name that events carry.
    :param rate: events of a name in a second.
    :param burst: events of a name at once.
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
        self._budgets: dict[str, TokenBucket] = {}
        self._suppressed: collections.Counter[str] = collections.Counter()
        self._counts: collections.Counter[str] = collections.Counter()

    @property
    def counts(self) -> collections.Counter[str]:
        """How often each event was reported, those left out included."""
        return self._counts

    def now(self) -> HybridTime:
        """Return a reading for a message that is about to be sent."""
        return self._clock.tick(self._milliseconds())

    def observe(self, other: HybridTime) -> None:
        """Take in the reading of a message that arrived."""
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
        """Write one event, unless too many of its name came lately."""
        self._counts[event] += 1
        if not self._budget(event).take(1, time.monotonic()):
            self._suppressed[event] += 1
            return
        left_out = self._suppressed.pop(event, 0)
        if left_out:
            detail_of = f"{left_out} {event}"
            self._write(TimelineEvent(self.now(), self._process, SUPPRESSED, detail=detail_of))
        self._write(TimelineEvent(self.now(), self._process, event, revision, flow, target, detail))

    @abc.abstractmethod
    def _write(self, event: TimelineEvent) -> None:
        """Write an event; what fails must not stop the process."""

    def _budget(self, event: str) -> TokenBucket:
        if event not in self._budgets:
            self._budgets[event] = TokenBucket(self._rate, self._burst)
        return self._budgets[event]

    def _milliseconds(self) -> int:
        return int(self._wall() * MILLISECONDS_PER_SECOND)
