"""Adaptive concurrency limit: refuses new flows to a service that answers too late.

Each host counts the requests of its flows that await an answer. Once late answers make up a large
part of the total response time, at more than half of the targets, the host limits that count. The
limit shrinks by a factor while answers are late, as in additive increase, multiplicative decrease
(AIMD). While they are in time, it grows by a smaller factor and a constant. A flow beyond the limit
is refused at its SYN, before any of its requests has run. This keeps the queues at the targets
short, so that admitted requests are answered in time; without a limit nearly all of them would be
late.
"""

from __future__ import annotations

from collections.abc import Callable

LATE_OBJECTIVE_SHARE = 0.75
"""An answer is late if it took more than this fraction of its latency objective. The remainder is
for the handshake and the network. Measured times include a caller's delayed acknowledgement."""

LATE_TIME_SHARE = 0.4
"""A service is overloaded if late answers make up more than this share of the total response time.
Answers are weighted by time because full targets reject requests at once: at several times the
capacity, such rejections are most of the answers but little of the time. Where other answers take a
quarter of the time of a late one, this share corresponds to 15% of the answers."""

MIN_LATE_ANSWERS = 3
"""Minimum number of late answers in an overload; a single one among fast answers can take a large
share of the time."""

LATE_TARGETS_SHARE = 0.5
"""More than this share of the answering targets must be late; a few slow ones are no overload."""

MIN_WINDOW_SECONDS = 0.2
MIN_ANSWERS = 16
"""Minimum number of answers in an evaluation; with fewer, one slow target could decide it."""

MIN_TIMELY_ANSWERS = 8
"""Minimum number of answers in an evaluation if none of them is late: they show that a limit may
grow."""

RECENT_LATE_SECONDS = 0.3
"""An overload has ended if the last late answer came longer ago than this. A host with few flows
takes seconds to collect its answers, and those from before the end would still count."""

OVERLOAD_EVALUATION_COUNT = 2
"""Consecutive evaluations that must find an overload before a limit is set; one may be chance."""

DECREASE_FACTOR = 0.8
INCREASE_FACTOR = 1.1
INCREASE_REQUESTS = 1.0
MIN_LIMIT = 1.0
"""At least one request is always admitted, so that the host notices the end of an overload."""

REMOVAL_FACTOR = 2.0
"""The limit is removed once it exceeds this many times the peak number of waiting requests."""

LESS_URGENT_SHARE = 0.8
"""Share of the limit that routes below the highest urgency of the service may use."""


class _Window:
    """The answers that one evaluation is based on.

    :param first_answer_at: time of the first answer.
    :ivar peak: highest number of waiting requests, sampled at late answers and, while there is a
        limit, at every answer.
    """

    def __init__(self, first_answer_at: float) -> None:
        self._first_answer_at = first_answer_at
        self._answer_count = 0
        self._late_count = 0
        self._seconds = 0.0
        self._late_seconds = 0.0
        self._last_late_at = float("-inf")
        self._targets: set[int] = set()
        self._late_targets: set[int] = set()
        self.peak = 0

    def add(self, tag: int, seconds: float, is_late: bool, now: float) -> None:
        """Add an answer; see :meth:`ConcurrencyLimiter.record_answer` for the parameters."""
        self._answer_count += 1
        self._seconds += seconds
        self._targets.add(tag)
        if is_late:
            self._late_count += 1
            self._late_seconds += seconds
            self._last_late_at = now
            self._late_targets.add(tag)

    def is_complete(self, now: float) -> bool:
        """Return whether the window has enough answers and is long enough for an evaluation."""
        min_answers = MIN_ANSWERS if self._late_count else MIN_TIMELY_ANSWERS
        is_long = now - self._first_answer_at >= MIN_WINDOW_SECONDS
        return is_long and self._answer_count >= min_answers

    def is_overloaded(self, now: float) -> bool:
        """Return whether the answers show an overload of the service that lasts."""
        if self._late_count < MIN_LATE_ANSWERS or now - self._last_late_at > RECENT_LATE_SECONDS:
            return False
        if len(self._late_targets) <= LATE_TARGETS_SHARE * len(self._targets):
            return False
        return self._late_seconds > LATE_TIME_SHARE * self._seconds


class ConcurrencyLimiter:
    """Limits the concurrent requests of this host to one service."""

    def __init__(self) -> None:
        self._limit: float | None = None
        self._overload_count = 0
        self._window: _Window | None = None

    @property
    def limit(self) -> float | None:
        """Number of waiting requests at which new flows are refused; ``None`` for no limit."""
        return self._limit

    def admits(self, waiting: Callable[[], int], is_most_urgent: bool) -> bool:
        """Return whether to admit a new flow.

        :param waiting: counts the requests of the service that await an answer and its flows that
            are being opened. It is called only if needed, since it iterates over all targets.
        :param is_most_urgent: whether no route to the service has a higher urgency.
        """
        limit = self.limit_for(is_most_urgent)
        return limit is None or waiting() < limit

    def limit_for(self, is_most_urgent: bool) -> float | None:
        """Return the limit for routes of an urgency; see :meth:`admits`."""
        if self._limit is None:
            return None
        share = 1.0 if is_most_urgent else LESS_URGENT_SHARE
        return max(MIN_LIMIT, share * self._limit)

    def record_answer(
        self,
        tag: int,
        seconds: float,
        objective_seconds: float,
        waiting: Callable[[], int],
        now: float,
    ) -> None:
        """Record the answer to a request that wasn't retransmitted.

        :param tag: tag of the target.
        :param objective_seconds: latency objective of the request.
        :param waiting: as in :meth:`admits`; it no longer counts the answered request.
        """
        if self._window is None:
            self._window = _Window(now)
        is_late = seconds > LATE_OBJECTIVE_SHARE * objective_seconds
        self._window.add(tag, seconds, is_late, now)
        if is_late or self._limit is not None:
            self._window.peak = max(self._window.peak, waiting() + 1)
        if self._window.is_complete(now):
            self._evaluate(self._window, now)
            self._window = None

    def _evaluate(self, window: _Window, now: float) -> None:
        """Adjust the limit to the answers of a window and its peak."""
        if window.is_overloaded(now):
            self._overload_count += 1
            self._decrease(window.peak)
        else:
            self._overload_count = 0
            self._increase(window.peak)

    def _decrease(self, peak: int) -> None:
        if self._limit is not None:
            self._limit = max(MIN_LIMIT, DECREASE_FACTOR * min(self._limit, peak))
        elif self._overload_count >= OVERLOAD_EVALUATION_COUNT:
            self._limit = max(MIN_LIMIT, DECREASE_FACTOR * peak)

    def _increase(self, peak: int) -> None:
        if self._limit is None:
            return
        self._limit = self._limit * INCREASE_FACTOR + INCREASE_REQUESTS
        if self._limit > REMOVAL_FACTOR * peak:
            self._limit = None
