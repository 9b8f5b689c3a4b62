"""The leader that another replica follows, and when it last heard from it."""

from __future__ import annotations

from .election import ELECTION_TIMEOUT_SECONDS
from .log import ReplicaId


class LeaderContact:
    """The last contact with a leader."""

    def __init__(self) -> None:
        self._leader: ReplicaId | None = None
        self._last_contact = float("-inf")

    def record(self, leader: ReplicaId, now: float) -> None:
        """Record a message of the leader of the current term."""
        self._leader, self._last_contact = leader, now

    def forget_leader(self) -> None:
        """Forget the leader, as a new term has begun."""
        self._leader = None

    def is_recent(self, now: float) -> bool:
        """Return whether some leader sent a message within the election timeout."""
        return now - self._last_contact < ELECTION_TIMEOUT_SECONDS

    def current_leader(self, now: float) -> ReplicaId | None:
        """Return the leader of this term if it sent a message within the election timeout."""
        return self._leader if self.is_recent(now) else None
