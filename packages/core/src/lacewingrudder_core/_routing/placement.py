"""Which target a new flow gets, from the shared table and this host's own evidence.

A flow on another target than the table's is a pin, which costs control bytes on other hosts. The
policy therefore leaves the table's choice only where it has to, and for busy slots within a budget.
"""

from __future__ import annotations

import abc
import math
from typing import NamedTuple

from ..types import FULL_WEIGHT, TargetName, ZoneName
from .health import HealthTracker
from .loads import LoadTracker
from .view import KindRoute

FULL_LOAD = 1.0
SECOND_CHOICES_PER_SECOND = 40.0
SECOND_CHOICE_BURST = 40.0
UNEVEN_FACTOR = 1.25
UNEVEN_FLOWS_PER_SLOT = 2 / 3
SLOW_FACTOR = 5.0
SLOW_LEAST_SECONDS = 0.1

_CANDIDATES = 4
_SALTS = 16


class PlacementPolicy(abc.ABC):
    """Chooses the target of a new flow."""

    @abc.abstractmethod
    def choose(
        self, route: KindRoute, digest: int, attempt: int, loads: LoadTracker, now: float
    ) -> TargetName | None:
        """Return a target, or ``None`` if there is none left to try.

        :param digest: the flow's hash.
        :param attempt: 0 for a new flow; 1 and up after as many targets did not answer the SYN. A
            higher attempt may name a target that a lower one named: ask again with the next.
        """


class TablePlacement(PlacementPolicy):
    """Keeps to the table's choice and never looks at loads; a baseline."""

    def choose(
        self, route: KindRoute, digest: int, attempt: int, loads: LoadTracker, now: float
    ) -> TargetName | None:
        """Return the table's choice under this attempt."""
        return route.table.choose(digest, attempt)


class ModuloPlacement(PlacementPolicy):
    """Plain hash: the flow's hash modulo the number of targets; a baseline."""

    def choose(
        self, route: KindRoute, digest: int, attempt: int, loads: LoadTracker, now: float
    ) -> TargetName | None:
        """Return the target at the hash's remainder."""
        entries = route.table.entries
        return entries[(digest + attempt) % len(entries)].name if entries else None


class LeastConnections(PlacementPolicy):
    """The target with the fewest of this host's flows for its weight; a baseline."""

    def choose(
        self, route: KindRoute, digest: int, attempt: int, loads: LoadTracker, now: float
    ) -> TargetName | None:
        """Return the least loaded target, skipping one for each attempt."""
        entries = route.table.entries
        if attempt >= len(entries):
            return None
        order = sorted(entries, key=lambda e: (loads.load(e.name).flows / e.weight, e.name))
        return order[attempt].name


class _Need(NamedTuple):
    """Why a flow leaves the table's choice.

    :param free_slot: only for a target with a free slot, and within the budget.
    """

    free_slot: bool


