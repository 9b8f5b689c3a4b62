import unittest

from lacewingrudder_core._routing.health import (
    EJECTION_RESET_SECONDS,
    FAILURES_TO_EJECT,
    INITIAL_EJECTION_SECONDS,
    MAX_EJECTION_SECONDS,
)
from lacewingrudder_core.routing import HealthTracker

SEVEN_TARGETS = [f"target-{number}" for number in range(7)]


class HealthTrackerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.health = HealthTracker()
        self.health.set_targets(
            {"proofdesk": SEVEN_TARGETS, "fiches": ["only"], "pair": ["left", "right"]}
        )

    def fail_syns(self, target: str, now: float, times: int = FAILURES_TO_EJECT) -> None:
        for _ in range(times):
            self.health.record_syn_failed(target, now)

    def test_few_failures_or_an_answer_in_between_do_not_eject(self) -> None:
        self.fail_syns("target-0", 1.0, FAILURES_TO_EJECT - 1)
        self.health.record_syn_answered("target-0", 1.0)
        self.fail_syns("target-0", 1.0, FAILURES_TO_EJECT - 1)
        self.assertFalse(self.health.is_ejected("target-0", 1.0))

    def test_failures_in_a_row_eject_for_a_time_that_doubles(self) -> None:
        now, seconds = 1.0, []
        for _ in range(8):
            self.fail_syns("target-0", now)
            self.assertTrue(self.health.is_ejected("target-0", now))
            start = now
            while self.health.is_ejected("target-0", now):
                now += 1.0
            seconds.append(now - start)
        self.assertEqual(
            seconds[:3],
            [INITIAL_EJECTION_SECONDS, 2 * INITIAL_EJECTION_SECONDS, 4 * INITIAL_EJECTION_SECONDS],
        )
        self.assertEqual(seconds[-1], MAX_EJECTION_SECONDS)

    def test_one_failure_after_the_return_ejects_again(self) -> None:
        self.fail_syns("target-0", 1.0)
        self.fail_syns("target-0", 2.0 + INITIAL_EJECTION_SECONDS, 1)
        self.assertTrue(self.health.is_ejected("target-0", 2.0 + INITIAL_EJECTION_SECONDS))

    def test_answer_long_after_the_last_ejection_clears_the_ejections(self) -> None:
        self.fail_syns("target-0", 1.0)
        later = 2.0 + INITIAL_EJECTION_SECONDS + EJECTION_RESET_SECONDS
        self.health.record_syn_answered("target-0", later)
        self.fail_syns("target-0", later, FAILURES_TO_EJECT - 1)
        self.assertFalse(self.health.is_ejected("target-0", later))

    def test_unresponsive_flow_counts_as_a_failure(self) -> None:
        for _ in range(FAILURES_TO_EJECT):
            self.health.record_unresponsive_flow("target-0", 1.0)
        self.assertTrue(self.health.is_ejected("target-0", 1.0))

    def test_unresponsive_flows_do_not_eject_a_target_that_answers_new_ones(self) -> None:
        self.health.record_syn_answered("target-0", 1.0)
        for _ in range(100):
            self.health.record_unresponsive_flow("target-0", 2.0)
        self.assertFalse(self.health.is_ejected("target-0", 2.0))

    def test_cap_holds_when_all_targets_fail(self) -> None:
        for target in (*SEVEN_TARGETS, "only", "left", "right"):
            self.fail_syns(target, 1.0)
        self.assertEqual(len(self.health.ejected_targets(1.0) & set(SEVEN_TARGETS)), 2)
        self.assertFalse(self.health.is_ejected("only", 1.0))
        self.assertEqual(len(self.health.ejected_targets(1.0) & {"left", "right"}), 1)

    def test_cap_follows_the_number_of_targets(self) -> None:
        for target in SEVEN_TARGETS:
            self.fail_syns(target, 1.0)
        self.health.set_targets({"proofdesk": SEVEN_TARGETS[:3]})
        self.assertEqual(len(self.health.ejected_targets(1.0)), 1)
        self.health.set_targets({"proofdesk": SEVEN_TARGETS[:1]})
        self.assertEqual(len(self.health.ejected_targets(1.0)), 0)
