import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from tools.report import main, read_entry, read_journal, render_page


def make_day(name: str, worth: float, **changes: Any) -> dict[str, Any]:
    prices = [["machine-seconds", 10.0, 0.02], ["probes", 0.0, 0.0]]
    return {"name": name, "G": worth, "rules": {}, "fault": None, "prices": prices} | changes


def make_entry(identifier: str, at: str, *days: dict[str, Any], **changes: Any) -> dict[str, Any]:
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
        temporary_folder = tempfile.TemporaryDirectory()
        self.addCleanup(temporary_folder.cleanup)
        self.folder = Path(temporary_folder.name)

    def write(self, *entries: dict[str, Any]) -> None:
        for row in entries:
            (self.folder / f"{row['id']}.json").write_text(json.dumps(row))

    def test_entries_are_sorted_by_time(self) -> None:
        self.write(
            make_entry("b", "2026-01-02", make_day("quiet-1", 0.9)), make_entry("c", "2026-01-01")
        )
        self.assertEqual([row.identifier for row in read_journal(self.folder)], ["c", "b"])

    def test_page_shows_worth_prices_and_broken_rules(self) -> None:
        broken = make_day("trouble-1", 0.5, rules={"DRAIN": 1}, fault="ended")
        self.write(make_entry("a", "2026-01-01", make_day("quiet-1", 0.951), broken))
        text = render_page(read_journal(self.folder))
        for part in ("0.951", "machine-seconds 0.0200", "DRAIN, fault", "<svg", "1 with a broken"):
            self.assertIn(part, text)
        self.assertNotIn("probes", text)

    def test_prices_without_a_value_are_left_out(self) -> None:
        prices = [["machine-seconds", 10.0, 0.02], ["duties missed", 1.0, None]]
        self.write(make_entry("a", "2026-01-01", make_day("sweep-300", 0.0, prices=prices)))
        self.assertEqual(read_journal(self.folder)[0].days[0].prices, {"machine-seconds": 0.02})

    def test_runs_without_days_are_listed_and_their_text_is_escaped(self) -> None:
        self.write(make_entry("a", "2026-01-01", site=None, error="the run did not finish"))
        text = render_page(read_journal(self.folder))
        self.assertIn("the run did not finish", text)
        self.assertIn("first &lt;round&gt;", text)

    def test_error_names_the_file_that_is_not_an_entry(self) -> None:
        (self.folder / "x.json").write_text("{}")
        with self.assertRaisesRegex(ValueError, "x.json"):
            read_entry(self.folder / "x.json")
        result = CliRunner().invoke(main, [str(self.folder), str(self.folder / "page.html")])
        self.assertEqual(result.exit_code, 1)
        self.assertIn("x.json", result.output)
