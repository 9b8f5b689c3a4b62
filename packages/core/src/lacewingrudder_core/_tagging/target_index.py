"""Index of the known targets by tag and by service, kept up to date one change at a time."""

from __future__ import annotations

import bisect
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple, TypeVar

from .._checkins.types import LifeState, Lifetime, TargetEntry
from .._checkins.views import KnownTarget
from ..hashing import pair_hash
from ..types import Endpoint, TargetName, ZoneName
from .tags import flow_tag


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


_KeyT = TypeVar("_KeyT", int, TargetName, Endpoint)

_NO_CANDIDATES = Candidates((), ())


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

    def _find(self, tag: int) -> tuple[int, bool]:
        key = self._key(tag)
        position = bisect.bisect_left(self._keys, key)
        return position, position < len(self._keys) and self._keys[position] == key

    def _key(self, tag: int) -> tuple[int, int]:
        return pair_hash(self._seed, tag), tag


class _ServiceCandidates:
    """Candidates of one service.

    :param zone: zone of this host.
    """

    def __init__(self, zone: ZoneName, seed: int) -> None:
        self._zone = zone
        self._all = _OrderedCandidates(seed)
        self._local = _OrderedCandidates(seed)

    @property
    def candidates(self) -> Candidates:
        """The candidates in all zones and in this host's."""
        return Candidates(self._all.rows, self._local.rows)

    def put(self, candidate: Candidate) -> None:
        """Add a candidate or replace the one with its tag."""
        self._all.put(candidate)
        if candidate.entry.zone == self._zone:
            self._local.put(candidate)
        else:
            self._local.remove(candidate.tag)

    def remove(self, tag: int) -> None:
        """Remove the candidate with a tag, if there is one."""
        self._all.remove(tag)
        self._local.remove(tag)


class _Location(NamedTuple):
    """What a target keeps when it restarts in place."""

    target: TargetName
    endpoint: Endpoint
    service: str