class LoadAwarePlacement(PlacementPolicy):
    """The table's choice, unless this host's evidence speaks against it.

    A second choice is made when the first is ejected, when it holds its connection limit divided by
    the number of hosts, or, within a budget, when its slots are busy while another's are free, it
    has far more flows than the table's next choice, or it answers far more slowly than others.
    Where the choice is free, targets of this host's zone come first.

    :param zone: this host's zone.
    :param health: this host's evidence on targets.
    """

    def __init__(self, zone: ZoneName, health: HealthTracker) -> None:
        self._zone = zone
        self._health = health
        self._budget = SECOND_CHOICE_BURST
        self._refilled = 0.0

    def choose(
        self, route: KindRoute, digest: int, attempt: int, loads: LoadTracker, now: float
    ) -> TargetName | None:
        """Return the first choice that the evidence allows."""
        first = route.table.choose(digest)
        if first is None:
            return None
        if attempt:
            return self._retry(route, digest, attempt, now)
        need = self._need(route, first, loads, now)
        if need is None or need.free_slot:
            faster = self._faster(route, digest, first, loads, now)
            if faster is not None:
                return faster
        if need is None:
            return self._lighter(route, digest, first, loads, now)
        return self._second(route, digest, first, need, loads, now)

    def _need(
        self, route: KindRoute, first: TargetName, loads: LoadTracker, now: float
    ) -> _Need | None:
        if self._health.ejected(first, now) or _at_limit(route, first, loads):
            return _Need(free_slot=False)
        if _slots_busy(route, first, loads):
            return _Need(free_slot=True)
        return None

    def _faster(
        self, route: KindRoute, digest: int, first: TargetName, loads: LoadTracker, now: float
    ) -> TargetName | None:
        """Return the fastest of a few further choices if the first is far slower than that.

        Busy slots alone do not tell a slow target in a flood, when all slots are busy.
        """
        expected = loads.answer_times.estimate(first, now)
        if expected < SLOW_LEAST_SECONDS or not self._has_budget(now):
            return None
        others = [
            name
            for name in self._order(route, digest)[1:]
            if not self._health.ejected(name, now) and not _at_limit(route, name, loads)
        ][:_CANDIDATES]
        if not others:
            return None
        best = min(others, key=lambda name: loads.answer_times.estimate(name, now))
        bound = max(SLOW_LEAST_SECONDS, SLOW_FACTOR * loads.answer_times.estimate(best, now))
        if expected < bound:
            return None
        self._budget -= 1
        return best

    def _lighter(
        self, route: KindRoute, digest: int, first: TargetName, loads: LoadTracker, now: float
    ) -> TargetName:
        """Return the table's next choice if it has far fewer flows for its slots.

        Two choices take most of the imbalance away (Mitzenmacher, "The Power of Two Choices in
        Randomized Load Balancing", 2001); the margin leaves most flows where the table has them.
        """
        other = route.table.choose(digest, 1)
        if other is None or other == first:
            return first
        limit = UNEVEN_FACTOR * _flows_per_slot(route, other, loads) + UNEVEN_FLOWS_PER_SLOT
        if _flows_per_slot(route, first, loads) <= limit or self._health.ejected(other, now):
            return first
        if not _slot_free(route, other, loads) or not self._has_budget(now):
            return first
        self._budget -= 1
        return other

    def _second(
        self,
        route: KindRoute,
        digest: int,
        first: TargetName,
        need: _Need,
        loads: LoadTracker,
        now: float,
    ) -> TargetName:
        if need.free_slot and not self._has_budget(now):
            return first
        order = self._order(route, digest)
        sound = [name for name in order if not self._health.ejected(name, now)]
        for name in sound[:_CANDIDATES]:
            if name == first or _at_limit(route, name, loads):
                continue
            if need.free_slot and not _slot_free(route, name, loads):
                continue
            self._budget -= need.free_slot
            return name
        return sound[0] if sound else first

    def _retry(self, route: KindRoute, digest: int, attempt: int, now: float) -> TargetName | None:
        order = self._order(route, digest)[attempt:]
        sound = (name for name in order if not self._health.ejected(name, now))
        return next(sound, order[0] if order else None)

    def _order(self, route: KindRoute, digest: int) -> list[TargetName]:
        """Return distinct choices: the table's first, then those of this zone, then others."""
        names = dict.fromkeys(route.table.choose(digest, salt) for salt in range(_SALTS))
        first, *others = [name for name in names if name is not None]
        if len(others) + 1 < min(_SALTS, len(route.table.entries)):
            known = {first, *others}
            others += [entry.name for entry in route.table.entries if entry.name not in known]
        return [first, *sorted(others, key=lambda name: not self._is_near(route, name))]

    def _is_near(self, route: KindRoute, name: TargetName) -> bool:
        record = route.records.get(name)
        return record is not None and record.target.zone == self._zone

    def _has_budget(self, now: float) -> bool:
        gained = (now - self._refilled) * SECOND_CHOICES_PER_SECOND
        self._budget = min(SECOND_CHOICE_BURST, self._budget + gained)
        self._refilled = now
        return self._budget >= 1


def _flows_per_slot(route: KindRoute, name: TargetName, loads: LoadTracker) -> float:
    """Return the flows for each slot; a target in its slow start counts with part of its slots."""
    record = route.records.get(name)
    slots = record.target.slots * record.weight / FULL_WEIGHT if record is not None else 1.0
    return loads.load(name).flows / slots if slots else math.inf


def _at_limit(route: KindRoute, name: TargetName, loads: LoadTracker) -> bool:
    record = route.records.get(name)
    if record is None:
        return False
    return loads.load(name).flows >= max(1, record.target.connection_limit // route.capacity.homes)


def _slots_busy(route: KindRoute, name: TargetName, loads: LoadTracker) -> bool:
    record = route.records.get(name)
    if record is None:
        return False
    busy = loads.load(name).busy
    return busy >= record.target.slots or (busy > 0 and record.load >= FULL_LOAD)


def _slot_free(route: KindRoute, name: TargetName, loads: LoadTracker) -> bool:
    record = route.records.get(name)
    return loads.load(name).busy == 0 and (record is None or record.load < FULL_LOAD)
