import json
import os
import unittest

from lacewingrudder_daemon._fleet.event_log import MAX_BURST_EVENTS, EventLog
from lacewingrudder_wire.timeline import TimelineEvent


class EventLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.log = EventLog("entry-1", self.writer)

    def lines(self) -> list[dict[str, object]]:
        os.set_blocking(self.reader, False)
        lines = os.read(self.reader, 1 << 20).decode().splitlines()
        for line in lines:
            TimelineEvent.from_line(line)
        return [json.loads(line) for line in lines]

    def test_line_holds_all_fields(self) -> None:
        self.log.record("reset", revision=3, flow="a>b", target="10.0.0.1:80", detail="no_route")
        line = self.lines()[0]
        del line["time"]
        expected = {
            "process": "entry-1",
            "event": "reset",
            "revision": 3,
            "flow": "a>b",
            "target": "10.0.0.1:80",
            "detail": "no_route",
        }
        self.assertEqual(line, expected)

    def test_events_of_one_name_are_rate_limited_and_counted(self) -> None:
        for _ in range(1000):
            self.log.record("dropped")
        self.log.record("in_force", revision=1)
        lines = self.lines()
        self.assertLess(len(lines), MAX_BURST_EVENTS + 10)
        self.assertEqual(lines[-1]["event"], "in_force")
        self.assertEqual(self.log.counts["dropped"], 1000)

    def test_full_pipe_never_blocks(self) -> None:
        for number in range(20_000):
            self.log.record(f"event_{number}", detail="x" * 100)
        self.assertEqual(self.log.counts["event_19999"], 1)
