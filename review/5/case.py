"""A backend leaves as planned while one entry host stands still."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.lib.flows import Backend, Consumer, Flow, Router, backend_of
from review.lib.packets import Packet
from review.lib.platform import Platform, call, manifest, order, wait_ready
from review.lib.script import CannotRunError, run_case

ZONES = ["adum", "suame", "ahodwo"]
ENTRIES = {"adum": 2, "suame": 1, "ahodwo": 1}
ROUTE = ("198.18.0.1", 8080)
FLOWS = 12
DRAIN_SECONDS = 3.0
LITTLE_LONGER_SECONDS = 1.0
FREEZE_SECONDS = 3.5


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


async def deregister(platform: Platform, backend: Backend) -> None:
    """Send DELETE to one control host after the other until one confirms, then end."""
    body = {"born": backend.born}
    path = f"/lacewingrudder/instances/{backend.name}"
    for core in platform.cores:
        platform.record.write(f"{backend.name}: DELETE to {core.name}")
        status, _ = await asyncio.to_thread(
            call, core.address, platform.call_port, "DELETE", path, body
        )
        platform.record.write(f"{backend.name}: answer {status}")
        if 200 <= status < 300:
            break
    backend.end()
    platform.record.write(f"{backend.name}: ended")


async def request_soon(flow: Flow, number: str, platform: Platform) -> None:
    """Send a request on a flow that was idle for some seconds."""
    await asyncio.sleep(random.uniform(0.1, 0.5))
    answer = await flow.request(number)
    platform.record.write(f"{number} on flow {flow.port}: {answer} {flow.end}")


async def case(platform: Platform, with_trouble: bool) -> bool:
    """Return whether FLOW was broken."""
    first = manifest(1, [(*ROUTE, "proofdesk")], ["proofdesk"])
    if not await asyncio.to_thread(order, platform, first):
        raise CannotRunError("no manifest was accepted")
    backends = [
        Backend(
            platform,
            f"i-{random.randrange(1 << 28, 1 << 32):08x}",
            "proofdesk",
            zone,
            f"{platform.prefix}.{number}.100",
        )
        for number, zone in enumerate(ZONES, 1)
    ]
    tasks = [asyncio.create_task(backend.beat_loop()) for backend in backends]
    if not await asyncio.to_thread(wait_ready, platform):
        raise CannotRunError("the frontend machines did not become ready")
    router = Router(platform)
    tasks.append(asyncio.create_task(router.run()))
    await asyncio.sleep(2.0)
    watch = Watch(platform, backends)
    consumer = Consumer(
        platform, router, ZONES[0], f"{platform.prefix}.1.150", watch.on_open_reset
    )
    flows: list[Flow] = []
    for index in range(FLOWS):
        flow = consumer.new_flow(ROUTE)
        if not await flow.open() or await flow.request(f"first-{index}") != "200":
            raise CannotRunError("a flow could not be opened")
        flows.append(flow)
    leaving = backends[0]
    idle = [flow for flow in flows if backend_of(flow, backends) is leaving]
    if not idle:
        raise CannotRunError("no flow is open at the backend that leaves")
    leaving.state = "draining"
    status = await leaving.check_in()
    platform.record.write(f"{leaving.name}: draining, answer {status}, {len(idle)} open flows")
    await asyncio.sleep(DRAIN_SECONDS + LITTLE_LONGER_SECONDS)
    frozen = next(row for row in platform.entries if row.zone == ZONES[1])
    if with_trouble:
        platform.signal(frozen, signal.SIGSTOP)
        await asyncio.sleep(0.5)
    frozen_at = time.monotonic()
    requests = [
        asyncio.create_task(request_soon(flow, f"last-{flow.port}", platform)) for flow in idle
    ]
    await deregister(platform, leaving)
    await asyncio.gather(*requests)
    if with_trouble:
        await asyncio.sleep(max(0.0, frozen_at + FREEZE_SECONDS - 0.5 - time.monotonic()))
        platform.signal(frozen, signal.SIGCONT)
    platform.record.write(f"resets of open flows at living backends: {watch.foreign_resets}")
    for task in tasks:
        task.cancel()
    return watch.foreign_resets > 0


run_case(Path(__file__).parent, ZONES, ENTRIES, case)
