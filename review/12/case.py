"""An entry host that wakes up sends SYNs of flows that have been open for seconds."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from pathlib import Path

from ends import Backend, ConsumerFlow, Consumers, Router, manifest, wait_until
from fleet import CONTACT_SECONDS, CannotRun, Fleet, Operator, Record
from runner import HAS_TROUBLE, run

PLACE = ("127.99.0.1", 8080)
BACKEND_COUNT = 5
FREEZE_SECONDS = 3.5
FLOWS_PER_SECOND = 90
OPENING_SECONDS = 1.4
MARGIN_SECONDS = 1.0


async def open_and_request(flow: ConsumerFlow) -> None:
    if await flow.open():
        await flow.request(f"first-of-{flow.port}")


async def play(fleet: Fleet, record: Record) -> bool:
    operator = Operator(fleet, record)
    body = json.dumps(manifest(1, [(*PLACE, "svc")], [{"name": "svc"}])).encode()
    if (await operator.order("PUT", "/lacewingrudder/config", body, "version 1"))[0] != 200:
        raise CannotRun("the manifest was not confirmed")
    backends = [
        Backend(fleet, record, f"i-{0x7F3A9100 + at:x}", "svc", "adum", f"{fleet.prefix}.20.{at + 1}")
        for at in range(BACKEND_COUNT)
    ]
    router = Router(fleet, record, "adum")
    consumers = Consumers(fleet, record, router, f"{fleet.prefix}.40.1")
    if not await wait_until(lambda: len(router.in_rotation) == 3, 20):
        raise CannotRun("not all entry hosts became ready")
    await asyncio.sleep(CONTACT_SECONDS + MARGIN_SECONDS)

    frozen = fleet.fronts[0]
    began = time.monotonic()
    if HAS_TROUBLE:
        record.write(f"{frozen.name} is stopped (SIGSTOP)")
        frozen.signal(signal.SIGSTOP)
    tasks = []
    while time.monotonic() < began + OPENING_SECONDS:
        flow = consumers.new_flow(PLACE)
        tasks.append(asyncio.create_task(open_and_request(flow)))
        await asyncio.sleep(1 / FLOWS_PER_SECOND)
    await asyncio.sleep(max(0.0, began + FREEZE_SECONDS - time.monotonic()))
    if HAS_TROUBLE:
        record.write(f"{frozen.name} goes on (SIGCONT)")
        frozen.signal(signal.SIGCONT)
    woke = time.monotonic()
    await asyncio.gather(*tasks)
    opened = [flow for flow in consumers.flows.values() if flow.state == "open" and flow.answers]
    record.write(f"{len(opened)} of {len(consumers.flows)} flows are open, and rest")
    if not await wait_until(lambda: len(router.in_rotation) == 3, 10):
        raise CannotRun("the entry host did not come back")
    await asyncio.sleep(max(0.0, woke + CONTACT_SECONDS + MARGIN_SECONDS - time.monotonic()))
    record.write("all machines have been in touch for contact-ms; each open flow sends one more request")
    await asyncio.gather(*(flow.request(f"second-of-{flow.port}") for flow in opened))
    broken = [flow for flow in opened if flow.reset_by not in ("", flow.holder)]
    for flow in broken:
        record.write(
            f"the flow of :{flow.port} was reset by {flow.reset_by}; the backend at {flow.holder} had"
            f" answered its first request, and lives; its SYNs went through {flow.syn_nodes}"
        )
    silent = [flow for flow in opened if flow.state == "open" and len(flow.answers) < 2]
    record.write(
        f"{len(opened)} flows were open: {len(broken)} were reset by another than their backend,"
        f" {len(silent)} got no answer to their second request in 2 s"
    )
    for end in (consumers, router, *backends):
        end.close()
    return not broken


run(Path(__file__).parent, lambda: Fleet({"adum": 3, "suame": 1, "ahodwo": 1}), play)
