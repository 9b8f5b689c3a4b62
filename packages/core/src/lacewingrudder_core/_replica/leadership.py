"""The leader's work: log replication, commits, linearizable reads and changes of the voters."""

from __future__ import annotations

from typing import NamedTuple

from .election import HEARTBEAT_INTERVAL_SECONDS, LEASE_SECONDS
from .events import Propose, ReadConfirmed, SendToReplica
from .log import ReplicaId
from .messages import (
    AppendReply,
    AppendRequest,
    LeadershipTransfer,
    LeaveReply,
    SnapshotReply,
    SnapshotRequest,
)
from .progress import Progress, ProgressTable
from .state import ReplicaState
from .voter_policy import VoterPolicy

MIN_TIMESTAMP_STEP_SECONDS = 1e-6
"""Keeps the timestamps of two messages distinct even if the clock stands still."""

VOTER_CHECK_INTERVAL_SECONDS = 0.2
"""Interval at which a leader looks for a change of the voters to make."""

VOTER_REMOVAL_TIMEOUT_SECONDS = 3.0
"""A voter that is unresponsive for this long, three leases, may be removed without replacement."""

RECENT_CONTACT_SECONDS = 0.5
"""A voter is not removed while another has been silent for longer than this, two heartbeats and a
half. It may be the one that the others need, if that one turns out to be lost."""


class _Read(NamedTuple):
    """A read that waits until this host's leadership is confirmed.

    :param timestamp: a quorum has to answer messages sent at this time or later.
    :param log_index: the commit index when the read arrived.
    """

    token: int
    timestamp: float
    log_index: int


