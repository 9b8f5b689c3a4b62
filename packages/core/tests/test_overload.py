import unittest

from lacewingrudder_core._admission.overload import (
    LEAST_SYNS_PER_SECOND,
    MOST_SYNS_PER_SECOND,
    OVERLOADED_MEASUREMENTS,
    WINDOW_SECONDS,
    fair_parts,
)
from lacewingrudder_core._flows.types import SYN, Segment
from lacewingrudder_core.admission import SynLimiter
from lacewingrudder_core.types import Endpoint

FLOOD, OTHER = Endpoint(1, 443), Endpoint(1, 8443)


def syn(kind: Endpoint) -> Segment:
    return Segment(Endpoint(9, 9), kind, SYN, 0, 0, 0)


class SynLimiterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limiter = SynLimiter()
        self.now = 0.0

    def _window(self, flood: int, other: int) -> tuple[int, int]:
        self.now += 1.01 * WINDOW_SECONDS
        flooding = sum(self.limiter.admits(syn(FLOOD), self.now) for _ in range(flood))
        others = sum(self.limiter.admits(syn(OTHER), self.now) for _ in range(other))
        return flooding, others

    def _overload(self, windows: int) -> None:
        for _ in range(windows):
            self._window(1000, 10)
            self.limiter.record_load(1.0, 0.0)

    def test_parts_are_max_min_fair(self) -> None:
        self.assertEqual(fair_parts({FLOOD: 100.0, OTHER: 3.0}, 10.0), {FLOOD: 7.0, OTHER: 3.0})

    def test_a_kind_below_its_part_is_never_refused(self) -> None:
        self._window(5000, 10)
        for _ in range(20):
            flood, other = self._window(5000, 10)
            self.assertEqual(other, 10)
            self.assertLessEqual(flood, MOST_SYNS_PER_SECOND * WINDOW_SECONDS)

    def test_a_backlog_cuts_the_bound_and_the_rest_keeps_its_part(self) -> None:
        self._overload(6)
        self.assertLess(self.limiter.limit, MOST_SYNS_PER_SECOND / 5)
        flood, other = self._window(1000, 10)
        self.assertEqual(other, 10)
        self.assertLess(flood, 200)

    def test_a_loop_that_stays_late_cuts_the_bound_as_well(self) -> None:
        for _ in range(OVERLOADED_MEASUREMENTS):
            self._window(1000, 10)
            self.limiter.record_load(0.0, 1.0)
        self.assertLess(self.limiter.limit, MOST_SYNS_PER_SECOND)

    def test_a_host_that_was_paused_once_takes_the_syns_that_queued_up(self) -> None:
        for _ in range(5):
            self._window(2, 0)
            self.limiter.record_load(0.0, 0.0)
        self.limiter.record_load(1.0, 0.6)
        self.assertEqual(self._window(30, 10), (30, 10))
        self.limiter.record_load(0.0, 0.0)
        self.assertEqual(self.limiter.limit, MOST_SYNS_PER_SECOND)

    def test_the_bound_never_falls_to_nothing_and_recovers(self) -> None:
        self._overload(100)
        self.assertEqual(self.limiter.limit, LEAST_SYNS_PER_SECOND)
        for _ in range(200):
            self.limiter.record_load(0.0, 0.0)
        self.assertEqual(self.limiter.limit, MOST_SYNS_PER_SECOND)
