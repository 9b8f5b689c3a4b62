"""Assigns flows to entry hosts by rendezvous hashing (Thaler, Ravishankar, 1998) over buckets.

A flow's hash selects one of a fixed number of buckets, and each bucket ranks the live hosts. When
the first host of a bucket, the home, leaves, its backup becomes the home. When a new home joins,
the former home becomes the backup. A home therefore knows which host served a flow before.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ..hashing import name_hash, pair_hash
from ..types import HostName, Member

BUCKET_BITS = 10
BUCKET_COUNT = 1 << BUCKET_BITS
_BUCKET_SHIFT = 64 - BUCKET_BITS


class HomeRank(NamedTuple):
    """The hosts responsible for one bucket of flows.

    :param home: serves the flows of the bucket.
    :param backup: becomes home when ``home`` leaves; ``None`` if there is no other host.
    :param remote_backup: the highest-ranked host of another zone; ``None`` if there is none.
    """

    home: HostName
    backup: HostName | None
    remote_backup: HostName | None


class _Score(NamedTuple):
    score: int
    name: HostName
    zone: str


class _HashedHost(NamedTuple):
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
        self._hashed_hosts = {
            m.name: _HashedHost(name_hash(m.name), m.name, m.zone) for m in self._members.values()
        }
        if former is not None and former._ranks and self._hashed_hosts:
            self._ranks: list[HomeRank] = self._ranks_after(former)
        else:
            hashed_hosts = list(self._hashed_hosts.values())
            self._ranks = (
                [_rank(bucket, hashed_hosts) for bucket in range(BUCKET_COUNT)]
                if hashed_hosts
                else []
            )

    @property
    def members(self) -> frozenset[HostName]:
        """The names of the hosts in this table."""
        return frozenset(self._members)

    def without(self, name: HostName) -> HomeTable:
        """Return a new table of all hosts but one."""
        others = (member for member in self._members.values() if member.name != name)
        return HomeTable(others, self)

    def restarted_since(self, former: HomeTable) -> frozenset[HostName]:
        """Return the hosts in both tables whose incarnation differs."""
        both = self._members.keys() & former._members.keys()
        restarted = (
            n for n in both if self._members[n].incarnation != former._members[n].incarnation
        )
        return frozenset(restarted)

    def rank(self, flow_hash: int) -> HomeRank:
        """Return the hosts responsible for a flow's 64-bit hash.

        :raises IndexError: if the table is empty.
        """
        return self._ranks[flow_hash >> _BUCKET_SHIFT]

    def _ranks_after(self, former: HomeTable) -> list[HomeRank]:
        left = {
            host.name
            for host in former._hashed_hosts.values()
            if self._hashed_hosts.get(host.name) != host
        }
        joined = [
            host
            for host in self._hashed_hosts.values()
            if former._hashed_hosts.get(host.name) != host
        ]
        hashed_hosts = list(self._hashed_hosts.values())
        ranks = []
        for bucket, rank in enumerate(former._ranks):
            if not left.isdisjoint(rank) or self._is_affected(bucket, rank, joined):
                rank = _rank(bucket, hashed_hosts)
            ranks.append(rank)
        return ranks

    def _is_affected(self, bucket: int, rank: HomeRank, joined: list[_HashedHost]) -> bool:
        """Return whether hosts that joined change the ranking of a bucket."""
        if not joined:
            return False
        if rank.backup is None or rank.remote_backup is None:
            return True
        lowest = min(
            _score(bucket, self._hashed_hosts[name]) for name in (rank.backup, rank.remote_backup)
        )
        return any(_score(bucket, host) > lowest for host in joined)


def _score(bucket: int, host: _HashedHost) -> _Score:
    return _Score(pair_hash(bucket, host.digest), host.name, host.zone)


def _rank(bucket: int, hashed_hosts: list[_HashedHost]) -> HomeRank:
    scores = sorted((_score(bucket, host) for host in hashed_hosts), reverse=True)
    home = scores[0]
    backup = scores[1].name if len(scores) > 1 else None
    remote_backup = next((other.name for other in scores if other.zone != home.zone), None)
    return HomeRank(home.name, backup, remote_backup)
