import asyncio
import unittest

from soak.plan import CATCH_UP_SECONDS, Calm, FaultKind, Shape, make_plan
from soak.promises import Ledger, Promise
from soak.run import run_soak

SEED = 7
FAULT_PHASE_SECONDS = 12.0
REGRESSION_SEEDS = {
    2004: "a flow opened at a just restarted target, under the flow tag of its previous lifetime",
}
"""Seeds that once broke a promise, each with the fault in the code that they revealed."""


class PlanTest(unittest.TestCase):
    def setUp(self) -> None:
        self.shape = Shape.of(4)

    def test_same_seed_gives_the_same_plan(self) -> None:
        self.assertEqual(make_plan(3, 40, self.shape), make_plan(3, 40, self.shape))
        self.assertNotEqual(make_plan(3, 40, self.shape), make_plan(4, 40, self.shape))

    def test_faults_of_every_kind_occur_and_overlap(self) -> None:
        plans = [make_plan(seed, 60, self.shape) for seed in range(20)]
        self.assertEqual({fault.kind for plan in plans for fault in plan}, set(FaultKind))
        for plan in plans:
            self.assertTrue(any(a.until > b.at for a, b in zip(plan, plan[1:], strict=False)))

    def test_at_most_one_disk_is_lost_at_a_time(self) -> None:
        for seed in range(50):
            wipes = [f for f in make_plan(seed, 120, self.shape) if f.kind is FaultKind.WIPE]
            for earlier, later in zip(wipes, wipes[1:], strict=False):
                self.assertGreater(later.at, earlier.until + CATCH_UP_SECONDS)


class CalmTest(unittest.TestCase):
    def test_host_is_calm_some_time_after_its_last_disturbance(self) -> None:
        calm = Calm()
        calm.disturb("e1", 10.0, 2.0)
        self.assertFalse(calm.is_calm(("e1",), 15.9))
        self.assertTrue(calm.is_calm(("e1",), 16.1))
        self.assertTrue(calm.is_calm(("e2",), 11.0))

    def test_stop_without_another_disturbance_counts_as_alone(self) -> None:
        calm = Calm()
        calm.stop("e1", 10.0)
        self.assertFalse(calm.is_calm(("e1",), 30.0))
        self.assertTrue(calm.started("e1", 12.0, 1.0))
        calm.stop("e1", 20.0)
        calm.disturb("e1", 21.0, 1.0)
        self.assertFalse(calm.started("e1", 22.0, 1.0))


class LedgerTest(unittest.TestCase):
    def test_one_line_per_promise_and_samples_of_findings(self) -> None:
        ledger = Ledger()
        ledger.check(Promise.ROUTED, True, 1.0, "")
        ledger.check(Promise.ROUTED, False, 2.5, "flow 7")
        self.assertIn(f"{Promise.ROUTED}: checked 2, broken 1", ledger.lines())
        self.assertIn("    at 2.50 s: flow 7", ledger.lines())
        self.assertEqual(len(ledger.lines()), len(Promise) + 1)


class SoakTest(unittest.TestCase):
    def test_no_promise_is_broken_in_a_short_soak(self) -> None:
        for seed in (SEED, *REGRESSION_SEEDS):
            with self.subTest(seed=seed):
                outcome = asyncio.run(run_soak(seed, FAULT_PHASE_SECONDS, entries=4))
                self.assertEqual(outcome.findings, [])
