import tempfile
import unittest
from pathlib import Path
from unittest import mock

from lacewingrudder_core.clock import MAX_CLOCK_AHEAD_MILLISECONDS, HybridTime
from lacewingrudder_daemon.recorder import MAX_BURST_EVENTS, TimelineWriter
from lacewingrudder_wire.timeline import read_file


class TimelineWriterTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "host.timeline"
        self.wall = 1_000.0

    def make(self, **changes: int) -> TimelineWriter:
        timeline = TimelineWriter("host", self.path, wall=lambda: self.wall, **changes)
        self.addCleanup(timeline.close)
        return timeline

    def test_timestamps_increase_while_the_wall_clock_jumps_back(self) -> None:
        timeline = self.make()
        timeline.record("first")
        self.wall = 10.0
        timeline.record("second")
        first, second = read_file(self.path).events
        self.assertLess(first.time, second.time)

    def test_event_comes_after_the_message_that_caused_it(self) -> None:
        timeline = self.make()
        sent = HybridTime(1_005_000, 3)
        timeline.merge_timestamp(sent)
        timeline.record("received")
        self.assertGreater(read_file(self.path).events[0].time, sent)

    def test_timestamp_far_ahead_is_ignored(self) -> None:
        timeline = self.make()
        timeline.merge_timestamp(HybridTime(1_000_000 + MAX_CLOCK_AHEAD_MILLISECONDS + 1, 0))
        self.assertEqual(timeline.next_timestamp().wall, 1_000_000)

    def test_file_is_rotated_at_its_limit(self) -> None:
        timeline = self.make(limit=2_000)
        for number in range(200):
            timeline.record("event", detail=str(number))
        sizes = [path.stat().st_size for path in self.path.parent.iterdir()]
        self.assertEqual(len(sizes), 2)
        self.assertLess(max(sizes), 2_200)
        self.assertEqual(read_file(self.path).events[-1].detail, "199")

    def test_events_are_written_again_after_a_rotation_failed(self) -> None:
        timeline = self.make(limit=2_000)
        with (
            mock.patch.object(Path, "replace", side_effect=OSError("no space left")),
            mock.patch.object(Path, "open", side_effect=OSError("no space left")),
            self.assertLogs("lacewingrudder_daemon.recorder", "WARNING"),
        ):
            for number in range(100):
                timeline.record("event", detail=str(number))
        timeline.record("last")
        self.assertEqual(read_file(self.path).events[-1].event, "last")

    def test_rate_limit_applies_to_each_event_name_alone(self) -> None:
        timeline = self.make()
        for _ in range(int(MAX_BURST_EVENTS) + 300):
            timeline.record("verdict")
        timeline.record("in_force", revision=3)
        events = read_file(self.path).events
        self.assertLess(len(events), MAX_BURST_EVENTS + 100)
        self.assertEqual(events[-1].revision, 3)

    def test_incomplete_last_line_does_not_affect_later_events(self) -> None:
        self.path.write_text('{"time": [1, 0], "process": "ho')
        self.make().record("started")
        file = read_file(self.path)
        self.assertEqual([event.event for event in file.events], ["started"])
        self.assertEqual(file.skipped, 1)
