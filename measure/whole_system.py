"""Measures a system of real processes.

The measures are the flows broken by operations (drain, note, graceful shutdown, kill), the load
imbalance, and the share of demand that other kinds keep during a packet flood.

The flood is five times the targets' capacity, the most that the stand-in callers can send on one
machine; :mod:`measure.floods` runs the full schedule of floods in virtual time.
"""

from __future__ import annotations

import collections
import statistics
import time
from collections.abc import Iterable
from typing import Any

from standins import demo
from standins.firms import FIRMS, GANTS_LAURENTIDE, FirmShape, ServiceShape
from standins.fleet import Fleet
from standins.loads import load

ADMISSION = {"": "shares", "baseline_none_": "none", "baseline_shared_": "shared_limit"}
ENTRY_HOST_COUNT = 7
WORK_SECONDS = 0.2
EVEN_FLOWS_PER_SECOND = 50.0
EVEN_SECONDS = 8.0
FLOOD_MULTIPLE = 5
FLOOD_SECONDS = 6.0
DEMAND_SHARE_OF_GUARANTEE = 0.8
RESPONSE_TIMEOUT_SECONDS = 2.0
RESULT_TIMEOUT_SECONDS = 60.0
SETTLE_SECONDS = 1.0
SENT_METRIC = "lwr_link_sent_bytes_total"

JsonObject = dict[str, Any]


def imbalance(results: Iterable[JsonObject], service: ServiceShape) -> float:
    """Return the flows of the busiest target divided by the mean over the service's targets."""
    counts = collections.Counter(result["target"] for result in results if result["target"])
    return max(counts.values(), default=0) * service.targets / max(1, sum(counts.values()))


def measure_changes() -> None:
    """Print how many flows break during a drain, a note, a graceful shutdown and a kill."""
    results = [result for shape in FIRMS for result in demo.run_firm(shape)]
    print(f"flows={len(results)}")
    print(f"broken_flows={sum(result['outcome'] != 'done' for result in results)}", flush=True)


def measure_balance(shape: FirmShape) -> None:
    """Print the imbalance over targets below their capacity, and the bytes between hosts."""
    service = shape.services[0]
    with Fleet(shape, ENTRY_HOST_COUNT) as fleet:
        fleet.start()
        before, started = _sent_bytes(fleet), time.monotonic()
        results = fleet.start_callers(_even_loads(service)).results(RESULT_TIMEOUT_SECONDS)
        elapsed = time.monotonic() - started
        sent_bytes = [b - a for a, b in zip(before, _sent_bytes(fleet), strict=True)]
    print(f"control_bytes_per_s={max(sent_bytes) / elapsed:.0f}  # the host that sends most")
    print(f"imbalance_max_over_mean={imbalance(results, service):.3f}  # of {len(results)} flows")


def _sent_bytes(fleet: Fleet) -> list[float]:
    return [host.metric(SENT_METRIC) for host in fleet.hosts]


def measure_flood(shape: FirmShape, prefix: str, admission: str) -> None:
    """Print the kept shares while the least urgent kind of the first service floods."""
    options = {"admission": admission}
    with Fleet(shape, ENTRY_HOST_COUNT, work_seconds=WORK_SECONDS, options=options) as fleet:
        fleet.start()
        service = shape.services[0]
        flood_callers = fleet.start_callers([_flood_load(service)])
        results = fleet.start_callers(_other_loads(shape)).results(RESULT_TIMEOUT_SECONDS)
        flood_callers.results(RESULT_TIMEOUT_SECONDS)
    kinds = [kind for kind in service.kinds if kind != _flooding_kind(service)]
    for kind in kinds:
        _print_kept(prefix, [result for result in results if result["load"] == kind.name])


def _flooding_kind(service: ServiceShape) -> Any:
    return min(service.kinds, key=lambda kind: kind.urgency)


def _capacity(service: ServiceShape) -> float:
    return service.targets * service.slots / WORK_SECONDS


def _even_loads(service: ServiceShape) -> list[JsonObject]:
    return [
        load(service, kind.name, rate=EVEN_FLOWS_PER_SECOND, duration=EVEN_SECONDS, requests=1)
        for kind in service.kinds
    ]


def _flood_load(service: ServiceShape) -> JsonObject:
    rate = FLOOD_MULTIPLE * _capacity(service)
    return load(
        service,
        _flooding_kind(service).name,
        rate=rate,
        duration=FLOOD_SECONDS,
        requests=1,
        patience=RESPONSE_TIMEOUT_SECONDS,
    )


def _other_loads(shape: FirmShape) -> list[JsonObject]:
    service = shape.services[0]
    return [
        load(
            service,
            kind.name,
            rate=DEMAND_SHARE_OF_GUARANTEE * kind.share * _capacity(service),
            start=SETTLE_SECONDS,
            duration=FLOOD_SECONDS - SETTLE_SECONDS,
            requests=1,
            patience=RESPONSE_TIMEOUT_SECONDS,
        )
        for kind in service.kinds
        if kind != _flooding_kind(service)
    ]


def _print_kept(prefix: str, results: list[JsonObject]) -> None:
    name = results[0]["load"].replace("-", "_")
    waits = sorted(r["connect"] + r["slowest"] for r in results if r["outcome"] == "done")
    outcomes = dict(collections.Counter(result["outcome"] for result in results))
    share = len(waits) / len(results)
    print(f"{prefix}packet_flood_kept_share_{name}={share:.4f}  # {outcomes}")
    if waits:
        print(f"{prefix}packet_flood_answer_median_seconds_{name}={statistics.median(waits):.3f}")
        print(f"{prefix}packet_flood_answer_p99_seconds_{name}={waits[len(waits) * 99 // 100]:.3f}")


def main() -> None:
    """Print load imbalance, kept shares in a flood, broken flows and the duration of the run."""
    started = time.monotonic()
    measure_balance(GANTS_LAURENTIDE)
    for prefix, admission in ADMISSION.items():
        measure_flood(GANTS_LAURENTIDE, prefix, admission)
    measure_changes()
    print(f"whole_system_seconds={time.monotonic() - started:.0f}")


if __name__ == "__main__":
    main()
