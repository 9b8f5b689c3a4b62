"""What decisions of the platform's hosts cost, by the size of the fleet: the cores alone.

Each figure is processor time of one core in one process, without sockets and codecs.
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
from lacewingrudder_core.tagging import Configuration, Route, Split, TagForwarder, TagSegment
from lacewingrudder_core.types import Endpoint, FlowKey

CONTROLS = 6
ZONE = "za"
ZONES = ("za", "zb", "zc")
SERVICE = "a"
FRONT = Endpoint.parse("198.18.0.1:443")
FIRST_TARGET = Endpoint.parse("10.1.0.1:8080")
CALLER = Endpoint.parse("100.64.0.1:1")
BEAT_SECONDS = 1.2
TIMES = 100
MICROSECONDS = 1e6


class Size(NamedTuple):
    """A fleet."""

    hosts: int
    targets: int


SIZES = (Size(30, 300), Size(100, 1000), Size(300, 3000), Size(490, 5500))


def _check_in(number: int, sequence: int) -> CheckIn:
    endpoint = Endpoint(FIRST_TARGET.address + number, FIRST_TARGET.port)
    zone, lifetime = ZONES[number % len(ZONES)], Lifetime(f"i-{number}", 1)
    return CheckIn(lifetime, number, SERVICE, zone, endpoint, 3, LifeState.READY, sequence, 0)


def _entry(number: int) -> TargetEntry:
    return TargetEntry(*_check_in(number, 1), True)


def _microseconds(action: Callable[[int], object], times: int = TIMES) -> float:
    """Return the processor time of an action, in the mean."""
    began = time.process_time()
    for number in range(times):
        action(number)
    return (time.process_time() - began) / times * MICROSECONDS


def measure_control(size: Size) -> None:
    """Print what a poll and a heartbeat cost a control host."""
    core = CheckInCore("10.0.0.1:1", ZONE, Registry(1, BEAT_SECONDS))
    targets = size.targets // CONTROLS
    for number in range(targets):
        core.handle(CheckedIn(number, _check_in(number, 1)), 0.0)
    position = Position(1, targets)
    polls = [
        Subscription(f"10.1.0.{number}:1", ZONES[number % len(ZONES)], False, position, -1, True)
        for number in range(size.hosts)
    ]
    for poll in polls:
        core.handle(Subscribed(poll), 0.0)
    name = f"{size.hosts}_hosts_{size.targets}_targets"
    poll_cost = _microseconds(lambda n: core.handle(Subscribed(polls[n % size.hosts]), 0.1))
    beat_cost = _microseconds(
        lambda n: core.handle(CheckedIn(n, _check_in(n % targets, 2 + n)), 0.1)
    )
    tick_cost = _microseconds(lambda n: core.handle(Tick(), 0.1))
    print(f"control_poll_us_{name}={poll_cost:.0f}")
    print(f"control_heartbeat_us_{name}={beat_cost:.0f}")
    print(f"control_tick_us_{name}={tick_cost:.0f}", flush=True)


def measure_entry(size: Size) -> None:
    """Print what a SYN, a tick and a change of one target cost an entry host."""
    forwarder = TagForwarder(ZONE)
    route = Route(FRONT, (Split(SERVICE, 1),), False, 0)
    forwarder.configure(Configuration(1, {FRONT: route}, 15.0))
    part = size.targets // CONTROLS
    for control in range(CONTROLS):
        entries = tuple(_entry(control * part + number) for number in range(part))
        host = f"10.0.0.{control}:1"
        forwarder.update(Update(host, Position(1, part), 0, entries, -1, (host,)), 0.0)
    forwarder.apply_pending(0.0)

    def open_flow(number: int) -> None:
        flow = FlowKey(CALLER.address, 1 + number, FRONT.address, FRONT.port)
        forwarder.decide(TagSegment(flow, 0, True, False, 0, 0, 0, 0), 1.0)

    def change(number: int) -> None:
        entry = _entry(number)._replace(state=LifeState.DRAINING)
        position = Position(1, part + 1 + number)
        body = Update("10.0.0.0:1", position, part + number, (entry,), -1, ("10.0.0.0:1",))
        forwarder.update(body, 2.0 + number)

    name = f"{size.hosts}_hosts_{size.targets}_targets"
    print(f"entry_syn_us_{name}={_microseconds(open_flow):.0f}")
    print(f"entry_tick_us_{name}={_microseconds(lambda n: forwarder.tick(1.0)):.0f}")
    print(f"entry_change_us_{name}={_microseconds(change, 10):.0f}", flush=True)


def main() -> None:
    """Print the costs at each size."""
    for size in SIZES:
        measure_control(size)
        measure_entry(size)


if __name__ == "__main__":
    main()
