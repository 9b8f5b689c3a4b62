"""Numbers the changes of a control host's entries, so that subscribers receive only new ones.

A subscriber without a position, or with one from another epoch, receives all entries.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from typing import NamedTuple

from .types import EntryKey, LifeState, Position, TargetEntry

ENDED_RETENTION_SECONDS = 120.0
"""How long the entry of an ended lifetime is kept after its last change: twice the age at which
flows may be dropped."""


class _NumberedEntry(NamedTuple):
    number: int
    entry: TargetEntry


class VersionedEntries:
    """Entries of one control host, each with the number of its last change, in their order.

    :param epoch: identifies this start of the host.
    """

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._number = 0
        self._last_removal = 0
        self._entries: dict[EntryKey, _NumberedEntry] = {}
        self._ended_at: dict[EntryKey, float] = {}

    @property
    def position(self) -> Position:
        """Position of the last change."""
        return Position(self._epoch, self._number)

    @property
    def last_removal(self) -> int:
        """Number of the last removal, which is sent without delay.

        Removals are drains, ends of lifetimes, and targets that entry hosts report as silent.
        """
        return self._last_removal

    def get(self, key: EntryKey) -> TargetEntry | None:
        """Return an entry, or ``None``."""
        found = self._entries.get(key)
        return None if found is None else found.entry

    def get_all(self, keys: Iterable[EntryKey]) -> list[TargetEntry]:
        """Return those of some entries that are known."""
        found = (self._entries.get(key) for key in keys)
        return [row.entry for row in found if row is not None]

    def entries(self) -> list[TargetEntry]:
        """Return all entries."""
        return [row.entry for row in self._entries.values()]

    def put(self, entry: TargetEntry, now: float, is_removal: bool = False) -> None:
        """Store an entry under the next number, replacing the previous one with its key.

        :param is_removal: whether it counts as a removal although its state is ready.
        """
        self._number += 1
        self._entries.pop(entry.key, None)
        self._entries[entry.key] = _NumberedEntry(self._number, entry)
        self._ended_at.pop(entry.key, None)
        if entry.state is LifeState.GONE:
            self._ended_at[entry.key] = now
        if is_removal or entry.state is not LifeState.READY:
            self._last_removal = self._number

    def changes_since(self, position: Position) -> tuple[int, tuple[TargetEntry, ...]]:
        """Return the changes after a position.

        :return: the number after which the changes begin, 0 if the position is of another epoch;
            and the entries that changed after it.
        """
        known = position.number if position.epoch == self._epoch else 0
        if known >= self._number:
            return known, ()
        newest_first = itertools.takewhile(
            lambda row: row.number > known, reversed(self._entries.values())
        )
        return known, tuple(row.entry for row in newest_first)[::-1]

    def remove_ended(self, now: float) -> list[TargetEntry]:
        """Remove the entries of lifetimes that ended long ago, and return them."""
        ended: list[TargetEntry] = []
        while self._ended_at:
            key, ended_at = next(iter(self._ended_at.items()))
            if now - ended_at <= ENDED_RETENTION_SECONDS:
                break
            del self._ended_at[key]
            ended.append(self._entries.pop(key).entry)
        return ended
