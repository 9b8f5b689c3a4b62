import json
import unittest
from typing import Any

from aiohttp.test_utils import TestClient, TestServer
from lacewingrudder_core._targets.events import Renewed
from lacewingrudder_core.targets import Announcement, AnnounceOutcome, Rejected, announcement_mac
from lacewingrudder_core.types import KindPort, TargetState
from lacewingrudder_daemon.http import (
    ANNOUNCEMENT_LIMIT_BYTES,
    announcement_app,
    parse_announcement,
)
from lacewingrudder_wire.exceptions import DocumentError

DOCUMENT: dict[str, Any] = {
    "service": "proofdesk",
    "zone": "adum",
    "address": "10.10.0.101",
    "ports": {"edits": 9000, "screens": 9001},
    "slots": 3,
    "connection_limit": 2000,
    "incarnation": 1,
    "sequence": 1,
    "state": "serving",
    "load": 0.25,
    "mac": "0" * 64,
}
BAD_VALUES: dict[str, list[Any]] = {
    "service": ["", 1, None],
    "address": ["10.10.0", "::1", 168427521],
    "ports": [{}, [], {"edits": 0}, {"edits": 65536}, {"edits": "9000"}, {"edits": True}],
    "slots": [0, -1, "3", 1.5],
    "connection_limit": [0, 1 << 40],
    "incarnation": [0, -1, 1 << 63],
    "sequence": [0, "1"],
    "state": ["lost", "withdrawn", "", None],
    "load": [-0.1, 1.1, "0"],
    "mac": ["", "0" * 63, "G" * 64],
}


class FakeTask:
    """Records announcements in place of an entry host's task."""

    def __init__(self) -> None:
        self.outcome: AnnounceOutcome = Renewed(3.0)
        self.announcements: list[Announcement] = []

    async def announce(self, announcement: Announcement) -> AnnounceOutcome:
        self.announcements.append(announcement)
        return self.outcome


class ParseTest(unittest.TestCase):
    def test_announcement_fields_are_parsed(self) -> None:
        parsed = parse_announcement(DOCUMENT)
        self.assertEqual(parsed.target.name, "10.10.0.101:9000")
        self.assertEqual(parsed.target.ports, (KindPort("edits", 9000), KindPort("screens", 9001)))
        self.assertEqual((parsed.state, parsed.load), (TargetState.SERVING, 0.25))

    def test_mac_survives_json(self) -> None:
        for load in (0.0, 1 / 3, 1.0):
            target = parse_announcement(DOCUMENT).target
            mac = announcement_mac("proofdesk-secret", target, "serving", load, 1)
            sent = json.loads(json.dumps(DOCUMENT | {"load": load, "mac": mac}))
            parsed = parse_announcement(sent)
            again = announcement_mac(
                "proofdesk-secret", parsed.target, parsed.state, parsed.load, parsed.sequence
            )
            self.assertEqual(again, mac)

    def test_bad_value_names_its_field(self) -> None:
        for field, values in BAD_VALUES.items():
            for value in values:
                with self.subTest(field=field, value=value):
                    with self.assertRaises(DocumentError) as raised:
                        parse_announcement(DOCUMENT | {field: value})
                    self.assertEqual(raised.exception.field.split(".")[0], field)

    def test_missing_field_and_wrong_type(self) -> None:
        for field in DOCUMENT:
            document = {key: value for key, value in DOCUMENT.items() if key != field}
            with self.assertRaisesRegex(DocumentError, field):
                parse_announcement(document)
        for value in ([], "text", None, 1):
            with self.assertRaises(DocumentError):
                parse_announcement(value)


class AnnounceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.task = FakeTask()
        app = announcement_app(self.task)  # type: ignore[arg-type]
        self.client = TestClient(TestServer(app))
        await self.client.start_server()
        self.addAsyncCleanup(self.client.close)

    async def post(self, data: bytes) -> tuple[int, Any]:
        async with self.client.post("/announce", data=data) as response:
            return response.status, await response.text()

    async def test_response_holds_the_lease(self) -> None:
        status, text = await self.post(json.dumps(DOCUMENT).encode())
        self.assertEqual((status, json.loads(text)), (200, {"lease_seconds": 3.0}))
        self.assertEqual(len(self.task.announcements), 1)

    async def test_rejection_has_a_reason(self) -> None:
        self.task.outcome = Rejected("the key does not match the service's")
        status, text = await self.post(json.dumps(DOCUMENT).encode())
        self.assertEqual((status, "key" in json.loads(text)["reason"]), (403, True))

    async def test_invalid_announcements_do_not_reach_the_task(self) -> None:
        nan = json.dumps(DOCUMENT | {"load": float("nan")}).encode()
        for data in (b"", b"{", b"\xff\xfe", b"[" * 10_000, b"[]", nan):
            with self.subTest(data=data[:10]):
                status, text = await self.post(data)
                self.assertEqual((status, "reason" in json.loads(text)), (400, True))
        self.assertEqual(self.task.announcements, [])

    async def test_oversized_announcement_is_not_read(self) -> None:
        status, _ = await self.post(b" " * (ANNOUNCEMENT_LIMIT_BYTES + 1))
        self.assertEqual((status, self.task.announcements), (413, []))
