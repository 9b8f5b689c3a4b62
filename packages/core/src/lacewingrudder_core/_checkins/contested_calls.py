"""Check-ins that contradict what is known, and that count once they are repeated."""

from __future__ import annotations

from .types import EntryKey

MIN_REPEAT_HEARTBEATS = 0.5
"""Heartbeats between two check-ins that show that their target still runs: calls that were delayed
arrive together."""


class ContestedCalls:
    """When the first of several contested check-ins arrived.

    :param heartbeat_seconds: interval at which targets check in.
    :param expiry_seconds: time after which a check-in is forgotten.
    """

    def __init__(self, heartbeat_seconds: float, expiry_seconds: float) -> None:
        self._min_repeat_seconds = MIN_REPEAT_HEARTBEATS * heartbeat_seconds
        self._expiry_seconds = expiry_seconds
        self._since: dict[EntryKey, float] = {}

    def __len__(self) -> int:
        return len(self._since)

    def is_repeated(self, key: EntryKey, now: float) -> bool:
        """Record a check-in; return whether its target goes on checking in."""
        return now - self._since.setdefault(key, now) >= self._min_repeat_seconds

    def expire(self, now: float) -> None:
        """Forget check-ins of long ago."""
        self._since = {
            key: since for key, since in self._since.items() if now - since <= self._expiry_seconds
        }
