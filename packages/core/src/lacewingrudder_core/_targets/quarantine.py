"""How long the endpoint of a lost target stays closed to another service.

A host that still keeps flows of a lost target claims the target again and again. Its endpoint may
serve another service or kind of work once no claim was heard for the quarantine time.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..types import TargetName, TargetRecord, TargetState

CLAIM_SECONDS = 5.0
QUARANTINE_SECONDS = 20.0


class Quarantine:
    """Remembers when each lost target was last seen, or claimed by a host with its flows."""

    def __init__(self) -> None:
        self._claimed: dict[TargetName, float] = {}

    def update(self, record: TargetRecord, now: float) -> None:
        """Take a record that is new to this host."""
        if record.state is TargetState.LOST:
            self.claim([record.target.name], now)

    def claim(self, names: Iterable[TargetName], now: float) -> None:
        """Take note that these targets still have flows."""
        self._claimed.update((name, now) for name in names)

    def is_over(self, record: TargetRecord, now: float) -> bool:
        """Return whether no flow of a lost target can be left."""
        claimed = self._claimed.get(record.target.name)
        return claimed is not None and now - claimed > QUARANTINE_SECONDS

    def postpone(self, seconds: float) -> None:
        """Move all times by an interval in which this process did not run."""
        self._claimed = {name: at + seconds for name, at in self._claimed.items()}
