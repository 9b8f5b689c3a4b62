"""Counting of votes, quorums, and the randomized timer of elections.

The rules are those of Raft (Ongaro and Ousterhout, 2014) with pre-vote and check-quorum (Ongaro's
dissertation, 2014, sections 4.2.3, 6.2 and 9.6).
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from .log import ReplicaId

HEARTBEAT_SECONDS = 0.2
ELECTION_SECONDS = 1.0
LEASE_SECONDS = 1.0


def quorum_size(voters: tuple[ReplicaId, ...]) -> int:
    """Return how many voters make a majority."""
    return len(voters) // 2 + 1


def quorum_value(values: Iterable[float], size: int) -> float:
    """Return the largest value that at least ``size`` of the values reach."""
    return sorted(values, reverse=True)[size - 1]


class Ballot:
    """The votes of one round.

    :param voters: those whose votes count.
    """

    def __init__(self, voters: tuple[ReplicaId, ...]) -> None:
        self._voters = {voter.identity for voter in voters}
        self._needed = quorum_size(voters)
        self._granted: set[str] = set()

    @property
    def won(self) -> bool:
        """Whether a majority granted its votes."""
        return len(self._granted) >= self._needed

    def grant(self, identity: str) -> None:
        """Count a vote; one of a stranger does not count."""
        if identity in self._voters:
            self._granted.add(identity)


class ElectionTimer:
    """When to start an election if no leader is heard.

    :param rng: seeded generator, so that hosts rarely start at the same time.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._due = 0.0

    def restart(self, now: float) -> None:
        """Wait a random time of one to two election timeouts."""
        self._due = now + ELECTION_SECONDS * self._rng.uniform(1.0, 2.0)

    def expired(self, now: float) -> bool:
        """Return whether the time is over."""
        return now >= self._due
