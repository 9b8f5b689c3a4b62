"""A machine of the core is replaced as planned, then another one loses its disk."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.lib.platform import CONFIG_PATH, Platform, call, manifest, order
from review.lib.script import CannotRunError, run_case

ZONES = ["adum", "suame", "ahodwo"]
ROUTE = ("198.18.0.1", 8080, "proofdesk")
SUCCESSOR_SECONDS = 8.0
AFTER_REMOVAL_SECONDS = 1.5
START_SECONDS = 2.0
RECOVERY_SECONDS = 12.0
FINAL_SECONDS = 15.0


async def change(platform: Platform, version: int, seconds: float = 20.0) -> bool:
    """Send a manifest until it is acknowledged; return whether it was."""
    body = manifest(version, [ROUTE], ["proofdesk"])
    return await asyncio.to_thread(order, platform, body, seconds)


async def read(platform: Platform) -> list[tuple[str, int]]:
    """Read the manifest at each control host; return the statuses."""
    return [
        (row.name, (await asyncio.to_thread(read_at, platform, row.address))[0])
        for row in platform.cores
    ]


def read_at(platform: Platform, address: str) -> tuple[int, bytes]:
    """Read the manifest at one control host."""
    return call(address, platform.call_port, "GET", CONFIG_PATH)


async def case(platform: Platform, with_trouble: bool) -> bool:
    """Return whether the manifest that was acknowledged can no longer be read or changed."""
    record = platform.record
    if not await change(platform, 1):
        raise CannotRunError("no manifest was accepted")
    leaving, other, _ = platform.cores
    successor = platform.add_core(leaving.zone)
    await asyncio.sleep(SUCCESSOR_SECONDS)
    record.write(f"reads with the successor: {await read(platform)}")
    platform.remove(leaving)
    await asyncio.sleep(AFTER_REMOVAL_SECONDS)
    if not await change(platform, 2):
        raise CannotRunError(f"no change was accepted after {successor.name} took over")
    if with_trouble:
        platform.lose_disk(other)
    await asyncio.sleep(START_SECONDS + RECOVERY_SECONDS)
    running = [row.name for row in platform.cores if row.process and row.process.poll() is None]
    record.write(f"running control hosts: {running}")
    is_changed = await change(platform, 3, FINAL_SECONDS)
    statuses = await read(platform)
    record.write(f"manifest 2 was acknowledged; reads at the end: {statuses}")
    record.write(f"manifest 3 accepted at last: {is_changed}")
    return not is_changed and all(status != 200 for _, status in statuses)


run_case(Path(__file__).parent, ZONES, {"adum": 1, "suame": 1, "ahodwo": 1}, case)
