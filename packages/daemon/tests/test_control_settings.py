import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from lacewingrudder_core.messages import OperatorReply, SubmitOrder
from lacewingrudder_core.notes import SubmitTag
from lacewingrudder_core.types import OrderAction, TargetOrder
from lacewingrudder_daemon._links.hub import Incoming
from lacewingrudder_daemon.composition import Process
from lacewingrudder_daemon.settings import read_settings
from lacewingrudder_wire.exceptions import DocumentError, LacewingrudderError

CONTROLS = {"c1": "127.0.0.1:7000"}


class ControlSettingsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, **changes: Any) -> Path:
        document = {
            "name": "c1",
            "zone": "adum",
            "roles": ["control"],
            "listen": "127.0.0.1:7000",
            "peer_key": "a-peer-key-for-tests",
            "controls": CONTROLS,
            "data_folder": str(self.folder / "data"),
        }
        path = self.folder / "settings.json"
        path.write_text(json.dumps(document | changes))
        return path

    def test_control_host_has_to_be_among_the_control_hosts(self) -> None:
        path = self.write(name="c2")
        with self.assertRaisesRegex(DocumentError, "controls: has to name this host, c2, itself"):
            read_settings(path)

    def test_unusable_data_folder_is_named(self) -> None:
        (self.folder / "data").write_text("a file in its place")
        with self.assertRaisesRegex(LacewingrudderError, "cannot use data folder .*data"):
            Process(read_settings(self.write()))

    def test_data_folder_of_another_process_is_refused(self) -> None:
        settings = read_settings(self.write())
        first = Process(settings)
        with self.assertRaisesRegex(LacewingrudderError, "in use by another process"):
            Process(settings)
        del first


class EntryOnlyTest(unittest.TestCase):
    def test_request_at_an_entry_host_is_refused_at_once(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "settings.json"
        document = {
            "name": "e1",
            "zone": "adum",
            "roles": ["entry"],
            "listen": "127.0.0.1:7001",
            "peer_key": "a-peer-key-for-tests",
            "controls": CONTROLS,
            "data": "127.0.0.1:4754",
            "fabric": "127.0.0.1:4755",
            "announce": "127.0.0.1:8080",
        }
        path.write_text(json.dumps(document))
        process = Process(read_settings(path))
        answers: list[Any] = []
        process._hub.answer = lambda token, body: answers.append(body)  # type: ignore[method-assign]
        request = SubmitOrder(TargetOrder("10.0.0.1:80", OrderAction.DRAIN))
        process._deliver(Incoming("", 1, request))
        assert isinstance(answers[0], OperatorReply)
        self.assertEqual(answers[0].reply.tag, SubmitTag.REFUSED)
