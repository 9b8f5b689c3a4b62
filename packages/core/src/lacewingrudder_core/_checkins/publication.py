"""Decides when changes are published to all subscribers, and to how many of them at a time."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from ..types import HostName
from .subscribers import MIN_UPDATE_INTERVAL_SECONDS

REMOVAL_INTERVAL_SECONDS = 0.02
"""Minimum interval between publications of removals. The first is published at once; those that
follow within the interval share one update."""

BATCH_HOSTS = 32
"""Maximum number of subscribers that are sent updates before other messages are handled again:
replication of the log and answers to operators must not wait for a whole publication."""


class Publication:
    """The publication of changes: when the next one begins, and who is left in the current one."""

    def __init__(self) -> None:
        self._started_at = float("-inf")
        self._due_at: float | None = None
        self._remaining: collections.deque[HostName] = collections.deque()

    def request_removal(self, now: float) -> None:
        """Request a publication of removals, at once or when the minimum interval has passed."""
        due_at = max(now, self._started_at + REMOVAL_INTERVAL_SECONDS)
        self._due_at = due_at if self._due_at is None else min(self._due_at, due_at)

    def request(self, now: float) -> None:
        """Request a publication of other changes, unless the last one began a short time ago.

        The request is repeated at each tick until all subscribers have acknowledged the changes.
        """
        if now - self._started_at >= MIN_UPDATE_INTERVAL_SECONDS:
            self._due_at = now

    def is_due(self, now: float) -> bool:
        """Return whether a requested publication may begin.

        The current one is completed first.
        """
        return self._due_at is not None and now >= self._due_at and not self._remaining

    def start(self, hosts: Iterable[HostName], now: float) -> None:
        """Begin the requested publication to some hosts."""
        self._started_at, self._due_at = now, None
        self._remaining.extend(hosts)

    def pop_batch(self) -> list[HostName]:
        """Return the next hosts of the current publication."""
        count = min(BATCH_HOSTS, len(self._remaining))
        return [self._remaining.popleft() for _ in range(count)]

    def continues_at(self, now: float) -> float | None:
        """Return when to continue, or ``None`` if nothing is left to publish."""
        return now if self._remaining else self._due_at
