"""What a quiet entry host costs in a process of its own, with hosts and targets varied."""

from __future__ import annotations

import os
import statistics
import time
from pathlib import Path
from typing import NamedTuple

from standins.firms import ASANTE_BOATENG, FirmShape
from standins.fleet import Fleet

WARM_UP_SECONDS = 16.0
QUIET_SECONDS = 10.0
SENT_METRIC = "lwr_link_sent_bytes_total"
MEBIBYTE = 1 << 20


class Size(NamedTuple):
    """How large a system is.

    :param targets: of all services.
    """

    hosts: int
    targets: int


SIZES = (Size(3, 9), Size(3, 90), Size(18, 9))


class Use(NamedTuple):
    """What one process used so far.

    :param processor: seconds.
    :param resident: bytes.
    :param sent: bytes of messages to other processes.
    """

    processor: float
    resident: int
    sent: float


def main() -> None:
    """Print the median host's use at each size."""
    for size in SIZES:
        _print(size, measure(size))


def measure(size: Size) -> list[tuple[Use, Use]]:
    """Return the use of each host that has no control role, before and after a quiet time."""
    with Fleet(_shape(size), entries=size.hosts, controls=1) as fleet:
        fleet.start()
        time.sleep(WARM_UP_SECONDS)
        before = [_use(fleet, number) for number in range(1, size.hosts)]
        time.sleep(QUIET_SECONDS)
        after = [_use(fleet, number) for number in range(1, size.hosts)]
    return list(zip(before, after, strict=True))


def _shape(size: Size) -> FirmShape:
    first, second = ASANTE_BOATENG.services
    each = size.targets // 3
    services = (first._replace(targets=2 * each), second._replace(targets=each))
    return ASANTE_BOATENG._replace(services=services)


def _use(fleet: Fleet, number: int) -> Use:
    host = fleet.hosts[number]
    folder = Path(f"/proc/{fleet.processes[host.name].pid}")
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    resident = int(fields[21]) * os.sysconf("SC_PAGESIZE")
    return Use(ticks / os.sysconf("SC_CLK_TCK"), resident, host.metric(SENT_METRIC))


def _print(size: Size, uses: list[tuple[Use, Use]]) -> None:
    name = f"{size.hosts}_hosts_{size.targets}_targets"
    share = statistics.median(b.processor - a.processor for a, b in uses) / QUIET_SECONDS
    sent = statistics.median(b.sent - a.sent for a, b in uses) / QUIET_SECONDS
    resident = statistics.median(after.resident for _, after in uses)
    print(f"quiet_core_share_{name}={share:.4f}")
    print(f"quiet_resident_megabytes_{name}={resident / MEBIBYTE:.1f}")
    print(f"quiet_sent_bytes_per_s_{name}={sent:.0f}", flush=True)


if __name__ == "__main__":
    main()
