import unittest

from lacewingrudder_core._admission.retry_budget import RetryBudget
from lacewingrudder_core._admission.syn_guard import HALF_OPEN_TIMEOUT_SECONDS, HalfOpenFlows
from lacewingrudder_core.types import FlowKey


def key(number: int) -> FlowKey:
    return FlowKey(number, 1, 2, 3)


class HalfOpenFlowsTest(unittest.TestCase):
    def test_oldest_flow_of_the_same_kind_is_evicted(self) -> None:
        half_open = HalfOpenFlows(limit=2)
        self.assertIsNone(half_open.add("desk", "edits", key(1), 0.0))
        self.assertIsNone(half_open.add("desk", "screens", key(2), 0.1))
        self.assertIsNone(half_open.add("desk", "edits", key(3), 0.2))
        self.assertEqual(half_open.add("desk", "edits", key(4), 0.3), key(1))

    def test_established_flow_is_not_evicted(self) -> None:
        half_open = HalfOpenFlows(limit=1)
        half_open.add("desk", "edits", key(1), 0.0)
        half_open.remove("desk", "edits", key(1))
        self.assertIsNone(half_open.add("desk", "edits", key(2), 0.1))

    def test_only_flows_past_the_timeout_expire(self) -> None:
        half_open = HalfOpenFlows()
        half_open.add("desk", "edits", key(1), 0.0)
        half_open.add("desk", "edits", key(2), 1.0)
        self.assertEqual(half_open.find_timed_out(HALF_OPEN_TIMEOUT_SECONDS + 0.5), [key(1)])


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_limited_to_a_fraction_of_attempts(self) -> None:
        budget = RetryBudget(fraction=0.25, reserve=5.0)
        while budget.try_spend():
            pass
        spent = 0
        for _ in range(400):
            budget.record_attempt()
            spent += budget.try_spend()
        self.assertEqual(spent, 100)

    def test_unused_retries_accumulate_up_to_the_reserve(self) -> None:
        budget = RetryBudget(fraction=0.25, reserve=5.0)
        for _ in range(400):
            budget.record_attempt()
        self.assertEqual(sum(budget.try_spend() for _ in range(20)), 5)
