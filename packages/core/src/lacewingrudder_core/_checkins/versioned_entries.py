"""Numbers the changes of a control host's entries, so that subscribers receive only new ones.

A subscriber without a position, or with one from another epoch, receives all entries.
"""

from __future__ import annotations

from typing import NamedTuple

from .types import LifeState, Lifetime, Position, TargetEntry

ENDED_RETENTION_SECONDS = 120.0
"""How long the entry of an ended lifetime is kept after its last change: twice the age at which
flows may be dropped."""


class _NumberedEntry(NamedTuple):
    number: int
    entry: TargetEntry
    changed_at: float


class VersionedEntries:
    """Entries of one control host, each with the number of its last change.

    :param epoch: identifies this start of the host.
    """

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._number = 0
        self._last_removal = 0
        self._entries: dict[Lifetime, _NumberedEntry] = {}

    @property
    def position(self) -> Position:
        """Position of the last change."""
        return Position(self._epoch, self._number)

    @property
    def last_removal(self) -> int:
        """Number of the last removal: a drain or the end of a lifetime, sent without delay."""
        return self._last_removal

    def get(self, lifetime: Lifetime) -> TargetEntry | None:
        """Return the entry of a lifetime, or ``None``."""
        found = self._entries.get(lifetime)
        return None if found is None else found.entry

    def entries(self) -> list[TargetEntry]:
        """Return all entries."""
        return [row.entry for row in self._entries.values()]

    def put(self, entry: TargetEntry, now: float) -> None:
        """Store an entry under the next number, replacing the previous one of its lifetime."""
        self._number += 1
        self._entries[entry.lifetime] = _NumberedEntry(self._number, entry, now)
        if entry.state is not LifeState.READY:
            self._last_removal = self._number

    def changes_since(self, position: Position) -> tuple[int, tuple[TargetEntry, ...]]:
        """Return the changes after a position.

        :return: the number after which the changes begin, 0 if the position is of another epoch;
            and the entries that changed after it.
        """
        known = position.number if position.epoch == self._epoch else 0
        if known >= self._number:
            return known, ()
        changed = tuple(row.entry for row in self._entries.values() if row.number > known)
        return known, changed

    def remove_ended(self, now: float) -> list[TargetEntry]:
        """Remove the entries of lifetimes that ended long ago, and return them."""
        ended = [
            row.entry
            for row in self._entries.values()
            if row.entry.state is LifeState.GONE and now - row.changed_at > ENDED_RETENTION_SECONDS
        ]
        for entry in ended:
            del self._entries[entry.lifetime]
        return ended
