"""Measures what a configuration of many routes costs an entry host when one route changes.

Prints, for each number of routes, the processor time of reading the configuration and putting it in
force, the longest step of that, and the baseline: the same for a host that starts.
"""

from __future__ import annotations

import json
import sys
import time
import zlib
from pathlib import Path
from typing import Any, NamedTuple

from lacewingrudder_core.tagging import Configuration, TagForwarder

ROUTE_COUNTS = (100, 1000, 4000, 10_000)
REPEAT_COUNT = 5
PLATFORM_FOLDER = Path(__file__).resolve().parent.parent / "platform"


class Cost(NamedTuple):
    """Processor time in seconds.

    :param longest_step: of the steps between which packets are forwarded.
    """

    total: float
    longest_step: float


def _make_document(route_count: int, version: int) -> bytes:
    """Return a configuration in the platform's format; one route depends on the version."""
    routes: list[dict[str, Any]] = [
        {
            "name": f"r-{number}",
            "hostname": f"198.18.{number // 200}.{number % 200}",
            "path-prefix": "/8080/",
            "type": "unsafe",
            "timeout-ms": 1200,
            "target-latency-ms": 120,
            "priority": 1,
            "service": "a",
            "max-attempts": 2,
        }
        for number in range(route_count)
    ]
    routes[version % route_count]["timeout-ms"] = 1200 + version
    body = {"version": version, "routes": routes, "services": [{"name": "a"}]}
    return zlib.compress(json.dumps(body).encode())


def measure_change(reader: Any, forwarder: TagForwarder, document: bytes) -> Cost:
    """Read a configuration, put it in force and return the cost."""
    steps = reader.read_in_steps(document)
    seconds: list[float] = []
    while True:
        began = time.process_time()
        try:
            next(steps)
        except StopIteration as end:
            configuration: Configuration = end.value
            forwarder.configure(configuration)
            seconds.append(time.process_time() - began)
            return Cost(sum(seconds), max(seconds))
        seconds.append(time.process_time() - began)


def main() -> None:
    """Print all measures."""
    sys.path.insert(0, str(PLATFORM_FOLDER))
    from lacewingrudder_platform.manifest import ManifestReader

    for count in ROUTE_COUNTS:
        reader, forwarder = ManifestReader(), TagForwarder("z")
        costs = [
            measure_change(reader, forwarder, _make_document(count, version))
            for version in range(1 + REPEAT_COUNT)
        ]
        for label, rows in (("baseline_first_", costs[:1]), ("", costs[1:])):
            total = min(row.total for row in rows)
            longest = min(row.longest_step for row in rows)
            print(f"{label}configuration_ms_{count}_routes={1000 * total:.1f}")
            print(f"{label}configuration_longest_step_ms_{count}_routes={1000 * longest:.1f}")


if __name__ == "__main__":
    main()
