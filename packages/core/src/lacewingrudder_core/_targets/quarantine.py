"""How long the endpoint of a lost target must not be used by another service.

A host that still has flows on a lost target claims the target repeatedly. The endpoint may serve
another service or kind of work once no claim has arrived for the quarantine time.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..types import TargetName, TargetRecord, TargetState

CLAIM_INTERVAL_SECONDS = 5.0  # between the claims of a host that still has flows on a target
QUARANTINE_SECONDS = 20.0


class Quarantine:
    """The time at which each lost target was lost, or last claimed by a host with its flows."""

    def __init__(self) -> None:
        self._claimed_at: dict[TargetName, float] = {}

    def update(self, record: TargetRecord, now: float) -> None:
        """Start the quarantine if a new record shows that its target is lost."""
        if record.state is TargetState.LOST:
            self.claim([record.target.name], now)

    def claim(self, names: Iterable[TargetName], now: float) -> None:
        """Record that these targets still have flows."""
        self._claimed_at.update((name, now) for name in names)

    def is_over(self, record: TargetRecord, now: float) -> bool:
        """Return whether no flows on a lost target can be left."""
        claimed = self._claimed_at.get(record.target.name)
        return claimed is not None and now - claimed > QUARANTINE_SECONDS

    def shift(self, seconds: float) -> None:
        """Shift all timers by an interval in which this process was paused."""
        self._claimed_at = {name: at + seconds for name, at in self._claimed_at.items()}
