import json
import tempfile
from pathlib import Path

from click.testing import Result
from golden_case import GOLDEN, GoldenCase
from lacewingrudder_cli.testing import LwrRunner

SESSION = [str(path) for path in sorted((GOLDEN / "session").glob("*.timeline"))]


def run_timeline(*arguments: str) -> Result:
    return LwrRunner(lambda body: None).run("timeline", *arguments)


class TimelineTest(GoldenCase):
    def test_session_is_merged_into_one_sequence(self) -> None:
        result = run_timeline(*SESSION)
        self.assertEqual(result.exit_code, 0)
        self.assert_golden("timeline.txt", result.stdout)

    def test_truncated_line_is_skipped_and_counted(self) -> None:
        self.assertEqual(run_timeline(*SESSION).stderr, "lwr: skipped 1 invalid lines\n")

    def test_filters_select_events(self) -> None:
        flow = "192.0.2.7:40112"
        wanted = {
            ("--flow", flow): 1,
            ("--target", "10.10.0.101:9000"): 2,
            ("--revision", "2"): 4,
            ("--process", "entry-2"): 5,
            ("--event", "in_force", "--event", "accepted"): 6,
            ("--event", "in_force", "--revision", "1"): 2,
        }
        for arguments, count in wanted.items():
            with self.subTest(arguments):
                lines = run_timeline(*SESSION, *arguments).stdout.splitlines()
                self.assertEqual(len(lines), count)

    def test_json_output_is_a_valid_timeline(self) -> None:
        once = run_timeline(*SESSION, "--json").stdout
        self.assertEqual(json.loads(once.splitlines()[0])["event"], "started")
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "merged"
            path.write_text(once)
            self.assertEqual(run_timeline(str(path), "--json").stdout, once)

    def test_missing_file_is_named(self) -> None:
        result = run_timeline("no-such.timeline")
        self.assertEqual(result.exit_code, 2)
        self.assertIn("no-such.timeline: (document): No such file or directory", result.stderr)
