"""A manifest moves a route to another service while SYNs wait for an answer."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1]))

from review.lib2.case import CannotRun, run  # noqa: E402
from review.lib2.ends import (  # noqa: E402
    Backend,
    Consumer,
    Flow,
    Operator,
    Route,
    manifest,
    wait_until_serving,
)
from review.lib2.platform import BOUNDS, Deployment, Routers  # noqa: E402

CONTACT_SECONDS = 4.0
DOWNGRADE_SLACK_SECONDS = BOUNDS["downgrade-slack-ms"] / 1000
MAX_CONNECTIONS = 12
HOLDING_FLOWS_PER_BACKEND = MAX_CONNECTIONS
MOVED_PORT, HELD_PORT = 8080, 8443
PROBES_PER_ZONE = 30
PROBE_INTERVAL_SECONDS = 0.01
WAITING_PER_ZONE = 20


async def scenario(deployment: Deployment, routers: Routers, trouble: bool) -> list[str]:
    rng = random.Random(7)
    record = deployment.record
    host = f"{deployment.network}.250.1"
    old = [
        Backend(
            deployment,
            "old",
            zone,
            f"{deployment.network}.{100 + number}.{row}",
            rng,
            max_connections=MAX_CONNECTIONS,
        )
        for number, zone in enumerate(deployment.zones)
        for row in (1, 2)
    ]
    new = [
        Backend(deployment, "new", zone, f"{deployment.network}.{110 + number}.{row}", rng)
        for number, zone in enumerate(deployment.zones)
        for row in (1, 2)
    ]
    for backend in (*old, *new):
        backend.start()
    operator = Operator(deployment)
    held = Route("r-held", host, HELD_PORT, "old")
    moved = Route("r-moved", host, MOVED_PORT, "old")
    services = ["old", "new"]
    limits = {"old": MAX_CONNECTIONS}
    await operator.put(manifest(1, [held, moved], services, limits))
    await wait_until_serving(deployment)
    await asyncio.sleep(CONTACT_SECONDS + 1)
    consumers = [
        Consumer(deployment, routers, zone, f"{deployment.network}.{150 + number}.1", rng)
        for number, zone in enumerate(deployment.zones)
    ]

    # Consumers keep flows open on the other route until the old service's backends are full.
    holding: list[Flow] = []

    async def hold(consumer: Consumer) -> None:
        flow = consumer.flow(host, HELD_PORT)
        if await flow.open():
            holding.append(flow)
            await flow.request()

    def is_full() -> bool:
        return all(len(row.flows) >= MAX_CONNECTIONS for row in old)

    deadline = time.monotonic() + 15
    while not is_full():
        if time.monotonic() > deadline:
            raise CannotRun(f"not full: {[len(row.flows) for row in old]}")
        await asyncio.gather(*(hold(consumer) for consumer in consumers for _ in range(2)))
    await asyncio.sleep(0.5)

    # New flows find the backends full, which send nothing.
    async def use(flow: Flow) -> None:
        if await flow.open():
            await flow.request("POST")
            flow.finish()

    waiting = [c.flow(host, MOVED_PORT) for c in consumers for _ in range(WAITING_PER_ZONE)]
    tasks = [asyncio.create_task(use(flow)) for flow in waiting]
    await asyncio.sleep(0.01)
    if trouble:
        await operator.put(manifest(2, [held, moved._replace(service="new")], services, limits))
    else:
        await asyncio.sleep(0.05)
    # Other consumers' flows on the same route show from when on the new version has its effect.
    probes: list[Flow] = []
    for _ in range(PROBES_PER_ZONE):
        for consumer in consumers:
            flow = consumer.flow(host, MOVED_PORT)
            probes.append(flow)
            tasks.append(asyncio.create_task(use(flow)))
        await asyncio.sleep(PROBE_INTERVAL_SECONDS)
    # The flows that held the backends end.
    for flow in holding:
        flow.finish()
    await asyncio.gather(*tasks)

    all_flows = {flow.name: flow for flow in (*waiting, *probes)}
    effect_at: dict[str, float] = {}
    for backend in new:
        for name, copy, at in backend.syns_taken:
            if name in all_flows:
                via = all_flows[name].syn_sent[copy][1]
                effect_at[via] = min(at, effect_at.get(via, at))
    for machine, at in sorted(effect_at.items()):
        record.write("check", "a backend saw the effect of version 2", through=machine, at=at)
    if trouble and not effect_at:
        raise CannotRun("version 2 had no effect")
    breaks: list[str] = []
    for backend in old:
        for one in backend.runs:
            flow = all_flows.get(one.flow)
            if flow is None:
                continue
            sent_at, via = flow.syn_sent[one.syn_copy]
            late = sent_at - effect_at.get(via, float("inf"))
            if late > DOWNGRADE_SLACK_SECONDS:
                breaks.append(
                    f"request {one.request} was run by the old service; its opening packet (copy"
                    f" {one.syn_copy}) was sent through {via} {late * 1000:.0f} ms after a backend"
                    " saw the effect of version 2 through that machine"
                )
    record.say(
        f"{sum(len(row.runs) for row in old)} requests run by the old service,"
        f" {sum(len(row.runs) for row in new)} by the new one"
    )
    for consumer in consumers:
        consumer.close()
    for backend in (*old, *new):
        backend.stop()
    return breaks


if __name__ == "__main__":
    run(HERE, scenario)
