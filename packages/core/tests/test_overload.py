import unittest

from lacewingrudder_core._admission.overload import (
    MAX_SYNS_PER_SECOND,
    MIN_SYNS_PER_SECOND,
    OVERLOAD_MEASUREMENT_COUNT,
    WINDOW_SECONDS,
    max_min_fair_quotas,
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

    def _send_window(self, flood: int, other: int) -> tuple[int, int]:
        self.now += 1.01 * WINDOW_SECONDS
        flooding = sum(self.limiter.try_admit(syn(FLOOD), self.now) for _ in range(flood))
        others = sum(self.limiter.try_admit(syn(OTHER), self.now) for _ in range(other))
        return flooding, others

    def _overload(self, windows: int) -> None:
        for _ in range(windows):
            self._send_window(1000, 10)
            self.limiter.record_load(1.0, 0.0)

    def test_quotas_are_max_min_fair(self) -> None:
        self.assertEqual(
            max_min_fair_quotas({FLOOD: 100.0, OTHER: 3.0}, 10.0), {FLOOD: 7.0, OTHER: 3.0}
        )

    def test_kind_below_its_quota_is_never_refused(self) -> None:
        self._send_window(5000, 10)
        for _ in range(20):
            flood, other = self._send_window(5000, 10)
            self.assertEqual(other, 10)
            self.assertLessEqual(flood, MAX_SYNS_PER_SECOND * WINDOW_SECONDS)

    def test_backlog_reduces_the_limit_and_other_kinds_keep_their_quota(self) -> None:
        self._overload(6)
        self.assertLess(self.limiter.limit, MAX_SYNS_PER_SECOND / 5)
        flood, other = self._send_window(1000, 10)
        self.assertEqual(other, 10)
        self.assertLess(flood, 200)

    def test_persistent_loop_lag_reduces_the_limit(self) -> None:
        for _ in range(OVERLOAD_MEASUREMENT_COUNT):
            self._send_window(1000, 10)
            self.limiter.record_load(0.0, 1.0)
        self.assertLess(self.limiter.limit, MAX_SYNS_PER_SECOND)

    def test_single_pause_does_not_refuse_the_queued_syns(self) -> None:
        for _ in range(5):
            self._send_window(2, 0)
            self.limiter.record_load(0.0, 0.0)
        self.limiter.record_load(1.0, 0.6)
        self.assertEqual(self._send_window(30, 10), (30, 10))
        self.limiter.record_load(0.0, 0.0)
        self.assertEqual(self.limiter.limit, MAX_SYNS_PER_SECOND)

    def test_limit_has_a_minimum_and_recovers(self) -> None:
        self._overload(100)
        self.assertEqual(self.limiter.limit, MIN_SYNS_PER_SECOND)
        for _ in range(200):
            self.limiter.record_load(0.0, 0.0)
        self.assertEqual(self.limiter.limit, MAX_SYNS_PER_SECOND)
