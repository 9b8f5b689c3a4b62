import tempfile
import unittest
from pathlib import Path

from lacewingrudder_core.clock import MAX_CLOCK_AHEAD_MILLISECONDS, HybridTime
from lacewingrudder_daemon.recorder import EVENT_BURST, TimelineWriter
from lacewingrudder_wire.timeline import read_file


class RecorderTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "host.timeline"
        self.wall = 1_000.0

    def make(self, **changes: int) -> TimelineWriter:
        recorder = TimelineWriter("host", self.path, wall=lambda: self.wall, **changes)
        self.addCleanup(recorder.close)
        return recorder

    def test_readings_grow_while_the_wall_clock_jumps_back(self) -> None:
        recorder = self.make()
        recorder.record("first")
        self.wall = 10.0
        recorder.record("second")
        first, second = read_file(self.path).events
        self.assertLess(first.time, second.time)

    def test_event_comes_after_the_message_that_caused_it(self) -> None:
        recorder = self.make()
        sent = HybridTime(1_005_000, 3)
        recorder.observe(sent)
        recorder.record("received")
        self.assertGreater(read_file(self.path).events[0].time, sent)

    def test_clock_far_ahead_is_not_taken_over(self) -> None:
        recorder = self.make()
        recorder.observe(HybridTime(1_000_000 + MAX_CLOCK_AHEAD_MILLISECONDS + 1, 0))
        self.assertEqual(recorder.now().wall, 1_000_000)

    def test_file_does_not_grow_without_bound(self) -> None:
        recorder = self.make(limit=2_000)
        for number in range(200):
            recorder.record("event", detail=str(number))
        sizes = [path.stat().st_size for path in self.path.parent.iterdir()]
        self.assertEqual(len(sizes), 2)
        self.assertLess(max(sizes), 2_200)
        self.assertEqual(read_file(self.path).events[-1].detail, "199")

    def test_events_of_one_name_are_bounded_and_others_go_on(self) -> None:
        recorder = self.make()
        for _ in range(int(EVENT_BURST) + 300):
            recorder.record("verdict")
        recorder.record("in_force", revision=3)
        events = read_file(self.path).events
        self.assertLess(len(events), EVENT_BURST + 100)
        self.assertEqual(events[-1].revision, 3)

    def test_line_torn_by_a_crash_spoils_no_later_event(self) -> None:
        self.path.write_text('{"time": [1, 0], "process": "ho')
        self.make().record("started")
        file = read_file(self.path)
        self.assertEqual([event.event for event in file.events], ["started"])
        self.assertEqual(file.skipped, 1)
