"""The targets that may be chosen for new flows of one service."""

from __future__ import annotations

import bisect
import enum
import heapq
from collections.abc import Sequence
from typing import NamedTuple

from .._checkins.types import TargetEntry
from ..hashing import pair_hash
from ..types import ZoneName


class Candidate(NamedTuple):
    """A target that may be chosen for new flows.

    :param has_recent_heartbeat: whether its heartbeats arrive.
    :param warmed_up_at: end of its warm-up, during which it is slow.
    """

    tag: int
    entry: TargetEntry
    has_recent_heartbeat: bool
    warmed_up_at: float


class Candidates(NamedTuple):
    """The targets that may be chosen for new flows of a service.

    :param targets: targets in all zones.
    :param local_targets: targets in this host's zone.
    """

    targets: Sequence[Candidate]
    local_targets: Sequence[Candidate]


class Exclusion(enum.StrEnum):
    """Why a running target gets no new flows."""

    EVACUATED = "evacuated"
    WARMING_UP = "warming_up"


class PlacementRules(NamedTuple):
    """Which running targets of a service get no new flows.

    :param evacuated_zones: zones whose targets get none.
    :param limits_warmup: whether targets that warm up get none.
    """

    evacuated_zones: frozenset[ZoneName] = frozenset()
    limits_warmup: bool = False

    def exclusion(self, candidate: Candidate, now: float) -> Exclusion | None:
        """Return why a target gets no new flows, or ``None`` if it may get some."""
        if candidate.entry.zone in self.evacuated_zones:
            return Exclusion.EVACUATED
        if self.limits_warmup and now < candidate.warmed_up_at:
            return Exclusion.WARMING_UP
        return None


class _OrderedCandidates:
    """Candidates in an order that differs between hosts, as its seed does."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._keys: list[tuple[int, int]] = []
        self.rows: list[Candidate] = []

    def put(self, candidate: Candidate) -> None:
        """Add a candidate or replace the one with its tag."""
        position, is_known = self._find(candidate.tag)
        if is_known:
            self.rows[position] = candidate
        else:
            self._keys.insert(position, self._key(candidate.tag))
            self.rows.insert(position, candidate)

    def remove(self, tag: int) -> None:
        """Remove the candidate with a tag, if there is one."""
        position, is_known = self._find(tag)
        if is_known:
            del self._keys[position], self.rows[position]

    def copy(self) -> _OrderedCandidates:
        """Return a copy that changes independently."""
        ordered = _OrderedCandidates(self._seed)
        ordered._keys, ordered.rows = list(self._keys), list(self.rows)
        return ordered

    def _find(self, tag: int) -> tuple[int, bool]:
        key = self._key(tag)
        position = bisect.bisect_left(self._keys, key)
        return position, position < len(self._keys) and self._keys[position] == key

    def _key(self, tag: int) -> tuple[int, int]:
        return pair_hash(self._seed, tag), tag


class _WarmupEnd(NamedTuple):
    """When a target that is left out may be chosen; ordered by that time."""

    at: float
    tag: int


class ServiceCandidates:
    """The running targets of one service, and those of them that may be chosen.

    A choice costs the same whatever the number of targets that are left out.

    :param zone: zone of this host.
    :param rules: which targets are left out.
    """

    def __init__(self, zone: ZoneName, seed: int, rules: PlacementRules) -> None:
        self._zone = zone
        self._rules = rules
        self._running: dict[int, Candidate] = {}
        self._all = _OrderedCandidates(seed)
        self._local = _OrderedCandidates(seed)
        self._warmup_ends: list[_WarmupEnd] = []

    @property
    def is_empty(self) -> bool:
        """Whether no target of the service runs."""
        return not self._running

    def candidates(self, now: float) -> Candidates:
        """Return the targets that may be chosen, in all zones and in this host's."""
        while self._warmup_ends and self._warmup_ends[0].at <= now:
            candidate = self._running.get(heapq.heappop(self._warmup_ends).tag)
            if candidate is not None:
                self._place(candidate, now)
        return Candidates(self._all.rows, self._local.rows)

    def peek(self, now: float) -> Candidates:
        """Return what :meth:`candidates` would, without a change."""
        trial = ServiceCandidates(self._zone, 0, self._rules)
        trial._running = self._running
        trial._all, trial._local = self._all.copy(), self._local.copy()
        trial._warmup_ends = list(self._warmup_ends)
        return trial.candidates(now)

    def find(self, tag: int, now: float) -> Candidate | None:
        """Return a target if it runs, its heartbeats arrive and it may be chosen, else ``None``."""
        candidate = self._running.get(tag)
        if candidate is None or not candidate.has_recent_heartbeat:
            return None
        return None if self._rules.exclusion(candidate, now) else candidate

    def exclusions(self, now: float) -> dict[int, Exclusion]:
        """Return the tags of the running targets that are left out, and why."""
        found = ((tag, self._rules.exclusion(row, now)) for tag, row in self._running.items())
        return {tag: exclusion for tag, exclusion in found if exclusion is not None}

    def has_warming_up(self, now: float) -> bool:
        """Return whether targets are left out until they have warmed up.

        Unlike :meth:`exclusions` it doesn't look at all targets, since hosts refuse flows by it.
        """
        waiting = (self._running.get(end.tag) for end in self._warmup_ends)
        return any(
            row is not None and self._rules.exclusion(row, now) is Exclusion.WARMING_UP
            for row in waiting
        )

    def set_rules(self, rules: PlacementRules, now: float) -> None:
        """Change which targets are left out."""
        if rules == self._rules:
            return
        self._rules = rules
        for candidate in self._running.values():
            self._place(candidate, now)

    def put(self, candidate: Candidate, now: float) -> None:
        """Add a running target or replace the one with its tag."""
        self._running[candidate.tag] = candidate
        self._place(candidate, now)

    def extend_warmup(self, zone: ZoneName, until: float, now: float) -> list[Candidate]:
        """Treat the targets of a zone as warming up until some time; return those affected."""
        affected = [
            row._replace(warmed_up_at=until)
            for row in self._running.values()
            if row.entry.zone == zone and row.warmed_up_at < until
        ]
        for candidate in affected:
            self.put(candidate, now)
        return affected

    def remove(self, tag: int) -> None:
        """Remove the target with a tag, if there is one."""
        self._running.pop(tag, None)
        self._all.remove(tag)
        self._local.remove(tag)

    def _place(self, candidate: Candidate, now: float) -> None:
        exclusion = self._rules.exclusion(candidate, now)
        if exclusion is not None:
            self._all.remove(candidate.tag)
            self._local.remove(candidate.tag)
            if exclusion is Exclusion.WARMING_UP:
                end = _WarmupEnd(candidate.warmed_up_at, candidate.tag)
                heapq.heappush(self._warmup_ends, end)
            return
        self._all.put(candidate)
        if candidate.entry.zone == self._zone:
            self._local.put(candidate)
        else:
            self._local.remove(candidate.tag)
