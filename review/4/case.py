"""Routes are added while the machines of the system are stopped and started in turn."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.lib.flows import Backend, Consumer, Flow, Router, backend_of
from review.lib.packets import Packet
from review.lib.platform import Machine, Platform, manifest, order, wait_ready
from review.lib.script import CannotRunError, run_case

ZONES = ["adum", "suame", "ahodwo"]
ENTRIES = {"adum": 5, "suame": 3, "ahodwo": 3}
SERVICE_ADDRESS = "198.18.0.1"
FIRST_PORT = 8080
CHANGE_GAP_SECONDS = 0.33
CHANGES_SECONDS = 4.0
ROLL_GAP_SECONDS = 2.0
ROLL_AT_A_TIME = 2
ROUNDS = 9
PAUSE_SECONDS = 1.0
WATCHED_SECONDS = 95.0
FLOWS_PER_ROUTE_AND_ZONE = 12
FLOW_SECONDS = 1.2
RETRY_PAUSES_SECONDS = (0.1, 0.2, 0.0)
"""Pauses after the first try and the two retries that a consumer has."""



class Watch:
    """Counts resets of open flows that their backend didn't send while it lived."""

    def __init__(self, platform: Platform, backends: list[Backend]) -> None:
        self.platform, self.backends = platform, backends
        self.foreign_resets = 0
        self.requests: dict[str, int] = {}
        self.ran_unanswered = 0

    def on_open_reset(self, flow: Flow, packet: Packet) -> None:
        """Judge a reset that a consumer accepted on an open flow."""
        backend = backend_of(flow, self.backends)
        name = backend.name if backend else "no backend"
        lives = backend is not None and backend.is_alive
        age = time.monotonic() - flow.opened_at
        machine = flow.last_machine.name if flow.last_machine else "-"
        self.platform.record.write(
            f"flow {flow.port} to port {flow.route[1]}, opened {age:.3f} s ago at {name}"
            f" ({'alive' if lives else 'ended'}): {flow.end}; last packet through {machine}"
        )
        if lives and packet.checksum == 0:
            self.foreign_resets += 1

    def count(self, outcome: str) -> None:
        """Count the outcome of a request."""
        self.requests[outcome] = self.requests.get(outcome, 0) + 1


async def use_new_route(consumer: Consumer, port: int, name: str, watch: Watch) -> None:
    """Open a flow to a route, with the consumer's retries, and send requests on it."""
    for pause in RETRY_PAUSES_SECONDS:
        flow = consumer.new_flow((SERVICE_ADDRESS, port))
        if await flow.open():
            break
        consumer.forget(flow)
        await asyncio.sleep(pause)
    else:
        watch.count("not opened")
        return
    until, number = time.monotonic() + FLOW_SECONDS, 0
    while not flow.has_ended and time.monotonic() < until:
        number += 1
        request = f"{name}-{number}"
        answer = await flow.request(request)
        watch.count(answer)
        if answer != "200":
            ran = any(request in backend.runs for backend in watch.backends)
            watch.ran_unanswered += ran
            watch.platform.record.write(f"{request}: {answer}, {'had run' if ran else 'not run'}")
            break
        await asyncio.sleep(random.uniform(0.03, 0.08))
    consumer.forget(flow)


async def add_routes(
    platform: Platform, consumers: list[Consumer], watch: Watch, first: int, count: int
) -> list[asyncio.Task[None]]:
    """Add one route after another; consumers use each as soon as it is confirmed."""
    tasks: list[asyncio.Task[None]] = []
    for version in range(first, first + count):
        began = time.monotonic()
        routes = [(SERVICE_ADDRESS, FIRST_PORT + n, "proofdesk") for n in range(version)]
        if not await asyncio.to_thread(order, platform, manifest(version, routes, ["proofdesk"]), 5):
            platform.record.write(f"manifest {version} was not confirmed")
            continue
        port = FIRST_PORT + version - 1
        for consumer in consumers:
            for index in range(FLOWS_PER_ROUTE_AND_ZONE):
                name = f"{port}-{consumer.zone}-{index}"
                tasks.append(asyncio.create_task(use_new_route(consumer, port, name, watch)))
        await asyncio.sleep(max(0.0, CHANGE_GAP_SECONDS - (time.monotonic() - began)))
    return tasks


async def roll(platform: Platform) -> None:
    """Stop all machines in turn, two at a time, and again; each starts again."""
    for zone in ZONES * ROUNDS:
        rows: list[Machine] = [row for row in platform.machines if row.zone == zone]
        for start in range(0, len(rows), ROLL_AT_A_TIME):
            for machine in rows[start : start + ROLL_AT_A_TIME]:
                platform.terminate(machine)
            await asyncio.sleep(ROLL_GAP_SECONDS)


async def case(platform: Platform, with_trouble: bool) -> bool:
    """Return whether FLOW was broken."""
    first = manifest(1, [(SERVICE_ADDRESS, FIRST_PORT, "proofdesk")], ["proofdesk"])
    if not await asyncio.to_thread(order, platform, first):
        raise CannotRunError("no manifest was accepted")
    backends = [
        Backend(
            platform,
            f"i-{random.randrange(1 << 28, 1 << 32):08x}",
            "proofdesk",
            zone,
            f"{platform.prefix}.{number}.{100 + index}",
        )
        for number, zone in enumerate(ZONES, 1)
        for index in range(2)
    ]
    tasks = [asyncio.create_task(backend.beat_loop()) for backend in backends]
    if not await asyncio.to_thread(wait_ready, platform):
        raise CannotRunError("the frontend machines did not become ready")
    router = Router(platform)
    tasks.append(asyncio.create_task(router.run()))
    await asyncio.sleep(2.0)
    watch = Watch(platform, backends)
    consumers = [
        Consumer(platform, router, zone, f"{platform.prefix}.{number}.150", watch.on_open_reset)
        for number, zone in enumerate(ZONES, 1)
    ]
    version = 2
    rolling = asyncio.create_task(roll(platform)) if with_trouble else None
    flows: list[asyncio.Task[None]] = []
    count = round(CHANGES_SECONDS / CHANGE_GAP_SECONDS)
    until = time.monotonic() + WATCHED_SECONDS
    while time.monotonic() < until and not watch.foreign_resets:
        flows += await add_routes(platform, consumers, watch, version, count)
        version += count
        await asyncio.sleep(PAUSE_SECONDS)
    if rolling is not None:
        rolling.cancel()
    await asyncio.gather(*flows)
    platform.record.write(f"requests: {watch.requests}")
    platform.record.write(f"requests that had run and were not answered: {watch.ran_unanswered}")
    platform.record.write(f"resets of open flows at living backends: {watch.foreign_resets}")
    for task in tasks:
        task.cancel()
    return watch.foreign_resets > 0


run_case(Path(__file__).parent, ZONES, ENTRIES, case)
