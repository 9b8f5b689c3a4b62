"""A control host tells its former subscribers when it runs again."""

import asyncio
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest.mock import Mock

from lacewingrudder_core.checkins import ControlStarted, Position, Subscription
from lacewingrudder_core.types import Endpoint
from lacewingrudder_daemon._fleet import control
from lacewingrudder_daemon._fleet.control import RegistrarProcess
from lacewingrudder_wire.resources import load_state_chart

ENTRIES = ("10.1.0.1:7720", "10.1.0.2:7720")
WAIT_SECONDS = 5 * control.REGISTRY_WRITE_INTERVAL_SECONDS


class ControlStartTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.sent: list[tuple[str, Any]] = []

    async def start(self) -> RegistrarProcess:
        settings = Mock(zone="adum", seeds=(), bootstraps=True, heartbeat_seconds=1.2)
        settings.messages = Endpoint.parse("10.0.0.1:7720")
        registrar = Mock(data_folder=self.folder)
        process = RegistrarProcess(settings, registrar, Mock(), Mock(), load_state_chart("replica"))
        process._message_socket = Mock(send=lambda host, body: self.sent.append((host, body)))
        await process._start()
        return process

    def subscribe(self, process: RegistrarProcess, host: str) -> None:
        subscription = Subscription(host, "adum", False, Position(0, 0), -1, True)
        process._handle_message(host, subscription)

    async def stop(self, process: RegistrarProcess) -> None:
        await process._close()
        self.sent.clear()

    def notices(self) -> list[str]:
        return [host for host, body in self.sent if isinstance(body, ControlStarted)]

    async def test_former_subscribers_are_told_until_they_subscribe_again(self) -> None:
        process = await self.start()
        for host in ENTRIES:
            self.subscribe(process, host)
        await asyncio.sleep(WAIT_SECONDS)
        self.assertEqual(self.notices(), [])
        await self.stop(process)
        process = await self.start()
        await asyncio.sleep(0.01)
        self.assertEqual(self.notices(), list(ENTRIES))
        self.sent.clear()
        self.subscribe(process, ENTRIES[0])
        await asyncio.sleep(max(control.START_NOTICE_DELAYS_SECONDS) + 0.1)
        self.assertEqual(set(self.notices()), {ENTRIES[1]})
        await self.stop(process)

    async def test_subscribers_are_kept_over_two_crashes_in_a_row(self) -> None:
        process = await self.start()
        self.subscribe(process, ENTRIES[0])
        await asyncio.sleep(WAIT_SECONDS)
        await self.stop(process)
        process = await self.start()
        await asyncio.sleep(WAIT_SECONDS)
        await self.stop(process)
        process = await self.start()
        await asyncio.sleep(0.01)
        self.assertEqual(self.notices(), [ENTRIES[0]])
        await self.stop(process)


if __name__ == "__main__":
    unittest.main()
