import asyncio
import unittest

from soak.guarantees import Guarantee, GuaranteeTracker
from soak.plan import (
    CATCH_UP_SECONDS,
    GROWN_KINDS,
    ORDER_KINDS,
    DisturbanceTracker,
    FaultKind,
    Topology,
    make_plan,
)
from soak.profiles import PROFILES
from soak.run import run_soak

DEFAULT_SEED = 7
FAULT_SECONDS = 12.0
REGRESSION_SEEDS = {
    2004: "a flow opened at a restarted target under the flow tag of its previous lifetime",
}
"""Seeds that found a fault in the past, each with its cause."""


class PlanTest(unittest.TestCase):
    def setUp(self) -> None:
        self.topology = Topology.with_entry_hosts(4)

    def test_a_seed_gives_the_same_plan_again(self) -> None:
        self.assertEqual(make_plan(3, 40, self.topology), make_plan(3, 40, self.topology))
        self.assertNotEqual(make_plan(3, 40, self.topology), make_plan(4, 40, self.topology))

    def test_faults_of_every_kind_occur_and_overlap(self) -> None:
        plans = [make_plan(seed, 60, self.topology) for seed in range(20)]
        kinds = {fault.kind for plan in plans for fault in plan}
        self.assertEqual(kinds, set(FaultKind) - GROWN_KINDS)
        for plan in plans:
            self.assertTrue(
                any(a.ends_at > b.starts_at for a, b in zip(plan, plan[1:], strict=False))
            )

    def test_a_larger_deployment_has_its_own_kinds_and_the_orders_of_operators(self) -> None:
        profile = PROFILES["grown"]
        plans = [profile.make_plan(seed, 60, profile.topology) for seed in range(20)]
        kinds = {fault.kind for plan in plans for fault in plan}
        self.assertLessEqual(GROWN_KINDS | ORDER_KINDS, kinds)
        for plan in plans:
            self.assertEqual(plan, sorted(plan, key=lambda fault: fault.starts_at))

    def test_one_zone_is_evacuated_at_a_time(self) -> None:
        for seed in range(50):
            plan = make_plan(seed, 120, self.topology)
            orders = [f for f in plan if f.kind is FaultKind.ZONE_EVACUATION]
            for earlier, later in zip(orders, orders[1:], strict=False):
                self.assertGreater(later.starts_at, earlier.ends_at)

    def test_at_most_one_disk_is_lost_at_a_time(self) -> None:
        for seed in range(50):
            wipes = [f for f in make_plan(seed, 120, self.topology) if f.kind is FaultKind.WIPE]
            for earlier, later in zip(wipes, wipes[1:], strict=False):
                self.assertGreater(later.starts_at, earlier.ends_at + CATCH_UP_SECONDS)


class DisturbanceTrackerTest(unittest.TestCase):
    def test_a_host_is_undisturbed_once_it_has_settled(self) -> None:
        tracker = DisturbanceTracker()
        tracker.record_disturbance("e1", 10.0, 2.0)
        self.assertFalse(tracker.is_undisturbed(("e1",), 15.9))
        self.assertTrue(tracker.is_undisturbed(("e1",), 16.1))
        self.assertTrue(tracker.is_undisturbed(("e2",), 11.0))

    def test_a_restart_reports_whether_a_fault_followed_the_stop(self) -> None:
        tracker = DisturbanceTracker()
        tracker.record_stop("e1", 10.0)
        self.assertFalse(tracker.is_undisturbed(("e1",), 30.0))
        self.assertTrue(tracker.record_restart("e1", 12.0, 1.0))
        tracker.record_stop("e1", 20.0)
        tracker.record_disturbance("e1", 21.0, 1.0)
        self.assertFalse(tracker.record_restart("e1", 22.0, 1.0))


class GuaranteeTrackerTest(unittest.TestCase):
    def test_report_has_a_line_per_guarantee_and_samples_of_findings(self) -> None:
        tracker = GuaranteeTracker()
        tracker.check(Guarantee.ROUTING, True, 1.0, "")
        tracker.check(Guarantee.ROUTING, False, 2.5, "flow 7")
        self.assertIn(f"{Guarantee.ROUTING}: checked 2, broken 1", tracker.report_lines())
        self.assertIn("    at 2.50 s: flow 7", tracker.report_lines())
        self.assertEqual(len(tracker.report_lines()), len(Guarantee) + 1)


class SoakTest(unittest.TestCase):
    def test_no_guarantee_is_broken_in_a_short_soak(self) -> None:
        for seed in (DEFAULT_SEED, *REGRESSION_SEEDS):
            with self.subTest(seed=seed):
                outcome = asyncio.run(run_soak(seed, FAULT_SECONDS, PROFILES["default"]))
                self.assertEqual(outcome.findings, [])
