"""Measures one host's costs of home tables, views, admission decisions and the catalogue.

``docs/CAPACITY.md`` uses these figures. Each is measured in one process, at the planned size or at
several sizes up to it, so that none is extrapolated from small systems. Sizes of messages are
encoded bytes; durations are processor time.
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

HOST_COUNTS = (7, 100, 490)
TARGET_COUNTS = (500, 2000, 5500)
SERVICE_COUNT = 390
KINDS_PER_SERVICE = 2
ZONE_COUNT = 10
RECEIPT_COUNT = 10_000
DECISION_COUNT = 20_000
ROUND_COUNT = 1
MS_PER_SECOND = 1000.0
US_PER_SECOND = 1e6
MEBIBYTE = 1 << 20


class Cost(NamedTuple):
    """Processor time and memory of an action.

    :param cpu_seconds: processor time, the minimum over all rounds.
    :param memory_bytes: memory that the action's result occupies.
    """

    cpu_seconds: float
    memory_bytes: int


def measure_cost(action: Callable[[], Any]) -> Cost:
    """Run an action and return its cost; memory is traced in a separate run."""
    times = []
    for _ in range(ROUND_COUNT):
        started = time.process_time()
        action()
        times.append(time.process_time() - started)
    gc.collect()
    tracemalloc.start()
    result = action()
    gc.collect()
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return Cost(min(times), memory_bytes)


def make_members(count: int) -> list[Member]:
    """Return entry hosts spread evenly over all zones."""
    return [
        Member(f"entry-{n}", f"zone-{n % ZONE_COUNT}", 1, Endpoint(n, 1), Endpoint(n, 2))
        for n in range(count)
    ]


def make_catalogue() -> Catalogue:
    """Return a catalogue with the planned number of services."""
    kinds = tuple(
        Kind(f"kind-{index}", 443 + index, index, False, 0.4) for index in range(KINDS_PER_SERVICE)
    )
    services = tuple(
        Service(f"service-{n}", n, "a-service-key", kinds) for n in range(SERVICE_COUNT)
    )
    return Catalogue(1, services)


def make_records(count: int) -> list[TargetRecord]:
    """Return records of targets spread evenly over all services and zones."""
    ports = tuple(KindPort(f"kind-{index}", 9000 + index) for index in range(KINDS_PER_SERVICE))
    made = []
    for number in range(count):
        address = (10 << 24) + number
        name = str(Endpoint(address, 9000))
        service, zone = f"service-{number % SERVICE_COUNT}", f"zone-{number % ZONE_COUNT}"
        target = Target(name, service, zone, address, ports, 3, 2000, 1)
        made.append(TargetRecord(target, TargetState.SERVING, 1, 0.0, "entry-1"))
    return made


def measure_home_tables() -> None:
    """Print the cost of building the home table, and of rebuilding it after one host left."""
    for count in HOST_COUNTS:
        table = measure_cost(lambda count=count: HomeTable(make_members(count)))  # type: ignore[misc]
        print(f"home_table_build_ms_{count}_hosts={table.cpu_seconds * MS_PER_SECOND:.1f}")
        print(f"home_table_megabytes_{count}_hosts={table.memory_bytes / MEBIBYTE:.2f}")
        old, rest = HomeTable(make_members(count)), make_members(count)[1:]
        incremental = measure_cost(lambda old=old, rest=rest: HomeTable(rest, old))  # type: ignore[misc]
        print(f"home_table_one_host_ms_{count}_hosts={incremental.cpu_seconds * MS_PER_SECOND:.1f}")


def measure_views() -> None:
    """Print the cost of a full build of the view and of a rebuild after one target changed.

    Also print the memory of one target's record.
    """
    services, hosts = make_catalogue(), make_members(HOST_COUNTS[0])
    for count in TARGET_COUNTS:
        records = make_records(count)
        full_build = measure_cost(lambda known=records: ViewBuilder().build(hosts, services, known))  # type: ignore[misc]
        print(f"view_build_ms_{count}_targets={full_build.cpu_seconds * MS_PER_SECOND:.0f}")
        print(f"view_megabytes_{count}_targets={full_build.memory_bytes / MEBIBYTE:.1f}")
        update_seconds = _target_update_seconds(hosts, services, records)
        print(f"view_one_target_ms_{count}_targets={update_seconds * MS_PER_SECOND:.1f}")
        storage = measure_cost(lambda count=count: make_records(count))  # type: ignore[misc]
        print(f"record_memory_bytes_{count}_targets={storage.memory_bytes / count:.0f}")


def _target_update_seconds(
    hosts: list[Member], services: Catalogue, records: list[TargetRecord]
) -> float:
    """Return the median processor time of a rebuild after one target changed."""
    builder = ViewBuilder()
    builder.build(hosts, services, records)
    times = []
    for number in range(10):
        records[number] = records[number]._replace(version=2, state=TargetState.DRAINING)
        started = time.process_time()
        builder.build(hosts, services, records)
        times.append(time.process_time() - started)
    return statistics.median(times)


def measure_admission() -> None:
    """Print the cost of the admission decision for one SYN."""
    view: RoutingView = ViewBuilder().build(
        make_members(HOST_COUNTS[0]), make_catalogue(), make_records(TARGET_COUNTS[-1])
    )
    routes = list(view.routes.values())
    policy, loads, limiter = ShareAdmission(), LoadTracker(), SynLimiter()
    rng = random.Random(1)
    started = time.process_time()
    for number in range(DECISION_COUNT):
        route = rng.choice(routes)
        policy.decide(route, loads, number / 1000)
        policy.record_opened(route, number / 1000)
        policy.record_abandoned(route.service, route.kind.name, number / 1000)
    elapsed = time.process_time() - started
    print(f"admission_microseconds_per_syn={elapsed / DECISION_COUNT * US_PER_SECOND:.1f}")
    print(f"admission_syn_limit_per_s={limiter.limit:.0f}")


def measure_catalogue() -> None:
    """Print the sizes of the catalogue and of the receipts of notes."""
    services = make_catalogue()
    receipts = tuple(NoteReceipt(number, "0" * 64, number) for number in range(RECEIPT_COUNT))
    print(f"catalogue_encoded_bytes={len(encode_value(services))}")
    print(f"receipts_encoded_bytes={len(encode_value(receipts))}")
    storage = measure_cost(
        lambda: tuple(NoteReceipt(n, f"{n:064d}", n) for n in range(RECEIPT_COUNT))
    )
    print(f"receipts_megabytes={storage.memory_bytes / MEBIBYTE:.1f}")
    print(f"service_memory_bytes={measure_cost(make_catalogue).memory_bytes / SERVICE_COUNT:.0f}")


def main() -> None:
    """Print the costs of home tables, views, admission decisions and the catalogue."""
    measure_home_tables()
    measure_views()
    measure_admission()
    measure_catalogue()


if __name__ == "__main__":
    main()
