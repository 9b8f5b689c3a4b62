import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from lacewingrudder_wire.documents import read_note
from lacewingrudder_wire.exceptions import DocumentError


def service(name: str = "proofdesk", **changes: Any) -> dict[str, Any]:
    kinds = [{"name": "edits", "port": 443, "share": 0.5}]
    return {"name": name, "address": "10.0.0.1", "key": "service-key", "kinds": kinds} | changes


class NoteTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "note.json"

    def read(self, **parts: Any) -> Any:
        self.path.write_text(json.dumps({"number": 1, "base": 0} | parts))
        return read_note(self.path)

    def assert_invalid(self, field: str, reason: str, **parts: Any) -> None:
        with self.assertRaises(DocumentError) as caught:
            self.read(**parts)
        error = caught.exception
        self.assertEqual((error.file, error.field), (str(self.path), field))
        self.assertIn(reason, error.reason)

    def test_digest_does_not_depend_on_the_order_of_keys(self) -> None:
        first = self.read(added=[service()])
        self.path.write_text(json.dumps({"added": [service()], "base": 0, "number": 1}, indent=2))
        self.assertEqual(read_note(self.path), first)
        self.assertNotEqual(self.read(added=[service("other")]).digest, first.digest)

    def test_stated_digest_must_match(self) -> None:
        self.assert_invalid(
            "digest",
            "does not match the contents, whose digest is",
            digest="0" * 64,
            added=[service()],
        )

    def test_each_violation_names_its_field(self) -> None:
        kind = {"name": "edits", "port": 443, "share": 0.5}
        wrong: list[tuple[str, str, dict[str, Any]]] = [
            ("number", "minimum", {"number": 0, "added": [service()]}),
            ("(document)", "nothing", {}),
            ("extra", "not a known field", {"extra": 1, "added": [service()]}),
            (
                "added[0].kinds[0].port",
                "maximum",
                {"added": [service(kinds=[kind | {"port": 99999}])]},
            ),
            (
                "added[0].kinds[0].port",
                "integer",
                {"added": [service(kinds=[kind | {"port": "443"}])]},
            ),
            ("added[0].address", "ipv4", {"added": [service(address="10.0.0.999")]}),
            ("added[0].kinds", "non-empty", {"added": [service(kinds=[])]}),
            (
                "added[0].kinds",
                "more than 1",
                {"added": [service(kinds=[kind, _kind("b", 444, 0.6)])]},
            ),
            (
                "added[0].kinds[1].name",
                "twice",
                {"added": [service(kinds=[kind, _kind("edits", 444)])]},
            ),
            (
                "added[0].kinds[1].port",
                "belongs",
                {"added": [service(kinds=[kind, _kind("b", 443)])]},
            ),
            ("added[1].kinds[0].port", "belongs", {"added": [service(), service("other")]}),
            ("changed[0].name", "more than once", {"added": [service()], "changed": [service()]}),
            ("withdrawn[1]", "more than once", {"withdrawn": ["a", "a"]}),
        ]
        for field, reason, parts in wrong:
            with self.subTest(field=field, reason=reason):
                self.assert_invalid(field, reason, **parts)

    def test_missing_field_is_named(self) -> None:
        self.path.write_text('{"number": 1}')
        with self.assertRaisesRegex(DocumentError, "base: is required"):
            read_note(self.path)

    def test_repeated_key_is_rejected(self) -> None:
        self.path.write_text('{"number": 1, "base": 0, "withdrawn": ["a"], "withdrawn": ["b"]}')
        with self.assertRaisesRegex(DocumentError, "withdrawn: is given more than once"):
            read_note(self.path)


def _kind(name: str, port: int, share: float = 0.1) -> dict[str, Any]:
    return {"name": name, "port": port, "share": share}
