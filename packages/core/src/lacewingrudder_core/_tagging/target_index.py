"""Index of the known targets by tag and by service, kept up to date one change at a time."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple, TypeVar

from .._checkins.types import LifeState, Lifetime, TargetEntry
from .._checkins.views import KnownTarget
from ..types import Endpoint, TargetName, ZoneName
from .candidates import Candidate, Candidates, Exclusion, PlacementRules, ServiceCandidates
from .syn_tags import SynTag, short_name
from .tags import NO_TAG, LifetimeTable, flow_tag, former_flow_tag
from .types import WarmupLimit
from .warmup_ends import WarmupEnds

_KeyT = TypeVar("_KeyT", int, TargetName, Endpoint)

_NO_CANDIDATES = Candidates((), ())


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
    :param make_former_tag: returns the tag that earlier versions gave to a lifetime.
    """

    def __init__(
        self,
        zone: ZoneName,
        seed: int,
        make_tag: Callable[[Lifetime], int] = flow_tag,
        make_former_tag: Callable[[Lifetime], int] = former_flow_tag,
    ) -> None:
        self._zone = zone
        self._seed = seed
        self._make_tag = make_tag
        self._known: dict[Lifetime, KnownTarget] = {}
        self._tags: dict[Lifetime, int] = {}
        self._by_tag: dict[int, set[Lifetime]] = {}
        self._former_tags = LifetimeTable(make_former_tag)
        self._tag_names = LifetimeTable(self._make_tag_name)
        self._by_name: dict[TargetName, set[Lifetime]] = {}
        self._by_endpoint: dict[Endpoint, set[Lifetime]] = {}
        self._targets: dict[int, KnownTarget] = {}
        self._running: dict[_Location, int] = {}
        self._services: dict[str, ServiceCandidates] = {}
        self._warmup_ends = WarmupEnds()
        self._evacuated_zones: frozenset[ZoneName] = frozenset()
        self._warmups: Mapping[str, WarmupLimit] = {}
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

    def entry_of(self, lifetime: Lifetime) -> TargetEntry | None:
        """Return the last applied entry of a lifetime, or ``None``."""
        known = self._known.get(lifetime)
        return None if known is None else known.entry

    def find_named(self, syn_tag: SynTag) -> int:
        """Return the flow tag of the only lifetime that a SYN's tag may name, or ``NO_TAG``."""
        lifetime = self._tag_names.find(short_name(syn_tag.name))
        tag = NO_TAG if lifetime is None else self._tags[lifetime]
        return tag if syn_tag.may_name(tag) else NO_TAG

    def own_tag(self, tag: int) -> int:
        """Return the tag of the lifetime that a packet's tag or former tag names.

        A tag of any known lifetime is no former tag. One that is neither, or is the former tag of
        several lifetimes, is returned unchanged.
        """
        if tag in self._by_tag:
            return tag
        lifetime = self._former_tags.find(tag)
        return tag if lifetime is None else self._tags[lifetime]

    def has_ended(self, tag: int) -> bool:
        """Return whether the lifetime with a tag is known to have ended."""
        entry = self.entry(tag)
        return entry is not None and entry.state is LifeState.GONE

    def candidates(self, service: str, now: float) -> Candidates:
        """Return the targets that may be chosen for new flows of a service."""
        known = self._services.get(service)
        return _NO_CANDIDATES if known is None else known.candidates(now)

    def peek_candidates(self, service: str, now: float) -> Candidates:
        """Return what :meth:`candidates` would, without a change."""
        known = self._services.get(service)
        return _NO_CANDIDATES if known is None else known.peek(now)

    def targets(self, service: str) -> list[tuple[int, TargetEntry]]:
        """Return the tags and entries of all known lifetimes of a service, also of ended ones."""
        rows = ((tag, target.entry) for tag, target in self._targets.items())
        return [(tag, entry) for tag, entry in rows if entry.service == service]

    def find_candidate(self, service: str, tag: int, now: float) -> Candidate | None:
        """Return a target if it may be chosen for new flows of a service, else ``None``."""
        known = self._services.get(service)
        return None if known is None else known.find(tag, now)

    def has_warming_up(self, service: str, now: float) -> bool:
        """Return whether targets of a service get no new flows until they have warmed up."""
        known = self._services.get(service)
        return known is not None and known.has_warming_up(now)

    def exclusions(self, service: str, now: float) -> dict[int, Exclusion]:
        """Return the tags of the running targets that get no new flows of a service, and why."""
        known = self._services.get(service)
        return {} if known is None else known.exclusions(now)

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
                self._warmup_ends.forget(lifetime)
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

    def limit_warmups(self, warmups: Mapping[str, WarmupLimit], now: float) -> None:
        """Set the services whose targets get no new flows while they warm up."""
        self._warmups = warmups
        self._update_rules(now)

    def evacuate_zones(self, zones: frozenset[ZoneName], now: float) -> None:
        """Set the zones whose targets get no new flows.

        Targets without work may be cold again. Those of a zone that is no longer evacuated count as
        warming up for as long as one that starts, since their next check-in is yet to come.
        """
        restored = self._evacuated_zones - zones
        self._evacuated_zones = zones
        for service, warmup in self._warmups.items():
            if service in self._services:
                self._extend_warmups(self._services[service], restored, now + warmup.seconds, now)
        self._update_rules(now)

    def _extend_warmups(
        self, known: ServiceCandidates, zones: Iterable[ZoneName], until: float, now: float
    ) -> None:
        for candidate in (row for zone in zones for row in known.extend_warmup(zone, until, now)):
            self._warmup_ends.extend(candidate.entry, until)

    def _update_rules(self, now: float) -> None:
        for service, known in self._services.items():
            known.set_rules(self._rules(service), now)

    def _rules(self, service: str) -> PlacementRules:
        return PlacementRules(self._evacuated_zones, service in self._warmups)

    def _make_tag_name(self, lifetime: Lifetime) -> int:
        return short_name(self._make_tag(lifetime))

    def _link(self, lifetime: Lifetime, target: KnownTarget) -> None:
        tag = self._make_tag(lifetime)
        self._known[lifetime], self._tags[lifetime] = target, tag
        self._by_tag.setdefault(tag, set()).add(lifetime)
        self._former_tags.add(lifetime)
        self._tag_names.add(lifetime)
        self._by_name.setdefault(lifetime.target, set()).add(lifetime)
        self._by_endpoint.setdefault(target.entry.endpoint, set()).add(lifetime)

    def _unlink(self, lifetime: Lifetime, target: KnownTarget) -> None:
        del self._known[lifetime]
        self._former_tags.remove(lifetime)
        self._tag_names.remove(lifetime)
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
            if known.is_empty:
                del self._services[service]

    def _add_candidate(self, tag: int, target: KnownTarget, now: float) -> None:
        entry = target.entry
        known = self._services.get(entry.service)
        if known is None:
            rules = self._rules(entry.service)
            known = ServiceCandidates(self._zone, self._seed, rules)
            self._services[entry.service] = known
        warmed_up_at = self._warmup_ends.record(entry, now)
        known.put(Candidate(tag, entry, target.has_recent_heartbeat, warmed_up_at), now)


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
