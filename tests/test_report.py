import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from tools.report import main, page, read_entry, read_journal


def day(name: str, worth: float, **changes: Any) -> dict[str, Any]:
    prices = [["machine-seconds", 10.0, 0.02], ["probes", 0.0, 0.0]]
    return {"name": name, "G": worth, "rules": {}, "fault": None, "prices": prices} | changes


def entry(identifier: str, at: str, *days: dict[str, Any], **changes: Any) -> dict[str, Any]:
    return {
        "id": identifier,
        "at": [at, ""],
        "cmd": "score",
        "site": "site-a",
        "why": "first <round>",
        "error": None,
        "days": list(days),
    } | changes


class ReportTest(unittest.TestCase):
    def setUp(self) -> None:
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.folder = Path(made.name)

    def write(self, *entries: dict[str, Any]) -> None:
        for row in entries:
            (self.folder / f"{row['id']}.json").write_text(json.dumps(row))

    def test_entries_come_by_their_time(self) -> None:
        self.write(entry("b", "2026-01-02", day("quiet-1", 0.9)), entry("c", "2026-01-01"))
        self.assertEqual([row.identifier for row in read_journal(self.folder)], ["c", "b"])

    def test_page_shows_worth_prices_and_broken_rules(self) -> None:
        broken = day("trouble-1", 0.5, rules={"DRAIN": 1}, fault="ended")
        self.write(entry("a", "2026-01-01", day("quiet-1", 0.951), broken))
        text = page(read_journal(self.folder))
        for part in ("0.951", "machine-seconds 0.0200", "DRAIN, fault", "<svg", "1 with a broken"):
            self.assertIn(part, text)
        self.assertNotIn("probes", text)

    def test_day_that_was_given_up_has_prices_without_a_value(self) -> None:
        prices = [["machine-seconds", 10.0, 0.02], ["duties missed", 1.0, None]]
        self.write(entry("a", "2026-01-01", day("sweep-300", 0.0, prices=prices)))
        self.assertEqual(read_journal(self.folder)[0].days[0].prices, {"machine-seconds": 0.02})

    def test_runs_without_an_outcome_are_shown_and_escaped(self) -> None:
        self.write(entry("a", "2026-01-01", site=None, error="the run did not finish"))
        text = page(read_journal(self.folder))
        self.assertIn("the run did not finish", text)
        self.assertIn("first &lt;round&gt;", text)

    def test_file_that_is_no_entry_is_named(self) -> None:
        (self.folder / "x.json").write_text("{}")
        with self.assertRaisesRegex(ValueError, "x.json"):
            read_entry(self.folder / "x.json")
        result = CliRunner().invoke(main, [str(self.folder), str(self.folder / "page.html")])
        self.assertEqual(result.exit_code, 1)
        self.assertIn("x.json", result.output)
