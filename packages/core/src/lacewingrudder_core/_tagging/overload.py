"""Refusal of new flows while a service answers too late, by what this host sees of its answers.

A host counts the requests of its flows that wait for answers. Once late answers take a large part
of the time that requests wait, at more than half of the targets, that count is limited, and the
limit follows the answers: additive increase, multiplicative decrease, as for an adaptive
concurrency limit. A flow beyond the limit is refused at its SYN, when nothing of it has run. Queues
at the targets stay short then, so that what is admitted is answered in time; without a limit nearly
everything would be late.
"""

from __future__ import annotations

from collections.abc import Callable

LATE_FRACTION = 0.75
"""An answer that took longer than this part of its objective is late. The rest is spent on the
handshake and on the way; a caller's delayed acknowledgement counts as part of the answer here."""

LATE_SHARE = 0.4
"""Share of the time that requests wait which late answers take in an overload. Weighed by time,
since full targets turn requests away at once: such answers are most of all answers at several times
the capacity, but hardly any of the time. Where other answers take a quarter of a late one's time,
this is 15% of the answers."""

LEAST_LATE = 3
"""Late answers that an overload needs, since one among quick ones has much of the time."""

LATE_TARGETS_SHARE = 0.5
"""Part of the answering targets that have to be late: a few slow ones are no overload."""

JUDGE_SECONDS = 0.2
LEAST_ANSWERS = 16
"""Answers that a judgement needs: fewer would let one slow target decide."""

JUDGEMENTS_TO_LIMIT = 2
"""Overloaded judgements in a row before the first limit; one may be chance."""

DECREASE_FACTOR = 0.8
INCREASE_FACTOR = 1.1
INCREASE_REQUESTS = 1.0
LEAST_LIMIT = 1.0
"""A host always tries with one request, so that it learns when the overload is over."""

LIFTED_FACTOR = 2.0
"""The limit ends once it is this many times what waits."""

LESS_URGENT_SHARE = 0.8
"""Part of the limit that is open to kinds of work less urgent than the service's most urgent."""


class _Window:
    """The answers that one judgement rests on.

    :param since: when its first answer came.
    :ivar peak: the most requests that waited at any late answer, or at any while there is a limit.
    """

    def __init__(self, since: float) -> None:
        self._since = since
        self._answers = 0
        self._late = 0
        self._seconds = 0.0
        self._late_seconds = 0.0
        self._targets: set[int] = set()
        self._late_targets: set[int] = set()
        self.peak = 0

    def add(self, tag: int, seconds: float, is_late: bool) -> None:
        """Take in an answer; parameters as for :meth:`OverloadGuard.answered`."""
        self._answers += 1
        self._seconds += seconds
        self._targets.add(tag)
        if is_late:
            self._late += 1
            self._late_seconds += seconds
            self._late_targets.add(tag)

    def is_enough(self, now: float) -> bool:
        """Return whether these answers suffice for a judgement."""
        return self._answers >= LEAST_ANSWERS and now - self._since >= JUDGE_SECONDS

    def is_overloaded(self) -> bool:
        """Return whether the service answers too late."""
        if self._late < LEAST_LATE:
            return False
        if len(self._late_targets) <= LATE_TARGETS_SHARE * len(self._targets):
            return False
        return self._late_seconds > LATE_SHARE * self._seconds


class OverloadGuard:
    """Limits the waiting requests of one service at one host."""

    def __init__(self) -> None:
        self._limit: float | None = None
        self._overloaded = 0
        self._window: _Window | None = None

    @property
    def limit(self) -> float | None:
        """How many requests may wait before new flows are refused; ``None`` for any number."""
        return self._limit

    def admits(self, waiting: Callable[[], int], is_most_urgent: bool) -> bool:
        """Return whether a new flow may start.

        :param waiting: counts the requests of the service that wait here, flows being opened among
            them; called only where it matters, since that takes a step for each target.
        :param is_most_urgent: whether no kind of work of the service is more urgent.
        """
        if self._limit is None:
            return True
        part = 1.0 if is_most_urgent else LESS_URGENT_SHARE
        return waiting() < max(LEAST_LIMIT, part * self._limit)

    def answered(
        self,
        tag: int,
        seconds: float,
        objective_seconds: float,
        waiting: Callable[[], int],
        now: float,
    ) -> None:
        """Take in an answer to a request that was sent once.

        :param tag: of the target.
        :param objective_seconds: when an answer to such a request is due.
        :param waiting: as for :meth:`admits`; the answered request no longer counts.
        """
        if self._window is None:
            self._window = _Window(now)
        is_late = seconds > LATE_FRACTION * objective_seconds
        self._window.add(tag, seconds, is_late)
        if is_late or self._limit is not None:
            self._window.peak = max(self._window.peak, waiting() + 1)
        if self._window.is_enough(now):
            self._judge(self._window)
            self._window = None

    def _judge(self, window: _Window) -> None:
        """Move the limit by the answers since it was moved last, and the most that waited."""
        if window.is_overloaded():
            self._overloaded += 1
            self._decrease(window.peak)
        else:
            self._overloaded = 0
            self._increase(window.peak)

    def _decrease(self, peak: int) -> None:
        if self._limit is not None:
            self._limit = max(LEAST_LIMIT, DECREASE_FACTOR * min(self._limit, peak))
        elif self._overloaded >= JUDGEMENTS_TO_LIMIT:
            self._limit = max(LEAST_LIMIT, DECREASE_FACTOR * peak)

    def _increase(self, peak: int) -> None:
        if self._limit is None:
            return
        self._limit = self._limit * INCREASE_FACTOR + INCREASE_REQUESTS
        if self._limit > LIFTED_FACTOR * peak:
            self._limit = None
