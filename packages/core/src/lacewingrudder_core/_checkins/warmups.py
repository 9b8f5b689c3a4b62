"""The warm-ups that targets report in their check-ins."""

from __future__ import annotations

from .types import EntryKey, TargetEntry

MILLISECONDS_PER_SECOND = 1000

RESTART_TOLERANCE_SECONDS = 0.5
"""A reported end that lies later than the one before by more than this is that of a new warm-up;
check-ins that are delayed on their way move the end, too."""


class Warmups:
    """When the targets that warm up will have completed it."""

    def __init__(self) -> None:
        self._ends: dict[EntryKey, float] = {}

    def record(self, key: EntryKey, remaining_ms: int, now: float) -> bool:
        """Record the remaining warm-up of a target; return whether a new one has begun."""
        if remaining_ms <= 0:
            return False
        end = now + remaining_ms / MILLISECONDS_PER_SECOND
        before = self._ends.get(key, now)
        self._ends[key] = end
        return end > before + RESTART_TOLERANCE_SECONDS

    def refresh(self, entry: TargetEntry, now: float) -> TargetEntry:
        """Return an entry with the warm-up that remains now."""
        if not entry.warmup_remaining_ms:
            return entry
        seconds = max(0.0, self._ends.get(entry.key, now) - now)
        return entry._replace(warmup_remaining_ms=round(seconds * MILLISECONDS_PER_SECOND))

    def forget(self, key: EntryKey) -> None:
        """Forget an entry that is no longer published."""
        self._ends.pop(key, None)
