"""Outlier detection for targets and zones, from the packets of callers.

A target or zone that leaves several packets in a row unanswered is ejected: new flows go elsewhere
for a time that doubles with each ejection. One answer ends the ejection and resets the time.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

EJECTION_FAILURES = 3
"""Consecutive unanswered SYNs or retransmitted requests that lead to an ejection; one or two are
ordinary packet loss."""

AVOID_FIRST_SECONDS = 1.5
"""Length of the first ejection: about as long as callers wait for an answer."""

AVOID_LAST_SECONDS = 6.0
"""Length of the longest ejection; by then the missed heartbeats of a failed target are known."""


class _Record:
    __slots__ = ("avoid_seconds", "avoided_until", "failures")

    def __init__(self) -> None:
        self.failures = 0
        self.avoided_until = float("-inf")
        self.avoid_seconds = AVOID_FIRST_SECONDS


KeyT = TypeVar("KeyT", bound=Hashable)


class Evidence(Generic[KeyT]):
    """Counts failures per key; keys are the tags of targets or the names of zones."""

    def __init__(self) -> None:
        self._records: dict[KeyT, _Record] = {}

    def failed(self, key: KeyT, now: float) -> bool:
        """Count an unanswered packet; return whether it ejects the key."""
        record = self._records.setdefault(key, _Record())
        record.failures += 1
        if record.failures < EJECTION_FAILURES or now < record.avoided_until:
            return False
        record.avoided_until = now + record.avoid_seconds
        record.avoid_seconds = min(2 * record.avoid_seconds, AVOID_LAST_SECONDS)
        record.failures = EJECTION_FAILURES - 1
        return True

    def answered(self, key: KeyT) -> bool:
        """Clear the failures of a key that answered; return whether it had been ejected."""
        record = self._records.pop(key, None)
        return record is not None and record.avoided_until > float("-inf")

    def forget(self, is_known: Callable[[KeyT], bool]) -> None:
        """Drop the records of unknown keys."""
        self._records = {key: row for key, row in self._records.items() if is_known(key)}

    def is_avoided(self, key: KeyT, now: float) -> bool:
        """Return whether a key is ejected, so that new flows go elsewhere."""
        record = self._records.get(key)
        return record is not None and now < record.avoided_until
