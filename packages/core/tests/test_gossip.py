import random
import unittest

from lacewingrudder_core._gossip.gossip import (
    FANOUT,
    MAX_RECORDS_PER_PULL,
    MAX_RUMOUR_BURST,
    RUMOURS_PER_SECOND,
    SendTargets,
)
from lacewingrudder_core.gossip import TargetGossip
from lacewingrudder_core.messages import TargetUpdates
from lacewingrudder_core.types import KindPort, Target, TargetRecord, TargetState

NEIGHBOURS = tuple(f"entry-{number}" for number in range(1, 9))


def record(number: int, version: int = 1) -> TargetRecord:
    target = Target(f"10.0.0.{number}:80", "s", "adum", number, (KindPort("k", 80),), 3, 99, 1)
    return TargetRecord(target, TargetState.SERVING, version, 0.0, "entry-1")


def sent_records(sends: list[SendTargets]) -> list[TargetRecord]:
    bodies = [send.body for send in sends if isinstance(send.body, TargetUpdates)]
    return [item for body in bodies for item in body.records]


class RumourTest(unittest.TestCase):
    def setUp(self) -> None:
        self.gossip = TargetGossip(random.Random(1))

    def test_change_is_sent_once_to_a_bounded_number_of_neighbours(self) -> None:
        self.gossip.update_records([record(1)], 0.0)
        sends = self.gossip.tick(NEIGHBOURS, 0.1)
        self.assertEqual(len({send.host for send in sends}), FANOUT)
        self.assertEqual(self.gossip.tick(NEIGHBOURS, 0.2), [])

    def test_unchanged_record_is_not_sent(self) -> None:
        self.gossip.update_records([record(1)], 0.0)
        self.gossip.tick(NEIGHBOURS, 0.1)
        self.gossip.update_records([record(1)], 0.2)
        self.assertEqual(self.gossip.tick(NEIGHBOURS, 0.3), [])

    def test_many_changes_are_sent_at_a_bounded_rate(self) -> None:
        sent = 0
        for step in range(100):
            records = [record(number, version=step + 1) for number in range(200)]
            self.gossip.update_records(records, step * 0.1)
            sent += len(sent_records(self.gossip.tick(NEIGHBOURS, step * 0.1)))
        self.assertLessEqual(sent, MAX_RUMOUR_BURST + 10 * RUMOURS_PER_SECOND)


class PullTest(unittest.TestCase):
    def setUp(self) -> None:
        self.left = TargetGossip(random.Random(1))
        self.right = TargetGossip(random.Random(2))
        self.records = [record(number) for number in range(1, 1001)]
        self.left.update_records(self.records, 0.0)
        self.right.update_records(self.records, 0.0)
        for step in range(400):
            self.left.tick(NEIGHBOURS, step * 0.1)
            self.right.tick(NEIGHBOURS, step * 0.1)

    def pull(self, now: float) -> list[TargetRecord]:
        asked = self.left.compare_digest("right", self.right.digest, now)
        return [
            item
            for send in asked
            for item in sent_records(self.right.answer_pull("left", send.body.digests, now))
        ]

    def test_equal_tables_cause_no_pull(self) -> None:
        self.assertEqual(self.left.compare_digest("right", self.right.digest, 50.0), [])

    def test_only_differing_buckets_are_pulled(self) -> None:
        self.right.update_records([record(1, version=2), *self.records[1:]], 50.0)
        pulled = self.pull(60.0)
        self.assertIn(record(1, version=2), pulled)
        self.assertLess(len(pulled), 40)

    def test_size_of_one_answer_is_bounded(self) -> None:
        self.left = TargetGossip(random.Random(1))
        self.assertEqual(len(self.pull(60.0)), MAX_RECORDS_PER_PULL)

    def test_pulled_records_are_not_forwarded(self) -> None:
        self.left = TargetGossip(random.Random(1))
        asked = self.left.compare_digest("right", self.right.digest, 60.0)
        answers = self.right.answer_pull("left", asked[0].body.digests, 60.0)
        self.left.mark_pulled(answers[0].body)
        self.left.update_records(answers[0].body.records, 60.1)
        self.assertEqual(self.left.tick(NEIGHBOURS, 60.2), [])

    def test_difference_is_pulled_despite_constant_changes_of_other_records(self) -> None:
        self.right.update_records([record(1, version=2), *self.records[1:]], 50.0)
        self.assertNotEqual(self.pull(59.0), [])
        pulled: list[TargetRecord] = []
        for step in range(60):
            now = 60.0 + step * 0.1
            self.left.update_records([*self.records[:-1], record(1000, version=step + 2)], now)
            pulled += self.pull(now)
        self.assertIn(record(1, version=2), pulled)

    def test_digests_of_invalid_length_are_ignored(self) -> None:
        for digests in (b"", b"abc", b"\0" * 8, b"\0" * 100_000):
            self.assertEqual(self.right.answer_pull("left", digests, 60.0), [])
