"""A replaced control host is taken away for good; then another machine loses its disk."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1]))

from review.lib2.case import CannotRun, run  # noqa: E402
from review.lib2.ends import Operator, Route, manifest, wait_until_serving  # noqa: E402
from review.lib2.platform import BOUNDS, Deployment, Machine, Routers, call  # noqa: E402

CATCH_UP_SECONDS = BOUNDS["catch-up-s"]
SUCCESSOR_RUNS_SECONDS = 2.0 * CATCH_UP_SECONDS
RECOVERY_SECONDS = BOUNDS["recovery-s"]
DOWN_SECONDS = 0.9
READ_INTERVAL_SECONDS = 0.5


async def scenario(deployment: Deployment, routers: Routers, trouble: bool) -> list[str]:
    record = deployment.record
    host = f"{deployment.network}.250.1"
    operator = Operator(deployment)

    async def put(version: int) -> None:
        await operator.put(manifest(version, [Route("r-orders", host, 8080, "orders")], ["orders"]))

    async def read(machine: Machine) -> int | None:
        """Return the version that a machine answers with, or ``None``."""
        address = (machine.ip, deployment.call_port)
        status, body = await call(address, "GET", "/lacewingrudder/config", timeout=1.0)
        version = json.loads(body)["version"] if status == 200 else None
        record.write("operator", "reads", machine=machine.name, got=status, version=version)
        return version

    await put(1)
    await wait_until_serving(deployment)
    await asyncio.sleep(CATCH_UP_SECONDS)

    successor = deployment.add_core()
    deployment.start(successor)
    record.write("platform", "adds a machine of the core", machine=successor.name)
    await asyncio.sleep(SUCCESSOR_RUNS_SECONDS)
    if await read(successor) != 1:
        raise CannotRun("the successor has not caught up")
    await put(2)

    old = deployment.find_leader()
    if trouble:
        # The machine is removed permanently, without SIGTERM. Its successor has run for twice
        # catch-up-s. Then nothing happens for catch-up-s.
        removed_at = time.monotonic()
        deployment.signal(old, signal.SIGKILL)
        deployment.remove(old)
        record.write("platform", "has removed a machine for good", machine=old.name)
        await put(3)
        await asyncio.sleep(removed_at + CATCH_UP_SECONDS - time.monotonic())
        # One machine loses its disk: the one that leads by now.
        await deployment.lose_disk(deployment.find_leader(), DOWN_SECONDS)
    else:
        await put(3)
        await asyncio.sleep(CATCH_UP_SECONDS)

    answered: list[int] = []
    until = time.monotonic() + RECOVERY_SECONDS + CATCH_UP_SECONDS
    while time.monotonic() < until:
        for machine in deployment.cores:
            version = await read(machine)
            if version is not None:
                answered.append(version)
        await asyncio.sleep(READ_INTERVAL_SECONDS)
    recent = answered[-1] if answered else None
    still = [await read(machine) for machine in deployment.cores]
    record.say(
        f"reads answered after the loss: {len(answered)}, the last with {recent}; now {still}"
    )
    if any(version == 3 for version in still):
        return []
    return [
        f"manifest 3 was acknowledged; {RECOVERY_SECONDS + CATCH_UP_SECONDS} s after the loss no"
        f" machine of the core returns it: {still}"
    ]


if __name__ == "__main__":
    run(HERE, scenario)
