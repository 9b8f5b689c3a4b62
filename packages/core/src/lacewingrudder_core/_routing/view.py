"""The routing view: what the packet path needs of hosts, targets and services at one moment."""

from __future__ import annotations

import types
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .._notes.catalogue import Catalogue
from .._targets.records import Rank, record_endpoints, record_rank
from ..types import (
    ACCEPTING_STATES,
    FULL_WEIGHT,
    Endpoint,
    HostName,
    Kind,
    Member,
    OrderAction,
    Service,
    Target,
    TargetName,
    TargetRecord,
    TargetState,
    ZoneName,
)
from .homes import HomeTable
from .maglev import PlacementTable, WeightedTarget

LOAD_FACTORS = {0.75: 7 / 8, 1.0: 3 / 4}


class ServiceCapacity(NamedTuple):
    """What the targets of a service that take work can bear, over all entry hosts.

    :param slots: requests worked on at once.
    :param flows: flows open at once.
    :param shares: sum of the shares guaranteed to the service's kinds.
    :param homes: entry hosts that share this capacity.
    """

    slots: int = 0
    flows: int = 0
    shares: float = 0.0
    homes: int = 1


class KindRoute(NamedTuple):
    """Where new flows of one kind of work go.

    :param records: what is known of the targets, those that take no work included.
    """

    service: str
    kind: Kind
    table: PlacementTable
    endpoints: Mapping[TargetName, Endpoint]
    capacity: ServiceCapacity = ServiceCapacity()
    records: Mapping[TargetName, TargetRecord] = types.MappingProxyType({})


class TargetRoute(NamedTuple):
    """Which service a target's endpoint answers for."""

    target: TargetName
    service: Endpoint


class RoutingView(NamedTuple):
    """Everything a packet's route depends on; replaced as a whole, never changed in place.

    :param routes: by the endpoint that callers use.
    :param target_routes: by the endpoint of a target; at most one service per endpoint.
    """

    homes: HomeTable
    routes: Mapping[Endpoint, KindRoute]
    target_routes: Mapping[Endpoint, TargetRoute]

    def accepting_targets(self) -> Mapping[str, frozenset[TargetName]]:
        """Return the names of the targets that take new flows, by service."""
        found: dict[str, frozenset[TargetName]] = {}
        for route in self.routes.values():
            names = frozenset(entry.name for entry in route.table.entries)
            found[route.service] = found.get(route.service, frozenset()) | names
        return found


class _ServiceRoutes(NamedTuple):
    """The routes of one service, with all that they follow from."""

    service: Service
    records: list[TargetRecord]
    routes: Mapping[Endpoint, KindRoute]
    answers: Mapping[Endpoint, TargetRoute]


class _Reach(NamedTuple):
    """Which targets take new flows: those that nothing stops and that can be reached."""

    stopped: frozenset[TargetName]
    hosts: frozenset[HostName]
    zones: frozenset[ZoneName]

    def works(self, record: TargetRecord) -> bool:
        if record.state not in ACCEPTING_STATES or record.target.name in self.stopped:
            return False
        return record.target.zone in self.zones or record.owner in self.hosts


