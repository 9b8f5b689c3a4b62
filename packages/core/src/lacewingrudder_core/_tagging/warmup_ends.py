"""When the warm-ups of targets end, as this host's clock tells."""

from __future__ import annotations

from typing import NamedTuple

from .._checkins.types import Lifetime, TargetEntry

MILLISECONDS_PER_SECOND = 1000


class _WarmupEnd(NamedTuple):
    """The end of a target's warm-up, and the sequence number of the entry that told it."""

    sequence: int
    at: float


class WarmupEnds:
    """The ends of the warm-ups of targets. An entry tells the time that remains when it is new."""

    def __init__(self) -> None:
        self._ends: dict[Lifetime, _WarmupEnd] = {}

    def __len__(self) -> int:
        return len(self._ends)

    def record(self, entry: TargetEntry, now: float) -> float:
        """Record an entry of a target; return when its warm-up ends."""
        end = self._ends.get(entry.lifetime)
        if end is None or entry.sequence > end.sequence:
            reported = now + entry.warmup_remaining_ms / MILLISECONDS_PER_SECOND
            at = reported if end is None else max(end.at, reported)
            end = self._ends[entry.lifetime] = _WarmupEnd(entry.sequence, at)
        return end.at

    def extend(self, entry: TargetEntry, until: float) -> None:
        """Set the end of a target's warm-up."""
        self._ends[entry.lifetime] = _WarmupEnd(entry.sequence, until)

    def forget(self, lifetime: Lifetime) -> None:
        """Forget a target."""
        self._ends.pop(lifetime, None)
