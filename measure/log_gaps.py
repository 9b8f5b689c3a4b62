"""Measures how long three control hosts accept no orders after their leader stops.

Each control host is a process of its own.
"""

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

ORDER_DURATION_SECONDS = 5.0
ORDER_INTERVAL_SECONDS = 0.02
DRAINED_ADDRESS = "10.99.0.1"


def longest_gap_seconds(stop_leader: Callable[[Fleet, EntryHost], None]) -> float:
    """Stop the leader of three control hosts, and return the longest time without accepted orders.

    :param stop_leader: called in a thread with the fleet and the leader.
    """
    with Fleet(ASANTE_BOATENG, entries=3, controls=3) as fleet:
        for host in fleet.hosts:
            fleet.start_host(host)
        services = [service_entry(service) for service in ASANTE_BOATENG.services]
        fleet.submit(fleet.write_note(1, 0, added=services))
        status = request([Endpoint.parse(host.listen) for host in fleet.hosts], StatusRequest())
        leader = next(host for host in fleet.hosts if host.name == status.leader)
        others = [Endpoint.parse(host.listen) for host in fleet.hosts if host is not leader]
        stopper = threading.Thread(target=stop_leader, args=(fleet, leader))
        stopper.start()
        gap_seconds = _longest_gap_between_orders(others)
        stopper.join()
        return gap_seconds


def _longest_gap_between_orders(controls: list[Endpoint]) -> float:
    """Submit orders at intervals and return the longest time in which none was accepted."""
    longest_seconds = 0.0
    started = last_accepted = time.monotonic()
    number = 0
    while time.monotonic() - started < ORDER_DURATION_SECONDS:
        number += 1
        order = TargetOrder(f"{DRAINED_ADDRESS}:{number}", OrderAction.DRAIN)
        answer = request(controls, SubmitOrder(order))
        now = time.monotonic()
        if answer.reply.tag is SubmitTag.ACCEPTED:
            longest_seconds, last_accepted = max(longest_seconds, now - last_accepted), now
        time.sleep(ORDER_INTERVAL_SECONDS)
    return max(longest_seconds, time.monotonic() - last_accepted)


def main() -> None:
    """Print the longest gap for a graceful shutdown of the leader and for a kill."""
    print(f"log_gap_over_planned_stop_s={longest_gap_seconds(Fleet.stop):.6g}", flush=True)
    print(f"log_gap_after_kill_s={longest_gap_seconds(Fleet.kill):.6g}", flush=True)


if __name__ == "__main__":
    main()
