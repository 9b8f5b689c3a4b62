import unittest

from lacewingrudder_core._routing.health import (
    EJECTION_SECONDS,
    EJECTION_SECONDS_MAX,
    FAILURES_TO_EJECT,
    GOOD_SECONDS_TO_FORGET,
)
from lacewingrudder_core.routing import HealthTracker

SEVEN = [f"target-{number}" for number in range(7)]


class HealthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.health = HealthTracker()
        self.health.set_targets({"proofdesk": SEVEN, "fiches": ["only"], "pair": ["left", "right"]})

    def fail(self, target: str, now: float, times: int = FAILURES_TO_EJECT) -> None:  # type: ignore[override]
        for _ in range(times):
            self.health.syn_failed(target, now)

    def test_few_failures_or_an_answer_in_between_do_not_eject(self) -> None:
        self.fail("target-0", 1.0, FAILURES_TO_EJECT - 1)
        self.health.syn_answered("target-0", 1.0)
        self.fail("target-0", 1.0, FAILURES_TO_EJECT - 1)
        self.assertFalse(self.health.ejected("target-0", 1.0))

    def test_failures_in_a_row_eject_for_a_time_that_doubles(self) -> None:
        now, seconds = 1.0, []
        for _ in range(8):
            self.fail("target-0", now)
            self.assertTrue(self.health.ejected("target-0", now))
            start = now
            while self.health.ejected("target-0", now):
                now += 1.0
            seconds.append(now - start)
        self.assertEqual(
            seconds[:3], [EJECTION_SECONDS, 2 * EJECTION_SECONDS, 4 * EJECTION_SECONDS]
        )
        self.assertEqual(seconds[-1], EJECTION_SECONDS_MAX)

    def test_one_failure_after_the_return_ejects_again(self) -> None:
        self.fail("target-0", 1.0)
        self.fail("target-0", 2.0 + EJECTION_SECONDS, 1)
        self.assertTrue(self.health.ejected("target-0", 2.0 + EJECTION_SECONDS))

    def test_good_time_forgets_former_ejections(self) -> None:
        self.fail("target-0", 1.0)
        later = 2.0 + EJECTION_SECONDS + GOOD_SECONDS_TO_FORGET
        self.health.syn_answered("target-0", later)
        self.fail("target-0", later, FAILURES_TO_EJECT - 1)
        self.assertFalse(self.health.ejected("target-0", later))

    def test_silence_counts_as_a_failure(self) -> None:
        for _ in range(FAILURES_TO_EJECT):
            self.health.silent("target-0", 1.0)
        self.assertTrue(self.health.ejected("target-0", 1.0))

    def test_forgotten_flows_eject_no_target_that_answers_new_ones(self) -> None:
        self.health.syn_answered("target-0", 1.0)
        for _ in range(100):
            self.health.silent("target-0", 2.0)
        self.assertFalse(self.health.ejected("target-0", 2.0))

    def test_cap_holds_when_all_evidence_is_bad(self) -> None:
        for target in (*SEVEN, "only", "left", "right"):
            self.fail(target, 1.0)
        self.assertEqual(len(self.health.ejected_targets(1.0) & set(SEVEN)), 2)
        self.assertFalse(self.health.ejected("only", 1.0))
        self.assertEqual(len(self.health.ejected_targets(1.0) & {"left", "right"}), 1)

    def test_cap_follows_the_targets_that_are_left(self) -> None:
        for target in SEVEN:
            self.fail(target, 1.0)
        self.health.set_targets({"proofdesk": SEVEN[:3]})
        self.assertEqual(len(self.health.ejected_targets(1.0)), 1)
        self.health.set_targets({"proofdesk": SEVEN[:1]})
        self.assertEqual(len(self.health.ejected_targets(1.0)), 0)
