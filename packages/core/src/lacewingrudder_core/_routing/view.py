"""The routing view: an immutable snapshot of hosts, targets and services for the packet path."""

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

LOAD_FACTORS = {0.75: 7 / 8, 1.0: 3 / 4}  # by reported load level: factor of a target's weight


class ServiceCapacity(NamedTuple):
    """The total capacity of a service's targets that accept new flows.

    :param slots: requests processed at once.
    :param flows: flows open at once.
    :param shares: sum of the shares guaranteed to the service's kinds of work.
    :param homes: number of entry hosts that share this capacity.
    """

    slots: int = 0
    flows: int = 0
    shares: float = 0.0
    homes: int = 1


class KindRoute(NamedTuple):
    """The targets of one kind of work, and the placement table for its new flows.

    :param records: the records of all targets, including those that accept no new flows.
    """

    service: str
    kind: Kind
    table: PlacementTable
    endpoints: Mapping[TargetName, Endpoint]
    capacity: ServiceCapacity = ServiceCapacity()
    records: Mapping[TargetName, TargetRecord] = types.MappingProxyType({})


class TargetRoute(NamedTuple):
    """The target at an endpoint, and the service endpoint whose flows it receives there."""

    target: TargetName
    service: Endpoint


class RoutingView(NamedTuple):
    """Everything that determines a packet's route; replaced as a whole, never modified.

    :param routes: by the service endpoint that callers connect to.
    :param target_routes: by the endpoint of a target; at most one service per endpoint.
    """

    homes: HomeTable
    routes: Mapping[Endpoint, KindRoute]
    target_routes: Mapping[Endpoint, TargetRoute]

    def accepting_targets(self) -> Mapping[str, frozenset[TargetName]]:
        """Return the names of the targets that accept new flows, by service."""
        found: dict[str, frozenset[TargetName]] = {}
        for route in self.routes.values():
            names = frozenset(entry.name for entry in route.table.entries)
            found[route.service] = found.get(route.service, frozenset()) | names
        return found


class _ServiceRoutes(NamedTuple):
    """The routes of one service, with the inputs that they were computed from."""

    service: Service
    records: list[TargetRecord]
    routes: Mapping[Endpoint, KindRoute]
    target_routes: Mapping[Endpoint, TargetRoute]


class _Eligibility(NamedTuple):
    """The conditions for new flows: a target is reachable and no operator's order stops it.

    :param stopped: the targets that an order drains or withdraws.
    :param hosts: the live hosts.
    :param zones: the zones of the live hosts.
    :param evacuated: the zones that an order evacuates.
    """

    stopped: frozenset[TargetName] = frozenset()
    hosts: frozenset[HostName] = frozenset()
    zones: frozenset[ZoneName] = frozenset()
    evacuated: frozenset[ZoneName] = frozenset()

    def accepts_flows(self, record: TargetRecord) -> bool:
        if record.state not in ACCEPTING_STATES or record.target.name in self.stopped:
            return False
        if record.target.zone in self.evacuated:
            return False
        return record.target.zone in self.zones or record.owner in self.hosts


