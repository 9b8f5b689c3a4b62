"""Explanations of new flows: they change nothing and tell what the next SYN gets."""

import pickle
import random
import unittest

from checkin_fakes import EDITS, configuration, data, entry, syn, update
from lacewingrudder_core.checkins import LifeState, TargetEntry
from lacewingrudder_core.explanations import AvoidanceReason, Explanation
from lacewingrudder_core.notes import Evacuations
from lacewingrudder_core.routes import WarmupLimit
from lacewingrudder_core.tagging import (
    Decision,
    Dropped,
    DropReason,
    Forwarded,
    Reset,
    ResetReason,
    Route,
    Split,
    TagForwarder,
)

SERVICES = ("proofdesk", "sheetroom")
ROUTE = Route(EDITS, (Split("proofdesk", 3), Split("sheetroom", 2)), False, 8, 0.15)
WARMUPS = {"proofdesk": WarmupLimit(2.0, 0.0)}


def make_forwarder(*entries: TargetEntry, route: Route = ROUTE) -> TagForwarder:
    forwarder = TagForwarder("adum", 1, limits_warmup=True)
    forwarder.configure(configuration(1, route)._replace(warmups=WARMUPS))
    forwarder.apply_update(update(*entries), 0.0)
    return forwarder


def decision_of(explanation: Explanation) -> Decision:
    if explanation.forwarded is not None:
        return explanation.forwarded
    if explanation.drop_reason is not None:
        return Dropped(explanation.drop_reason)
    assert explanation.reset_reason is not None
    return Reset(explanation.reset_reason)


class ExplanationCase(unittest.TestCase):
    def explain(self, forwarder: TagForwarder, port: int, now: float) -> Explanation:
        """Explain a flow; fail if that changes the forwarder or its next decision differs."""
        before = pickle.dumps(forwarder)
        explanation = forwarder.explain(syn(port).flow, now)
        self.assertEqual(pickle.dumps(forwarder), before)
        self.assertEqual(decision_of(explanation), forwarder.decide(syn(port), now))
        if explanation.forwarded is not None:
            costs = {
                row.target.tag: (row.penalty, row.load_per_slot)
                for row in explanation.targets
                if row.is_compared
            }
            self.assertEqual(costs[explanation.forwarded.tag], min(costs.values()))
        return explanation


class ScheduleTest(ExplanationCase):
    """Flows open, wait, are repeated and end at targets that drain, warm up and fall silent."""

    # Guards against explanations that advance the round robin or the rotation of compared targets,
    # place targets whose warm-up ended, or count abandoned requests differently from a SYN.
    def test_next_syn_gets_what_was_explained(self) -> None:
        outcomes: set[str] = set()
        self.partial_count = 0
        for seed in range(60):
            self.play(random.Random(seed), outcomes)
        expected = {"Forwarded", "overload", "no_target", "warming_up", "not_ready"}
        self.assertEqual(outcomes, expected)
        self.assertGreater(self.partial_count, 0)

    def play(self, rng: random.Random, outcomes: set[str]) -> None:
        count = rng.choice((2, 6, 120))
        entries = [self.random_entry(rng, number) for number in range(1, count + 1)]
        forwarder = make_forwarder(*entries)
        now, number, revision = 0.1, 1, 0
        tags: dict[int, int] = {}
        for step in range(120):
            now += rng.random() * 0.05
            port = 40000 + rng.randrange(80)
            event = rng.random()
            if event < 0.45:
                explanation = self.explain(forwarder, port, now)
                decision = decision_of(explanation)
                outcomes.add(getattr(decision, "reason", type(decision).__name__))
                self.partial_count += any(not row.is_compared for row in explanation.targets)
                if isinstance(decision, Forwarded):
                    tags[port] = decision.tag
            elif event < 0.55:
                forwarder.decide(syn(port, 1), now)
            elif event < 0.9 and tags:
                port = rng.choice(list(tags))
                forwarder.decide(data(port, tags[port], step, rng.randrange(step + 1)), now)
            elif event < 0.97:
                changed = self.random_entry(rng, rng.randrange(1, count + 1), number + 1)
                number += 1
                forwarder.apply_update(update(changed, number=number, since=number - 1), now)
            else:
                revision += 1
                zones = tuple(zone for zone in ("adum", "suame") if rng.random() < 0.5)
                evacuations = Evacuations(revision, zones)
                forwarder.apply_update(
                    update(number=number, since=number)._replace(evacuations=evacuations), now
                )

    def random_entry(self, rng: random.Random, number: int, sequence: int = 1) -> TargetEntry:
        return entry(
            number,
            rng.choices(list(LifeState), (10, 1, 1))[0],
            zone=rng.choice(("adum", "suame")),
            service=SERVICES[number % 2],
            sequence=sequence,
            has_recent_heartbeat=rng.random() < 0.8,
        )._replace(warmup_remaining_ms=rng.choice((0, 0, 0, 500)))


