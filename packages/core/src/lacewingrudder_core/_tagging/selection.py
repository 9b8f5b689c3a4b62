"""Choice of a target for a new flow."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple

from ..types import ZoneName
from .flow_book import TargetLoad
from .roster import Candidate, Candidates
from .types import Split

BUSY_WEIGHT = 1.0
"""Load of a request that waits for its answer, in slots."""

FLOW_WEIGHT = 0.15
"""Load of an open flow, in slots: most are idle at any moment."""

FOREIGN_ZONE_LOAD = 3.0
"""Load that a target of another zone has to be below the own zone's, as a share of its slots."""

COMPARED = 16
"""Targets of the own zone that are compared for a flow. The best of a few is nearly as good as the
best of all (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001), and a SYN
at a host with 1,000 targets would take milliseconds."""

COLD_FACTOR = 1.6
"""How much slower a target is that has just started."""


class SplitCounter:
    """Spreads the flows of a route over its splits, exact over any window (smooth round robin)."""

    def __init__(self) -> None:
        self._credits: dict[str, float] = {}

    def choose(self, splits: Sequence[Split]) -> str | None:
        """Return the service of the next flow, or ``None`` if no split has a weight."""
        weighed = [split for split in splits if split.weight > 0]
        if len(weighed) <= 1:
            return weighed[0].service if weighed else None
        total = sum(split.weight for split in weighed)
        for split in weighed:
            self._credits[split.service] = self._credits.get(split.service, 0) + split.weight
        best = max(weighed, key=lambda split: self._credits[split.service])
        self._credits[best.service] -= total
        return best.service


class TargetChooser:
    """Chooses targets for new flows of one host.

    :param zone: of this host.
    :param load: what a target has to do, by its tag.
    """

    def __init__(self, zone: ZoneName, load: Callable[[int], TargetLoad]) -> None:
        self._zone = zone
        self._load = load
        self._next = 0

    def choose(
        self,
        candidates: Candidates,
        tried: Collection[int],
        is_avoided: Callable[[Candidate], bool],
        now: float,
    ) -> Candidate | None:
        """Return the least loaded target, those of the own zone first, or ``None``.

        Targets that earlier copies of the SYN went to, that are avoided, or that miss heartbeats
        come last: one of them is still better than none. A copy also leaves another zone that did
        not answer, since the way there may be cut.
        """
        rows = candidates.rows
        silent_zones: set[ZoneName] = set()
        if tried:
            silent_zones = {row.entry.zone for row in rows if row.tag in tried} - {self._zone}

        def cost(candidate: Candidate) -> _Cost:
            zone = candidate.entry.zone
            doubts = 2 * (not candidate.is_fresh) + is_avoided(candidate) + (zone in silent_zones)
            doubts += 4 * sum(1 for tag in tried if tag == candidate.tag)
            return _Cost(doubts, self._used(candidate, now))

        near = self._few(candidates.near)
        best = min(near, key=cost, default=None)
        if best is not None and cost(best) < _Cost(0, FOREIGN_ZONE_LOAD):
            return best
        return min(rows, key=cost, default=None)

    def _used(self, candidate: Candidate, now: float) -> float:
        flows, opening, waiting = self._load(candidate.tag)
        slots = max(1, candidate.entry.slots)
        used = (BUSY_WEIGHT * waiting + FLOW_WEIGHT * (flows + opening + 1)) / slots
        if now < candidate.warm_at:
            used *= COLD_FACTOR
        return used if candidate.entry.zone == self._zone else used + FOREIGN_ZONE_LOAD

    def _few(self, near: Sequence[Candidate]) -> Sequence[Candidate]:
        """Return candidates to compare: all in turn, a few at a time."""
        if len(near) <= COMPARED:
            return near
        start = self._next % len(near)
        self._next = start + COMPARED
        return [*near[start : start + COMPARED], *near[: max(0, self._next - len(near))]]


class _Cost(NamedTuple):
    """What speaks against a target; the lowest is chosen.

    :param doubts: whether it answers at all.
    :param used: its load for each slot.
    """

    doubts: int
    used: float
