import random
import unittest

from lacewingrudder_core._routing.homes import BUCKET_COUNT
from lacewingrudder_core.routing import HomeTable
from lacewingrudder_core.types import Endpoint, Member

ZONES = ("adum", "suame", "ahodwo")
SHIFT = 64 - BUCKET_COUNT.bit_length() + 1


def member(number: int, zone: str) -> Member:
    return Member(f"entry-{number}", zone, 1, Endpoint(number, 1), Endpoint(number, 2))


class HomeTableTest(unittest.TestCase):
    def _same(self, one: HomeTable, other: HomeTable) -> None:
        digests = [bucket << SHIFT for bucket in range(BUCKET_COUNT)]
        self.assertEqual([one.rank(d) for d in digests], [other.rank(d) for d in digests])

    def test_table_derived_from_a_former_one_equals_a_new_one(self) -> None:
        rng = random.Random(7)
        live: dict[int, Member] = {}
        table = HomeTable([])
        for _ in range(60):
            number = rng.randrange(12)
            if number in live and rng.random() < 0.6:
                del live[number]
            else:
                live[number] = member(number, rng.choice(ZONES))
            table = HomeTable(live.values(), table)
            if live:
                self._same(table, HomeTable(live.values()))

    def test_host_that_leaves_is_in_no_rank(self) -> None:
        table = HomeTable([member(number, ZONES[number % 3]) for number in range(9)])
        left = table.without("entry-4")
        self._same(left, HomeTable(member(n, ZONES[n % 3]) for n in range(9) if n != 4))