class Leadership:
    """The leader's work in one term, which starts with an entry that carries no change.

    :param policy: decides which replicas become voters and which are removed.
    """

    def __init__(self, state: ReplicaState, policy: VoterPolicy, now: float) -> None:
        self._state = state
        self._policy = policy
        self._last_timestamp = now
        self._reads: list[_Read] = []
        self._progress = ProgressTable(state.own_id)
        self._progress.add_voters(state.all_voters, state.log.last_index + 1, now)
        for identity in state.lost_identities:
            self._progress.record_lost_disk(identity, now)
        state.append()
        self._term_start_index = state.log.last_index
        self._next_voter_check = now + VOTER_CHECK_INTERVAL_SECONDS
        self._checked_commit_index = state.log.last_index
        self._broadcast(now)
        self.advance_commit_index(now)

    def has_lease(self, now: float) -> bool:
        """Return whether a quorum answered messages sent within the last lease (check-quorum)."""
        return self._progress.has_lease(self._state.voter_sets, now)

    def tick(self, now: float) -> None:
        """Start the next change of the voters and send heartbeats, each if it is due.

        Reads and proposals postpone heartbeats, as they reach all replicas, but no such change.
        """
        if now >= self._next_voter_check:
            self._check_voters(now)
        if now >= self._next_heartbeat:
            self._broadcast(now)

    def propose(self, event: Propose, now: float) -> None:
        """Append a proposal to the log and replicate it."""
        self._state.append(
            event.note,
            event.order,
            configuration=event.configuration,
            zone_order=event.zone_order,
            token=event.token,
        )
        self._broadcast(now)

    def start_read(self, token: int, now: float) -> None:
        """Start to confirm this host's leadership for a read, by messages sent after it arrived."""
        self._reads.append(_Read(token, self._next_timestamp(now), self._state.commit_index))
        self._broadcast(now)
        self._confirm_reads()

    def add_learner(self, replica: ReplicaId, now: float) -> None:
        """Start replicating to a learner, if the policy admits it."""
        if replica not in self._state.log.voters and self._policy.admits(replica.name):
            self._progress.add_learner(replica, now)

    def record_lost_disk(self, replica: ReplicaId, now: float) -> None:
        """Record that a voter's disk is lost; the voter is removed at the next check."""
        self._progress.record_lost_disk(replica.identity, self._next_timestamp(now))

    def transfer_leadership(self, now: float) -> None:
        """Ask a voter whose log is up to date to take over the leadership, if there is one."""
        state = self._state
        for row in self._progress:
            is_candidate = row.replica in state.log.voters and not self._is_leaving(row, now)
            if is_candidate and row.match_index == state.log.last_index:
                state.send(row.replica, LeadershipTransfer(state.header(row.replica)))
                return

    def handle_leave_request(self, replica: ReplicaId, now: float) -> None:
        """Remove a replica that shuts down from the voters, if the policy permits it.

        The replica repeats its request until it gets the answer. From then on it is not tracked
        any more if it is no voter: it is admitted again only if it asks to join again.
        """
        state = self._state
        row = self._progress.get(replica.identity)
        if row is not None:
            row.leave_requested_at = now
        if replica in state.log.voters and self._can_change_voters:
            self._check_voters(now)
        if not self._can_change_voters:
            return
        if replica not in state.log.voters:
            self._progress.remove(replica.identity)
        state.send(replica, LeaveReply(state.header(replica)))

    def hand_over(self, now: float) -> None:
        """Ask the responsive voter with the longest log to take over, without a wait for the disk.

        The request says nothing about this host's state.
        """
        successor = self._most_advanced_voter(now)
        if successor is not None:
            message = LeadershipTransfer(self._state.header(successor))
            self._state.emit_unheld(SendToReplica(successor.name, message))

    def _most_advanced_voter(self, now: float) -> ReplicaId | None:
        rows = [
            row
            for row in self._progress
            if row.replica in self._state.log.voters and not self._is_unresponsive(row.replica, now)
        ]
        best = max(rows, key=lambda row: row.match_index, default=None)
        return None if best is None else best.replica

    def record_append_reply(self, message: AppendReply, now: float) -> None:
        """Handle a replica's answer to entries, and send it the next ones."""
        row = self._progress.get(message.header.sender.identity)
        if row is None:
            return
        row.record_contact(message.sent_at)
        self._confirm_reads()
        if message.accepted:
            row.record_accepted(message.match_index)
            self.advance_commit_index(now)
        else:
            row.record_rejected(message.match_index)
        if row.next_index <= self._state.log.last_index:
            self._replicate(row, now)

    def record_snapshot_reply(self, message: SnapshotReply, now: float) -> None:
        """Record that a replica received a part of a snapshot, and send it the next one."""
        row = self._progress.get(message.header.sender.identity)
        if row is None:
            return
        row.record_contact(message.sent_at)
        if row.advance_to_part(message.last_index, message.next_part):
            self._replicate(row, now)

    def advance_commit_index(self, now: float) -> None:
        """Commit the entries that a quorum has on disk.

        Entries of earlier terms are committed only together with one of the current term, because
        a majority alone does not keep them from being replaced (section 5.4.2 of the Raft paper).
        """
        state = self._state
        index = self._progress.quorum_match(state.voter_sets, state.durable_index)
        if index > state.commit_index and state.log.term_at(index) == state.term:
            state.commit_to(index)
            self._confirm_reads()
            self._broadcast(now)

    def _broadcast(self, now: float) -> None:
        self._next_heartbeat = now + HEARTBEAT_INTERVAL_SECONDS
        for row in self._progress:
            self._replicate(row, now)

    def _next_timestamp(self, now: float) -> float:
        self._last_timestamp = max(now, self._last_timestamp + MIN_TIMESTAMP_STEP_SECONDS)
        return self._last_timestamp

    def _confirm_reads(self) -> None:
        """Answer the reads for which a quorum has confirmed this host's leadership.

        Reads wait until an entry of the current term is committed, because only then does a new
        leader know the commit index of its predecessors.
        """
        state = self._state
        if not self._reads or state.commit_index < self._term_start_index:
            return
        confirmed_since = self._progress.quorum_contact(state.voter_sets, self._last_timestamp)
        for read in self._reads:
            if read.timestamp <= confirmed_since:
                index = max(read.log_index, self._term_start_index)
                state.emit(ReadConfirmed(read.token, index))
        self._reads = [read for read in self._reads if read.timestamp > confirmed_since]

    def fail_reads(self) -> None:
        """Answer all pending reads that the leadership was not confirmed."""
        for read in self._reads:
            self._state.emit(ReadConfirmed(read.token, None))
        self._reads = []

    def _replicate(self, row: Progress, now: float) -> None:
        log = self._state.log
        if row.part is None and row.next_index <= log.base_index:
            row.start_snapshot(self._state.snapshot)
        header = self._state.header(row.replica)
        timestamp = self._next_timestamp(now)
        if row.part is not None:
            self._state.send(row.replica, SnapshotRequest(header, timestamp, row.part))
            return
        previous = row.next_index - 1
        entries = log.batch(row.next_index)
        term = log.term_at(previous)
        assert term is not None
        request = AppendRequest(
            header, timestamp, previous, term, entries, self._state.commit_index
        )
        self._state.send(row.replica, request)
        row.next_index += len(entries)

    def _check_voters(self, now: float) -> None:
        """Drop unresponsive learners, and change the voters if there is a change to make."""
        self._next_voter_check = now + VOTER_CHECK_INTERVAL_SECONDS
        self._progress.drop_unresponsive_learners(self._state.log.voters, now)
        voters = self._next_voters(now)
        self._checked_commit_index = max(self._term_start_index, self._state.commit_index)
        if voters is not None and self._is_bearable(voters, now):
            self._state.append(voters=voters)
            self._broadcast(now)

    def _next_voters(self, now: float) -> tuple[ReplicaId, ...] | None:
        """Return the voters after the next change, or ``None`` if there is none to make.

        A learner has caught up if it has all entries that were committed at the last check. It
        needn't have the newest ones, since those may come faster than its answers.
        A voter whose disk is lost leaves before any learner is admitted: with one more voter before
        that, the loss of the learner's disk could end the quorum.
        """
        log = self._state.log
        if not self._can_change_voters:
            return None
        remaining = tuple(
            voter for voter in log.voters if voter.identity not in self._state.lost_identities
        )
        if remaining != log.voters:
            return remaining
        learners = [
            row
            for row in self._progress.learners(log.voters)
            if not self._is_unresponsive(row.replica, now)
        ]
        for row in learners:
            if row.match_index < self._checked_commit_index:
                continue
            voters = self._policy.after_admission(
                log.voters, row.replica, lambda voter: self._is_unresponsive(voter, now)
            )
            if voters is not None:
                return voters
        return self._policy.after_removal(
            log.voters,
            lambda voter: self._is_unresponsive(voter, now, VOTER_REMOVAL_TIMEOUT_SECONDS),
        )

    def _is_bearable(self, voters: tuple[ReplicaId, ...], now: float) -> bool:
        """Return whether the next set of voters bears as many losses as the present one.

        This holds for any set to which a voter is added, or from which one is removed that lost its
        disk, as a learner of its name shows, too. Without another one, it has to be known of all
        that remain whether they are there: they have just answered, or are long silent.
        """
        state = self._state
        learners = {row.replica.name for row in self._progress.learners(state.log.voters)}
        removed = set(state.log.voters) - set(voters)
        if all(row.identity in state.lost_identities or row.name in learners for row in removed):
            return True
        rows = [self._progress.get(voter.identity) for voter in voters if voter != state.own_id]
        return all(
            row is not None
            and (
                row.answered_since(now - RECENT_CONTACT_SECONDS)
                or now - row.last_contact > VOTER_REMOVAL_TIMEOUT_SECONDS
            )
            for row in rows
        )

    @property
    def _can_change_voters(self) -> bool:
        """Whether the last change of the voters and an entry of this term are committed."""
        state = self._state
        return state.commit_index >= max(state.log.voters_index, self._term_start_index)

    def _is_unresponsive(
        self, replica: ReplicaId, now: float, limit: float = LEASE_SECONDS
    ) -> bool:
        """Return whether a replica has not answered for a while, or shuts down."""
        row = self._progress.get(replica.identity)
        if row is None:
            return False
        return self._is_leaving(row, now) or now - row.last_contact > limit

    @staticmethod
    def _is_leaving(row: Progress, now: float) -> bool:
        return now - row.leave_requested_at <= LEASE_SECONDS
