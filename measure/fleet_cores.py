"""Measures decisions of control and entry hosts for several fleet sizes, without any I/O.

Each figure is the processor time of one core in one process, without sockets and codecs.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple

from lacewingrudder_core.checkins import (
    CheckedIn,
    CheckIn,
    CheckInCore,
    LifeState,
    Lifetime,
    Position,
    Registry,
    Subscribed,
    Subscription,
    TargetEntry,
    Tick,
    Update,
)
from lacewingrudder_core.notes import Evacuations
from lacewingrudder_core.tagging import Configuration, Route, Split, TagForwarder, TagSegment
from lacewingrudder_core.types import Endpoint, FlowKey

CONTROL_HOST_COUNT = 6
LOCAL_ZONE = "za"
ZONES = ("za", "zb", "zc")
SERVICE = "a"
ROUTE_ENDPOINT = Endpoint.parse("198.18.0.1:443")
FIRST_TARGET_ENDPOINT = Endpoint.parse("10.1.0.1:8080")
CALLER_ENDPOINT = Endpoint.parse("100.64.0.1:1")
HEARTBEAT_SECONDS = 1.2
REPETITION_COUNT = 100
US_PER_SECOND = 1e6


class FleetSize(NamedTuple):
    """Numbers of entry hosts and targets."""

    hosts: int
    targets: int


SIZES = (FleetSize(30, 300), FleetSize(100, 1000), FleetSize(300, 3000), FleetSize(490, 5500))


def _make_check_in(number: int, sequence: int) -> CheckIn:
    endpoint = Endpoint(FIRST_TARGET_ENDPOINT.address + number, FIRST_TARGET_ENDPOINT.port)
    zone, lifetime = ZONES[number % len(ZONES)], Lifetime(f"i-{number}", 1)
    return CheckIn(lifetime, number, SERVICE, zone, endpoint, 3, LifeState.READY, sequence, 0)


def _make_entry(number: int) -> TargetEntry:
    return TargetEntry(*_make_check_in(number, 1), True)


def _mean_microseconds(
    action: Callable[[int], object], repetitions: int = REPETITION_COUNT
) -> float:
    """Return the mean processor time of an action."""
    started = time.process_time()
    for number in range(repetitions):
        action(number)
    return (time.process_time() - started) / repetitions * US_PER_SECOND


def measure_control_host(size: FleetSize) -> None:
    """Print the cost of a poll, a heartbeat and a tick on a control host."""
    core = CheckInCore("10.0.0.1:1", LOCAL_ZONE, Registry(1, HEARTBEAT_SECONDS))
    targets = size.targets // CONTROL_HOST_COUNT
    for number in range(targets):
        core.handle(CheckedIn(number, _make_check_in(number, 1)), 0.0)
    position = Position(1, targets)
    polls = [
        Subscription(f"10.1.0.{number}:1", ZONES[number % len(ZONES)], False, position, -1, True)
        for number in range(size.hosts)
    ]
    for poll in polls:
        core.handle(Subscribed(poll), 0.0)
    name = f"{size.hosts}_hosts_{size.targets}_targets"
    poll_cost = _mean_microseconds(lambda n: core.handle(Subscribed(polls[n % size.hosts]), 0.1))
    heartbeat_cost = _mean_microseconds(
        lambda n: core.handle(CheckedIn(n, _make_check_in(n % targets, 2 + n)), 0.1)
    )
    tick_cost = _mean_microseconds(lambda n: core.handle(Tick(), 0.1))
    print(f"control_poll_us_{name}={poll_cost:.0f}")
    print(f"control_heartbeat_us_{name}={heartbeat_cost:.0f}")
    print(f"control_tick_us_{name}={tick_cost:.0f}", flush=True)


def measure_entry_host(size: FleetSize) -> None:
    """Print the cost of a SYN, a tick and a change of one target on an entry host.

    Also print that of the evacuation of a zone and of the loss of all control hosts but one.
    """
    forwarder = TagForwarder(LOCAL_ZONE)
    route = Route(ROUTE_ENDPOINT, (Split(SERVICE, 1),), False, 0)
    forwarder.configure(Configuration(1, {ROUTE_ENDPOINT: route}, 15.0))
    targets_per_control = size.targets // CONTROL_HOST_COUNT
    for control in range(CONTROL_HOST_COUNT):
        entries = tuple(
            _make_entry(control * targets_per_control + number)
            for number in range(targets_per_control)
        )
        host = f"10.0.0.{control}:1"
        forwarder.apply_update(
            Update(host, Position(1, targets_per_control), 0, entries, -1, (host,)), 0.0
        )

    def open_flow(number: int) -> None:
        flow = FlowKey(
            CALLER_ENDPOINT.address, 1 + number, ROUTE_ENDPOINT.address, ROUTE_ENDPOINT.port
        )
        forwarder.decide(TagSegment(flow, 0, True, False, 0, 0, 0, 0), 1.0)

    def drain_target(number: int) -> None:
        entry = _make_entry(number)._replace(state=LifeState.DRAINING)
        position = Position(1, targets_per_control + 1 + number)
        message = Update(
            "10.0.0.0:1", position, targets_per_control + number, (entry,), -1, ("10.0.0.0:1",)
        )
        forwarder.apply_update(message, 2.0)

    def evacuate_zone(number: int) -> None:
        evacuations = Evacuations(1 + number, () if number % 2 else (LOCAL_ZONE,))
        host = "10.0.0.0:1"
        message = Update(host, Position(1, 0), 0, (), -1, (host,), evacuations=evacuations)
        forwarder.apply_update(message, 2.0)

    def lose_controls(number: int) -> None:
        forwarder.apply_update(
            Update("10.0.0.0:1", Position(1, number), 0, (), -1, ("10.0.0.0:1",)), 9.0
        )
        forwarder.tick(9.0)

    name = f"{size.hosts}_hosts_{size.targets}_targets"
    print(f"entry_syn_us_{name}={_mean_microseconds(open_flow):.0f}")
    print(f"entry_tick_us_{name}={_mean_microseconds(lambda n: forwarder.tick(1.0)):.0f}")
    print(f"entry_change_us_{name}={_mean_microseconds(drain_target, 10):.0f}")
    print(f"entry_evacuation_us_{name}={_mean_microseconds(evacuate_zone, 2):.0f}")
    print(f"entry_control_loss_us_{name}={_mean_microseconds(lose_controls, 1):.0f}", flush=True)


def main() -> None:
    """Print all measures for each size."""
    for size in SIZES:
        measure_control_host(size)
        measure_entry_host(size)


if __name__ == "__main__":
    main()