class ViewBuilder:
    """Builds successive views and recomputes only what changed in between."""

    def __init__(self) -> None:
        self._members: tuple[Member, ...] = ()
        self._homes = HomeTable(())
        self._eligibility = _Eligibility()
        self._services: dict[str, _ServiceRoutes] = {}
        self._tables: dict[tuple[WeightedTarget, ...], PlacementTable] = {}

    def build(
        self, members: Iterable[Member], catalogue: Catalogue, records: Iterable[TargetRecord]
    ) -> RoutingView:
        """Return the view of the given hosts, services and targets."""
        self._update_homes(tuple(members))
        self._update_eligibility(catalogue)
        known = list(records)
        view, conflicts = self._combine(catalogue, known)
        if conflicts:
            view, _ = self._combine(catalogue, without_conflicts(known, catalogue))
        return view

    def _update_homes(self, members: tuple[Member, ...]) -> None:
        if members != self._members:
            self._members = members
            self._homes = HomeTable(members, self._homes)

    def _update_eligibility(self, catalogue: Catalogue) -> None:
        stop_actions = (OrderAction.DRAIN, OrderAction.WITHDRAW)
        eligibility = _Eligibility(
            frozenset(order.target for order in catalogue.orders if order.action in stop_actions),
            frozenset(member.name for member in self._members),
            frozenset(member.zone for member in self._members),
            frozenset(catalogue.evacuations.zones),
        )
        before, self._eligibility = self._eligibility, eligibility
        if (before.hosts, before.zones) != (eligibility.hosts, eligibility.zones):
            self._services = {}
        targets = before.stopped ^ eligibility.stopped
        zones = before.evacuated ^ eligibility.evacuated
        if targets or zones:
            self._services = {
                name: part
                for name, part in self._services.items()
                if not any(r.target.name in targets or r.target.zone in zones for r in part.records)
            }

    def _combine(
        self, catalogue: Catalogue, records: list[TargetRecord]
    ) -> tuple[RoutingView, bool]:
        """Return the view, and whether an endpoint in it has more than one claimant."""
        by_service: dict[str, list[TargetRecord]] = {}
        for record in records:
            by_service.setdefault(record.target.service, []).append(record)
        routes: dict[Endpoint, KindRoute] = {}
        target_routes: dict[Endpoint, TargetRoute] = {}
        parts = [self._routes_of(s, by_service.get(s.name, [])) for s in catalogue.services]
        for part in parts:
            routes |= part.routes
            target_routes |= part.target_routes
        self._services = {part.service.name: part for part in parts}
        self._tables = {route.table.entries: route.table for route in routes.values()}
        count = sum(len(route.endpoints) for route in routes.values())
        conflicts = count > len(target_routes) or not target_routes.keys().isdisjoint(routes)
        return RoutingView(self._homes, routes, target_routes), conflicts

    def _routes_of(self, service: Service, records: list[TargetRecord]) -> _ServiceRoutes:
        part = self._services.get(service.name)
        if part is None or part.service != service or part.records != records:
            part = self._compute_routes(service, records)
        return part

    def _compute_routes(self, service: Service, records: list[TargetRecord]) -> _ServiceRoutes:
        by_name = {record.target.name: record for record in records}
        accepting = sorted(record for record in records if self._eligibility.accepts_flows(record))
        capacity = _capacity(service, [r.target for r in accepting], max(1, len(self._members)))
        routes: dict[Endpoint, KindRoute] = {}
        target_routes: dict[Endpoint, TargetRoute] = {}
        for kind in service.kinds:
            service_endpoint = Endpoint(service.address, kind.port)
            endpoints = _endpoints(records, kind.name)
            table = self._get_or_make_table(
                tuple(_weighted_target(r) for r in accepting if r.target.name in endpoints)
            )
            routes[service_endpoint] = KindRoute(
                service.name, kind, table, endpoints, capacity, by_name
            )
            target_routes |= {
                end: TargetRoute(name, service_endpoint) for name, end in endpoints.items()
            }
        return _ServiceRoutes(service, records, routes, target_routes)

    def _get_or_make_table(self, entries: tuple[WeightedTarget, ...]) -> PlacementTable:
        table = self._tables.get(entries)
        if table is None:
            table = PlacementTable(entries)
            self._tables[entries] = table
        return table


def build_view(
    members: Iterable[Member], catalogue: Catalogue, records: Iterable[TargetRecord]
) -> RoutingView:
    """Return the view of the given hosts, services and targets."""
    return ViewBuilder().build(members, catalogue, records)


def without_conflicts(records: Iterable[TargetRecord], catalogue: Catalogue) -> list[TargetRecord]:
    """Return the records whose endpoints belong to no other target or service.

    The checks of announcements reject such conflicts, but each side of a network partition may
    accept one of two conflicting targets. Of these, a target that is not lost takes precedence
    over a lost one; otherwise, the record with the higher rank does.
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


def _weighted_target(record: TargetRecord) -> WeightedTarget:
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
