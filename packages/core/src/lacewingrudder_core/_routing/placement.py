"""Placement policies: select the target of a new flow.

A flow that is not on the placement table's target has to be pinned, and pins are replicated to
other hosts at a cost in bandwidth. The default policy therefore deviates from the table only when
it has to, or, to balance load, within a budget.
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
DEVIATIONS_PER_SECOND = 40.0
DEVIATION_BURST = 40.0

# The table's next choice is preferred if the first choice has more flows per slot than the next,
# multiplied by this factor and increased by this number.
IMBALANCE_FACTOR = 1.25
IMBALANCE_FLOWS_PER_SLOT = 2 / 3

# A target is slow if its response time is at least MIN_SLOW_SECONDS, and SLOW_FACTOR times that of
# the best alternative.
SLOW_FACTOR = 5.0
MIN_SLOW_SECONDS = 0.1

_MAX_ALTERNATIVES = 4
_MAX_TABLE_CHOICES = 16


class PlacementPolicy(abc.ABC):
    """Selects the target of a new flow."""

    @abc.abstractmethod
    def choose(
        self, route: KindRoute, flow_hash: int, attempt: int, loads: LoadTracker, now: float
    ) -> TargetName | None:
        """Return a target, or ``None`` if no target is left to try.

        :param flow_hash: the flow's hash.
        :param attempt: 0 for a new flow; 1 and up number the retries after a target did not
            accept the SYN. The result may be a target that an earlier attempt returned; the
            caller then tries the next number.
        """


class TablePlacement(PlacementPolicy):
    """Always follows the placement table, regardless of load; a baseline for comparisons."""

    def choose(
        self, route: KindRoute, flow_hash: int, attempt: int, loads: LoadTracker, now: float
    ) -> TargetName | None:
        """Return the table's choice for this attempt."""
        return route.table.choose(flow_hash, attempt)


class ModuloPlacement(PlacementPolicy):
    """Selects by the flow's hash modulo the number of targets; a baseline for comparisons."""

    def choose(
        self, route: KindRoute, flow_hash: int, attempt: int, loads: LoadTracker, now: float
    ) -> TargetName | None:
        """Return the target whose index is the remainder."""
        entries = route.table.entries
        return entries[(flow_hash + attempt) % len(entries)].name if entries else None


class LeastConnections(PlacementPolicy):
    """Selects the target with the fewest of this host's flows per weight; a baseline."""

    def choose(
        self, route: KindRoute, flow_hash: int, attempt: int, loads: LoadTracker, now: float
    ) -> TargetName | None:
        """Return the least loaded target; each further attempt returns the next by load."""
        entries = route.table.entries
        if attempt >= len(entries):
            return None
        order = sorted(entries, key=lambda e: (loads.load(e.name).flows / e.weight, e.name))
        return order[attempt].name


class _Deviation(NamedTuple):
    """A reason to place a flow on another target than the table's first choice.

    :param needs_free_slot: whether the other target needs a free slot, and the budget applies.
    """

    needs_free_slot: bool


