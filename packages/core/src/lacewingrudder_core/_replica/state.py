"""The state of a replica, and the order in which its effects are released.

Messages and applied changes are held back until every write issued before them is durable, so that
no other process sees state that a crash could undo. Other effects, such as the refusal of a
proposal, reveal no such state and are released at once, even while disk writes fail.
"""

from __future__ import annotations

import collections

from .._notes.catalogue import Catalogue, Note, Outcome, SubmitReply, SubmitTag
from .._notes.configurations import StoredConfiguration
from ..types import TargetOrder
from .durable import DurableState, Write, entries_after
from .events import Answered, Applied, Installed, Persist, ReplicaEffect, SendToReplica
from .log import LogEntry, LogSnapshot, ReplicaId, ReplicaLog
from .messages import Header, MemberMessage

COMPACT_AFTER_ENTRIES = 256
ENTRIES_KEPT = 64


class ReplicaState:
    """Term, vote, log and catalogue, together with the writes and effects that are pending.

    :param me: this host and the identity of its disk.
    :param durable: the state recovered from disk.
    """

    def __init__(self, me: ReplicaId, durable: DurableState) -> None:
        self._me = me
        self._cluster = durable.cluster
        self._term = durable.term
        self._vote = durable.voted_for
        self._log = ReplicaLog(durable.snapshot, durable.entries)
        self._snapshot = durable.snapshot
        self._catalogue = durable.snapshot.catalogue
        self._commit = durable.snapshot.last_index
        self._tokens: dict[int, int] = {}
        self._issued = 0
        self._durable = 0
        self._durable_index = durable.last_index
        self._writes: collections.deque[tuple[int, int]] = collections.deque()
        self._held: collections.deque[tuple[int, ReplicaEffect]] = collections.deque()
        self._out: list[ReplicaEffect] = []
        self._dirty = False
        self._changed_from: int | None = None
        self._installed: LogSnapshot | None = None
        self._apply_up_to(durable.commit_index)
        self._out.clear()

    @property
    def me(self) -> ReplicaId:
        """This host and the identity of its disk."""
        return self._me

    @property
    def cluster(self) -> str:
        """Identifier of this host's cluster; empty before it joined one."""
        return self._cluster

    @property
    def term(self) -> int:
        """The current term."""
        return self._term

    @property
    def vote(self) -> str:
        """Identity that got this host's vote in the current term, or empty."""
        return self._vote

    @property
    def log(self) -> ReplicaLog:
        """The log; callers change it only through the methods of this class."""
        return self._log

    @property
    def snapshot(self) -> LogSnapshot:
        """The latest snapshot."""
        return self._snapshot

    @property
    def catalogue(self) -> Catalogue:
        """The catalogue after all entries up to the commit index."""
        return self._catalogue

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed; all entries up to it are applied."""
        return self._commit

    @property
    def durable_index(self) -> int:
        """Index up to which the log is durable on this host."""
        return self._durable_index

    @property
    def is_voter(self) -> bool:
        """Whether this host is one of the latest voters."""
        return self._me in self._log.voters

    @property
    def waiting(self) -> int:
        """Number of proposals made here that are not committed yet."""
        return len(self._tokens)

    @property
    def has_writes(self) -> bool:
        """Whether some issued writes are not durable yet."""
        return self._durable < self._issued

    def emit(self, effect: ReplicaEffect) -> None:
        """Queue an effect; messages and changes wait until all writes so far are durable."""
        self._out.append(effect)

    def send(self, receiver: ReplicaId, message: MemberMessage) -> None:
        """Queue a message to a member of the cluster."""
        self.emit(SendToReplica(receiver.name, message))

    def header(self, receiver: ReplicaId) -> Header:
        """Return the header of a message to a member."""
        return Header(self._cluster, self._me, receiver.identity, self._term)

    def join(self, cluster: str) -> None:
        """Record that this host belongs to a cluster."""
        self._cluster = cluster
        self._dirty = True

    def enter_term(self, term: int, vote: str = "") -> None:
        """Enter a later term, or record this host's vote in the current one."""
        self._term, self._vote = term, vote
        self._dirty = True

    def append(
        self,
        note: Note | None = None,
        order: TargetOrder | None = None,
        voters: tuple[ReplicaId, ...] = (),
        configuration: StoredConfiguration | None = None,
        token: int | None = None,
    ) -> None:
        """Append an entry of the current term.

        :param token: token of the proposal that asked for it, or ``None``.
        """
        index = self._log.last_index + 1
        entry = LogEntry(index, self._term, note, order, voters, configuration)
        self._log.append(entry)
        self._changed(entry.log_index)
        if token is not None:
            self._tokens[entry.log_index] = token

    def merge(self, entries: tuple[LogEntry, ...]) -> None:
        """Add a leader's entries to the log, replacing a suffix that conflicts with them."""
        changed = self._log.merge(entries)
        if changed is None:
            return
        assert changed > self._commit, "a committed entry can't change"
        self._durable_index = min(self._durable_index, changed - 1)
        self._writes = collections.deque((n, min(i, changed - 1)) for n, i in self._writes)
        self._changed(changed)

    def install(self, snapshot: LogSnapshot) -> None:
        """Replace the state by a leader's snapshot, unless it is older than the commit index."""
        if snapshot.last_index <= self._commit:
            return
        known = DurableState("", snapshot=self._log_base(), entries=self._log.slice(self._first))
        self._log = ReplicaLog(snapshot, entries_after(known, snapshot))
        self._snapshot = self._installed = snapshot
        if snapshot.catalogue.revision > self._catalogue.revision:
            self.emit(Installed(snapshot.catalogue))
        self._catalogue = snapshot.catalogue
        self._commit = snapshot.last_index
        self._durable_index = min(self._durable_index, snapshot.last_index)
        self._writes = collections.deque((n, min(i, snapshot.last_index)) for n, i in self._writes)
        self._dirty = True

    def commit_to(self, index: int) -> None:
        """Apply the entries up to an index that is known to be committed."""
        if index > self._commit:
            self._apply_up_to(index)
            self._dirty = True

    def abandon(self, detail: str) -> None:
        """End all waiting proposals with an unknown outcome."""
        for token in self._tokens.values():
            reply = SubmitReply(SubmitTag.UNKNOWN, self._catalogue.revision, detail)
            self.emit(Answered(token, reply))
        self._tokens.clear()

    def persisted(self, number: int) -> None:
        """Record that the writes up to a number are durable."""
        self._durable = max(self._durable, number)
        while self._writes and self._writes[0][0] <= number:
            self._durable_index = self._writes.popleft()[1]

    def drop_sends(self) -> None:
        """Discard all messages that are queued or held back."""
        self._out = [effect for effect in self._out if not isinstance(effect, SendToReplica)]
        self._held = collections.deque(
            (number, effect)
            for number, effect in self._held
            if not isinstance(effect, SendToReplica)
        )

    def finish(self) -> list[ReplicaEffect]:
        """Return the effects that are ready once an event was handled, a write first."""
        done: list[ReplicaEffect] = []
        if self._dirty:
            done.append(Persist(self._next_write()))
        for effect in self._out:
            if isinstance(effect, SendToReplica | Applied | Installed):
                self._held.append((self._issued, effect))
            else:
                done.append(effect)
        self._out = []
        while self._held and self._held[0][0] <= self._durable:
            done.append(self._held.popleft()[1])
        return done

    @property
    def _first(self) -> int:
        return self._log.base_index + 1

    def _log_base(self) -> LogSnapshot:
        term = self._log.term_at(self._log.base_index)
        return LogSnapshot(self._log.base_index, term or 0, (), Catalogue())

    def _changed(self, index: int) -> None:
        self._dirty = True
        before = self._changed_from
        self._changed_from = index if before is None else min(before, index)

    def _next_write(self) -> Write:
        changed, installed = self._changed_from, self._installed
        entries = () if changed is None else self._log.slice(changed)
        self._dirty, self._changed_from, self._installed = False, None, None
        self._issued += 1
        self._writes.append((self._issued, self._log.last_index))
        return Write(
            self._issued,
            self._cluster,
            self._term,
            self._vote,
            self._commit,
            entries,
            installed or self._compact(),
        )

    def _compact(self) -> LogSnapshot | None:
        log, commit = self._log, self._commit
        if commit - self._snapshot.last_index < COMPACT_AFTER_ENTRIES or log.voters_index > commit:
            return None
        term = log.term_at(commit)
        assert term is not None
        self._snapshot = LogSnapshot(commit, term, log.voters, self._catalogue)
        log.compact(max(log.base_index, commit - ENTRIES_KEPT), log.voters)
        return self._snapshot

    def _apply_up_to(self, index: int) -> None:
        for entry in self._log.slice(self._commit + 1, index):
            self._commit = entry.log_index
            outcome = self._outcome(entry)
            if outcome is not None:
                self._catalogue = outcome.catalogue
                self.emit(Applied(self._tokens.pop(entry.log_index, None), outcome))

    def _outcome(self, entry: LogEntry) -> Outcome | None:
        if entry.note is not None:
            return self._catalogue.submit_note(entry.note)
        if entry.order is not None:
            return self._catalogue.submit_order(entry.order)
        if entry.configuration is not None:
            return self._catalogue.submit_configuration(entry.configuration)
        return None
