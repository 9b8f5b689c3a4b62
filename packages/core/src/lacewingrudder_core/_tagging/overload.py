"""Refusal of new flows while a service answers too late, by what this host sees of its answers.

A host counts the requests of its flows that wait for answers. Once most answers come later than a
part of their latency objective, that count is limited, and the limit follows the answers: additive
increase, multiplicative decrease, as for an adaptive concurrency limit. A flow beyond the limit is
refused at its SYN, when nothing of it has run. Queues at the targets stay short then, so that what
is admitted is answered in time; without a limit nearly everything would be late.
"""

from __future__ import annotations

LATE_FRACTION = 0.75
"""An answer that took longer than this part of its objective is late. The rest is spent on the
handshake and on the way; a caller's delayed acknowledgement counts as part of the answer here."""

LATE_SHARE = 0.15
"""Share of late answers that shows an overload. Full targets turn requests away at once, which look
like quick answers and are most of the answers at several times the capacity."""

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


class OverloadGuard:
    """Limits the waiting requests of one service at one host."""

    def __init__(self) -> None:
        self._limit: float | None = None
        self._overloaded = 0
        self._answers = 0
        self._late = 0
        self._since = 0.0
        self._peak = 0
        self._answering: set[int] = set()
        self._late_targets: set[int] = set()
        self._most_urgent = 0

    @property
    def limit(self) -> float | None:
        """How many requests may wait before new flows are refused; ``None`` for any number."""
        return self._limit

    def admits(self, waiting: int, urgency: int) -> bool:
        """Return whether a new flow may start.

        :param waiting: requests of the service that wait here, flows being opened among them.
        :param urgency: of the flow's kind of work.
        """
        self._most_urgent = max(self._most_urgent, urgency)
        if self._limit is None:
            return True
        part = 1.0 if urgency >= self._most_urgent else LESS_URGENT_SHARE
        return waiting < max(LEAST_LIMIT, part * self._limit)

    def answered(
        self, tag: int, seconds: float, objective_seconds: float, waiting: int, now: float
    ) -> None:
        """Take in an answer to a request that was sent once.

        :param tag: of the target.
        :param objective_seconds: when an answer to such a request is due.
        :param waiting: as for :meth:`admits`, this request included.
        """
        if not self._answers:
            self._since = now
        self._answers += 1
        self._answering.add(tag)
        self._peak = max(self._peak, waiting)
        if seconds > LATE_FRACTION * objective_seconds:
            self._late += 1
            self._late_targets.add(tag)
        if self._answers >= LEAST_ANSWERS and now - self._since >= JUDGE_SECONDS:
            self._judge()

    def _judge(self) -> None:
        """Move the limit by the answers since it was moved last, and the most that waited."""
        is_overloaded = self._late > LATE_SHARE * self._answers and len(
            self._late_targets
        ) > LATE_TARGETS_SHARE * len(self._answering)
        peak = self._peak
        self._answers = self._late = self._peak = 0
        self._answering.clear()
        self._late_targets.clear()
        self._overloaded = self._overloaded + 1 if is_overloaded else 0
        if is_overloaded and self._limit is not None:
            self._limit = max(LEAST_LIMIT, DECREASE_FACTOR * min(self._limit, peak))
        elif self._overloaded >= JUDGEMENTS_TO_LIMIT:
            self._limit = max(LEAST_LIMIT, DECREASE_FACTOR * peak)
        elif self._limit is not None and not is_overloaded:
            self._limit = self._limit * INCREASE_FACTOR + INCREASE_REQUESTS
            if self._limit > LIFTED_FACTOR * peak:
                self._limit = None
