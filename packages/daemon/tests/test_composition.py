import asyncio
import json
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from lacewingrudder_core.messages import (
    OperatorReply,
    OperatorRequest,
    StatusRequest,
    SubmitOrder,
    SubmitZoneOrder,
)
from lacewingrudder_core.notes import SubmitTag, ZoneAction, ZoneOrder
from lacewingrudder_core.types import OrderAction, TargetOrder
from lacewingrudder_daemon._links.hub import Incoming
from lacewingrudder_daemon.composition import Process
from lacewingrudder_daemon.settings import read_settings
from lacewingrudder_wire.exceptions import LacewingrudderError

ORDER = SubmitOrder(TargetOrder("10.0.0.1:80", OrderAction.DRAIN))
TIMEOUT_SECONDS = 5.0


class ProcessTestCase(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def make_entry_process(self) -> Process:
        document = {
            "name": "e1",
            "zone": "adum",
            "roles": ["entry"],
            "listen": "127.83.0.1:7001",
            "peer_key": "a-peer-key-for-tests",
            "controls": {"c1": "127.83.0.2:7000"},
            "data": "127.83.0.1:4754",
            "fabric": "127.83.0.1:4755",
            "announce": "127.83.0.1:8080",
            "timeline": str(self.folder / "timeline"),
        }
        path = self.folder / "settings.json"
        path.write_text(json.dumps(document))
        return Process(read_settings(path))


class EntryOnlyTest(ProcessTestCase):
    def deliver_and_get_tag(self, request: OperatorRequest) -> SubmitTag:
        process = self.make_entry_process()
        answers: list[Any] = []
        process._hub.answer = lambda token, body: answers.append(body)  # type: ignore[method-assign]
        process._deliver(Incoming("", 1, request))
        assert isinstance(answers[0], OperatorReply)
        return answers[0].reply.tag

    def test_request_at_an_entry_host_is_refused_at_once(self) -> None:
        zone_order = SubmitZoneOrder(ZoneOrder("suame", ZoneAction.EVACUATE))
        for request in (ORDER, zone_order):
            self.assertEqual(self.deliver_and_get_tag(request), SubmitTag.REFUSED)

    def test_status_request_at_an_entry_host_is_refused_at_once(self) -> None:
        self.assertEqual(self.deliver_and_get_tag(StatusRequest()), SubmitTag.REFUSED)


class FailedTaskTest(ProcessTestCase):
    def test_failed_task_ends_the_process(self) -> None:
        process = self.make_entry_process()
        assert process._entry is not None
        fault = mock.AsyncMock(side_effect=AssertionError("a broken invariant"))
        with (
            mock.patch.object(process._entry, "run", fault),
            self.assertLogs("lacewingrudder_daemon.composition", "CRITICAL"),
            self.assertRaisesRegex(LacewingrudderError, "a broken invariant"),
        ):
            asyncio.run(asyncio.wait_for(process.run(asyncio.Event()), TIMEOUT_SECONDS))
        self.assertIn("failed", (self.folder / "timeline").read_text())
