"""Outlier detection for targets and zones, from the packets of callers.

A target or zone that leaves several packets in a row unanswered is ejected: new flows go elsewhere
for a time that doubles with each ejection. One answer ends the ejection and resets the time.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

EJECTION_FAILURE_COUNT = 3
"""Consecutive unanswered SYNs or retransmitted requests that lead to the first ejection; one or two
are ordinary packet loss. After an ejection, one more without an answer in between ejects again."""

MIN_EJECTION_SECONDS = 1.5
"""Length of the first ejection: about as long as callers wait for an answer."""

MAX_EJECTION_SECONDS = 6.0
"""Each further ejection is twice as long as the one before, up to this; by then the missed
heartbeats of a failed target are known."""


class _Record:
    __slots__ = ("ejection_seconds", "ejected_until", "failures")

    def __init__(self) -> None:
        self.failures = 0
        self.ejected_until = float("-inf")
        self.ejection_seconds = MIN_EJECTION_SECONDS


KeyT = TypeVar("KeyT", bound=Hashable)


class OutlierDetector(Generic[KeyT]):
    """Counts failures per key; keys are the tags of targets or the names of zones."""

    def __init__(self) -> None:
        self._records: dict[KeyT, _Record] = {}

    def record_failure(self, key: KeyT, now: float) -> bool:
        """Count an unanswered packet; return whether it ejects the key."""
        record = self._records.setdefault(key, _Record())
        record.failures += 1
        if record.failures < EJECTION_FAILURE_COUNT or now < record.ejected_until:
            return False
        record.ejected_until = now + record.ejection_seconds
        record.ejection_seconds = min(2 * record.ejection_seconds, MAX_EJECTION_SECONDS)
        record.failures = EJECTION_FAILURE_COUNT - 1
        return True

    def record_answer(self, key: KeyT) -> bool:
        """Clear the failures of a key that answered; return whether it had been ejected."""
        record = self._records.pop(key, None)
        return record is not None and record.ejected_until > float("-inf")

    def retain_known(self, is_known: Callable[[KeyT], bool]) -> None:
        """Drop the records of unknown keys."""
        self._records = {key: row for key, row in self._records.items() if is_known(key)}

    def is_ejected(self, key: KeyT, now: float) -> bool:
        """Return whether a key is ejected, so that new flows go elsewhere."""
        record = self._records.get(key)
        return record is not None and now < record.ejected_until
