"""Flow tags identify lifetimes: two lifetimes have the same one only by chance."""

import unittest

from lacewingrudder_core._checkins.types import Lifetime
from lacewingrudder_core._tagging.tags import flow_tag

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
