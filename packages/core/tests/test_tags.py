"""Flow tags identify lifetimes: two lifetimes have the same one only by chance."""

import itertools
import unittest

from checkin_fakes import configuration, data, entry, syn, update
from lacewingrudder_core._checkins.types import LifeState, Lifetime
from lacewingrudder_core._checkins.views import KnownTarget
from lacewingrudder_core._tagging.tags import LifetimeTable, flow_tag, former_flow_tag
from lacewingrudder_core._tagging.target_index import TargetIndex
from lacewingrudder_core.tagging import Forwarded, Reset, ResetReason, TagForwarder

TAG_COUNT = 1 << 32
LIFETIMES = 100_000
MAX_COLLISIONS = 10
"""Random tags give 1.2 in the mean, and more than 10 in less than one of ten million cases."""


class TagTest(unittest.TestCase):
    def count_collisions(self, names: int, digits: int) -> int:
        """Return how many lifetimes share a tag, of targets that start within 50 ms."""
        start_times = range(1_790_140_875_500, 1_790_140_875_500 + LIFETIMES // names)
        tags = {
            flow_tag(Lifetime(f"i-{number:0{digits}x}", started_ms))
            for number in range(1, names + 1)
            for started_ms in start_times
        }
        self.assertTrue(all(0 < tag < TAG_COUNT for tag in tags))
        return LIFETIMES - len(tags)

    # Guards against targets with similar names that are out of use as their tags are the same.
    def test_tags_of_targets_with_short_names_that_start_together_differ(self) -> None:
        for digits in (1, 4, 6):
            with self.subTest(digits=digits):
                self.assertLessEqual(self.count_collisions(2000, digits), MAX_COLLISIONS)

    def test_tags_of_targets_with_long_names_that_start_together_differ(self) -> None:
        for digits in (8, 10, 16):
            with self.subTest(digits=digits):
                self.assertLessEqual(self.count_collisions(2000, digits), MAX_COLLISIONS)


class FormerTagTest(unittest.TestCase):
    def find(self, tags: dict[int, int], former_tags: dict[int, int], tag: int) -> int:
        """Return the own tag of what a tag names, of targets with these numbers."""
        index = TargetIndex(
            "adum",
            0,
            lambda lifetime: tags[int(lifetime.target[2:], 16)],
            lambda lifetime: former_tags[int(lifetime.target[2:], 16)],
        )
        known = (KnownTarget(entry(number), True) for number in tags)
        index.apply(((row.entry.lifetime, row) for row in known), 0.0)
        return index.own_tag(tag)

    # Guards against open flows that are dropped when their host is upgraded, or that carry a tag
    # which the hosts that are not upgraded yet do not know.
    def test_open_flow_with_the_former_tag_of_its_target_goes_on_under_it(self) -> None:
        forwarder = TagForwarder("adum")
        forwarder.configure(configuration())
        forwarder.apply_update(update(entry(1), entry(2)), 0.0)
        tag, former = flow_tag(entry(1).lifetime), former_flow_tag(entry(1).lifetime)
        self.assertNotEqual(tag, former)
        decision = forwarder.decide(data(40001, former), 0.0)
        self.assertEqual(decision, Forwarded(entry(1).endpoint, 1, former))
        self.assertEqual(forwarder.flow_tracker.load(tag).flows, 1)
        self.assertEqual(forwarder.flow_tracker.load(former).flows, 0)
        forwarder.apply_update(update(entry(1, LifeState.GONE), number=2, since=1), 1.0)
        gone = Reset(ResetReason.TARGET_GONE)
        self.assertEqual(forwarder.decide(data(40001, former), 1.0), gone)

    # Guards against a target that gets twice its share of new flows, or gets them under a tag that
    # is to go out of use.
    def test_target_is_a_candidate_under_its_tag_alone(self) -> None:
        forwarder = TagForwarder("adum")
        forwarder.configure(configuration())
        forwarder.apply_update(update(entry(1), entry(2)), 0.0)
        decisions = [forwarder.decide(syn(40000 + number), 0.0) for number in range(20)]
        placed = [row.tag for row in decisions if isinstance(row, Forwarded)]
        tags = [flow_tag(entry(number).lifetime) for number in (1, 2)]
        self.assertEqual([placed.count(tag) for tag in tags], [10, 10])

    # Guards against packets that reach a target which doesn't hold their flow.
    def test_former_tag_that_several_targets_had_names_none(self) -> None:
        self.assertEqual(self.find({1: 11, 2: 12}, {1: 5, 2: 5}, 5), 5)
        self.assertEqual(self.find({1: 11, 2: 12}, {1: 5, 2: 6}, 5), 11)

    # Guards against targets that keep an ended one's flows, or lose theirs, once it is forgotten.
    def test_former_tag_names_the_last_of_the_targets_that_had_it(self) -> None:
        lifetimes = [entry(number).lifetime for number in range(1, 4)]
        for order in itertools.permutations(lifetimes):
            former_tags = LifetimeTable(lambda _: 5)
            for lifetime in (*lifetimes, lifetimes[0]):
                former_tags.add(lifetime)
            found = []
            for lifetime in order:
                found.append(former_tags.find(5))
                former_tags.remove(lifetime)
            self.assertEqual([*found, former_tags.find(5)], [None, None, order[2], None])

    def test_former_tag_that_is_the_tag_of_another_target_names_that_one(self) -> None:
        self.assertEqual(self.find({1: 11, 2: 12}, {1: 12, 2: 6}, 12), 12)
        self.assertEqual(self.find({1: 11, 2: 12, 3: 12}, {1: 12, 2: 6, 3: 7}, 12), 12)
