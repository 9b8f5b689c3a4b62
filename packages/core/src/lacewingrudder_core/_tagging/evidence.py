"""What callers' packets show of the health of targets, and of the way to a zone.

What answers nobody for several packets in a row is avoided for a while, and longer each time; one
answer clears it.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

EJECTION_FAILURES = 3
"""Unanswered SYNs or repeated requests in a row; one or two are ordinary packet loss."""

AVOID_FIRST_SECONDS = 1.5
"""How long a target is avoided first: about what callers wait for an answer."""

AVOID_LAST_SECONDS = 6.0
"""The longest a target is avoided; by then its missed heartbeats are known."""


class _Record:
    __slots__ = ("avoid_seconds", "avoided_until", "failures")

    def __init__(self) -> None:
        self.failures = 0
        self.avoided_until = float("-inf")
        self.avoid_seconds = AVOID_FIRST_SECONDS


KeyT = TypeVar("KeyT", bound=Hashable)


class Evidence(Generic[KeyT]):
    """Failures and answers, of targets by their tags or of zones by their names."""

    def __init__(self) -> None:
        self._records: dict[KeyT, _Record] = {}

    def failed(self, key: KeyT, now: float) -> bool:
        """Count a packet that got no answer; return whether the key is avoided from now on."""
        record = self._records.setdefault(key, _Record())
        record.failures += 1
        if record.failures < EJECTION_FAILURES or now < record.avoided_until:
            return False
        record.avoided_until = now + record.avoid_seconds
        record.avoid_seconds = min(2 * record.avoid_seconds, AVOID_LAST_SECONDS)
        record.failures = EJECTION_FAILURES - 1
        return True

    def answered(self, key: KeyT) -> bool:
        """Take in an answer; return whether the key was avoided until now."""
        record = self._records.pop(key, None)
        return record is not None and record.avoided_until > float("-inf")

    def forget(self, is_known: Callable[[KeyT], bool]) -> None:
        """Drop the records of keys that no longer exist."""
        self._records = {key: row for key, row in self._records.items() if is_known(key)}

    def is_avoided(self, key: KeyT, now: float) -> bool:
        """Return whether new flows go elsewhere for now."""
        record = self._records.get(key)
        return record is not None and now < record.avoided_until
