"""A check-in of another writer, for a service that no manifest names, at the address of a backend."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.lib.flows import Backend, Consumer, Flow, Router, backend_of
from review.lib.packets import Packet
from review.lib.platform import Platform, call, manifest, order, wait_ready
from review.lib.script import CannotRunError, run_case

ZONES = ["adum", "suame", "ahodwo"]
ROUTE = ("198.18.0.1", 8080)
FLOWS_PER_ZONE = 8
CALM_SECONDS = 6.0
WATCHED_SECONDS = 8.0
BACKENDS: list[Backend] = []


class Watch:
    """Counts resets of open flows that their backend didn't send while it lived."""

    def __init__(self, platform: Platform, backends: list[Backend]) -> None:
        self.platform, self.backends = platform, backends
        self.foreign_resets = 0

    def on_open_reset(self, flow: Flow, packet: Packet) -> None:
        """Judge a reset that a consumer accepted on an open flow."""
        backend = backend_of(flow, self.backends)
        name = backend.name if backend else "no backend"
        lives = backend is not None and backend.is_alive
        self.platform.record.write(
            f"flow {flow.port} open at {name} ({'alive' if lives else 'ended'}): {flow.end}"
        )
        if lives and packet.checksum == 0:
            self.foreign_resets += 1


async def keep_busy(consumer: Consumer, name: str, totals: dict[str, int]) -> None:
    """Send requests on one long flow after another."""
    number = 0
    while True:
        flow = consumer.new_flow(ROUTE)
        is_open = await flow.open()
        if not is_open:
            totals["not opened"] = totals.get("not opened", 0) + 1
        while is_open and not flow.has_ended:
            number += 1
            answer = await flow.request(f"{name}-{number}")
            totals[answer] = totals.get(answer, 0) + 1
            if answer != "200":
                backend = backend_of(flow, BACKENDS)
                ran = any(f"{name}-{number}" in row.runs for row in BACKENDS)
                consumer.platform.record.write(
                    f"{name}-{number}: {answer}, {flow.end}; {'had run' if ran else 'not run'}"
                    f" at {backend.name if backend else 'no backend'}"
                )
                break
            await asyncio.sleep(random.uniform(0.05, 0.25))
        consumer.forget(flow)
        await asyncio.sleep(0.2)


async def case(platform: Platform, with_trouble: bool) -> bool:
    """Return whether FLOW was broken."""
    if not await asyncio.to_thread(order, platform, manifest(3, [(*ROUTE, "proofdesk")], ["proofdesk"])):
        raise CannotRunError("no manifest was accepted")
    names = {zone: f"i-{random.randrange(1 << 28, 1 << 32):08x}" for zone in ZONES}
    backends = [
        Backend(platform, names[zone], "proofdesk", zone, f"{platform.prefix}.{number}.100")
        for number, zone in enumerate(ZONES, 1)
    ]
    BACKENDS.extend(backends)
    tasks = [asyncio.create_task(backend.beat_loop()) for backend in backends]
    if not await asyncio.to_thread(wait_ready, platform):
        raise CannotRunError("the frontend machines did not become ready")
    router = Router(platform)
    tasks.append(asyncio.create_task(router.run()))
    await asyncio.sleep(1.5)
    watch = Watch(platform, backends)
    consumers = [
        Consumer(platform, router, zone, f"{platform.prefix}.{number}.150", watch.on_open_reset)
        for number, zone in enumerate(ZONES, 1)
    ]
    totals: dict[str, int] = {}
    for consumer in consumers:
        for index in range(FLOWS_PER_ZONE):
            name = f"{consumer.zone}-{index}"
            tasks.append(asyncio.create_task(keep_busy(consumer, name, totals)))
    await asyncio.sleep(CALM_SECONDS)
    platform.record.write(f"before: {totals}, flows opened {[b.opened_count for b in backends]}")
    if watch.foreign_resets or totals.get("200", 0) < 100:
        raise CannotRunError("the calm part was not calm")
    calm, opened_before = dict(totals), backends[0].opened_count
    if with_trouble:
        await send_check_in_of_another_writer(platform, backends[0])
    await asyncio.sleep(WATCHED_SECONDS)
    changes = {key: count - calm.get(key, 0) for key, count in totals.items()}
    platform.record.write(f"after: {changes}")
    platform.record.write(
        f"{backends[0].name}: last check-ins answered {backends[0].last_statuses},"
        f" new flows {backends[0].opened_count - opened_before}"
    )
    platform.record.write(f"resets of open flows at living backends: {watch.foreign_resets}")
    for task in tasks:
        task.cancel()
    return watch.foreign_resets > 0


async def send_check_in_of_another_writer(platform: Platform, backend: Backend) -> None:
    """Send one check-in for a service that no manifest names, with the address of a backend."""
    body = {
        "service": "host-metrics",
        "address": backend.address,
        "zone": backend.zone,
        "version": "v1",
        "concurrency": 1,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": 1,
        "born": int(time.time() * 1000),
    }
    path = f"/lacewingrudder/instances/i-{random.randrange(1 << 28, 1 << 32):08x}"
    core = platform.cores[1]
    status, answer = await asyncio.to_thread(
        call, core.address, platform.call_port, "PUT", path, body
    )
    platform.record.write(f"another writer: PUT {path} {body} to {core.name}: {status} {answer!r}")


run_case(Path(__file__).parent, ZONES, {"adum": 2, "suame": 1, "ahodwo": 1}, case)
