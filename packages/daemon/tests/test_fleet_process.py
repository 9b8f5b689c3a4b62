import asyncio
import unittest
from typing import Any
from unittest.mock import Mock

from lacewingrudder_daemon._fleet.metrics import MetricsSnapshot
from lacewingrudder_daemon._fleet.process import FleetProcess


class FailingProcess(FleetProcess):
    """A process with a supervised task that fails at once."""

    async def _start(self) -> None:
        self.task = self._supervise(self._fail())

    async def _fail(self) -> None:
        raise OSError("no route")

    async def _leave(self) -> None:
        return None

    async def _close(self) -> None:
        return None

    def _apply_settings(self) -> None:
        return None

    def _collect_metrics(self) -> MetricsSnapshot:
        raise NotImplementedError


class FleetProcessTest(unittest.TestCase):
    def test_failed_task_is_reported_and_ends_the_process(self) -> None:
        events, settings = Mock(), Mock(metrics=None, zone="z")
        process = FailingProcess(settings, Mock(), events)
        with self.assertRaises(RuntimeError):
            asyncio.run(self._bounded(process.run()))
        recorded: list[Any] = [call.args[0] for call in events.record.call_args_list]
        self.assertIn("task_failed", recorded)

    @staticmethod
    async def _bounded(work: Any) -> None:
        async with asyncio.timeout(5):
            await work
