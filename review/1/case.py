"""Two control hosts lose their disks one after the other, while operators read the manifest."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.lib.platform import CONFIG_PATH, Platform, call, manifest, order
from review.lib.script import CannotRunError, run_case

ZONES = ["adum", "suame", "ahodwo"]
ROUTE = ("198.18.0.1", 8080, "proofdesk")
READ_GAP_SECONDS = 0.05
CALM_SECONDS = 4.0
CATCH_UP_SECONDS = 4.0
START_SECONDS = 2.0
RECOVERY_SECONDS = 12.0
FINAL_SECONDS = 15.0


class Readers:
    """Operators' screens that read the manifest again and again, at any control host."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self.statuses: dict[int, int] = {}
        self.newest = -1

    async def run(self) -> None:
        """Start a read at the next control host every :data:`READ_GAP_SECONDS`."""
        number = 0
        pending: set[asyncio.Task[None]] = set()
        while True:
            number += 1
            task = asyncio.create_task(self._read(number))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(READ_GAP_SECONDS)

    def take(self) -> dict[int, int]:
        """Return the statuses since the last call, by how often each came."""
        taken, self.statuses = self.statuses, {}
        return taken

    async def _read(self, number: int) -> None:
        cores = self._platform.cores
        address = cores[number % len(cores)].address
        status, body = await asyncio.to_thread(
            call, address, self._platform.call_port, "GET", CONFIG_PATH
        )
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if status == 200:
            self.newest = max(self.newest, json.loads(body)["version"])


async def case(platform: Platform, with_trouble: bool) -> bool:
    """Return whether the manifest that was acknowledged can no longer be read or changed."""
    record = platform.record
    for version in (1, 2, 3):
        if not await asyncio.to_thread(
            order, platform, manifest(version, [ROUTE], ["proofdesk"])
        ):
            raise CannotRunError("no manifest was accepted")
    readers = Readers(platform)
    reading = asyncio.create_task(readers.run())
    await asyncio.sleep(CALM_SECONDS)
    record.write(f"reads before: {readers.take()}")
    if readers.newest != 3:
        raise CannotRunError("the manifest can't be read before the disruption")
    first, second, _ = platform.cores
    if with_trouble:
        platform.lose_disk(first)
    await asyncio.sleep(START_SECONDS + 2 * CATCH_UP_SECONDS)
    record.write(f"reads while {first.name} is lost and returns: {readers.take()}")
    if not await asyncio.to_thread(
        order, platform, manifest(4, [ROUTE], ["proofdesk"])
    ):
        raise CannotRunError("no change was accepted with one disk lost")
    if with_trouble:
        platform.lose_disk(second)
    await asyncio.sleep(START_SECONDS + RECOVERY_SECONDS)
    record.write(f"reads while {second.name} is lost and returns: {readers.take()}")
    running = [row.name for row in platform.cores if row.process and row.process.poll() is None]
    is_changed = await asyncio.to_thread(
        order, platform, manifest(5, [ROUTE], ["proofdesk"]), FINAL_SECONDS
    )
    statuses = readers.take()
    reading.cancel()
    record.write(f"running control hosts: {running}")
    record.write(f"reads in the last {FINAL_SECONDS:.0f} s or until a change: {statuses}")
    record.write(f"manifest 4 was acknowledged; manifest 5 accepted at last: {is_changed}")
    return not is_changed and not statuses.get(200)


run_case(Path(__file__).parent, ZONES, {"adum": 1, "suame": 1, "ahodwo": 1}, case)
