import unittest

from lacewingrudder_core._admission.retry_budget import RetryBudget
from lacewingrudder_core._admission.syn_guard import HALF_OPEN_SECONDS, HalfOpenFlows
from lacewingrudder_core.types import FlowKey


def key(number: int) -> FlowKey:
    return FlowKey(number, 1, 2, 3)


class HalfOpenBookTest(unittest.TestCase):
    def test_the_oldest_of_the_same_kind_gives_way(self) -> None:
        book = HalfOpenFlows(limit=2)
        self.assertIsNone(book.add("desk", "edits", key(1), 0.0))
        self.assertIsNone(book.add("desk", "screens", key(2), 0.1))
        self.assertIsNone(book.add("desk", "edits", key(3), 0.2))
        self.assertEqual(book.add("desk", "edits", key(4), 0.3), key(1))

    def test_an_established_flow_does_not_give_way(self) -> None:
        book = HalfOpenFlows(limit=1)
        book.add("desk", "edits", key(1), 0.0)
        book.remove("desk", "edits", key(1))
        self.assertIsNone(book.add("desk", "edits", key(2), 0.1))

    def test_flows_expire_in_order(self) -> None:
        book = HalfOpenFlows()
        book.add("desk", "edits", key(1), 0.0)
        book.add("desk", "edits", key(2), 1.0)
        self.assertEqual(book.expired(HALF_OPEN_SECONDS + 0.5), [key(1)])


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_a_fraction_of_attempts(self) -> None:
        budget = RetryBudget(fraction=0.25, reserve=5.0)
        while budget.try_spend():
            pass
        spent = 0
        for _ in range(400):
            budget.record_attempt()
            spent += budget.try_spend()
        self.assertEqual(spent, 100)

    def test_a_quiet_time_saves_no_more_than_the_reserve(self) -> None:
        budget = RetryBudget(fraction=0.25, reserve=5.0)
        for _ in range(400):
            budget.record_attempt()
        self.assertEqual(sum(budget.try_spend() for _ in range(20)), 5)
