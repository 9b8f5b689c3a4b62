"""Assigns flows to entry hosts by rendezvous hashing (Thaler, Ravishankar, 1998) over buckets.

A flow's hash selects one of a fixed number of buckets, and each bucket ranks the live hosts. When
the first host of a bucket leaves, its second becomes first; when a new first host joins, the former
first becomes second. A home therefore knows which host served a flow before.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ..hashing import name_hash, pair_hash
from ..types import HostName, Member

BUCKET_BITS = 10
BUCKETS = 1 << BUCKET_BITS
_BUCKET_SHIFT = 64 - BUCKET_BITS


class HomeRank(NamedTuple):
    """The hosts responsible for one bucket of flows.

    :param home: serves the flows of the bucket.
    :param second: becomes home when ``home`` leaves; ``None`` if there is no other host.
    :param heir: the highest-ranked host outside the home's zone; ``None`` if there is none.
    """

    home: HostName
    second: HostName | None
    heir: HostName | None


class _Score(NamedTuple):
    score: int
    name: HostName
    zone: str


class _Seed(NamedTuple):
    digest: int
    name: HostName
    zone: str


class HomeTable:
    """The ranking of live entry hosts for every bucket of flows.

    :param members: the live entry hosts; an empty table has no home for any flow.
    :param former: a table of mostly the same hosts, from which unaffected buckets are reused; it
        only saves work and does not change the result.
    """

    def __init__(self, members: Iterable[Member], former: HomeTable | None = None) -> None:
        self._members = {member.name: member for member in members}
        self._seeds = {
            m.name: _Seed(name_hash(m.name), m.name, m.zone) for m in self._members.values()
        }
        if former is not None and former._ranks and self._seeds:
            self._ranks: list[HomeRank] = self._ranks_after(former)
        else:
            seeds = list(self._seeds.values())
            self._ranks = [_rank(bucket, seeds) for bucket in range(BUCKETS)] if seeds else []

    @property
    def members(self) -> frozenset[HostName]:
        """The names of the hosts in this table."""
        return frozenset(self._members)

    def without(self, name: HostName) -> HomeTable:
        """Return the table without one host."""
        others = (member for member in self._members.values() if member.name != name)
        return HomeTable(others, self)

    def restarted_since(self, former: HomeTable) -> frozenset[HostName]:
        """Return the hosts in both tables whose incarnation differs."""
        both = self._members.keys() & former._members.keys()
        changed = (
            n for n in both if self._members[n].incarnation != former._members[n].incarnation
        )
        return frozenset(changed)

    def rank(self, digest: int) -> HomeRank:
        """Return the hosts responsible for a flow's 64-bit hash.

        :raises IndexError: if the table is empty.
        """
        return self._ranks[digest >> _BUCKET_SHIFT]

    def _ranks_after(self, former: HomeTable) -> list[HomeRank]:
        gone = {seed.name for seed in former._seeds.values() if self._seeds.get(seed.name) != seed}
        came = [seed for seed in self._seeds.values() if former._seeds.get(seed.name) != seed]
        seeds = list(self._seeds.values())
        ranks = []
        for bucket, rank in enumerate(former._ranks):
            if not gone.isdisjoint(rank) or self._changes(bucket, rank, came):
                rank = _rank(bucket, seeds)
            ranks.append(rank)
        return ranks

    def _changes(self, bucket: int, rank: HomeRank, came: list[_Seed]) -> bool:
        """Return whether hosts that joined change the ranking of a bucket."""
        if not came:
            return False
        if rank.second is None or rank.heir is None:
            return True
        lowest = min(_score(bucket, self._seeds[name]) for name in (rank.second, rank.heir))
        return any(_score(bucket, seed) > lowest for seed in came)


def _score(bucket: int, seed: _Seed) -> _Score:
    return _Score(pair_hash(bucket, seed.digest), seed.name, seed.zone)


def _rank(bucket: int, seeds: list[_Seed]) -> HomeRank:
    scores = sorted((_score(bucket, seed) for seed in seeds), reverse=True)
    home = scores[0]
    second = scores[1].name if len(scores) > 1 else None
    heir = next((other.name for other in scores if other.zone != home.zone), None)
    return HomeRank(home.name, second, heir)
