"""What a leader does: replicates its log, commits, and changes voters one at a time."""

from __future__ import annotations

from collections.abc import Collection

from ..types import HostName
from .election import HEARTBEAT_SECONDS, LEASE_SECONDS
from .events import Propose
from .log import Voter
from .messages import AppendReply, AppendRequest, Handover, SnapshotReply, SnapshotRequest
from .progress import Progress, ProgressTable
from .reconfiguration import next_voters
from .state import ReplicaState


class Leading:
    """The leader's work in one term; it begins with an entry that carries no change.

    :param names: the control hosts of the settings.
    """

    def __init__(self, state: ReplicaState, names: Collection[HostName], now: float) -> None:
        self._state = state
        self._names = names
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
        self._state.append(event.note, event.order, token=event.token)
        self._broadcast(now)

    def admit(self, replica: Voter, now: float) -> None:
        """Let a replica that is no voter catch up."""
        if replica not in self._state.log.voters and replica.name in self._names:
            self._progress.add_learner(replica, now)

    def hand_over(self) -> None:
        """Ask a voter that has the whole log to take over, if there is one."""
        state = self._state
        for row in self._progress:
            if row.replica in state.log.voters and row.match == state.log.last_index:
                state.send(row.replica, Handover(state.header(row.replica)))
                return

    def append_answered(self, message: AppendReply, now: float) -> None:
        """Take in how far a replica has come."""
        row = self._progress.get(message.header.sender.identity)
        if row is None:
            return
        row.heard(message.sent)
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
        if index > state.commit and state.log.term_at(index) == state.term:
            state.commit_to(index)
            self._broadcast(now)

    def _broadcast(self, now: float) -> None:
        self._heartbeat_due = now + HEARTBEAT_SECONDS
        for row in self._progress:
            self._send(row, now)

    def _send(self, row: Progress, now: float) -> None:
        log = self._state.log
        if row.part is None and row.following <= log.base_index:
            row.start_snapshot(self._state.snapshot)
        header = self._state.header(row.replica)
        if row.part is not None:
            self._state.send(row.replica, SnapshotRequest(header, now, row.part))
            return
        previous = row.following - 1
        entries = log.batch(row.following)
        term = log.term_at(previous)
        assert term is not None
        request = AppendRequest(header, now, previous, term, entries, self._state.commit)
        self._state.send(row.replica, request)
        row.following += len(entries)

    def _reconfigure(self, now: float) -> None:
        state = self._state
        log = state.log
        if log.voters_index > state.commit or state.commit < self._term_start:
            return
        for row in self._progress.learners(log.voters):
            if row.match < state.commit or self._silent(row.replica, now):
                continue
            voters = next_voters(
                log.voters, self._names, row.replica, lambda voter: self._silent(voter, now)
            )
            if voters is not None:
                state.append(voters=voters)
                return

    def _silent(self, voter: Voter, now: float) -> bool:
        row = self._progress.get(voter.identity)
        return row is not None and now - row.contact > LEASE_SECONDS
