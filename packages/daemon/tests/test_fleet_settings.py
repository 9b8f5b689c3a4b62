import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from lacewingrudder_core.types import Endpoint
from lacewingrudder_daemon._fleet.settings import parse_settings
from lacewingrudder_daemon.fleet import SettingsFile
from lacewingrudder_wire.exceptions import DocumentError

ENTRY: dict[str, Any] = {
    "name": "entry-1",
    "zone": "adum",
    "messages": "10.1.0.10:7720",
    "seeds": ["10.1.0.13:8166", "10.2.0.42:8166"],
    "founds": True,
    "metrics": "10.1.0.10:9464",
    "beat_ms": 1200,
    "grace_s": 6,
    "packets": "10.1.0.10:8172",
    "readiness": "10.1.0.10:8167",
    "unknown": 1,
}


class FleetSettingsTest(unittest.TestCase):
    def read(self, **fields: Any) -> Any:
        return parse_settings(json.dumps({**ENTRY, **fields}), "file")

    def test_entry_host(self) -> None:
        settings = self.read()
        self.assertEqual(settings.seeds, ("10.1.0.13:7720", "10.2.0.42:7720"))
        self.assertEqual(settings.heartbeat_seconds, 1.2)
        self.assertEqual(settings.entry.packets, Endpoint.parse("10.1.0.10:8172"))
        self.assertIsNone(settings.registrar)

    def test_control_host(self) -> None:
        settings = self.read(packets=None, calls="10.1.0.13:8166", data_folder="/data")
        self.assertIsNone(settings.entry)
        self.assertEqual(settings.registrar.data_folder, Path("/data"))

    def test_bind_address_may_differ_from_the_advertised_address(self) -> None:
        settings = self.read(messages_bind="10.9.0.1:7720")
        self.assertEqual(settings.messages, Endpoint.parse("10.1.0.10:7720"))
        self.assertEqual(settings.messages_bind, Endpoint.parse("10.9.0.1:7720"))
        self.assertEqual(self.read().messages_bind, self.read().messages)

    # Guards against hosts that learn speeds without being told to, or don't although they are.
    def test_speeds_are_learned_only_if_the_settings_say_so(self) -> None:
        self.assertFalse(self.read().entry.learns_speeds)
        self.assertFalse(self.read(learn_speeds=False).entry.learns_speeds)
        self.assertTrue(self.read(learn_speeds=True).entry.learns_speeds)

    def test_errors_name_file_field_and_reason(self) -> None:
        cases: list[tuple[str, Any]] = [
            ("name", ""),
            ("zone", 5),
            ("messages", "10.1.0.10"),
            ("seeds", "10.1.0.13:8166"),
            ("seeds", ["nowhere"]),
            ("founds", "yes"),
            ("beat_ms", 0),
            ("grace_s", True),
            ("readiness", None),
            ("messages_bind", "10.9.0.1"),
        ]
        for field, value in cases:
            with self.subTest(field=field), self.assertRaises(DocumentError) as raised:
                self.read(**{field: value})
            self.assertEqual((raised.exception.file, raised.exception.field), ("file", field))

    def test_text_that_is_not_a_json_object_is_rejected(self) -> None:
        for text in ("", "{", "[]"):
            with self.assertRaises(DocumentError):
                parse_settings(text, "file")

    def test_file_is_read_again_only_if_it_changed(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json"
            path.write_text(json.dumps(ENTRY))
            file = SettingsFile(path)
            file.read()
            self.assertIsNone(file.reread())
            path.write_text(json.dumps({**ENTRY, "seeds": ["10.3.0.9:8166"]}))
            changed = file.reread()
            assert changed is not None
            self.assertEqual(changed.seeds, ("10.3.0.9:7720",))
            path.write_text("{")
            with self.assertRaises(DocumentError):
                file.reread()