class ViewBuilder:
    """Builds views one after the other and makes anew only what changed in between."""

    def __init__(self) -> None:
        self._members: tuple[Member, ...] = ()
        self._homes = HomeTable(())
        self._reach = _Reach(frozenset(), frozenset(), frozenset())
        self._services: dict[str, _ServiceRoutes] = {}
        self._tables: dict[tuple[WeightedTarget, ...], PlacementTable] = {}

    def build(
        self, members: Iterable[Member], catalogue: Catalogue, records: Iterable[TargetRecord]
    ) -> RoutingView:
        """Return the view that follows from members, services and targets."""
        self._rank(tuple(members))
        self._limit(catalogue)
        known = list(records)
        view, conflicts = self._join(catalogue, known)
        if conflicts:
            view, _ = self._join(catalogue, without_conflicts(known, catalogue))
        return view

    def _rank(self, members: tuple[Member, ...]) -> None:
        if members != self._members:
            self._members = members
            self._homes = HomeTable(members, self._homes)

    def _limit(self, catalogue: Catalogue) -> None:
        stops = (OrderAction.DRAIN, OrderAction.WITHDRAW)
        reach = _Reach(
            frozenset(order.target for order in catalogue.orders if order.action in stops),
            frozenset(member.name for member in self._members),
            frozenset(member.zone for member in self._members),
        )
        before, self._reach = self._reach, reach
        if (before.hosts, before.zones) != (reach.hosts, reach.zones):
            self._services = {}
        changed = before.stopped ^ reach.stopped
        if changed:
            self._services = {
                name: part
                for name, part in self._services.items()
                if not any(record.target.name in changed for record in part.records)
            }

    def _join(self, catalogue: Catalogue, records: list[TargetRecord]) -> tuple[RoutingView, bool]:
        """Return the view, and whether two targets name one endpoint in it."""
        by_service: dict[str, list[TargetRecord]] = {}
        for record in records:
            by_service.setdefault(record.target.service, []).append(record)
        routes: dict[Endpoint, KindRoute] = {}
        answers: dict[Endpoint, TargetRoute] = {}
        parts = [self._part(s, by_service.get(s.name, [])) for s in catalogue.services]
        for part in parts:
            routes |= part.routes
            answers |= part.answers
        self._services = {part.service.name: part for part in parts}
        self._tables = {route.table.entries: route.table for route in routes.values()}
        count = sum(len(route.endpoints) for route in routes.values())
        conflicts = count > len(answers) or not answers.keys().isdisjoint(routes)
        return RoutingView(self._homes, routes, answers), conflicts

    def _part(self, service: Service, records: list[TargetRecord]) -> _ServiceRoutes:
        part = self._services.get(service.name)
        if part is None or part.service != service or part.records != records:
            part = self._service_routes(service, records)
        return part

    def _service_routes(self, service: Service, records: list[TargetRecord]) -> _ServiceRoutes:
        by_name = {record.target.name: record for record in records}
        working = sorted(record for record in records if self._reach.works(record))
        capacity = _capacity(service, [r.target for r in working], max(1, len(self._members)))
        routes: dict[Endpoint, KindRoute] = {}
        answers: dict[Endpoint, TargetRoute] = {}
        for kind in service.kinds:
            front = Endpoint(service.address, kind.port)
            endpoints = _endpoints(records, kind.name)
            table = self._table(tuple(_entry(r) for r in working if r.target.name in endpoints))
            routes[front] = KindRoute(service.name, kind, table, endpoints, capacity, by_name)
            answers |= {end: TargetRoute(name, front) for name, end in endpoints.items()}
        return _ServiceRoutes(service, records, routes, answers)

    def _table(self, entries: tuple[WeightedTarget, ...]) -> PlacementTable:
        table = self._tables.get(entries)
        if table is None:
            table = PlacementTable(entries)
            self._tables[entries] = table
        return table


def build_view(
    members: Iterable[Member], catalogue: Catalogue, records: Iterable[TargetRecord]
) -> RoutingView:
    """Return the view that follows from members, services and targets."""
    return ViewBuilder().build(members, catalogue, records)


def without_conflicts(records: Iterable[TargetRecord], catalogue: Catalogue) -> list[TargetRecord]:
    """Return the records less those that name another's endpoint, or an address of a service.

    The announcements' checks let no such record pass, but both sides of a cut may accept one each.
    The target that takes work comes before a lost one, then the one of the higher rank.
    """
    taken = {
        Endpoint(service.address, kind.port)
        for service in catalogue.services
        for kind in service.kinds
    }
    kept = []
    for record in sorted(records, key=_precedence, reverse=True):
        endpoints = record_endpoints(record)
        if taken.isdisjoint(endpoints):
            taken.update(endpoints)
            kept.append(record)
    return kept


def _precedence(record: TargetRecord) -> tuple[bool, Rank]:
    return record.state is not TargetState.LOST, record_rank(record)


def _entry(record: TargetRecord) -> WeightedTarget:
    factor = LOAD_FACTORS.get(record.load, 1.0)
    return WeightedTarget(
        record.target.name, record.target.slots * record.weight / FULL_WEIGHT * factor
    )


def _capacity(service: Service, targets: list[Target], homes: int) -> ServiceCapacity:
    return ServiceCapacity(
        slots=sum(target.slots for target in targets),
        flows=sum(target.connection_limit for target in targets),
        shares=sum(kind.share for kind in service.kinds),
        homes=homes,
    )


def _endpoints(records: Iterable[TargetRecord], kind: str) -> dict[TargetName, Endpoint]:
    found = {record.target.name: record.target.endpoint(kind) for record in records}
    return {name: endpoint for name, endpoint in found.items() if endpoint is not None}
