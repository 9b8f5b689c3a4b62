"""A machine of the core that wakes up carries out an order that its operator has long given up."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from pathlib import Path

from ends import Backend, Consumers, Router, manifest, wait_until
from fleet import BOUNDS, CONTRACTS, CannotRun, Fleet, Operator, Record
from runner import HAS_TROUBLE, run

PLACE = ("127.99.0.1", 8080)
EVACUATION = "/lacewingrudder/evacuations/adum"
PLACES_BOUNDS = BOUNDS | {
    "contact-ms": 5000,
    "ack-timeout-ms": 6000,
    "catch-up-s": 6,
    "drain-ms": 4000,
    "config-apply-ms": 4000,
    "max-skew-ms": 15000,
    "recovery-s": 15,
    "cold-overage": 1.5,
    "cold-slack": 5,
    "evacuation-ms": 5000,
}
CONTACT_SECONDS, EVACUATION_SECONDS = 5.0, 5.0
FREEZE_SECONDS = 6.0
MARGIN_SECONDS = 1.0
FLOW_COUNT = 30


async def order(operator: Operator, method: str, first: int) -> float:
    """Send an order about the zone; return when it was confirmed."""
    status, _ = await operator.order(method, EVACUATION, first=first)
    if status != 200:
        raise CannotRun(f"{method} was not confirmed: {status}")
    return time.monotonic()


async def play(fleet: Fleet, record: Record) -> bool:
    operator = Operator(fleet, record)
    service = {"name": "svc", "cold-start-s": 2.0, "cold-per-s": 0.0}
    body = json.dumps(manifest(1, [(*PLACE, "svc")], [service])).encode()
    if (await operator.order("PUT", "/lacewingrudder/config", body, "version 1"))[0] != 200:
        raise CannotRun("the manifest was not confirmed")
    places = [("adum", 1), ("adum", 2), ("suame", 3), ("suame", 4)]
    backends = [
        Backend(fleet, record, f"i-{0x7F3A9100 + at:x}", "svc", zone, f"{fleet.prefix}.20.{at}")
        for zone, at in places
    ]
    router = Router(fleet, record, "adum")
    consumers = Consumers(fleet, record, router, f"{fleet.prefix}.40.1")
    if not await wait_until(lambda: len(router.in_rotation) == 2, 20):
        raise CannotRun("not all entry hosts became ready")
    await asyncio.sleep(CONTACT_SECONDS)

    await order(operator, "POST", 0)
    record.write("the first evacuation of adum is confirmed")
    await asyncio.sleep(EVACUATION_SECONDS)
    frozen = fleet.cores[2]
    began = time.monotonic()
    if HAS_TROUBLE:
        record.write(f"{frozen.name} is stopped (SIGSTOP)")
        frozen.signal(signal.SIGSTOP)
    await asyncio.sleep(0.3)
    await order(operator, "DELETE", 2)
    record.write("the withdrawal of the first evacuation is confirmed")
    await asyncio.sleep(0.5)
    evacuated_at = await order(operator, "POST", 0)
    record.write("the second evacuation of adum is confirmed; the operator doesn't withdraw it")
    await asyncio.sleep(max(0.0, began + FREEZE_SECONDS - time.monotonic()))
    if HAS_TROUBLE:
        record.write(f"{frozen.name} goes on (SIGCONT)")
        frozen.signal(signal.SIGCONT)
    woke = time.monotonic()
    calm_at = max(woke + CONTACT_SECONDS, evacuated_at + EVACUATION_SECONDS) + MARGIN_SECONDS
    await asyncio.sleep(max(0.0, calm_at - time.monotonic()))

    record.write("all machines have been in touch for contact-ms; consumers open flows")
    asked_at = time.monotonic()
    served = 0
    for at in range(FLOW_COUNT):
        flow = consumers.new_flow(PLACE)
        served += await flow.open() and await flow.request(f"request-{at}")
        flow.close()
        await asyncio.sleep(0.05)
    counts = {
        zone: sum(
            sum(arrived >= asked_at for arrived in backend.arrivals)
            for backend in backends
            if backend.zone == zone
        )
        for zone in ("adum", "suame")
    }
    record.write(f"{served} of {FLOW_COUNT} requests were served; they reached backends in {counts}")
    for end in (consumers, router, *backends):
        end.close()
    if not served:
        raise CannotRun("no request was served")
    return counts["adum"] == 0


run(
    Path(__file__).parent,
    lambda: Fleet({"adum": 2, "suame": 1, "ahodwo": 1}, [*CONTRACTS, "health", "places"], PLACES_BOUNDS),
    play,
)
