"""Detects targets that leave the SYNs of new flows unanswered, for reports to control hosts.

A target answers a SYN at once, however busy it is. Its answers don't pass through this host, but
the caller's next packet does.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import NamedTuple

from .._propagation.token_bucket import TokenBucket
from ..types import FlowKey

SYN_ANSWER_TIMEOUT_SECONDS = 0.06
"""A target counts as silent if a SYN got no answer for this long: more than the round trip of a
caller in another region."""

REPORT_INTERVAL_SECONDS = 0.05
"""Minimum interval between reports of the same target."""

MAX_REPORTS_PER_SECOND = 20.0
"""Limits the reports of a host whose callers never answer, as in a flood from forged addresses."""


class SilentTarget(NamedTuple):
    """A target to report.

    :param unanswered_seconds: time since the SYN that it left unanswered.
    """

    tag: int
    unanswered_seconds: float


class _SentSyn(NamedTuple):
    flow: FlowKey
    tag: int
    at: float


class SilenceDetector:
    """Watches the SYNs that this host forwarded."""

    def __init__(self) -> None:
        self._sent: collections.deque[_SentSyn] = collections.deque()
        self._answered_at: dict[int, float] = {}
        self._reported_at: dict[int, float] = {}
        self._budget = TokenBucket(MAX_REPORTS_PER_SECOND, MAX_REPORTS_PER_SECOND)

    @property
    def next_check_at(self) -> float | None:
        """Time of the next call of :meth:`pop_silent`, or ``None`` if there is nothing to check."""
        return self._sent[0].at + SYN_ANSWER_TIMEOUT_SECONDS if self._sent else None

    def record_syn(self, flow: FlowKey, tag: int, now: float) -> None:
        """Record that a SYN was forwarded to the target with a tag."""
        self._sent.append(_SentSyn(flow, tag, now))

    def record_answer(self, tag: int, sent_at: float) -> None:
        """Record that a target answered a SYN or request.

        :param sent_at: when the SYN or request was forwarded to it.
        """
        self._answered_at[tag] = max(sent_at, self._answered_at.get(tag, sent_at))

    def has_answered(self, tag: int, seconds: float, now: float) -> bool:
        """Return whether a target answered anything that was sent to it in the last seconds."""
        return now - self._answered_at.get(tag, float("-inf")) <= seconds

    def has_answered_since(self, tag: int, at: float) -> bool:
        """Return whether a target answered anything that was sent to it at some time or later."""
        return self._answered_at.get(tag, float("-inf")) >= at

    def pop_silent(
        self, is_unanswered: Callable[[FlowKey, int], bool], now: float
    ) -> list[SilentTarget]:
        """Return the targets to report, which left a SYN unanswered for too long.

        :param is_unanswered: whether a flow is still being opened at the target with a tag.
        """
        silent: list[SilentTarget] = []
        while self._sent and now >= self._sent[0].at + SYN_ANSWER_TIMEOUT_SECONDS:
            flow, tag, at = self._sent.popleft()
            if self._answered_at.get(tag, float("-inf")) >= at or not is_unanswered(flow, tag):
                continue
            if now - self._reported_at.get(tag, float("-inf")) < REPORT_INTERVAL_SECONDS:
                continue
            if self._budget.take(1, now):
                self._reported_at[tag] = now
                silent.append(SilentTarget(tag, now - at))
        return silent

    def retain_known(self, is_known: Callable[[int], bool]) -> None:
        """Forget the tags of targets that are no longer known."""
        self._answered_at = {tag: at for tag, at in self._answered_at.items() if is_known(tag)}
        self._reported_at = {tag: at for tag, at in self._reported_at.items() if is_known(tag)}