class LoadAwarePlacement(PlacementPolicy):
    """Follows the placement table unless load or health call for another target.

    It deviates from the table's first choice when that target is ejected or has reached its
    connection limit divided by the number of hosts. Within a budget, it also deviates when the
    target's slots are busy while another's are free, when the target has far more flows than the
    table's next choice, or when it responds far more slowly than others. Among the alternatives,
    targets in this host's zone come first.

    :param zone: this host's zone.
    :param health: which targets this host has ejected.
    """

    def __init__(self, zone: ZoneName, health: HealthTracker) -> None:
        self._zone = zone
        self._health = health
        self._budget = DEVIATION_BURST
        self._refilled_at = 0.0

    def choose(
        self, route: KindRoute, flow_hash: int, attempt: int, loads: LoadTracker, now: float
    ) -> TargetName | None:
        """Return the table's first choice, or another target if load or health call for it."""
        first = route.table.choose(flow_hash)
        if first is None:
            return None
        if attempt:
            return self._retry(route, flow_hash, attempt, now)
        deviation = self._deviation(route, first, loads, now)
        if deviation is None or deviation.needs_free_slot:
            faster = self._find_faster(route, flow_hash, first, loads, now)
            if faster is not None:
                return faster
        if deviation is None:
            return self._choose_less_loaded(route, flow_hash, first, loads, now)
        return self._choose_alternative(route, flow_hash, first, deviation, loads, now)

    def _deviation(
        self, route: KindRoute, first: TargetName, loads: LoadTracker, now: float
    ) -> _Deviation | None:
        if self._health.is_ejected(first, now) or _is_at_connection_limit(route, first, loads):
            return _Deviation(needs_free_slot=False)
        if _has_no_free_slot(route, first, loads):
            return _Deviation(needs_free_slot=True)
        return None

    def _find_faster(
        self, route: KindRoute, flow_hash: int, first: TargetName, loads: LoadTracker, now: float
    ) -> TargetName | None:
        """Return the fastest of a few further choices if the first is far slower.

        Under overload, the slots of all targets are busy, so busy slots alone do not reveal a slow
        target.
        """
        expected = loads.answer_times.estimate(first, now)
        if expected < MIN_SLOW_SECONDS or not self._refill_and_check_budget(now):
            return None
        others = [
            name
            for name in self._choices(route, flow_hash)[1:]
            if not self._health.is_ejected(name, now)
            and not _is_at_connection_limit(route, name, loads)
        ][:_MAX_ALTERNATIVES]
        if not others:
            return None
        best = min(others, key=lambda name: loads.answer_times.estimate(name, now))
        bound = max(MIN_SLOW_SECONDS, SLOW_FACTOR * loads.answer_times.estimate(best, now))
        if expected < bound:
            return None
        self._budget -= 1
        return best

    def _choose_less_loaded(
        self, route: KindRoute, flow_hash: int, first: TargetName, loads: LoadTracker, now: float
    ) -> TargetName:
        """Return the table's next choice if it has far fewer flows per slot, else the first.

        Two choices remove most of the imbalance (Mitzenmacher, "The Power of Two Choices in
        Randomized Load Balancing", 2001); the margin keeps most flows on the table's choice.
        """
        other = route.table.choose(flow_hash, 1)
        if other is None or other == first:
            return first
        limit = IMBALANCE_FACTOR * _flows_per_slot(route, other, loads) + IMBALANCE_FLOWS_PER_SLOT
        if _flows_per_slot(route, first, loads) <= limit or self._health.is_ejected(other, now):
            return first
        if not _is_idle(route, other, loads) or not self._refill_and_check_budget(now):
            return first
        self._budget -= 1
        return other

    def _choose_alternative(
        self,
        route: KindRoute,
        flow_hash: int,
        first: TargetName,
        deviation: _Deviation,
        loads: LoadTracker,
        now: float,
    ) -> TargetName:
        if deviation.needs_free_slot and not self._refill_and_check_budget(now):
            return first
        order = self._choices(route, flow_hash)
        healthy = [name for name in order if not self._health.is_ejected(name, now)]
        for name in healthy[:_MAX_ALTERNATIVES]:
            if name == first or _is_at_connection_limit(route, name, loads):
                continue
            if deviation.needs_free_slot and not _is_idle(route, name, loads):
                continue
            self._budget -= deviation.needs_free_slot
            return name
        return healthy[0] if healthy else first

    def _retry(
        self, route: KindRoute, flow_hash: int, attempt: int, now: float
    ) -> TargetName | None:
        order = self._choices(route, flow_hash)[attempt:]
        healthy = (name for name in order if not self._health.is_ejected(name, now))
        return next(healthy, order[0] if order else None)

    def _choices(self, route: KindRoute, flow_hash: int) -> list[TargetName]:
        """Return the distinct choices: the table's first, then this zone's, then all others."""
        names = dict.fromkeys(
            route.table.choose(flow_hash, attempt) for attempt in range(_MAX_TABLE_CHOICES)
        )
        first, *others = [name for name in names if name is not None]
        if len(others) + 1 < min(_MAX_TABLE_CHOICES, len(route.table.entries)):
            known = {first, *others}
            others += [entry.name for entry in route.table.entries if entry.name not in known]
        return [first, *sorted(others, key=lambda name: not self._is_local(route, name))]

    def _is_local(self, route: KindRoute, name: TargetName) -> bool:
        record = route.records.get(name)
        return record is not None and record.target.zone == self._zone

    def _refill_and_check_budget(self, now: float) -> bool:
        refill = (now - self._refilled_at) * DEVIATIONS_PER_SECOND
        self._budget = min(DEVIATION_BURST, self._budget + refill)
        self._refilled_at = now
        return self._budget >= 1


def _flows_per_slot(route: KindRoute, name: TargetName, loads: LoadTracker) -> float:
    """Return the flows per slot; during slow start, a target counts with part of its slots."""
    record = route.records.get(name)
    slots = record.target.slots * record.weight / FULL_WEIGHT if record is not None else 1.0
    return loads.load(name).flows / slots if slots else math.inf


def _is_at_connection_limit(route: KindRoute, name: TargetName, loads: LoadTracker) -> bool:
    record = route.records.get(name)
    if record is None:
        return False
    return loads.load(name).flows >= max(1, record.target.connection_limit // route.capacity.homes)


def _has_no_free_slot(route: KindRoute, name: TargetName, loads: LoadTracker) -> bool:
    record = route.records.get(name)
    if record is None:
        return False
    busy = loads.load(name).busy
    return busy >= record.target.slots or (busy > 0 and record.load >= FULL_LOAD)


def _is_idle(route: KindRoute, name: TargetName, loads: LoadTracker) -> bool:
    record = route.records.get(name)
    return loads.load(name).busy == 0 and (record is None or record.load < FULL_LOAD)
