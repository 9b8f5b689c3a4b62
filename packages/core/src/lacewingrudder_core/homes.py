"""Which entry host keeps a flow: rendezvous hashing (Thaler, Ravishankar, 1998) over buckets.

Flows fall into a fixed number of buckets by their hash, and each bucket ranks the live hosts. When
the first host of a bucket leaves, its second becomes first; when a host joins, the former first
becomes second. A home therefore always knows where a flow was kept before.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .hashing import name_hash, pair_hash
from .types import HostName, Member

BUCKET_BITS = 10
BUCKETS = 1 << BUCKET_BITS
_BUCKET_SHIFT = 64 - BUCKET_BITS


class HomeRank(NamedTuple):
    """The hosts that answer for one bucket.

    :param home: decides and keeps its flows.
    :param second: becomes home when ``home`` leaves; ``None`` if there is no other host.
    :param heir: the best host in another zone than the home's; ``None`` if there is none.
    """

    home: HostName
    second: HostName | None
    heir: HostName | None


class _Score(NamedTuple):
    score: int
    name: HostName
    zone: str


class HomeTable:
    """The ranking of live entry hosts for every bucket of flows.

    :param members: the live entry hosts; an empty table has no home for any flow.
    """

    def __init__(self, members: Iterable[Member]) -> None:
        self._members = {member.name: member for member in members}
        seeds = [(name_hash(m.name), m.name, m.zone) for m in self._members.values()]
        self._ranks = [_rank(bucket, seeds) for bucket in range(BUCKETS)] if seeds else []

    @property
    def members(self) -> frozenset[HostName]:
        """The names of the hosts in this table."""
        return frozenset(self._members)

    def without(self, name: HostName) -> HomeTable:
        """Return the ranking that follows when a host leaves."""
        return HomeTable(member for member in self._members.values() if member.name != name)

    def rank(self, digest: int) -> HomeRank:
        """Return the hosts for a flow's 64-bit hash.

        :raises IndexError: if the table is empty.
        """
        return self._ranks[digest >> _BUCKET_SHIFT]


def _rank(bucket: int, seeds: list[tuple[int, HostName, str]]) -> HomeRank:
    scores = sorted(
        (_Score(pair_hash(bucket, seed), name, zone) for seed, name, zone in seeds), reverse=True
    )
    home = scores[0]
    second = scores[1].name if len(scores) > 1 else None
    heir = next((other.name for other in scores if other.zone != home.zone), None)
    return HomeRank(home.name, second, heir)
