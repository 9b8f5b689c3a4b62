"""What a leader knows of each other replica."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .election import LEASE_SECONDS, quorum_size, quorum_value
from .log import LogSnapshot, LogSnapshotPart, ReplicaId, split_snapshot

LEARNER_SECONDS = 10.0


class Progress:
    """How far one replica has come.

    :param following: index of the first entry to send.
    :param now: counts as the last contact.
    """

    def __init__(self, replica: ReplicaId, following: int, now: float) -> None:
        self.replica = replica
        self.match = 0
        self.following = following
        self.contact = now
        self._snapshot_index = 0
        self._parts: tuple[LogSnapshotPart, ...] = ()
        self._part = 0

    @property
    def part(self) -> LogSnapshotPart | None:
        """The part of a snapshot that is to be sent, or ``None``."""
        return self._parts[self._part] if self._parts else None

    def start_snapshot(self, snapshot: LogSnapshot) -> None:
        """Send a snapshot before any further entry."""
        self._snapshot_index = snapshot.last_index
        self._parts = split_snapshot(snapshot)
        self._part = 0

    def next_part(self, index: int, expected: int) -> bool:
        """Go on to the part that the replica expects; return whether there is one."""
        if not self._parts or index != self._snapshot_index or expected >= len(self._parts):
            return False
        self._part = expected
        return True

    def accepted(self, match: int) -> None:
        """Take in that the replica holds everything up to an index."""
        self.match = max(self.match, match)
        self.following = max(self.following, self.match + 1)
        if self._parts and self.match >= self._snapshot_index:
            self._parts = ()

    def refused(self, match: int) -> None:
        """Take in that the replica lacks what precedes the entries that were sent."""
        self.following = max(self.match, min(self.following - 1, match)) + 1

    def heard(self, sent: float) -> None:
        """Take in an answer to a message that left at a time."""
        self.contact = max(self.contact, sent)


class ProgressTable:
    """Progress of all replicas but the leader itself.

    :param me: the leader.
    """

    def __init__(self, me: ReplicaId) -> None:
        self._me = me
        self._replicas: dict[str, Progress] = {}

    def __iter__(self) -> Iterator[Progress]:
        return iter(list(self._replicas.values()))

    def get(self, identity: str) -> Progress | None:
        """Return a replica's progress, or ``None``."""
        return self._replicas.get(identity)

    def keep(self, voters: Iterable[ReplicaId], following: int, now: float) -> None:
        """Have a row for each voter, and none for a voter that was replaced by a namesake."""
        for voter in voters:
            if voter != self._me and voter.identity not in self._replicas:
                self._replicas[voter.identity] = Progress(voter, following, now)

    def add_learner(self, replica: ReplicaId, now: float) -> None:
        """Start a row for a replica that has to catch up; one learner a name."""
        self._replicas.setdefault(replica.identity, Progress(replica, 1, now))

    def drop_strangers(self, voters: tuple[ReplicaId, ...], now: float) -> None:
        """Forget replicas that are neither voters nor heard of lately."""
        for identity, progress in list(self._replicas.items()):
            silent = now - progress.contact > LEARNER_SECONDS
            if silent and progress.replica not in voters:
                del self._replicas[identity]

    def learners(self, voters: tuple[ReplicaId, ...]) -> list[Progress]:
        """Return the rows of those that are no voters."""
        return [row for row in self._replicas.values() if row.replica not in voters]

    def quorum_contact(self, voters: tuple[ReplicaId, ...], now: float) -> float:
        """Return since when a majority, this leader included, has answered."""
        rows = (self._replicas.get(voter.identity) for voter in voters if voter != self._me)
        contacts = [now] + [row.contact if row else float("-inf") for row in rows]
        return quorum_value(contacts, quorum_size(voters))

    def lease_holds(self, voters: tuple[ReplicaId, ...], now: float) -> bool:
        """Return whether a majority answered within the lease."""
        return now - self.quorum_contact(voters, now) <= LEASE_SECONDS

    def quorum_match(self, voters: tuple[ReplicaId, ...], durable_index: int) -> int:
        """Return the largest index that a majority holds on disk."""
        rows = (self._replicas.get(voter.identity) for voter in voters if voter != self._me)
        matches = [durable_index] + [row.match if row else 0 for row in rows]
        return int(quorum_value(matches, quorum_size(voters)))
