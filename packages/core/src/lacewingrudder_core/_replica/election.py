"""Quorums, vote counting and the randomized election timer.

The rules are those of Raft (Ongaro and Ousterhout, 2014) with pre-vote and check-quorum (Ongaro's
dissertation, 2014, sections 4.2.3, 6.2 and 9.6).
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Sequence

from .log import ReplicaId

HEARTBEAT_INTERVAL_SECONDS = 0.2
ELECTION_TIMEOUT_SECONDS = 1.0
LEASE_SECONDS = 1.0

MIN_ELECTION_RETRY_SECONDS = 0.25
MAX_ELECTION_RETRY_SECONDS = 1.0
"""Range of the delay before another election after one without a winner. A pre-vote can't disturb a
leader, so there is no need to wait for a whole election timeout again."""


def quorum_size(voters: tuple[ReplicaId, ...], lost: Collection[str] = ()) -> int:
    """Return how many voters have to agree: a majority, or half of them if a disk is lost.

    Half of an even number is enough if they agree after one of the others was known to have lost
    its disk. Two such halves without a common voter would each have agreed after a voter of the
    other half had lost its disk, though a voter that lost its disk agrees to nothing any more.

    :param lost: identities of replicas that are known to have lost their disks.
    """
    has_lost = any(voter.identity in lost for voter in voters)
    is_half_enough = has_lost and len(voters) % 2 == 0
    return len(voters) // 2 if is_half_enough else len(voters) // 2 + 1


def quorum_value(values: Iterable[float], size: int) -> float:
    """Return the largest value that at least ``size`` of the values reach or exceed."""
    return sorted(values, reverse=True)[size - 1]


class VoteCounter:
    """Counts the votes of one election or pre-vote round.

    :param voter_sets: the sets of voters of which each has to grant a quorum of its votes.
    :param lost: identities of replicas that were known to have lost their disks before the votes
        were requested.
    """

    def __init__(
        self, voter_sets: Sequence[tuple[ReplicaId, ...]], lost: Collection[str] = ()
    ) -> None:
        self._quorums = [
            ({voter.identity for voter in voters}, quorum_size(voters, lost))
            for voters in voter_sets
        ]
        self._granted_by: set[str] = set()

    @property
    def is_won(self) -> bool:
        """Whether a quorum of each set granted its vote."""
        return bool(self._quorums) and all(
            len(self._granted_by & voters) >= size for voters, size in self._quorums
        )

    def add(self, identity: str) -> None:
        """Count a granted vote; one of a replica that is not a voter has no effect."""
        self._granted_by.add(identity)


class ElectionTimer:
    """Decides when to start an election after a time without contact with a leader.

    :param rng: seeded generator; randomized timeouts keep hosts from starting at the same time.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._deadline = 0.0

    def restart(self, now: float) -> None:
        """Restart the timer with a random duration of one to two election timeouts."""
        self._deadline = now + ELECTION_TIMEOUT_SECONDS * self._rng.uniform(1.0, 2.0)

    def restart_for_retry(self, now: float) -> None:
        """Restart the timer for the case that the election that begins now has no winner."""
        self._deadline = now + self._rng.uniform(
            MIN_ELECTION_RETRY_SECONDS, MAX_ELECTION_RETRY_SECONDS
        )

    def is_expired(self, now: float) -> bool:
        """Return whether the timer has expired."""
        return now >= self._deadline
