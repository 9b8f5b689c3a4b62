"""The leader's work: log replication, commits, linearizable reads and changes of the voters."""

from __future__ import annotations

from typing import NamedTuple

from .election import HEARTBEAT_INTERVAL_SECONDS
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
from .voter_changes import VoterChanges
from .voter_policy import VoterPolicy

MIN_TIMESTAMP_STEP_SECONDS = 1e-6
"""Keeps the timestamps of two messages distinct even if the clock stands still."""

VOTER_CHECK_INTERVAL_SECONDS = 0.2
"""Interval at which a leader looks for a change of the voters to make."""


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
        self._voter_changes = VoterChanges(state, self._progress, policy, self._term_start_index)
        self._broadcast(now)
        self.advance_commit_index(now)

    @property
    def is_established(self) -> bool:
        """Whether an entry of this term is committed."""
        return self._state.commit_index >= self._term_start_index

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
            is_candidate = row.replica in state.log.voters and not row.is_leaving(now)
            if is_candidate and row.match_index == state.log.last_index:
                state.send(row.replica, LeadershipTransfer(state.header(row.replica)))
                return

    def handle_leave_request(self, replica: ReplicaId, now: float) -> None:
        """Answer a replica that shuts down; a voter is removed soon after it has stopped.

        A replica that is no voter is not tracked any more: it is admitted again only if it asks to
        join again.
        """
        state = self._state
        row = self._progress.get(replica.identity)
        if row is not None:
            row.leave_requested_at = now
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
            if row.replica in self._state.log.voters and row.is_available(now)
        ]
        best = max(rows, key=lambda row: row.match_index, default=None)
        return None if best is None else best.replica

    def record_reply(self, message: AppendReply | SnapshotReply, now: float) -> None:
        """Handle a replica's answer to entries or to a part of a snapshot, and send it the next."""
        row = self._progress.get(message.header.sender.identity)
        if row is None:
            return
        row.record_contact(message.sent_at)
        if isinstance(message, AppendReply):
            self._record_append_reply(row, message, now)
        elif row.advance_to_part(message.last_index, message.next_part):
            self._replicate(row, now)
        self._remove_confirmed(now)

    def _record_append_reply(self, row: Progress, message: AppendReply, now: float) -> None:
        self._confirm_reads()
        if message.accepted:
            row.record_accepted(message.match_index)
            self.advance_commit_index(now)
        else:
            row.record_rejected(message.match_index)
        if row.next_index <= self._state.log.last_index:
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
        if not self._reads or not self.is_established:
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
        voters = self._voter_changes.find(now)
        if voters is None:
            return
        if not self._voter_changes.has_to_ask(voters):
            self._change_voters(voters, now)
        elif not self._voter_changes.is_asking(now):
            self._voter_changes.ask(voters, self._next_timestamp(now))
            self._broadcast(now)

    def _remove_confirmed(self, now: float) -> None:
        voters = self._voter_changes.pop_confirmed(now)
        if voters is not None:
            self._change_voters(voters, now)

    def _change_voters(self, voters: tuple[ReplicaId, ...], now: float) -> None:
        self._state.append(voters=voters)
        self._broadcast(now)
