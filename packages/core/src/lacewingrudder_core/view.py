"""The routing view: what the packet path needs of hosts, targets and services at one moment."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .homes import HomeTable
from .notes import Catalogue
from .placement import Entry, PlacementTable
from .types import Endpoint, Kind, Member, OrderAction, TargetName, TargetRecord, TargetState


class KindRoute(NamedTuple):
    """Where new flows of one kind of work go."""

    service: str
    kind: Kind
    table: PlacementTable
    endpoints: Mapping[TargetName, Endpoint]


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


def build_view(
    members: Iterable[Member], catalogue: Catalogue, records: Iterable[TargetRecord]
) -> RoutingView:
    """Return the view that follows from members, services and targets."""
    by_service: dict[str, list[TargetRecord]] = {}
    for record in records:
        by_service.setdefault(record.target.service, []).append(record)
    routes: dict[Endpoint, KindRoute] = {}
    answers: dict[Endpoint, TargetRoute] = {}
    for service in catalogue.services:
        known = by_service.get(service.name, [])
        table = PlacementTable(
            [Entry(r.target.name, r.target.slots) for r in known if _takes_work(catalogue, r)]
        )
        for kind in service.kinds:
            front = Endpoint(service.address, kind.port)
            endpoints = _endpoints(known, kind.name)
            routes[front] = KindRoute(service.name, kind, table, endpoints)
            answers |= {end: TargetRoute(name, front) for name, end in endpoints.items()}
    return RoutingView(HomeTable(members), routes, answers)


def _takes_work(catalogue: Catalogue, record: TargetRecord) -> bool:
    if catalogue.order(record.target.name) in (OrderAction.DRAIN, OrderAction.WITHDRAW):
        return False
    return record.state in (TargetState.WARMING, TargetState.SERVING)


def _endpoints(records: Iterable[TargetRecord], kind: str) -> dict[TargetName, Endpoint]:
    found = {record.target.name: record.target.endpoint(kind) for record in records}
    return {name: endpoint for name, endpoint in found.items() if endpoint is not None}
