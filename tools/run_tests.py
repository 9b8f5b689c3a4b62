"""Run all test folders and print a summary.

Each folder runs in a process of its own, so that test modules of two packages may share a name.
Failures of tests that ``KNOWN-RED.txt`` lists are printed, but don't make the run fail.
"""

import json
import subprocess
import sys
import unittest
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
REPORT_PREFIX = "@@report "
FOLDER_TIMEOUT_SECONDS = 1500


class FolderReport(NamedTuple):
    """Results of one test folder.

    :param run: number of tests that ran.
    :param failed: identifiers of the tests that failed, raised an error or passed unexpectedly.
    """

    run: int
    failed: list[str]


def test_folders() -> list[Path]:
    """Return the test folders: the packages', the platform's, the whole system's."""
    return [
        *sorted(ROOT.glob("packages/*/tests")),
        ROOT / "platform" / "tests",
        ROOT / "tests",
    ]


def known_failing_tests() -> set[str]:
    """Return the identifiers of tests at the start of lines of ``KNOWN-RED.txt``."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return {line.split()[0] for line in lines if line.startswith("test_")}


def run_folder_in_this_process(folder: Path) -> None:
    """Run a folder's tests in this process and print the report as the last line, as JSON."""
    sys.path[:0] = [str(ROOT), str(ROOT / "platform")]
    suite = unittest.defaultTestLoader.discover(str(folder), top_level_dir=str(folder))
    result = unittest.TextTestRunner(stream=sys.stdout, verbosity=1).run(suite)
    failed_tests = [test for test, _ in result.failures + result.errors]
    failed_tests += list(result.unexpectedSuccesses)
    failed = sorted({test.id().split(" ")[0] for test in failed_tests})
    print(REPORT_PREFIX + json.dumps({"run": result.testsRun, "failed": failed}))


def run_folder(folder: Path) -> FolderReport:
    """Run a folder's tests in a process of its own and return the report.

    A process that exits without a report counts as one failed test named after the folder.
    """
    command = [sys.executable, __file__, str(folder)]
    done = subprocess.run(
        command, cwd=ROOT, stdout=subprocess.PIPE, text=True, timeout=FOLDER_TIMEOUT_SECONDS
    )
    lines = done.stdout.splitlines()
    reports = [line for line in lines if line.startswith(REPORT_PREFIX)]
    print("\n".join(line for line in lines if not line.startswith(REPORT_PREFIX)))
    if not reports:
        return FolderReport(1, [str(folder.relative_to(ROOT))])
    document = json.loads(reports[-1].removeprefix(REPORT_PREFIX))
    return FolderReport(document["run"], document["failed"])


def main() -> int:
    """Run all test folders and return the exit code."""
    known_failures = known_failing_tests()
    reports = [run_folder(folder) for folder in test_folders() if any(folder.glob("**/test_*.py"))]
    failed = [name for report in reports for name in report.failed]
    tolerated = [name for name in failed if name in known_failures]
    unexpected = [name for name in failed if name not in known_failures]
    for name in tolerated:
        print(f"KNOWN RED {name}")
    for name in unexpected:
        print(f"FAILED {name}")
    run = sum(report.run for report in reports)
    print(f"{run - len(failed)} passed, {len(unexpected)} failed")
    return 1 if unexpected or run == 0 else 0


if __name__ == "__main__":
    if len(sys.argv) > 1:
        run_folder_in_this_process(Path(sys.argv[1]))
    else:
        sys.exit(main())
