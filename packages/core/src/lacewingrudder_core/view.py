"""The routing view: what the packet path needs of hosts, targets and services at one moment."""

from __future__ import annotations

import types
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .homes import HomeTable
from .maglev import Entry, PlacementTable
from .notes import Catalogue
from .types import (
    Endpoint,
    Kind,
    Member,
    OrderAction,
    Service,
    Target,
    TargetName,
    TargetRecord,
    TargetState,
)


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
    :param answers: by the endpoint of a target; at most one service per endpoint.
    """

    homes: HomeTable
    routes: Mapping[Endpoint, KindRoute]
    answers: Mapping[Endpoint, TargetRoute]

    def working_targets(self) -> Mapping[str, tuple[TargetName, ...]]:
        """Return the names of the targets that take new flows, by service."""
        tables = {route.service: route.table for route in self.routes.values()}
        return {
            service: tuple(entry.name for entry in table.entries)
            for service, table in tables.items()
        }


def build_view(
    members: Iterable[Member], catalogue: Catalogue, records: Iterable[TargetRecord]
) -> RoutingView:
    """Return the view that follows from members, services and targets."""
    by_service: dict[str, list[TargetRecord]] = {}
    for record in records:
        by_service.setdefault(record.target.service, []).append(record)
    homes = HomeTable(members)
    routes: dict[Endpoint, KindRoute] = {}
    answers: dict[Endpoint, TargetRoute] = {}
    for service in catalogue.services:
        known = by_service.get(service.name, [])
        working = [r.target for r in known if _takes_work(catalogue, r)]
        table = PlacementTable([Entry(target.name, target.slots) for target in working])
        capacity = _capacity(service, working, len(homes.members))
        by_name = {record.target.name: record for record in known}
        for kind in service.kinds:
            front = Endpoint(service.address, kind.port)
            endpoints = _endpoints(known, kind.name)
            routes[front] = KindRoute(service.name, kind, table, endpoints, capacity, by_name)
            answers |= {end: TargetRoute(name, front) for name, end in endpoints.items()}
    return RoutingView(homes, routes, answers)


def _capacity(service: Service, targets: list[Target], homes: int) -> ServiceCapacity:
    return ServiceCapacity(
        slots=sum(target.slots for target in targets),
        flows=sum(target.connection_limit for target in targets),
        shares=sum(kind.share for kind in service.kinds),
        homes=max(1, homes),
    )


def _takes_work(catalogue: Catalogue, record: TargetRecord) -> bool:
    if catalogue.order(record.target.name) in (OrderAction.DRAIN, OrderAction.WITHDRAW):
        return False
    return record.state in (TargetState.WARMING, TargetState.SERVING)


def _endpoints(records: Iterable[TargetRecord], kind: str) -> dict[TargetName, Endpoint]:
    found = {record.target.name: record.target.endpoint(kind) for record in records}
    return {name: endpoint for name, endpoint in found.items() if endpoint is not None}
