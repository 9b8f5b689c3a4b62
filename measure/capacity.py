"""Slopes behind ``docs/CAPACITY.md``: what hosts, targets, flows and notes cost one host.

Each is measured at several sizes in one process, up to the planned one, so that nothing there rests
on a straight line through small numbers. Bytes are encoded messages; seconds are processor time.
"""

from __future__ import annotations

import gc
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any, NamedTuple

from lacewingrudder_core.admission import ShareAdmission, SynLimiter
from lacewingrudder_core.notes import Catalogue, NoteReceipt
from lacewingrudder_core.routing import HomeTable, LoadTracker, RoutingView, ViewBuilder
from lacewingrudder_core.types import (
    Endpoint,
    Kind,
    KindPort,
    Member,
    Service,
    Target,
    TargetRecord,
    TargetState,
)
from lacewingrudder_wire.values import encode_value

HOSTS = (7, 100, 490)
TARGETS = (500, 2000, 5500)
SERVICES = 390
KINDS_PER_SERVICE = 2
ZONES = 10
RECEIPTS = 10_000
DECISIONS = 20_000
ROUNDS = 1
MILLISECONDS = 1000.0
MICROSECONDS = 1e6
MEBIBYTE = 1 << 20


class Cost(NamedTuple):
    """What an action costs.

    :param seconds: processor time, the least of a few rounds.
    :param memory: bytes that its result keeps.
    """

    seconds: float
    memory: int


def cost(action: Callable[[], Any]) -> Cost:
    """Return the cost of an action."""
    times = []
    for _ in range(ROUNDS):
        started = time.process_time()
        action()
        times.append(time.process_time() - started)
    gc.collect()
    tracemalloc.start()
    result = action()
    gc.collect()
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return Cost(min(times), memory)


def members(count: int) -> list[Member]:
    """Return entry hosts over all zones."""
    return [
        Member(f"entry-{n}", f"zone-{n % ZONES}", 1, Endpoint(n, 1), Endpoint(n, 2))
        for n in range(count)
    ]


def catalogue() -> Catalogue:
    """Return services of the planned number."""
    kinds = tuple(
        Kind(f"kind-{index}", 443 + index, index, False, 0.4) for index in range(KINDS_PER_SERVICE)
    )
    services = tuple(Service(f"service-{n}", n, "a-service-key", kinds) for n in range(SERVICES))
    return Catalogue(1, services)


def records(count: int) -> list[TargetRecord]:
    """Return targets spread over all services and zones."""
    ports = tuple(KindPort(f"kind-{index}", 9000 + index) for index in range(KINDS_PER_SERVICE))
    found = []
    for number in range(count):
        address = (10 << 24) + number
        name = str(Endpoint(address, 9000))
        service, zone = f"service-{number % SERVICES}", f"zone-{number % ZONES}"
        target = Target(name, service, zone, address, ports, 3, 2000, 1)
        found.append(TargetRecord(target, TargetState.SERVING, 1, 0.0, "entry-1"))
    return found


def measure_homes() -> None:
    """Print what one change of the hosts costs each host."""
    for count in HOSTS:
        table = cost(lambda count=count: HomeTable(members(count)))  # type: ignore[misc]
        print(f"home_table_build_ms_{count}_hosts={table.seconds * MILLISECONDS:.1f}")
        print(f"home_table_megabytes_{count}_hosts={table.memory / MEBIBYTE:.2f}")
        former, fewer = HomeTable(members(count)), members(count)[1:]
        left = cost(lambda former=former, fewer=fewer: HomeTable(fewer, former))  # type: ignore[misc]
        print(f"home_table_one_host_ms_{count}_hosts={left.seconds * MILLISECONDS:.1f}")


def measure_views() -> None:
    """Print what the view costs as a whole and for one changed target."""
    services, hosts = catalogue(), members(HOSTS[0])
    for count in TARGETS:
        known = records(count)
        whole = cost(lambda known=known: ViewBuilder().build(hosts, services, known))  # type: ignore[misc]
        print(f"view_build_ms_{count}_targets={whole.seconds * MILLISECONDS:.0f}")
        print(f"view_megabytes_{count}_targets={whole.memory / MEBIBYTE:.1f}")
        one = _change_seconds(hosts, services, known)
        print(f"view_one_target_ms_{count}_targets={one * MILLISECONDS:.1f}")
        held = cost(lambda count=count: records(count))  # type: ignore[misc]
        print(f"record_memory_bytes_{count}_targets={held.memory / count:.0f}")


def _change_seconds(hosts: list[Member], services: Catalogue, known: list[TargetRecord]) -> float:
    builder = ViewBuilder()
    builder.build(hosts, services, known)
    times = []
    for number in range(10):
        known[number] = known[number]._replace(version=2, state=TargetState.DRAINING)
        started = time.process_time()
        builder.build(hosts, services, known)
        times.append(time.process_time() - started)
    return statistics.median(times)


def measure_admission() -> None:
    """Print what deciding on one SYN costs."""
    view: RoutingView = ViewBuilder().build(members(HOSTS[0]), catalogue(), records(TARGETS[-1]))
    routes = list(view.routes.values())
    policy, loads, limiter = ShareAdmission(), LoadTracker(), SynLimiter()
    rng = random.Random(1)
    started = time.process_time()
    for number in range(DECISIONS):
        route = rng.choice(routes)
        policy.decide(route, loads, number / 1000)
        policy.record_opened(route, number / 1000)
        policy.record_abandoned(route.service, route.kind.name, number / 1000)
    passed = time.process_time() - started
    print(f"admission_microseconds_per_syn={passed / DECISIONS * MICROSECONDS:.1f}")
    print(f"admission_syn_limit_per_s={limiter.limit:.0f}")


def measure_catalogue() -> None:
    """Print the size of the configuration."""
    services = catalogue()
    receipts = tuple(NoteReceipt(number, "0" * 64, number) for number in range(RECEIPTS))
    print(f"catalogue_encoded_bytes={len(encode_value(services))}")
    print(f"receipts_encoded_bytes={len(encode_value(receipts))}")
    held = cost(lambda: tuple(NoteReceipt(n, f"{n:064d}", n) for n in range(RECEIPTS)))
    print(f"receipts_megabytes={held.memory / MEBIBYTE:.1f}")
    print(f"service_memory_bytes={cost(catalogue).memory / SERVICES:.0f}")


def main() -> None:
    """Print all slopes that no other script measures."""
    measure_homes()
    measure_views()
    measure_admission()
    measure_catalogue()


if __name__ == "__main__":
    main()
