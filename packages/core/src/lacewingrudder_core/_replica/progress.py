"""A leader's record of how far the log is replicated to each other replica."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence

from .election import LEASE_SECONDS, quorum_size, quorum_value
from .log import LogSnapshot, LogSnapshotPart, ReplicaId, split_snapshot

LEARNER_TIMEOUT_SECONDS = 10.0

LEAVE_TIMEOUT_SECONDS = 10.0
"""How long it is remembered that a replica shuts down."""

STOPPED_TIMEOUT_SECONDS = 0.5
"""A replica that shuts down has stopped if it is silent for longer than this, two heartbeats and a
half."""


class Progress:
    """Replication state of one replica.

    :param next_index: index of the next entry to send.
    :param now: initial value of the time of last contact.
    :ivar tracked_since: when the leader began to replicate to the replica.
    :ivar has_answered: whether it has answered since.
    :ivar leave_requested_at: when the replica last said that it shuts down.
    """

    def __init__(self, replica: ReplicaId, next_index: int, now: float) -> None:
        self.replica = replica
        self.match_index = 0
        self.next_index = next_index
        self.tracked_since = self.last_contact = now
        self.has_answered = False
        self.leave_requested_at = float("-inf")
        self._snapshot_index = 0
        self._parts: tuple[LogSnapshotPart, ...] = ()
        self._part_number = 0

    @property
    def part(self) -> LogSnapshotPart | None:
        """The snapshot part to send next, or ``None`` if no snapshot is being sent."""
        return self._parts[self._part_number] if self._parts else None

    def start_snapshot(self, snapshot: LogSnapshot) -> None:
        """Switch to sending a snapshot before any further entries."""
        self._snapshot_index = snapshot.last_index
        self._parts = split_snapshot(snapshot)
        self._part_number = 0

    def advance_to_part(self, index: int, number: int) -> bool:
        """Move on to the part that the replica expects; return whether there is one."""
        if not self._parts or index != self._snapshot_index or number >= len(self._parts):
            return False
        self._part_number = number
        return True

    def record_accepted(self, match_index: int) -> None:
        """Record that the replica's log matches the leader's up to an index."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        if self._parts and self.match_index >= self._snapshot_index:
            self._parts = ()

    def record_rejected(self, match_index: int) -> None:
        """Move ``next_index`` back, as the replica's log does not match before the sent entries."""
        self.next_index = max(self.match_index, min(self.next_index - 1, match_index)) + 1

    def answered_since(self, timestamp: float) -> bool:
        """Return whether the replica answered a message that was sent after a time."""
        return self.has_answered and self.last_contact > timestamp

    def is_silent(self, now: float, limit: float) -> bool:
        """Return whether the replica has not answered for longer than a limit."""
        return now - self.last_contact > limit

    def is_leaving(self, now: float) -> bool:
        """Return whether the replica shuts down."""
        return now - self.leave_requested_at <= LEASE_SECONDS

    def is_available(self, now: float) -> bool:
        """Return whether the replica answered within the last lease and doesn't shut down."""
        return not self.is_leaving(now) and not self.is_silent(now, LEASE_SECONDS)

    def has_left(self, now: float) -> bool:
        """Return whether the replica said that it shuts down, and has been silent for a while."""
        was_leaving = now - self.leave_requested_at <= LEAVE_TIMEOUT_SECONDS
        return was_leaving and self.is_silent(now, STOPPED_TIMEOUT_SECONDS)

    def record_contact(self, sent_at: float) -> None:
        """Record an answer; the contact counts from when its request was sent."""
        self.last_contact = max(self.last_contact, sent_at)
        self.has_answered = True


