"""Load while targets fall silent and cold ones replace them; each host sees a part of it."""

import unittest

from measure.replacement import run, share_in_time, share_of_new, shares_in_time
from measure.replacement_model import REPLACED_COUNT, Conditions, ModelSize

SMALL = ModelSize(9, 7, 4)
LARGE = ModelSize(70, 60, 4)
MAX_DISTANCE_FROM_LIMIT = 0.05
MAX_LOSS_BY_REPORTS = 0.01
FAILURE_SECOND = 4
LAST_SECOND = 9


class ReplacementTest(unittest.TestCase):
    """Two targets fall silent at 4 s and two cold ones start half a second later.

    The limit is a choice that knows the counts of all hosts.
    """

    def check(self, size: ModelSize, load: float, first: int, last: int) -> None:
        found = shares_in_time(run(size, load, knows_all=False))
        limit = shares_in_time(run(size, load, knows_all=True))
        for second in range(first, last + 1):
            with self.subTest(size=size, load=load, second=second):
                self.assertGreater(found[second], limit[second] - MAX_DISTANCE_FROM_LIMIT)

    def test_requests_are_answered_in_time_soon_after_few_targets_are_replaced(self) -> None:
        for load in (0.5, 0.7):
            self.check(SMALL, load, FAILURE_SECOND + 1, LAST_SECOND)

    def test_requests_are_answered_in_time_while_two_of_many_targets_are_replaced(self) -> None:
        self.check(LARGE, 0.7, FAILURE_SECOND, LAST_SECOND)

    def test_requests_are_answered_in_time_in_the_second_in_which_targets_fall_silent(self) -> None:
        for load in (0.5, 0.7):
            self.check(SMALL, load, FAILURE_SECOND, FAILURE_SECOND)

    def test_reports_cost_nothing_while_packets_are_lost_and_no_target_is_silent(self) -> None:
        for loss in (0.025, 0.1):
            shares = []
            for is_reporting in (False, True):
                models = run(SMALL, 0.8, False, Conditions(False, is_reporting, loss))
                shares.append(share_in_time(models, FAILURE_SECOND))
            with self.subTest(loss=loss, shares=shares):
                self.assertGreater(shares[1], shares[0] - MAX_LOSS_BY_REPORTS)

    def test_new_targets_get_no_more_than_their_share(self) -> None:
        models = run(SMALL, 0.7, knows_all=False)
        self.assertLess(share_of_new(models), REPLACED_COUNT / SMALL.targets)


if __name__ == "__main__":
    unittest.main()
