"""A weighted Maglev hash table (Eisenbud et al., 2016) that maps flow hashes to targets.

The table is a pure function of its entries, so hosts with the same view of the targets place a flow
on the same target without communicating.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from ..hashing import name_hash, pair_hash
from ..types import TargetName

TABLE_SIZES = (2039, 16381, 131071)
SLOTS_PER_ENTRY = 50
_OFFSET_SEED = 1
_SKIP_SEED = 2
_CHOICE_SEED = 0x9E3779B97F4A7C15


class WeightedTarget(NamedTuple):
    """A target with its weight in a table; a target of weight 0 gets no slot."""

    name: TargetName
    weight: float


class PlacementTable:
    """A lookup table of slots, each assigned to one target.

    :param entries: targets with weights, in any order.
    """

    def __init__(self, entries: Sequence[WeightedTarget]) -> None:
        self._entries = tuple(sorted(entry for entry in entries if entry.weight > 0))
        self._slots = _fill(self._entries)

    @property
    def entries(self) -> tuple[WeightedTarget, ...]:
        """The targets with a positive weight, sorted by name."""
        return self._entries

    def slot_owners(self) -> Iterator[TargetName]:
        """Return the target of each slot."""
        return (self._entries[index].name for index in self._slots)

    def choose(self, flow_hash: int, attempt: int = 0) -> TargetName | None:
        """Return the target for a flow's hash, or ``None`` if the table is empty.

        :param attempt: 0 for the first choice; higher numbers give further choices, which may
            repeat earlier ones.
        """
        if not self._slots:
            return None
        slot = pair_hash(flow_hash, _CHOICE_SEED + attempt) % len(self._slots)
        return self._entries[self._slots[slot]].name


def table_size(entries: int) -> int:
    """Return the table size, a prime, for a number of targets."""
    wanted = entries * SLOTS_PER_ENTRY
    return next((size for size in TABLE_SIZES if size >= wanted), TABLE_SIZES[-1])


def _fill(entries: Sequence[WeightedTarget]) -> list[int]:
    if not entries:
        return []
    heaviest = max(entry.weight for entry in entries)
    size = table_size(len(entries))
    offsets = [name_hash(entry.name, _OFFSET_SEED) % size for entry in entries]
    skips = [name_hash(entry.name, _SKIP_SEED) % (size - 1) + 1 for entry in entries]
    slots = [-1] * size
    steps = [0] * len(entries)
    credit = [0.0] * len(entries)
    filled = 0
    while True:
        for index, entry in enumerate(entries):
            credit[index] += entry.weight / heaviest
            if credit[index] < 1 - math.ulp(size):
                continue
            credit[index] -= 1
            slot = (offsets[index] + steps[index] * skips[index]) % size
            while slots[slot] >= 0:
                steps[index] += 1
                slot = (offsets[index] + steps[index] * skips[index]) % size
            slots[slot] = index
            steps[index] += 1
            filled += 1
            if filled == size:
                return slots