class ProgressTable:
    """Replication state of all replicas except the leader.

    :param leader: the leader.
    """

    def __init__(self, leader: ReplicaId) -> None:
        self._leader = leader
        self._replicas: dict[str, Progress] = {}
        self._lost_since: dict[str, float] = {}

    def __iter__(self) -> Iterator[Progress]:
        return iter(list(self._replicas.values()))

    def get(self, identity: str) -> Progress | None:
        """Return the progress of a replica, or ``None`` if it is not known."""
        return self._replicas.get(identity)

    def add_voters(self, voters: Iterable[ReplicaId], next_index: int, now: float) -> None:
        """Start tracking the voters that are not tracked yet."""
        for voter in voters:
            if voter != self._leader and voter.identity not in self._replicas:
                self._replicas[voter.identity] = Progress(voter, next_index, now)

    def add_learner(self, replica: ReplicaId, now: float) -> None:
        """Start tracking a replica that has to catch up from the start of the log."""
        self._replicas.setdefault(replica.identity, Progress(replica, 1, now))

    def remove(self, identity: str) -> None:
        """Stop tracking a replica, if it is tracked."""
        self._replicas.pop(identity, None)

    def drop_unresponsive_learners(self, voters: tuple[ReplicaId, ...], now: float) -> None:
        """Stop tracking the non-voters without contact for :data:`LEARNER_TIMEOUT_SECONDS`."""
        for identity, progress in list(self._replicas.items()):
            is_silent = progress.is_silent(now, LEARNER_TIMEOUT_SECONDS)
            if is_silent and progress.replica not in voters:
                del self._replicas[identity]

    def learners(self, voters: tuple[ReplicaId, ...]) -> list[Progress]:
        """Return the progress of the replicas that are not voters."""
        return [row for row in self._replicas.values() if row.replica not in voters]

    def record_lost_disk(self, identity: str, timestamp: float) -> None:
        """Record that a replica lost its disk.

        :param timestamp: messages sent after it are answered after the loss.
        """
        self._lost_since.setdefault(identity, timestamp)

    def quorum_contact(self, voter_sets: Sequence[tuple[ReplicaId, ...]], now: float) -> float:
        """Return the latest time at or after which quorums had contact with this leader.

        A leader counts itself only where it is a voter.
        """
        return min(
            self._agreed_value(
                voters, lambda row: row.last_contact if row else float("-inf"), own_value=now
            )
            for voters in voter_sets
        )

    def has_lease(self, voter_sets: Sequence[tuple[ReplicaId, ...]], now: float) -> bool:
        """Return whether quorums answered messages that were sent within the last lease."""
        return now - self.quorum_contact(voter_sets, now) <= LEASE_SECONDS

    def quorum_match(self, voter_sets: Sequence[tuple[ReplicaId, ...]], durable_index: int) -> int:
        """Return the largest index that quorums have on disk.

        :param durable_index: the index up to which the leader's own log is on disk.
        """
        return min(
            int(
                self._agreed_value(
                    voters, lambda row: row.match_index if row else 0, own_value=durable_index
                )
            )
            for voters in voter_sets
        )

    def _agreed_value(
        self,
        voters: tuple[ReplicaId, ...],
        get_value: Callable[[Progress | None], float],
        own_value: float,
    ) -> float:
        """Return the largest value that a quorum of the voters reaches or exceeds.

        :param get_value: returns the value of a replica, ``None`` for one that is not tracked.
        """
        rows = [self._replicas.get(voter.identity) for voter in voters if voter != self._leader]
        own_values = [own_value] if self._leader in voters else []
        values = own_values + [get_value(row) for row in rows]
        agreed = quorum_value(values, quorum_size(voters))
        lost = [voter.identity for voter in voters if voter.identity in self._lost_since]
        if not lost:
            return agreed
        lost_since = min(self._lost_since[identity] for identity in lost)
        recent_rows = [row for row in rows if row is not None and row.answered_since(lost_since)]
        recent_values = own_values + [get_value(row) for row in recent_rows]
        size = quorum_size(voters, lost)
        if len(recent_values) < size:
            return agreed
        return max(agreed, quorum_value(recent_values, size))
