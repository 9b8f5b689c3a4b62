"""Measures an idle entry host in its own process for several numbers of hosts and targets."""

from __future__ import annotations

import os
import statistics
import time
from pathlib import Path
from typing import NamedTuple

from standins.firms import ASANTE_BOATENG, FirmShape
from standins.fleet import Fleet

WARM_UP_SECONDS = 16.0
IDLE_SECONDS = 10.0
SENT_METRIC = "lwr_link_sent_bytes_total"
MEBIBYTE = 1 << 20


class FleetSize(NamedTuple):
    """Numbers of entry hosts and targets.

    :param targets: number of targets of all services together.
    """

    hosts: int
    targets: int


SIZES = (FleetSize(3, 9), FleetSize(3, 90), FleetSize(18, 9))


class ResourceUsage(NamedTuple):
    """Resources that one process has used.

    :param cpu_seconds: processor time since its start.
    :param resident_bytes: resident memory now.
    :param sent_bytes: bytes of messages sent to other hosts since its start.
    """

    cpu_seconds: float
    resident_bytes: int
    sent_bytes: float


def main() -> None:
    """Print the median over hosts of each measure, for each size."""
    for size in SIZES:
        _print_measures(size, measure_usage(size))


def measure_usage(size: FleetSize) -> list[tuple[ResourceUsage, ResourceUsage]]:
    """Return the usage of each host without a control role, before and after an idle period."""
    with Fleet(_scaled_shape(size), entries=size.hosts, controls=1) as fleet:
        fleet.start()
        time.sleep(WARM_UP_SECONDS)
        before = [_read_usage(fleet, number) for number in range(1, size.hosts)]
        time.sleep(IDLE_SECONDS)
        after = [_read_usage(fleet, number) for number in range(1, size.hosts)]
    return list(zip(before, after, strict=True))


def _scaled_shape(size: FleetSize) -> FirmShape:
    """Return a firm with this number of targets, two thirds in the first of its two services."""
    first, second = ASANTE_BOATENG.services
    third = size.targets // 3
    services = (first._replace(targets=2 * third), second._replace(targets=third))
    return ASANTE_BOATENG._replace(services=services)


def _read_usage(fleet: Fleet, number: int) -> ResourceUsage:
    host = fleet.hosts[number]
    folder = Path(f"/proc/{fleet.processes[host.name].pid}")
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    resident_bytes = int(fields[21]) * os.sysconf("SC_PAGESIZE")
    return ResourceUsage(ticks / os.sysconf("SC_CLK_TCK"), resident_bytes, host.metric(SENT_METRIC))


def _print_measures(size: FleetSize, usages: list[tuple[ResourceUsage, ResourceUsage]]) -> None:
    name = f"{size.hosts}_hosts_{size.targets}_targets"
    core_share = statistics.median(b.cpu_seconds - a.cpu_seconds for a, b in usages) / IDLE_SECONDS
    sent_bytes_per_second = (
        statistics.median(b.sent_bytes - a.sent_bytes for a, b in usages) / IDLE_SECONDS
    )
    resident_bytes = statistics.median(after.resident_bytes for _, after in usages)
    print(f"quiet_core_share_{name}={core_share:.4f}")
    print(f"quiet_resident_megabytes_{name}={resident_bytes / MEBIBYTE:.1f}")
    print(f"quiet_sent_bytes_per_s_{name}={sent_bytes_per_second:.0f}", flush=True)


if __name__ == "__main__":
    main()
