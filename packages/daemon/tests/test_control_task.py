import asyncio
import random
import tempfile
import unittest
from pathlib import Path
from typing import Any

from fake_disk import FakeDisk
from lacewingrudder_core.control import ControlCore, OperatorRequestReceived
from lacewingrudder_core.messages import OperatorReply, SubmitOrder
from lacewingrudder_core.notes import SubmitReply, SubmitTag
from lacewingrudder_core.replica import ReplicaCore, StaticVoters
from lacewingrudder_core.types import OrderAction, TargetOrder
from lacewingrudder_daemon.control_task import ControlTask
from lacewingrudder_daemon.recorder import TimelineWriter
from lacewingrudder_daemon.storage import ReplicaStore
from lacewingrudder_wire.resources import load_state_chart

ANSWER_SECONDS = 5.0


class ControlTaskTest(unittest.IsolatedAsyncioTestCase):
    """One control host, alone, on a disk that fills up."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.disk = FakeDisk()
        self.answers: asyncio.Queue[tuple[int, Any]] = asyncio.Queue()
        store = ReplicaStore(self.disk)
        durable = store.recover("identity")
        replica = ReplicaCore(
            "c1", StaticVoters(["c1"]), load_state_chart("replica"), durable, random.Random(1)
        )
        recorder = TimelineWriter("c1", Path(folder.name) / "timeline")
        self.addCleanup(recorder.close)
        self.task = ControlTask(
            ControlCore("c1", replica), store, recorder, lambda host, body: None, self._answer
        )
        self.running = asyncio.create_task(self.task.run())
        await asyncio.sleep(0.2)

    async def asyncTearDown(self) -> None:
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
        self.task.close()

    def _answer(self, token: int, body: Any) -> None:
        self.answers.put_nowait((token, body))

    async def drain(self, token: int) -> SubmitReply:
        order = TargetOrder(f"10.0.0.{token}:80", OrderAction.DRAIN)
        self.task.handle(OperatorRequestReceived(token, SubmitOrder(order)))
        answered, body = await asyncio.wait_for(self.answers.get(), ANSWER_SECONDS)
        self.assertEqual(answered, token)
        assert isinstance(body, OperatorReply)
        return body.reply

    async def test_accepted_change_is_on_the_disk(self) -> None:
        reply = await self.drain(1)
        self.assertEqual(reply, SubmitReply(SubmitTag.ACCEPTED, 1, ""))
        self.disk.crash()
        state = ReplicaStore(self.disk).recover("another")
        self.assertEqual([e.order.target for e in state.entries if e.order], ["10.0.0.1:80"])

    async def test_full_disk_is_said_and_outlived(self) -> None:
        await self.drain(1)
        self.disk.capacity = 0
        with self.assertLogs("lacewingrudder_daemon.control_task", "ERROR"):
            unknown = await self.drain(2)
        refused = await self.drain(3)
        self.assertEqual(unknown.tag, SubmitTag.UNKNOWN)
        self.assertEqual(refused.tag, SubmitTag.REFUSED)
        self.disk.capacity = 1 << 30
        for token in range(4, 40):
            reply = await self.drain(token)
            if reply.tag is SubmitTag.ACCEPTED:
                break
            await asyncio.sleep(0.1)
        self.assertEqual(reply.tag, SubmitTag.ACCEPTED)
