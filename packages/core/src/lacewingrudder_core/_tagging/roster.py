"""Which targets there are, by tag and by service."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .._checkins.types import LifeState, Lifetime, TargetEntry
from .._checkins.views import KnownTarget
from ..types import Endpoint, TargetName, ZoneName
from .tags import unshared_tags


class Candidate(NamedTuple):
    """A target that may get new flows.

    :param warm_at: when it is no longer slow after its start.
    """

    tag: int
    entry: TargetEntry
    is_fresh: bool
    warm_at: float


class Candidates(NamedTuple):
    """The targets that may get new flows of a service.

    :param near: those of this host's zone.
    """

    rows: tuple[Candidate, ...]
    near: tuple[Candidate, ...]


_NO_CANDIDATES = Candidates((), ())


class Roster:
    """The targets that this host knows.

    Ended lifetimes stay known by their tags, so that flows of theirs are told at once.

    :param zone: of this host.
    :param seed: at which of the targets this host begins to look. Hosts that all begin at the first
        one place their few flows on the same targets.
    """

    def __init__(self, zone: ZoneName, seed: int) -> None:
        self._zone = zone
        self._seed = seed
        self._targets: dict[int, KnownTarget] = {}
        self._successors: dict[int, int] = {}
        self._candidates: dict[str, Candidates] = {}
        self._warm_at: dict[Lifetime, float] = {}

    @property
    def size(self) -> int:
        """How many lifetimes are known."""
        return len(self._targets)

    @property
    def is_empty(self) -> bool:
        """Whether no target is known that could get a flow."""
        return not self._candidates

    def entry(self, tag: int) -> TargetEntry | None:
        """Return the lifetime that a tag names, or ``None`` if it is not known or shared."""
        target = self._targets.get(tag)
        return None if target is None else target.entry

    def current(self, tag: int) -> int:
        """Return the tag of the lifetime that packets with a tag go to now.

        A SYN may reach a target that started again before this host hears of it. Such a flow has
        the tag of the earlier lifetime, and the later one holds it. Only the target can tell; it
        resets what it does not hold.
        """
        return self._successors.get(tag, tag)

    def is_gone(self, tag: int) -> bool:
        """Return whether the lifetime that a tag names is known to have ended."""
        entry = self.entry(tag)
        return entry is not None and entry.state is LifeState.GONE

    def candidates(self, service: str) -> Candidates:
        """Return the targets that may get new flows of a service."""
        return self._candidates.get(service, _NO_CANDIDATES)

    def rebuild(self, known: Mapping[Lifetime, KnownTarget], now: float) -> list[KnownTarget]:
        """Take in what is known; return what is new or changed.

        A change is another state, or that heartbeats of a living target are missed or heard again.
        """
        ended = _ended(known)
        candidates: dict[str, list[Candidate]] = {}
        changed: list[KnownTarget] = []
        targets: dict[int, KnownTarget] = {}
        for lifetime, tag in unshared_tags(known).items():
            target = known[lifetime]
            if lifetime in ended:
                target = KnownTarget(
                    target.entry._replace(state=LifeState.GONE), has_recent_heartbeat=False
                )
            before = self._targets.get(tag)
            if before is None or _belief(before) != _belief(target):
                changed.append(target)
            targets[tag] = target
            if target.entry.state is LifeState.READY:
                candidate = self._candidate(tag, target, now)
                candidates.setdefault(target.entry.service, []).append(candidate)
        self._targets = targets
        self._successors = _successors(targets)
        self._warm_at = {life: at for life, at in self._warm_at.items() if life in known}
        self._candidates = {name: self._ordered(rows) for name, rows in candidates.items()}
        return changed

    def _ordered(self, rows: Sequence[Candidate]) -> Candidates:
        near = [row for row in rows if row.entry.zone == self._zone]
        return Candidates(self._turned(rows), self._turned(near))

    def _turned(self, rows: Sequence[Candidate]) -> tuple[Candidate, ...]:
        first = self._seed % len(rows) if rows else 0
        return (*rows[first:], *rows[:first])

    def _candidate(self, tag: int, target: KnownTarget, now: float) -> Candidate:
        warm_at = now + target.entry.warmup_remaining_ms / 1000
        warm_at = self._warm_at.setdefault(target.entry.lifetime, warm_at)
        return Candidate(tag, target.entry, target.has_recent_heartbeat, warm_at)


def _belief(target: KnownTarget) -> tuple[LifeState, bool]:
    """Return what of a target is told when it changes."""
    return target.entry.state, target.has_recent_heartbeat


def _successors(targets: Mapping[int, KnownTarget]) -> dict[int, int]:
    """Return for ended lifetimes the living one that has their identifier, address and service."""
    entries = {tag: target.entry for tag, target in targets.items()}
    living = {_place(row): tag for tag, row in entries.items() if row.state is not LifeState.GONE}
    return {
        tag: living[_place(row)]
        for tag, row in entries.items()
        if row.state is LifeState.GONE and _place(row) in living
    }


def _place(entry: TargetEntry) -> tuple[TargetName, Endpoint, str]:
    return entry.lifetime.target, entry.endpoint, entry.service


def _ended(known: Mapping[Lifetime, KnownTarget]) -> set[Lifetime]:
    """Return the lifetimes that ended, or whose name or address a later lifetime has."""
    by_name: dict[TargetName, int] = {}
    by_endpoint: dict[Endpoint, int] = {}
    for lifetime, target in known.items():
        endpoint = target.entry.endpoint
        by_name[lifetime.target] = max(lifetime.started_ms, by_name.get(lifetime.target, 0))
        by_endpoint[endpoint] = max(lifetime.started_ms, by_endpoint.get(endpoint, 0))
    return {
        lifetime
        for lifetime, target in known.items()
        if target.entry.state is LifeState.GONE
        or lifetime.started_ms < by_name[lifetime.target]
        or lifetime.started_ms < by_endpoint[target.entry.endpoint]
    }
