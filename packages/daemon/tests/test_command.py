import json
import socket
import tempfile
import unittest
from pathlib import Path
from typing import Any

from click.testing import CliRunner, Result
from lacewingrudder_daemon.command import main

SETTINGS = {
    "name": "control-1",
    "zone": "adum",
    "roles": ["control"],
    "listen": "127.19.0.1:21900",
    "peer_key": "a-key-for-tests-only",
    "controls": {"control-1": "127.19.0.1:21900"},
}


class MainTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.settings: dict[str, Any] = SETTINGS | {"data_folder": str(self.folder / "data")}

    def run_daemon(self) -> Result:
        path = self.folder / "settings.json"
        path.write_text(json.dumps(self.settings))
        return CliRunner().invoke(main, ["--settings", str(path)])

    def assert_invalid(self, field: str, reason: str) -> None:
        result = self.run_daemon()
        self.assertEqual(result.exit_code, 2)
        self.assertIn(f"settings.json: {field}: ", result.stderr)
        self.assertIn(reason, result.stderr)

    def test_unknown_key(self) -> None:
        self.settings["colour"] = "red"
        self.assert_invalid("colour", "is not a known field")

    def test_wrong_type(self) -> None:
        self.settings["zone"] = 7
        self.assert_invalid("zone", "7 is not of type 'string'")

    def test_invalid_address(self) -> None:
        self.settings["listen"] = "127.0.0.300:7000"
        self.assert_invalid("listen", "300")

    def test_role_without_its_fields(self) -> None:
        del self.settings["data_folder"]
        self.assert_invalid("data_folder", "required for a control host")

    def test_missing_settings_file(self) -> None:
        result = CliRunner().invoke(main, ["--settings", "no-such.json"])
        self.assertEqual(result.exit_code, 2)
        self.assertIn("no-such.json: (document): No such file", result.stderr)

    def test_address_in_use(self) -> None:
        with socket.socket() as taken:
            taken.bind(("127.19.0.1", 21900))
            taken.listen()
            result = self.run_daemon()
        self.assertEqual(result.exit_code, 2)
        self.assertIn("cannot start", result.stderr)
        self.assertIn("address already in use", result.stderr.lower())
        self.assertIn("127.19.0.1", result.stderr)

    def test_data_folder_that_is_a_file(self) -> None:
        (self.folder / "data").write_text("a file")
        result = self.run_daemon()
        self.assertEqual(result.exit_code, 2)
        self.assertIn(str(self.folder / "data"), result.stderr)

    def test_data_folder_of_an_entry_host_that_cannot_be_created(self) -> None:
        (self.folder / "data").write_text("a file")
        entry = {"roles": ["entry"], "data": "127.19.0.1:21901", "fabric": "127.19.0.1:21902"}
        self.settings |= entry | {"announce": "127.19.0.1:21903", "name": "entry-1"}
        result = self.run_daemon()
        self.assertEqual(result.exit_code, 2)
        self.assertIn(str(self.folder / "data"), result.stderr)

    def test_timeline_that_cannot_be_written(self) -> None:
        self.settings["timeline"] = str(self.folder)
        result = self.run_daemon()
        self.assertEqual(result.exit_code, 2)
        self.assertIn(str(self.folder), result.stderr)
