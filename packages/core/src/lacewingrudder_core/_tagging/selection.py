"""Choice of a target for a new flow."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence

from ..types import ZoneName
from .flow_book import TargetLoad
from .roster import Candidate
from .types import Split

BUSY_WEIGHT = 1.0
"""Load of a request that waits for its answer, in slots."""

FLOW_WEIGHT = 0.15
"""Load of an open flow, in slots: most are idle at any moment."""

FOREIGN_ZONE_LOAD = 3.0
"""Load that a target of another zone has to be below the own zone's, as a share of its slots."""

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


def choose_target(
    candidates: Sequence[Candidate],
    tried: Collection[int],
    zone: ZoneName,
    load: Callable[[int], TargetLoad],
    is_avoided: Callable[[Candidate], bool],
    now: float,
) -> Candidate | None:
    """Return the least loaded target, those of the own zone first, or ``None``.

    Targets that earlier copies of the SYN went to, that are avoided, or that miss heartbeats come
    last: one of them is still better than none. A copy also leaves another zone that did not
    answer, since the way there may be cut.

    :param load: what a target has to do, by its tag.
    """
    silent_zones = {row.entry.zone for row in candidates if row.tag in tried} - {zone}

    def cost(candidate: Candidate) -> tuple[int, float]:
        flows, opening, waiting = load(candidate.tag)
        slots = max(1, candidate.entry.slots)
        used = (BUSY_WEIGHT * waiting + FLOW_WEIGHT * (flows + opening + 1)) / slots
        if now < candidate.warm_at:
            used *= COLD_FACTOR
        if candidate.entry.zone != zone:
            used += FOREIGN_ZONE_LOAD
        doubts = 2 * (not candidate.is_fresh) + is_avoided(candidate)
        doubts += candidate.entry.zone in silent_zones
        return doubts + 4 * tried_count(candidate.tag), used

    def tried_count(tag: int) -> int:
        return sum(1 for other in tried if other == tag)

    return min(candidates, key=cost, default=None)
