import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

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

    def test_control_host_must_be_listed_in_controls(self) -> None:
        path = self.write(name="c2")
        with self.assertRaisesRegex(DocumentError, "controls: must contain this host, c2$"):
            read_settings(path)

    def test_error_names_the_unusable_data_folder(self) -> None:
        (self.folder / "data").write_text("a file in its place")
        with self.assertRaisesRegex(LacewingrudderError, "cannot use data folder .*data"):
            Process(read_settings(self.write()))

    def test_data_folder_in_use_by_another_process_is_an_error(self) -> None:
        settings = read_settings(self.write())
        first = Process(settings)
        with self.assertRaisesRegex(LacewingrudderError, "in use by another process"):
            Process(settings)
        del first
