"""Signals to a program that is still starting: it waits for its settings, a named pipe here."""

import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
PROGRAMS = {
    "lacewingrudderd": ["-m", "lacewingrudder_daemon.main", "--settings"],
    "platform": ["-m", "lacewingrudder_platform"],
}
TIMEOUT_SECONDS = 20.0
STILL_RUNNING_SECONDS = 0.3


class StartSignalsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = Path(folder.name) / "settings"
        os.mkfifo(self.settings)

    def start(self, words: list[str]) -> subprocess.Popen[bytes]:
        """Start a program; return once it waits for the content of its settings file."""
        is_option = words[-1].startswith("--")
        environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT / "platform"),
            "LACEWINGRUDDER_NODE_FILE": str(self.settings),
        }
        process = subprocess.Popen(
            [sys.executable, *words, *([str(self.settings)] if is_option else [])],
            env=environment,
            stderr=subprocess.PIPE,
        )
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        descriptor = os.open(self.settings, os.O_WRONLY)
        self.addCleanup(os.close, descriptor)
        return process

    # Guards against a process that a SIGHUP ends before its event loop handles the signal.
    def test_hangups_do_not_end_a_process_that_starts(self) -> None:
        for name, words in PROGRAMS.items():
            with self.subTest(program=name):
                process = self.start(words)
                for _ in range(2):
                    process.send_signal(signal.SIGHUP)
                    time.sleep(STILL_RUNNING_SECONDS)
                    self.assertIsNone(process.poll())
                process.send_signal(signal.SIGTERM)
                self.assertEqual(process.wait(TIMEOUT_SECONDS), 0)

    # Guards against a process that is told to stop while it starts and reports a failure.
    def test_stop_ends_a_process_that_starts_in_order(self) -> None:
        for name, words in PROGRAMS.items():
            for number in (signal.SIGTERM, signal.SIGINT):
                with self.subTest(program=name, signal=number):
                    process = self.start(words)
                    process.send_signal(number)
                    self.assertEqual(process.wait(TIMEOUT_SECONDS), 0)
                    self.assertEqual(process.stderr.read(), b"")