class ReasonTest(ExplanationCase):
    def test_each_reason_is_named(self) -> None:
        forwarder = make_forwarder(
            entry(1, LifeState.DRAINING),
            entry(2, LifeState.GONE),
            entry(3, zone="suame"),
            entry(4)._replace(warmup_remaining_ms=2000),
            entry(5, has_recent_heartbeat=False),
            entry(6),
            entry(7),
            entry(8, service="sheetroom"),
            route=ROUTE._replace(splits=(Split("proofdesk", 1),)),
        )
        forwarder.apply_update(
            update(number=1, since=1)._replace(evacuations=Evacuations(1, ("suame",))), 0.0
        )
        ejected_tag = self.eject_one(forwarder)
        explanation = self.explain(forwarder, 50000, 1.0)
        left_out = {row.target.name: row.reason for row in explanation.left_out}
        expected = {"i-1": "draining", "i-2": "ended", "i-3": "evacuated", "i-4": "warming_up"}
        self.assertEqual(left_out, expected)
        reasons = {row.target.name: row.reasons for row in explanation.targets}
        self.assertEqual(reasons.keys(), {"i-5", "i-6", "i-7"})
        self.assertEqual(reasons["i-5"], (AvoidanceReason.MISSES_HEARTBEATS,))
        penalties = {row.target.tag: row.penalty for row in explanation.targets}
        self.assertEqual(penalties[ejected_tag], 1)
        assert explanation.forwarded is not None
        self.assertEqual(penalties[explanation.forwarded.tag], 0)
        self.assertEqual(explanation.evacuated_zones, ("suame",))

    def eject_one(self, forwarder: TagForwarder) -> int:
        """Let a target of a flow leave a request and its retransmissions unanswered."""
        placed = forwarder.decide(syn(40001), 0.0)
        assert isinstance(placed, Forwarded)
        for step in range(4):
            forwarder.decide(data(40001, placed.tag), 0.1 * step)
        return placed.tag

    def test_loads_and_costs_are_those_of_the_choice(self) -> None:
        forwarder = make_forwarder(entry(1), route=ROUTE._replace(splits=(Split("proofdesk", 1),)))
        placed = forwarder.decide(syn(40001), 0.0)
        assert isinstance(placed, Forwarded)
        forwarder.decide(data(40001, placed.tag), 0.1)
        forwarder.decide(syn(40002), 0.1)
        (row,) = self.explain(forwarder, 40003, 0.2).targets
        self.assertEqual((row.load, row.slots, row.relative_answer_time), ((1, 1, 1), 3, 1.0))
        self.assertAlmostEqual(row.load_per_slot, 1.0 + (1.0 + 3.0 + 0.15 * 2) / 3)

    def test_flows_without_a_target_have_a_reason(self) -> None:
        forwarder = TagForwarder("adum")
        self.assertFalse(self.explain(forwarder, 40001, 0.0).has_view)
        forwarder.configure(configuration(1, ROUTE)._replace(warmups={}))
        explanation = self.explain(forwarder, 40001, 0.0)
        self.assertEqual(explanation.drop_reason, DropReason.NOT_READY)
        self.assertFalse(explanation.has_view)
        forwarder.apply_update(update(), 0.0)
        self.assertTrue(self.explain(forwarder, 40001, 1.0).has_view)
        self.assertEqual(self.explain(forwarder, 40001, 3.0).reset_reason, ResetReason.NO_TARGET)
        unknown = syn(40001).flow._replace(service_port=9)
        self.assertEqual(forwarder.explain(unknown, 3.0).reset_reason, ResetReason.NO_ROUTE)


if __name__ == "__main__":
    unittest.main()
