import unittest
from collections import Counter

from lacewingrudder_core._routing.health import FAILURES_TO_EJECT
from lacewingrudder_core._routing.maglev import table_size
from lacewingrudder_core._routing.placement import DEVIATION_BURST
from lacewingrudder_core.hashing import pair_hash
from lacewingrudder_core.routing import (
    HealthTracker,
    KindRoute,
    LoadAwarePlacement,
    LoadTracker,
    PlacementTable,
    WeightedTarget,
    build_view,
)
from lacewingrudder_core.types import TargetRecord
from target_fakes import CATALOGUE
from test_view import EDITS, MEMBERS, RECORDS

FLOW_HASHES = [pair_hash(number, 1) for number in range(3000)]


def route(records: list[TargetRecord] = RECORDS) -> KindRoute:
    return build_view(MEMBERS, CATALOGUE, records).routes[EDITS]


class PlacementTableTest(unittest.TestCase):
    def test_shares_follow_weights(self) -> None:
        table = PlacementTable(
            [WeightedTarget("a", 3.0), WeightedTarget("b", 1.0), WeightedTarget("c", 2.0)]
        )
        counts = Counter(table.choose(flow_hash) for flow_hash in FLOW_HASHES)
        for name, weight in table.entries:
            self.assertAlmostEqual(counts[name] / len(FLOW_HASHES), weight / 6, delta=0.03)

    def test_most_flows_stay_when_a_target_leaves(self) -> None:
        entries = [WeightedTarget(f"target-{number}", 3.0) for number in range(7)]
        before, after = PlacementTable(entries), PlacementTable(entries[1:])
        moved = sum(
            before.choose(flow_hash) not in ("target-0", after.choose(flow_hash))
            for flow_hash in FLOW_HASHES
        )
        self.assertLess(moved / len(FLOW_HASHES), 0.03)

    def test_empty_table_has_no_choice(self) -> None:
        self.assertIsNone(PlacementTable([WeightedTarget("a", 0.0)]).choose(1))

    def test_size_grows_with_the_targets(self) -> None:
        self.assertEqual([table_size(n) for n in (3, 40, 41, 5500)], [2039, 2039, 16381, 131071])


class LoadAwarePlacementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.health = HealthTracker()
        self.loads = LoadTracker()
        self.policy = LoadAwarePlacement("adum", self.health)
        self.route = route()
        self.names = {record.target.name for record in RECORDS}
        self.health.set_targets({"proofdesk": self.names})
        self.first = self.route.table.choose(FLOW_HASHES[0])
        assert self.first is not None

    def choose(
        self, attempt: int = 0, now: float = 1.0, flow_hash: int = FLOW_HASHES[0]
    ) -> str | None:
        return self.policy.choose(self.route, flow_hash, attempt, self.loads, now)

    def eject(self, name: str) -> None:
        for _ in range(FAILURES_TO_EJECT):
            self.health.record_syn_failed(name, 1.0)

    def test_without_load_or_failures_the_table_decides(self) -> None:
        self.assertEqual(
            [self.choose(flow_hash=flow_hash) for flow_hash in FLOW_HASHES],
            [self.route.table.choose(flow_hash) for flow_hash in FLOW_HASHES],
        )

    def test_ejected_target_gets_no_new_flow(self) -> None:
        self.eject(self.first or "")
        self.assertNotIn(
            self.first, {self.choose(flow_hash=flow_hash) for flow_hash in FLOW_HASHES}
        )

    def test_alternative_in_this_zone_is_preferred(self) -> None:
        self.policy = LoadAwarePlacement("ahodwo", self.health)
        self.eject(self.first or "")
        moved = [h for h in FLOW_HASHES if self.route.table.choose(h) == self.first]
        zones = {self.route.records[self.choose(flow_hash=h) or ""].target.zone for h in moved}
        self.assertEqual(zones, {"ahodwo"})

    def test_target_at_its_connection_limit_is_skipped(self) -> None:
        for _ in range(2000 // len(MEMBERS)):
            self.loads.record_opened(self.first or "")
        self.assertNotEqual(self.choose(), self.first)

    def test_busy_target_is_skipped_only_for_a_free_one(self) -> None:
        for _ in range(3):
            self.loads.record_busy(self.first or "")
        self.assertNotEqual(self.choose(), self.first)
        for name in self.names - {self.first}:
            self.loads.record_busy(name)
        self.assertEqual(self.choose(), self.first)

    def test_observed_load_takes_precedence_over_reported_load(self) -> None:
        self.assertEqual(self.route.records[self.first or ""].load, 0.0)
        for _ in range(3):
            self.loads.record_busy(self.first or "")
        self.assertNotEqual(self.choose(), self.first)

    def test_target_that_reports_full_load_without_busy_flows_keeps_its_flows(self) -> None:
        self.route = route([record._replace(load=1.0) for record in RECORDS])
        first = self.route.table.choose(FLOW_HASHES[0])
        self.assertEqual(self.choose(), first)

    def test_far_slower_target_is_skipped_until_its_average_decays(self) -> None:
        times = self.loads.answer_times
        for name in self.names:
            times.record_wait_start(name, 0.0)
            times.record_wait_end(name, 0.0, 0.1)
            self.loads.record_busy(name)
        self.assertEqual(self.choose(now=0.2), self.first)
        times.record_wait_start(self.first or "", 0.2)
        self.assertEqual(self.choose(now=0.3), self.first)
        self.assertNotEqual(self.choose(now=0.6), self.first)
        times.record_wait_end(self.first or "", 0.2, 1.2)
        self.assertNotEqual(self.choose(now=1.3), self.first)
        self.assertEqual(self.choose(now=9.0), self.first)

    def test_deviations_for_busy_slots_are_bounded(self) -> None:
        for _ in range(3):
            self.loads.record_busy(self.first or "")
        moved = sum(self.choose() != self.first for _ in range(1000))
        self.assertEqual(moved, DEVIATION_BURST)

    def test_flows_go_to_the_next_choice_only_if_the_first_has_far_more(self) -> None:
        other = self.route.table.choose(FLOW_HASHES[0], 1) or ""
        self.assertNotEqual(other, self.first)
        for _ in range(2):
            self.loads.record_opened(self.first or "")
        self.assertEqual(self.choose(), self.first)
        self.loads.record_opened(self.first or "")
        self.assertEqual(self.choose(), other)
        self.loads.record_opened(other)
        self.assertEqual(self.choose(), self.first)

    def test_slow_start_is_not_undone_by_deviations(self) -> None:
        other = self.route.table.choose(FLOW_HASHES[0], 1) or ""
        warming = [r._replace(weight=2) if r.target.name == other else r for r in RECORDS]
        self.route = self.route._replace(records={r.target.name: r for r in warming})
        for _ in range(3):
            self.loads.record_opened(self.first or "")
        self.loads.record_opened(other)
        self.loads.record_opened(self.first or "")
        self.assertEqual(self.choose(), self.first)

    def test_attempts_return_every_target_and_then_none(self) -> None:
        tried = [self.choose(attempt) for attempt in range(len(RECORDS) + 1)]
        self.assertEqual(set(tried[:-1]), self.names)
        self.assertIsNone(tried[-1])

    def test_flow_is_placed_though_every_target_is_ejected(self) -> None:
        for name in self.names:
            self.eject(name)
        self.assertIsNotNone(self.choose())

    def test_without_targets_there_is_no_choice(self) -> None:
        self.route = route([])
        self.assertIsNone(self.choose())