class TargetIndex:
    """Index of the targets that this host knows.

    It retains ended lifetimes, so that flows that carry their tags are reset at once. A lifetime
    ended if it says so, if its target restarted, or if a later one of a service in use took over
    its name or address. An entry for any other service comes from a writer that is no target.
    Lifetimes whose tags collide are not used, since a colliding tag doesn't identify a target.

    :param zone: zone of this host.
    :param seed: determines the order in which this host considers targets. If all hosts had the
        same one, hosts with few flows would put them all on the same targets.
    :param make_tag: returns the tag of a lifetime.
    """

    def __init__(
        self, zone: ZoneName, seed: int, make_tag: Callable[[Lifetime], int] = flow_tag
    ) -> None:
        self._zone = zone
        self._seed = seed
        self._make_tag = make_tag
        self._known: dict[Lifetime, KnownTarget] = {}
        self._tags: dict[Lifetime, int] = {}
        self._by_tag: dict[int, set[Lifetime]] = {}
        self._by_name: dict[TargetName, set[Lifetime]] = {}
        self._by_endpoint: dict[Endpoint, set[Lifetime]] = {}
        self._targets: dict[int, KnownTarget] = {}
        self._running: dict[_Location, int] = {}
        self._services: dict[str, _ServiceCandidates] = {}
        self._warmed_up_at: dict[Lifetime, float] = {}
        self._used_services: frozenset[str] | None = None

    @property
    def is_empty(self) -> bool:
        """Whether no known target accepts new flows."""
        return not self._services

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
        entry = self.entry(tag)
        if entry is None or entry.state is not LifeState.GONE:
            return tag
        return self._running.get(_location(entry), tag)

    def has_ended(self, tag: int) -> bool:
        """Return whether the lifetime with a tag is known to have ended."""
        entry = self.entry(tag)
        return entry is not None and entry.state is LifeState.GONE

    def candidates(self, service: str) -> Candidates:
        """Return the targets that may be chosen for new flows of a service."""
        known = self._services.get(service)
        return _NO_CANDIDATES if known is None else known.candidates

    def apply(
        self, changes: Iterable[tuple[Lifetime, KnownTarget | None]], now: float
    ) -> list[KnownTarget]:
        """Apply changes of lifetimes; return the targets that are new or changed.

        A target counts as changed if its state changes, if its heartbeats stop arriving, or if they
        resume.

        :param changes: lifetimes with what is known of them, ``None`` if they are no longer known.
        """
        affected: set[int] = set()
        for lifetime, target in changes:
            before = self._known.get(lifetime)
            if before == target:
                continue
            if before is not None and target is not None and _has_same_keys(before, target):
                self._known[lifetime] = target
                affected.add(self._tags[lifetime])
                continue
            if before is not None:
                affected |= self._related_tags(lifetime)
                self._unlink(lifetime, before)
            if target is not None:
                self._link(lifetime, target)
                affected |= self._related_tags(lifetime)
            else:
                self._warmed_up_at.pop(lifetime, None)
        changed = [self._update_target(tag, now) for tag in sorted(affected)]
        return [target for target in changed if target is not None]

    def use_services(self, services: frozenset[str], now: float) -> list[KnownTarget]:
        """Set the services that flows are placed on; return the targets that changed.

        Until the first call, all services count.
        """
        if services == self._used_services:
            return []
        self._used_services = services
        shared = [
            group
            for group in (*self._by_name.values(), *self._by_endpoint.values())
            if len(group) > 1
        ]
        affected = {self._tags[lifetime] for group in shared for lifetime in group}
        changed = [self._update_target(tag, now) for tag in sorted(affected)]
        return [target for target in changed if target is not None]

    def _link(self, lifetime: Lifetime, target: KnownTarget) -> None:
        tag = self._make_tag(lifetime)
        self._known[lifetime], self._tags[lifetime] = target, tag
        self._by_tag.setdefault(tag, set()).add(lifetime)
        self._by_name.setdefault(lifetime.target, set()).add(lifetime)
        self._by_endpoint.setdefault(target.entry.endpoint, set()).add(lifetime)

    def _unlink(self, lifetime: Lifetime, target: KnownTarget) -> None:
        del self._known[lifetime]
        _discard(self._by_tag, self._tags.pop(lifetime), lifetime)
        _discard(self._by_name, lifetime.target, lifetime)
        _discard(self._by_endpoint, target.entry.endpoint, lifetime)

    def _related_tags(self, lifetime: Lifetime) -> set[int]:
        """Return the tag of a lifetime, and of those that share its name or address."""
        endpoint = self._known[lifetime].entry.endpoint
        related = self._by_name[lifetime.target] | self._by_endpoint[endpoint]
        return {self._tags[other] for other in related}

    def _update_target(self, tag: int, now: float) -> KnownTarget | None:
        """Look at the lifetimes with a tag again; return the target if it is to be reported."""
        before, target = self._targets.get(tag), self._resolve(tag)
        if before == target:
            return None
        if before is not None:
            self._remove_target(tag, before)
        if target is None:
            return None
        self._targets[tag] = target
        if target.entry.state is not LifeState.GONE:
            self._running[_location(target.entry)] = tag
        if target.entry.state is LifeState.READY:
            self._add_candidate(tag, target, now)
        is_reported = before is None or _reported_state(before) != _reported_state(target)
        return target if is_reported else None

    def _resolve(self, tag: int) -> KnownTarget | None:
        """Return the only lifetime with a tag, marked as gone if it ended."""
        lifetimes = self._by_tag.get(tag, ())
        if len(lifetimes) != 1:
            return None
        lifetime = next(iter(lifetimes))
        target = self._known[lifetime]
        if target.entry.state is LifeState.GONE or not self._is_superseded(lifetime, target):
            return target
        return KnownTarget(target.entry._replace(state=LifeState.GONE), has_recent_heartbeat=False)

    def _is_superseded(self, lifetime: Lifetime, target: KnownTarget) -> bool:
        """Return whether a later lifetime took over the name or the address."""
        rivals = self._by_name[lifetime.target] | self._by_endpoint[target.entry.endpoint]
        return any(
            other.started_ms > lifetime.started_ms
            and self._may_supersede(self._known[other].entry, target.entry)
            for other in rivals
        )

    def _may_supersede(self, later: TargetEntry, earlier: TargetEntry) -> bool:
        """Return whether a later lifetime is of a service in use, or a restart of the earlier."""
        if (later.lifetime.target, later.service) == (earlier.lifetime.target, earlier.service):
            return True
        return self._used_services is None or later.service in self._used_services

    def _remove_target(self, tag: int, target: KnownTarget) -> None:
        del self._targets[tag]
        location, service = _location(target.entry), target.entry.service
        if self._running.get(location) == tag:
            del self._running[location]
        known = self._services.get(service)
        if known is not None:
            known.remove(tag)
            if not known.candidates.targets:
                del self._services[service]

    def _add_candidate(self, tag: int, target: KnownTarget, now: float) -> None:
        entry = target.entry
        warmed_up_at = self._warmed_up_at.setdefault(
            entry.lifetime, now + entry.warmup_remaining_ms / 1000
        )
        known = self._services.get(entry.service)
        if known is None:
            known = self._services[entry.service] = _ServiceCandidates(self._zone, self._seed)
        known.put(Candidate(tag, entry, target.has_recent_heartbeat, warmed_up_at))


def _discard(groups: dict[_KeyT, set[Lifetime]], key: _KeyT, lifetime: Lifetime) -> None:
    """Remove a lifetime from its group, and the group once it is empty."""
    groups[key].discard(lifetime)
    if not groups[key]:
        del groups[key]


def _has_same_keys(before: KnownTarget, after: KnownTarget) -> bool:
    """Return whether no other lifetime is affected when one replaces the other."""
    return (before.entry.endpoint, before.entry.service) == (
        after.entry.endpoint,
        after.entry.service,
    )


def _reported_state(target: KnownTarget) -> tuple[LifeState, bool]:
    """Return the properties of a target whose changes are reported."""
    return target.entry.state, target.has_recent_heartbeat


def _location(entry: TargetEntry) -> _Location:
    return _Location(entry.lifetime.target, entry.endpoint, entry.service)
