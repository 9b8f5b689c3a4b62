"""Measures how long three control hosts in processes accept nothing when their leader goes."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from lacewingrudder_core.messages import StatusRequest, SubmitOrder
from lacewingrudder_core.notes import SubmitTag
from lacewingrudder_core.types import Endpoint, OrderAction, TargetOrder
from lacewingrudder_wire.client import request

from standins.entry_host import EntryHost
from standins.firms import ASANTE_BOATENG
from standins.fleet import Fleet
from standins.loads import service_entry

WATCH_SECONDS = 5.0
PAUSE_SECONDS = 0.02
ORDERED_ADDRESS = "10.99.0.1"


def longest_gap(remove: Callable[[Fleet, EntryHost], None]) -> float:
    """Return the longest time between two accepted orders while the leader is removed."""
    with Fleet(ASANTE_BOATENG, entries=3, controls=3) as fleet:
        for host in fleet.hosts:
            fleet.start_host(host)
        services = [service_entry(service) for service in ASANTE_BOATENG.services]
        fleet.submit(fleet.note(1, 0, added=services))
        status = request([Endpoint.parse(host.listen) for host in fleet.hosts], StatusRequest())
        leader = next(host for host in fleet.hosts if host.name == status.leader)
        others = [Endpoint.parse(host.listen) for host in fleet.hosts if host is not leader]
        removal = threading.Thread(target=remove, args=(fleet, leader))
        removal.start()
        gap = _watch(others)
        removal.join()
        return gap


def _watch(controls: list[Endpoint]) -> float:
    longest = 0.0
    started = last = time.monotonic()
    number = 0
    while time.monotonic() - started < WATCH_SECONDS:
        number += 1
        order = TargetOrder(f"{ORDERED_ADDRESS}:{number}", OrderAction.DRAIN)
        answer = request(controls, SubmitOrder(order))
        now = time.monotonic()
        if answer.reply.tag is SubmitTag.ACCEPTED:
            longest, last = max(longest, now - last), now
        time.sleep(PAUSE_SECONDS)
    return max(longest, time.monotonic() - last)


def main() -> None:
    """Print the gaps of a planned stop and of a kill."""
    print(f"log_gap_over_planned_stop_s={longest_gap(Fleet.stop):.6g}", flush=True)
    print(f"log_gap_after_kill_s={longest_gap(Fleet.kill):.6g}", flush=True)


if __name__ == "__main__":
    main()
