"""Load balancing: chooses a service and a target for each new flow."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple

from .._speeds.target_speeds import SpeedsByService
from ..types import ZoneName
from .candidates import Candidate, Candidates
from .flow_tracker import TargetLoad
from .types import Dropped, DropReason, Reset, ResetReason, Split

REQUEST_WEIGHT = 1.0
"""Load of a request that awaits its answer, in slots."""

FLOW_WEIGHT = 0.15
"""Load of an open flow, in slots; most flows are idle at any moment."""

OPENING_WEIGHT = 3.0
"""Load of a flow that is being opened, in slots. It usually lasts one round trip and turns into a
request; a target that leaves a SYN unanswered should look busier than one that works."""

UNSEEN_LOAD = 1.0
"""Load per slot that the response time multiplies besides this host's own: a target is also busy
with the flows of hosts that this one knows nothing of."""

REMOTE_ZONE_LOAD = 1.5
"""Added to the load per slot of targets in other zones."""

MAX_LOCAL_LOAD = 2.5
"""The best local target is chosen without a look at other zones if its load per slot is lower."""

MAX_COMPARED_COUNT = 16
"""Maximum number of local targets that are compared for a flow, unless each of these has a high
load or signs that it won't answer. The best of a few is nearly as good as the best of all
(Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001), and comparing all
would take milliseconds per SYN at a host with 1,000 targets."""

MAX_COMPARED_LEARNED_COUNT = 32
"""The same for learned speeds. A host with few flows has recent samples of only a few targets; with
fewer compared, none of these is among them for many flows."""

WARMUP_FACTOR = 1.6
"""Expected response time of a target that warms up, relative to its service, until this host has
measured it."""


class WeightedRoundRobin:
    """Distributes the flows of a route over its splits by smooth weighted round robin.

    While the splits stay the same, each gets as many of any N consecutive flows as its weight says,
    where N is the sum of the weights.
    """

    def __init__(self) -> None:
        self._credits: dict[str, float] = {}

    def choose(self, splits: Sequence[Split]) -> str | None:
        """Return the service for the next flow, or ``None`` if all weights are 0."""
        weighted = [split for split in splits if split.weight > 0]
        if len(weighted) <= 1:
            return weighted[0].service if weighted else None
        total = sum(split.weight for split in weighted)
        for split in weighted:
            self._credits[split.service] = self._credits.get(split.service, 0) + split.weight
        best = max(weighted, key=lambda split: self._credits[split.service])
        self._credits[best.service] -= total
        return best.service

    def peek(self, splits: Sequence[Split]) -> str | None:
        """Return what :meth:`choose` would return next."""
        trial = WeightedRoundRobin()
        trial._credits = dict(self._credits)
        return trial.choose(splits)


class Cost(NamedTuple):
    """Sort key of a target; the lowest is chosen.

    :param penalty: penalty for signs that the target won't answer.
    :param load: load per slot.
    """

    penalty: int
    load: float


class Selection(NamedTuple):
    """A choice among the targets of a service.

    :param chosen: ``None`` if there is no target.
    :param compared: the targets that it was chosen from.
    """

    chosen: Candidate | None
    compared: Sequence[Candidate]


class TargetChooser:
    """Chooses targets for new flows at one host.

    :param zone: zone of this host.
    :param load: returns the load of the target with a tag.
    :param speeds: speeds of the targets, by service.
    :param learns_speeds: whether these are learned.
    """

    def __init__(
        self,
        zone: ZoneName,
        load: Callable[[int], TargetLoad],
        speeds: SpeedsByService,
        learns_speeds: bool = False,
    ) -> None:
        self._zone = zone
        self._load = load
        self._speeds = speeds
        self._max_compared = MAX_COMPARED_LEARNED_COUNT if learns_speeds else MAX_COMPARED_COUNT
        self._next_index = 0

    def preview(self, load: Callable[[int], TargetLoad]) -> TargetChooser:
        """Return a chooser that chooses as this one would next, given other loads."""
        chooser = TargetChooser(self._zone, load, self._speeds)
        chooser._max_compared = self._max_compared
        chooser._next_index = self._next_index
        return chooser

    def choose(
        self,
        candidates: Candidates,
        tried_tags: Collection[int],
        is_ejected: Callable[[Candidate], bool],
        now: float,
    ) -> Selection:
        """Choose the least loaded target, preferring the local zone.

        Targets that are ejected, miss heartbeats, or didn't answer an earlier transmission of the
        SYN are chosen only if there is no other. After a remote target didn't answer,
        retransmissions also avoid the rest of its zone, which may be unreachable.

        :param tried_tags: tags of the targets that earlier transmissions of the SYN were sent to.
        """
        targets = candidates.targets
        unresponsive_zones: set[ZoneName] = set()
        if tried_tags:
            unresponsive_zones = {row.entry.zone for row in targets if row.tag in tried_tags} - {
                self._zone
            }

        def cost(candidate: Candidate) -> Cost:
            first_cost = self.cost(candidate, is_ejected(candidate), now)
            if not tried_tags:
                return first_cost
            penalty = first_cost.penalty + (candidate.entry.zone in unresponsive_zones)
            penalty += 4 * sum(1 for tag in tried_tags if tag == candidate.tag)
            return first_cost._replace(penalty=penalty)

        local_targets = self._next_sample(candidates.local_targets)
        best = min(local_targets, key=cost, default=None)
        if best is not None and cost(best) < Cost(0, MAX_LOCAL_LOAD):
            return Selection(best, local_targets)
        return Selection(min(targets, key=cost, default=None), targets)

    def cost(self, candidate: Candidate, is_ejected: bool, now: float) -> Cost:
        """Return the cost of a target for a flow whose SYN no target has received yet."""
        penalty = 2 * (not candidate.has_recent_heartbeat) + is_ejected
        return Cost(penalty, self._load_per_slot(candidate, now))

    def target_load(self, candidate: Candidate) -> TargetLoad:
        """Return the load of a target, as far as this host knows it."""
        return self._load(candidate.tag)

    def count_waiting(self, targets: Sequence[Candidate]) -> int:
        """Return how many requests await answers of targets, and flows that are being opened."""
        loads = (self._load(row.tag) for row in targets)
        return sum(load.waiting + load.opening for load in loads)

    def relative_answer_time(self, candidate: Candidate, now: float) -> float:
        """Return the expected response time of a target relative to that of its service."""
        speeds = self._speeds.find(candidate.entry.service)
        if now < candidate.warmed_up_at and not speeds.has_samples(candidate.tag):
            return WARMUP_FACTOR
        return speeds.ratio(candidate.tag, now)

    def _load_per_slot(self, candidate: Candidate, now: float) -> float:
        flows, opening, waiting = self._load(candidate.tag)
        slots = max(1, candidate.entry.slots)
        own = REQUEST_WEIGHT * waiting + OPENING_WEIGHT * opening + FLOW_WEIGHT * (flows + 1)
        load = self.relative_answer_time(candidate, now) * (UNSEEN_LOAD + own / slots)
        return load if candidate.entry.zone == self._zone else load + REMOTE_ZONE_LOAD

    def _next_sample(self, local_targets: Sequence[Candidate]) -> Sequence[Candidate]:
        """Return the candidates to compare: the next few in rotation."""
        if len(local_targets) <= self._max_compared:
            return local_targets
        start = self._next_index % len(local_targets)
        self._next_index = start + self._max_compared
        return [
            *local_targets[start : start + self._max_compared],
            *local_targets[: max(0, self._next_index - len(local_targets))],
        ]


def refusal(is_warming_up: bool, is_ready: bool) -> Dropped | Reset:
    """Return what happens to a new flow that no target can be chosen for.

    :param is_warming_up: whether targets of the service are left out until they have warmed up.
    :param is_ready: whether this host can place new flows.
    """
    if not is_ready:
        return Dropped(DropReason.NOT_READY)
    return Reset(ResetReason.WARMING_UP if is_warming_up else ResetReason.NO_TARGET)
