import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from click.testing import Result
from lacewingrudder_cli.testing import LwrRunner
from lacewingrudder_core.messages import OperatorReply, SubmitOrder, SubmitZoneOrder
from lacewingrudder_core.notes import SubmitReply, SubmitTag, ZoneAction, ZoneOrder
from lacewingrudder_core.types import OrderAction, TargetOrder

NOTE = {"number": 1, "base": 0, "withdrawn": ["old"]}


class MainTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.note = Path(folder.name) / "note.json"
        self.note.write_text(json.dumps(NOTE))
        self.sent: list[Any] = []

    def run_lwr(self, *arguments: str, tag: SubmitTag = SubmitTag.ACCEPTED) -> Result:
        runner = LwrRunner(lambda body: OperatorReply(SubmitReply(tag, 7, "because")))
        result = runner.run(*arguments)
        self.sent += runner.sent
        return result

    def test_exit_codes_follow_the_outcome(self) -> None:
        codes = {
            tag: self.run_lwr("submit", str(self.note), tag=tag).exit_code for tag in SubmitTag
        }
        self.assertEqual(
            codes, {"accepted": 0, "invalid": 2, "conflict": 3, "refused": 4, "unknown": 5}
        )

    def test_submit_prints_json(self) -> None:
        done = self.run_lwr("submit", str(self.note), "--json", tag=SubmitTag.CONFLICT)
        expected = {"tag": "conflict", "revision": 7, "detail": "because"}
        self.assertEqual(json.loads(done.stdout), expected)

    def test_invalid_note_is_not_sent(self) -> None:
        self.note.write_text('{"number": 1, "base": 0, "withdrawn": ["a", "a"]}')
        text = self.run_lwr("submit", str(self.note))
        as_json = self.run_lwr("check", str(self.note), "--json")
        self.assertEqual((text.exit_code, as_json.exit_code, self.sent), (2, 2, []))
        self.assertIn("withdrawn[1]: service a is named more than once", text.stderr)
        self.assertEqual(json.loads(as_json.stdout)["field"], "withdrawn[1]")

    def test_valid_note_passes_the_check(self) -> None:
        self.assertEqual(self.run_lwr("check", str(self.note)).exit_code, 0)

    def test_orders_name_target_and_action(self) -> None:
        for action in OrderAction:
            self.run_lwr(action, "10.0.0.1:80", "--wait", "0")
        orders = [SubmitOrder(TargetOrder("10.0.0.1:80", action)) for action in OrderAction]
        self.assertEqual(self.sent, orders)

    def test_zone_orders_name_zone_and_action(self) -> None:
        for command in ("evacuate", "restore-zone"):
            self.run_lwr(command, "suame", "--wait", "0")
        self.assertEqual(
            self.sent, [SubmitZoneOrder(ZoneOrder("suame", action)) for action in ZoneAction]
        )

    def test_zone_without_a_name_is_not_sent(self) -> None:
        done = self.run_lwr("evacuate", " ", "--wait", "0")
        self.assertEqual((done.exit_code, self.sent), (2, []))
