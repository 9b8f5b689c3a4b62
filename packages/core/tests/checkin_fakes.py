"""Builders of test data for check-ins and for forwarding by flow tag."""

from __future__ import annotations

from lacewingrudder_core.checkins import (
    CheckIn,
    LifeState,
    Lifetime,
    Position,
    TargetEntry,
    Update,
)
from lacewingrudder_core.tagging import Configuration, Route, Split, TagSegment
from lacewingrudder_core.types import Endpoint, FlowKey

SERVICE_ADDRESS = 3323068417
EDITS = Endpoint(SERVICE_ADDRESS, 443)
SHEETS = Endpoint(SERVICE_ADDRESS, 8443)


def check_in(
    number: int,
    sequence: int = 1,
    started_ms: int = 1000,
    state: LifeState = LifeState.READY,
    service: str = "proofdesk",
    address: int | None = None,
) -> CheckIn:
    endpoint = Endpoint(0x0A800000 + (number if address is None else address), 8080)
    lifetime = Lifetime(f"i-{number:x}", started_ms)
    return CheckIn(lifetime, number, service, "adum", endpoint, 3, state, sequence, 0)


def entry(
    number: int,
    state: LifeState = LifeState.READY,
    started_ms: int = 1000,
    zone: str = "adum",
    service: str = "proofdesk",
    sequence: int = 1,
    has_recent_heartbeat: bool = True,
    address: int | None = None,
) -> TargetEntry:
    call = check_in(number, sequence, started_ms, state, service, address)
    return TargetEntry(*call[:-1], 0, has_recent_heartbeat)._replace(zone=zone)


def update(
    *entries: TargetEntry,
    control: str = "10.0.0.1:7720",
    epoch: int = 1,
    number: int = 1,
    since: int = 0,
    version: int = -1,
) -> Update:
    return Update(control, Position(epoch, number), since, entries, version, (control,))


def configuration(version: int = 1, *routes: Route) -> Configuration:
    default = (
        Route(EDITS, (Split("proofdesk", 1),), False, 8),
        Route(SHEETS, (Split("sheetroom", 1),), True, 7),
    )
    rows = routes or default
    return Configuration(version, {route.endpoint: route for route in rows}, 15.0)


def syn(port: int, attempt: int = 0, service: Endpoint = EDITS) -> TagSegment:
    flow = FlowKey(0x64400007, port, service.address, service.port)
    return TagSegment(flow, 0, True, False, attempt, 0, 1, 0)


def data(port: int, tag: int, sequence: int = 2, acknowledged: int = 1) -> TagSegment:
    flow = FlowKey(0x64400007, port, EDITS.address, EDITS.port)
    return TagSegment(flow, tag, False, False, 0, 100, sequence, acknowledged)
