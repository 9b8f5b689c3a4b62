"""An entry host without sockets, and what it is told, for tests of its wiring."""

from __future__ import annotations

from collections.abc import Callable
from unittest.mock import Mock

from lacewingrudder_core.checkins import LifeState, Lifetime, TargetEntry
from lacewingrudder_core.tagging import Configuration, Route, Split, TagSegment, flow_tag
from lacewingrudder_core.types import Endpoint, FlowKey
from lacewingrudder_daemon._fleet.entry import TagEntryProcess

CONTROL = "10.0.0.1:7720"
OTHER_CONTROL = "10.0.0.2:7720"
ROUTE = Endpoint.parse("198.18.0.1:443")
SERVICE = "proofdesk"


def target_entry(number: int, state: LifeState = LifeState.READY) -> TargetEntry:
    endpoint = Endpoint(0x0A800000 + number, 8080)
    return TargetEntry(lifetime(number), number, SERVICE, "adum", endpoint, 3, state, 1, 0, True)


def lifetime(number: int) -> Lifetime:
    return Lifetime(f"i-{number:x}", 1000)


def make_entry_process(now: Callable[[], float]) -> TagEntryProcess:
    """Return an entry host whose packets are segments and whose sockets are mocks."""
    endpoint = Endpoint.parse("10.1.0.1:7720")
    settings = Mock(zone="adum", seeds=(CONTROL,), messages=endpoint, metrics=None)
    adapter = Mock(decode=lambda segment: segment)
    process = TagEntryProcess(settings, Mock(), Mock(), Mock(), adapter, Mock())
    process._loop = Mock(time=now)
    process._message_socket._socket = Mock()
    process._packet_socket = Mock()
    return process


def configure(process: TagEntryProcess) -> None:
    """Put a configuration in force that routes :data:`ROUTE`, with a latency objective."""
    route = Route(ROUTE, (Split(SERVICE, 1),), False, 8, 0.15)
    process._forwarder.configure(Configuration(1, {ROUTE: route}, 15.0))


def receive_packet(
    process: TagEntryProcess, port: int, number: int | None = None, attempt: int = 0
) -> None:
    """Let an entry host receive a SYN, or data of a flow at a target."""
    flow = FlowKey(0x64400007, port, ROUTE.address, ROUTE.port)
    if number is None:
        segment = TagSegment(flow, 0, True, False, attempt, 0, 1, 0)
    else:
        segment = TagSegment(flow, flow_tag(lifetime(number)), False, False, 0, 100, 2, 1)
    process._handle_packet(segment, ("100.64.0.7", port), 0.0)  # type: ignore[arg-type]
