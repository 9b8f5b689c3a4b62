"""Targets that count as unreachable because entry hosts reported them as silent."""

from __future__ import annotations

from collections.abc import Collection

from .types import EntryKey

MAX_REPORTED_SHARE = 1 / 3
"""Share of a service's targets that may count as unreachable because of reports alone, though at
least one: wrong reports must not take away most of a service."""

FALSE_ALARM_BACKOFF_SECONDS = 10.0
"""How long reports are ignored after one that a heartbeat refuted: the network seems to lose
packets."""


class SilenceMarks:
    """When targets were marked as silent, and whether reports are believed.

    :param expiry_seconds: time after which a mark no longer counts towards the share.
    """

    def __init__(self, expiry_seconds: float) -> None:
        self._expiry_seconds = expiry_seconds
        self._marked_at: dict[EntryKey, float] = {}
        self._trusts_reports_from = float("-inf")

    def record(self, key: EntryKey, now: float) -> None:
        """Record that a target was marked."""
        self._marked_at[key] = now

    def record_heartbeat(self, key: EntryKey, now: float) -> None:
        """Remove the mark of a target that checks in: the report was wrong."""
        if self._marked_at.pop(key, None) is not None:
            self._trusts_reports_from = now + FALSE_ALARM_BACKOFF_SECONDS

    def remove(self, key: EntryKey) -> None:
        """Forget a target."""
        self._marked_at.pop(key, None)

    def may_mark(self, ready: Collection[EntryKey], now: float) -> bool:
        """Return whether one more of a service's targets may be marked.

        :param ready: all targets of the service that accept new flows.
        """
        if now < self._trusts_reports_from:
            return False
        self._marked_at = {
            key: at for key, at in self._marked_at.items() if now - at <= self._expiry_seconds
        }
        marked = sum(key in self._marked_at for key in ready)
        return marked + 1 <= max(1, int(MAX_REPORTED_SHARE * len(ready)))
