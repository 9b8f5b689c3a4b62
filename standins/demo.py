"""The demo: scaled-down systems of both firms, with load and disturbances.

For each firm it drains a target, changes a service with a release note, shuts an entry host down
gracefully and kills another one, all under load. It prints the outcomes of the flows and exits 0
only if no flow was broken.
"""

from __future__ import annotations

import collections
import sys
import time
from typing import Any

from .firms import FIRMS, FirmShape
from .fleet import Fleet
from .loads import load, service_entry

ENTRY_HOST_COUNT = 5
CONTROL_HOST_COUNT = 3
DURATION_SECONDS = 12.0
STEP_INTERVAL_SECONDS = 2.0
FABRIC_DETECTION_SECONDS = 0.5
RESPONSE_TIMEOUT_SECONDS = 8.0
RESULT_TIMEOUT_SECONDS = 60.0


def run_firm(shape: FirmShape) -> list[dict[str, Any]]:
    """Run one firm's system under load with all disturbances; return the results of all flows."""
    fabric = {"loss": 0.002, "duplicate": 0.01, "reorder": 0.02}
    with Fleet(shape, ENTRY_HOST_COUNT, CONTROL_HOST_COUNT, fabric=fabric) as fleet:
        fleet.start()
        print(f"{shape.name}: {ENTRY_HOST_COUNT} entry hosts, all services in force", flush=True)
        callers = fleet.start_callers(
            [
                load(
                    service,
                    kind.name,
                    rate=15.0,
                    duration=DURATION_SECONDS,
                    requests=8,
                    pause=0.5,
                    patience=RESPONSE_TIMEOUT_SECONDS,
                )
                for service in shape.services
                for kind in service.kinds
            ]
        )
        _inject_disturbances(fleet)
        return callers.results(RESULT_TIMEOUT_SECONDS)


def _inject_disturbances(fleet: Fleet) -> None:
    service = fleet.shape.services[0]
    time.sleep(STEP_INTERVAL_SECONDS)
    _print_step("draining a target")
    fleet.run_lwr("drain", fleet.target_names(service)[0])
    time.sleep(STEP_INTERVAL_SECONDS)
    _print_step("submitting a release note that changes a service")
    fleet.submit(fleet.write_note(2, 2, changed=[service_entry(service)]))
    time.sleep(STEP_INTERVAL_SECONDS)
    _print_step("shutting an entry host down gracefully")
    stopped, killed = fleet.hosts[-1], fleet.hosts[-2]
    fleet.set_fabric_hosts(fleet.hosts[:-1])
    fleet.stop(stopped)
    time.sleep(STEP_INTERVAL_SECONDS)
    _print_step("killing an entry host")
    fleet.kill(killed)
    time.sleep(FABRIC_DETECTION_SECONDS)
    fleet.set_fabric_hosts(fleet.hosts[:-2])


def _print_step(text: str) -> None:
    print(f"  {text}", flush=True)


def report(results: list[dict[str, Any]]) -> int:
    """Print the number of flows by kind and outcome; return how many flows were broken."""
    outcomes = collections.Counter((result["load"], result["outcome"]) for result in results)
    for (kind, outcome), count in sorted(outcomes.items()):
        print(f"  {kind}: {count} {outcome}")
    return sum(result["outcome"] != "done" for result in results)


def main() -> int:
    """Run the demo for both firms and return the exit code."""
    broken = 0
    for shape in FIRMS:
        broken += report(run_firm(shape))
    print("no flow was broken" if not broken else f"{broken} flows were broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
