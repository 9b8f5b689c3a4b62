"""What a leader does: replicates its log, commits, and changes voters one at a time."""

from __future__ import annotations

from typing import NamedTuple

from .election import HEARTBEAT_SECONDS, LEASE_SECONDS
from .events import Propose, ReadConfirmed
from .log import ReplicaId
from .messages import AppendReply, AppendRequest, LeadershipTransfer, SnapshotReply, SnapshotRequest
from .progress import Progress, ProgressTable
from .state import ReplicaState
from .voter_policy import VoterPolicy

STAMP_STEP_SECONDS = 1e-6
"""The least difference of two stamps; a clock that stands still must not make them equal."""

GONE_SECONDS = 3.0
"""How long a voter that nobody replaces is silent before it leaves: three leases."""


class _Read(NamedTuple):
    """A read that waits for proof that this host leads.

    :param stamp: answers to messages that left after it are the proof.
    :param log_index: the commit index when the read came.
    """

    token: int
    stamp: float
    log_index: int


class Leading:
    """The leader's work in one term; it begins with an entry that carries no change.

    :param policy: who may vote.
    """

    def __init__(self, state: ReplicaState, policy: VoterPolicy, now: float) -> None:
        self._state = state
        self._policy = policy
        self._stamp = now
        self._reads: list[_Read] = []
        self._progress = ProgressTable(state.me)
        self._progress.keep(state.log.voters, state.log.last_index + 1, now)
        state.append()
        self._term_start = state.log.last_index
        self._broadcast(now)
        self.advance(now)

    def lease_holds(self, now: float) -> bool:
        """Return whether a majority answered within the lease."""
        return self._progress.lease_holds(self._state.log.voters, now)

    def tick(self, now: float) -> None:
        """Send heartbeats when they are due, and go on with a change of voters."""
        if now >= self._heartbeat_due:
            self._progress.drop_strangers(self._state.log.voters, now)
            self._reconfigure(now)
            self._broadcast(now)

    def propose(self, event: Propose, now: float) -> None:
        """Append a note or an order."""
        self._state.append(
            event.note, event.order, configuration=event.configuration, token=event.token
        )
        self._broadcast(now)

    def read(self, token: int, now: float) -> None:
        """Prove to a reader that this host leads, by answers to messages that leave after it."""
        self._reads.append(_Read(token, self._next_stamp(now), self._state.commit_index))
        self._broadcast(now)
        self._confirm_reads()

    def admit(self, replica: ReplicaId, now: float) -> None:
        """Let a replica that is no voter catch up."""
        if replica not in self._state.log.voters and self._policy.admits(replica.name):
            self._progress.add_learner(replica, now)

    def hand_over(self) -> None:
        """Ask a voter that has the whole log to take over, if there is one."""
        state = self._state
        for row in self._progress:
            if row.replica in state.log.voters and row.match == state.log.last_index:
                state.send(row.replica, LeadershipTransfer(state.header(row.replica)))
                return

    def append_answered(self, message: AppendReply, now: float) -> None:
        """Take in how far a replica has come."""
        row = self._progress.get(message.header.sender.identity)
        if row is None:
            return
        row.heard(message.sent)
        self._confirm_reads()
        if message.accepted:
            row.accepted(message.match)
            self.advance(now)
        else:
            row.refused(message.match)
        if row.following <= self._state.log.last_index:
            self._send(row, now)

    def snapshot_answered(self, message: SnapshotReply, now: float) -> None:
        """Go on with the next part of a snapshot."""
        row = self._progress.get(message.header.sender.identity)
        if row is None:
            return
        row.heard(message.sent)
        if row.next_part(message.last_index, message.expected):
            self._send(row, now)

    def advance(self, now: float) -> None:
        """Commit what a majority holds, if an entry of this term is part of it."""
        state = self._state
        index = self._progress.quorum_match(state.log.voters, state.durable_index)
        if index > state.commit_index and state.log.term_at(index) == state.term:
            state.commit_to(index)
            self._confirm_reads()
            self._broadcast(now)

    def _broadcast(self, now: float) -> None:
        self._heartbeat_due = now + HEARTBEAT_SECONDS
        for row in self._progress:
            self._send(row, now)

    def _next_stamp(self, now: float) -> float:
        self._stamp = max(now, self._stamp + STAMP_STEP_SECONDS)
        return self._stamp

    def _confirm_reads(self) -> None:
        """Answer the reads that a majority has followed, once an entry of this term is committed.

        A new leader does not know how far its predecessors committed before that.
        """
        state = self._state
        if not self._reads or state.commit_index < self._term_start:
            return
        proved = self._progress.quorum_contact(state.log.voters, self._stamp)
        for read in self._reads:
            if read.stamp <= proved:
                index = max(read.log_index, self._term_start)
                state.emit(ReadConfirmed(read.token, index))
        self._reads = [read for read in self._reads if read.stamp > proved]

    def abandon_reads(self) -> None:
        """Tell the readers that the lead was not proved."""
        for read in self._reads:
            self._state.emit(ReadConfirmed(read.token, None))
        self._reads = []

    def _send(self, row: Progress, now: float) -> None:
        log = self._state.log
        if row.part is None and row.following <= log.base_index:
            row.start_snapshot(self._state.snapshot)
        header = self._state.header(row.replica)
        stamp = self._next_stamp(now)
        if row.part is not None:
            self._state.send(row.replica, SnapshotRequest(header, stamp, row.part))
            return
        previous = row.following - 1
        entries = log.batch(row.following)
        term = log.term_at(previous)
        assert term is not None
        request = AppendRequest(header, stamp, previous, term, entries, self._state.commit_index)
        self._state.send(row.replica, request)
        row.following += len(entries)

    def _reconfigure(self, now: float) -> None:
        state = self._state
        log = state.log
        if log.voters_index > state.commit_index or state.commit_index < self._term_start:
            return
        for row in self._progress.learners(log.voters):
            if row.match < state.commit_index or self._silent(row.replica, now):
                continue
            voters = self._policy.with_learner(
                log.voters, row.replica, lambda voter: self._silent(voter, now)
            )
            if voters is not None:
                state.append(voters=voters)
                return
        remaining = self._policy.without(
            log.voters, lambda voter: self._silent(voter, now, GONE_SECONDS)
        )
        if remaining is not None:
            state.append(voters=remaining)

    def _silent(self, voter: ReplicaId, now: float, limit: float = LEASE_SECONDS) -> bool:
        row = self._progress.get(voter.identity)
        return row is not None and now - row.contact > limit
