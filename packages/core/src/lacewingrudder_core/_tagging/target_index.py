"""Index of the known targets by tag and by service."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .._checkins.types import LifeState, Lifetime, TargetEntry
from .._checkins.views import KnownTarget
from ..types import Endpoint, TargetName, ZoneName
from .tags import unique_tags


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

    targets: tuple[Candidate, ...]
    local_targets: tuple[Candidate, ...]


_NO_CANDIDATES = Candidates((), ())


class TargetIndex:
    """Index of the targets that this host knows.

    It retains ended lifetimes, so that flows that carry their tags are reset at once.

    :param zone: zone of this host.
    :param seed: determines which target this host considers first. If all hosts began with the
        same one, hosts with few flows would put them all on the same targets.
    """

    def __init__(self, zone: ZoneName, seed: int) -> None:
        self._zone = zone
        self._seed = seed
        self._targets: dict[int, KnownTarget] = {}
        self._successors: dict[int, int] = {}
        self._candidates: dict[str, Candidates] = {}
        self._warmed_up_at: dict[Lifetime, float] = {}

    @property
    def size(self) -> int:
        """Number of known lifetimes, ended ones included."""
        return len(self._targets)

    @property
    def is_empty(self) -> bool:
        """Whether no known target accepts new flows."""
        return not self._candidates

    def entry(self, tag: int) -> TargetEntry | None:
        """Return the lifetime with a tag, or ``None`` if no lifetime or more than one has it."""
        target = self._targets.get(tag)
        return None if target is None else target.entry

    def current_tag(self, tag: int) -> int:
        """Return the tag of the lifetime that now receives the packets with a given tag.

        A SYN may reach a target that restarted before this host learns of the restart. The flow
        then carries the tag of the earlier lifetime although the later one serves it. Only the
        target can distinguish such flows from those of the earlier lifetime, which it resets.
        """
        return self._successors.get(tag, tag)

    def has_ended(self, tag: int) -> bool:
        """Return whether the lifetime with a tag is known to have ended."""
        entry = self.entry(tag)
        return entry is not None and entry.state is LifeState.GONE

    def candidates(self, service: str) -> Candidates:
        """Return the targets that may be chosen for new flows of a service."""
        return self._candidates.get(service, _NO_CANDIDATES)

    def rebuild(self, known: Mapping[Lifetime, KnownTarget], now: float) -> list[KnownTarget]:
        """Rebuild the index from the known targets; return those that are new or changed.

        A target counts as changed if its state changes, if its heartbeats stop arriving, or if they
        resume.
        """
        ended = _ended_lifetimes(known)
        candidates: dict[str, list[Candidate]] = {}
        changed: list[KnownTarget] = []
        targets: dict[int, KnownTarget] = {}
        for lifetime, tag in unique_tags(known).items():
            target = known[lifetime]
            if lifetime in ended:
                target = KnownTarget(
                    target.entry._replace(state=LifeState.GONE), has_recent_heartbeat=False
                )
            before = self._targets.get(tag)
            if before is None or _reported_state(before) != _reported_state(target):
                changed.append(target)
            targets[tag] = target
            if target.entry.state is LifeState.READY:
                candidate = self._make_candidate(tag, target, now)
                candidates.setdefault(target.entry.service, []).append(candidate)
        self._targets = targets
        self._successors = _successors(targets)
        self._warmed_up_at = {life: at for life, at in self._warmed_up_at.items() if life in known}
        self._candidates = {name: self._make_candidates(rows) for name, rows in candidates.items()}
        return changed

    def _make_candidates(self, rows: Sequence[Candidate]) -> Candidates:
        local_targets = [row for row in rows if row.entry.zone == self._zone]
        return Candidates(self._rotate(rows), self._rotate(local_targets))

    def _rotate(self, rows: Sequence[Candidate]) -> tuple[Candidate, ...]:
        first = self._seed % len(rows) if rows else 0
        return (*rows[first:], *rows[:first])

    def _make_candidate(self, tag: int, target: KnownTarget, now: float) -> Candidate:
        warmed_up_at = now + target.entry.warmup_remaining_ms / 1000
        warmed_up_at = self._warmed_up_at.setdefault(target.entry.lifetime, warmed_up_at)
        return Candidate(tag, target.entry, target.has_recent_heartbeat, warmed_up_at)


def _reported_state(target: KnownTarget) -> tuple[LifeState, bool]:
    """Return the properties of a target whose changes are reported."""
    return target.entry.state, target.has_recent_heartbeat


def _successors(targets: Mapping[int, KnownTarget]) -> dict[int, int]:
    """Map ended lifetimes to the running one with the same name, address and service, by tag."""
    entries = {tag: target.entry for tag, target in targets.items()}
    running = {
        _location(row): tag for tag, row in entries.items() if row.state is not LifeState.GONE
    }
    return {
        tag: running[_location(row)]
        for tag, row in entries.items()
        if row.state is LifeState.GONE and _location(row) in running
    }


def _location(entry: TargetEntry) -> tuple[TargetName, Endpoint, str]:
    return entry.lifetime.target, entry.endpoint, entry.service


def _ended_lifetimes(known: Mapping[Lifetime, KnownTarget]) -> set[Lifetime]:
    """Return the lifetimes that ended or whose name or address a later lifetime took over."""
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
