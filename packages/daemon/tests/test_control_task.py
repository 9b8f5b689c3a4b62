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
from lacewingrudder_core.replica import DurableState, ReplicaCore, StaticVoters
from lacewingrudder_core.types import OrderAction, TargetOrder
from lacewingrudder_daemon.control_task import ControlTask
from lacewingrudder_daemon.recorder import TimelineWriter
from lacewingrudder_daemon.storage import ReplicaStore
from lacewingrudder_wire.resources import load_state_chart

ANSWER_TIMEOUT_SECONDS = 5.0


class ControlTaskTest(unittest.IsolatedAsyncioTestCase):
    """A single control host on a disk that fills up."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.disk = FakeDisk()
        self.answers: asyncio.Queue[tuple[int, Any]] = asyncio.Queue()
        store = ReplicaStore(self.disk)
        durable = store.recover(DurableState("identity"))
        replica = ReplicaCore(
            "c1", StaticVoters(["c1"]), load_state_chart("replica"), durable, random.Random(1)
        )
        timeline = TimelineWriter("c1", Path(folder.name) / "timeline")
        self.addCleanup(timeline.close)
        self.task = ControlTask(
            ControlCore("c1", replica), store, timeline, lambda host, body: None, self._answer
        )
        self.running = asyncio.create_task(self.task.run())
        await asyncio.sleep(0.2)

    async def asyncTearDown(self) -> None:
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
        self.task.close()

    def _answer(self, token: int, body: Any) -> None:
        self.answers.put_nowait((token, body))

    async def submit_drain(self, token: int) -> SubmitReply:
        order = TargetOrder(f"10.0.0.{token}:80", OrderAction.DRAIN)
        self.task.handle(OperatorRequestReceived(token, SubmitOrder(order)))
        answered, body = await asyncio.wait_for(self.answers.get(), ANSWER_TIMEOUT_SECONDS)
        self.assertEqual(answered, token)
        assert isinstance(body, OperatorReply)
        return body.reply

    async def test_accepted_change_is_durable(self) -> None:
        reply = await self.submit_drain(1)
        self.assertEqual(reply, SubmitReply(SubmitTag.ACCEPTED, 1, ""))
        self.disk.crash()
        state = ReplicaStore(self.disk).recover(DurableState("another"))
        self.assertEqual([e.order.target for e in state.entries if e.order], ["10.0.0.1:80"])

    async def test_changes_are_refused_while_the_disk_is_full_and_accepted_afterwards(self) -> None:
        await self.submit_drain(1)
        self.disk.capacity = 0
        with self.assertLogs("lacewingrudder_daemon.control_task", "ERROR"):
            unknown = await self.submit_drain(2)
        refused = await self.submit_drain(3)
        self.assertEqual(unknown.tag, SubmitTag.UNKNOWN)
        self.assertEqual(refused.tag, SubmitTag.REFUSED)
        self.disk.capacity = 1 << 30
        for token in range(4, 40):
            reply = await self.submit_drain(token)
            if reply.tag is SubmitTag.ACCEPTED:
                break
            await asyncio.sleep(0.1)
        self.assertEqual(reply.tag, SubmitTag.ACCEPTED)
