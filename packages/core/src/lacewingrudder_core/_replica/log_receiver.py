"""Handling of a leader's entries and snapshots on the other replicas."""

from __future__ import annotations

from .log import LogSnapshotPart, join_snapshot
from .messages import AppendReply, AppendRequest, SnapshotReply, SnapshotRequest
from .state import ReplicaState


class LogReceiver:
    """Stores the entries and snapshots that the leader of the current term sends."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._parts: list[LogSnapshotPart] = []

    def receive(self, message: AppendRequest | SnapshotRequest) -> None:
        """Store what the leader of the current term sent, and reply."""
        if isinstance(message, AppendRequest):
            self._append_entries(message)
        else:
            self._add_snapshot_part(message)

    def reject(self, message: AppendRequest | SnapshotRequest) -> None:
        """Tell the leader of an earlier term that its term is over."""
        self._reply(message, False, 0)

    def _append_entries(self, message: AppendRequest) -> None:
        """Append entries if the log matches the leader's at the preceding index, and reply.

        On a mismatch the reply names an earlier index to retry from. It skips the whole
        conflicting term, so that the leader needs one round trip per term instead of per entry.
        """
        state = self._state
        log = state.log
        previous = message.previous_index
        if previous > log.last_index:
            self._reply(message, False, log.last_index)
        elif previous >= log.base_index and log.term_at(previous) != message.previous_term:
            self._reply(message, False, max(state.commit_index, log.first_of_term(previous) - 1))
        else:
            match = previous + len(message.entries)
            state.merge(message.entries)
            state.commit_to(min(message.commit_index, match))
            self._reply(message, True, match)

    def _add_snapshot_part(self, message: SnapshotRequest) -> None:
        """Collect a part of a snapshot, install the snapshot once it is complete, and reply."""
        part = message.part
        if part.last_index <= self._state.commit_index:
            self._reply(message, True, part.last_index)
            return
        if part.number == 0 or not self._parts or self._parts[0].last_index != part.last_index:
            self._parts = []
        if part.number == len(self._parts):
            self._parts.append(part)
        if len(self._parts) == part.total:
            self._state.install_snapshot(join_snapshot(self._parts))
            self._parts = []
            self._reply(message, True, part.last_index)
            return
        sender = message.header.sender
        expected = len(self._parts)
        header = self._state.header(sender)
        self._state.send(sender, SnapshotReply(header, message.sent_at, part.last_index, expected))

    def _reply(self, message: AppendRequest | SnapshotRequest, accepted: bool, match: int) -> None:
        sender = message.header.sender
        header = self._state.header(sender)
        self._state.send(sender, AppendReply(header, message.sent_at, accepted, match))
