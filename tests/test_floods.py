import itertools
import unittest

from lacewingrudder_core.admission import (
    AdmissionPolicy,
    AdmitAll,
    ShareAdmission,
    SharedLimitAdmission,
)

from measure.floods import (
    FORGED_WINDOW_COUNT,
    MIN_KEPT_SHARE,
    Fault,
    Pace,
    Step,
    StepReport,
    run_forged,
    run_step,
    schedule,
)
from standins.firms import FIRMS, GANTS_LAURENTIDE, FirmShape

SEED = 1
COLD_TARGET_SEEDS = (1, 2)


def select_steps(shape: FirmShape, multiple: int, pace: Pace, fault: Fault) -> list[Step]:
    selection = (multiple, pace, fault)
    return [step for step in schedule(shape) if step[2:] == selection]


class FloodsTest(unittest.TestCase):
    def _assert_kept_share_goal(self, report: StepReport) -> None:
        self.assertEqual(report.broken_sessions, 0)
        for result in report.kind_results:
            self.assertGreaterEqual(result.share, MIN_KEPT_SHARE, result)

    def test_others_keep_their_share_in_bursts_at_five_times_capacity(self) -> None:
        for shape in FIRMS:
            for step in select_steps(shape, 5, Pace.BURSTS, Fault.NONE):
                with self.subTest(step.label):
                    self._assert_kept_share_goal(run_step(shape, step, ShareAdmission, SEED))

    def test_others_keep_their_share_at_twenty_times_capacity(self) -> None:
        step = select_steps(GANTS_LAURENTIDE, 20, Pace.STEADY, Fault.NONE)[0]
        self._assert_kept_share_goal(run_step(GANTS_LAURENTIDE, step, ShareAdmission, SEED))

    def test_others_keep_their_share_while_a_target_is_cold(self) -> None:
        for step in select_steps(GANTS_LAURENTIDE, 5, Pace.STEADY, Fault.COLD):
            with self.subTest(step.label):
                self._assert_kept_share_goal(run_step(GANTS_LAURENTIDE, step, ShareAdmission, SEED))

    def test_forged_syns_of_one_kind_do_not_affect_the_other_and_its_own_callers_recover(
        self,
    ) -> None:
        kept = run_forged(GANTS_LAURENTIDE, ShareAdmission, SEED)
        self.assertEqual(kept["stock-watch"], [1.0] * FORGED_WINDOW_COUNT)
        self.assertGreater(kept["order-lines"][-1], 0.9)

    def test_both_firms_keep_their_share_while_a_target_is_cold(self) -> None:
        for shape, seed in itertools.product(FIRMS, COLD_TARGET_SEEDS):
            for step in select_steps(shape, 5, Pace.STEADY, Fault.COLD):
                with self.subTest(step.label, seed=seed):
                    self._assert_kept_share_goal(run_step(shape, step, ShareAdmission, seed))

    def test_baselines_keep_less_than_half_of_their_share(self) -> None:
        step = select_steps(GANTS_LAURENTIDE, 5, Pace.STEADY, Fault.NONE)[0]
        baselines: list[type[AdmissionPolicy]] = [AdmitAll, SharedLimitAdmission]
        for policy in baselines:
            with self.subTest(policy.__name__):
                report = run_step(GANTS_LAURENTIDE, step, policy, SEED)
                worst = min(result.share for result in report.kind_results)
                self.assertLess(worst, 0.5)
