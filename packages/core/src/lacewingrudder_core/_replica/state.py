"""The state of a replica, and the order in which its effects are released.

Messages and applied changes are held back until every write issued before them is durable, so that
no other process sees state that a crash could undo. Other effects, such as the refusal of a
proposal, reveal no such state and are released at once, even while disk writes fail.
"""

from __future__ import annotations

import collections

from .._notes.catalogue import Catalogue, Note, SubmitOutcome, SubmitReply, SubmitTag
from .._notes.configurations import StoredConfiguration
from .._notes.evacuations import ZoneOrder
from ..types import TargetOrder
from .durable import DurableState, Write, entries_after
from .events import (
    EntryApplied,
    Persist,
    ProposalFailed,
    ReplicaEffect,
    SendToReplica,
    SnapshotInstalled,
)
from .log import LogEntry, LogSnapshot, ReplicaId, ReplicaLog
from .messages import Header, MemberMessage

COMPACT_AFTER_ENTRIES = 256
"""The log is compacted once this many entries were committed after the last snapshot."""
KEPT_ENTRY_COUNT = 64
"""Committed entries that compaction keeps, so that a slightly delayed replica needs no snapshot."""


class ReplicaState:
    """Term, vote, log and catalogue, together with the writes and effects that are pending.

    :param own_id: this host and the identity of its disk.
    :param durable: the state recovered from disk.
    """

    def __init__(self, own_id: ReplicaId, durable: DurableState) -> None:
        self._own_id = own_id
        self._cluster = durable.cluster
        self._term = durable.term
        self._voted_for = durable.voted_for
        self._log = ReplicaLog(durable.snapshot, durable.entries)
        self._snapshot = durable.snapshot
        self._catalogue = durable.snapshot.catalogue
        self._commit_index = durable.snapshot.last_index
        self._tokens: dict[int, int] = {}
        self._last_issued_write = 0
        self._last_durable_write = 0
        self._durable_index = durable.last_index
        self._pending_writes: collections.deque[tuple[int, int]] = collections.deque()
        self._held_effects: collections.deque[tuple[int, ReplicaEffect]] = collections.deque()
        self._queued_effects: list[ReplicaEffect] = []
        self._unheld_effects: list[ReplicaEffect] = []
        self._needs_write = False
        self._first_unwritten: int | None = None
        self._unwritten_snapshot: LogSnapshot | None = None
        self._lost_identities: set[str] = set()
        self._apply_up_to(durable.commit_index)
        self._queued_effects.clear()

    @property
    def own_id(self) -> ReplicaId:
        """This host and the identity of its disk."""
        return self._own_id

    @property
    def cluster(self) -> str:
        """Identifier of this host's cluster; empty before it joined one."""
        return self._cluster

    @property
    def term(self) -> int:
        """The current term."""
        return self._term

    @property
    def voted_for(self) -> str:
        """Identity that got this host's vote in the current term, or empty."""
        return self._voted_for

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
        return self._commit_index

    @property
    def durable_index(self) -> int:
        """Index up to which the log is durable on this host."""
        return self._durable_index

    @property
    def is_voter(self) -> bool:
        """Whether this host is a voter: one of the latest or, until these are committed, before.

        A host whose removal is not committed still stands for election: it may hold the only log
        that the others can vote for (Ongaro's dissertation, 2014, section 4.2.2).
        """
        return any(self._own_id in voters for voters in self.voter_sets)

    @property
    def voter_sets(self) -> tuple[tuple[ReplicaId, ...], ...]:
        """The sets of voters of which each has to agree to a decision.

        These are the latest voters and, until their entry is committed, those before them. A quorum
        of the former alone need not have a voter in common with one of the latter.
        """
        log = self._log
        if log.voters_index <= self._commit_index:
            return (log.voters,)
        previous = log.voters_at(log.voters_index - 1)
        return (log.voters, previous) if previous else (log.voters,)

    @property
    def all_voters(self) -> tuple[ReplicaId, ...]:
        """All members of :attr:`voter_sets`, sorted."""
        return tuple(sorted({voter for voters in self.voter_sets for voter in voters}))

    @property
    def lost_identities(self) -> frozenset[str]:
        """Identities of voters whose disks are known to be lost."""
        return frozenset(self._lost_identities)

    @property
    def pending_proposal_count(self) -> int:
        """Number of proposals made here that are not committed yet."""
        return len(self._tokens)

    @property
    def has_pending_writes(self) -> bool:
        """Whether some issued writes are not durable yet."""
        return self._last_durable_write < self._last_issued_write

    def emit(self, effect: ReplicaEffect) -> None:
        """Queue an effect; messages and changes wait until all writes so far are durable."""
        self._queued_effects.append(effect)

    def emit_unheld(self, effect: ReplicaEffect) -> None:
        """Queue an effect that reveals no state of this host, and so waits for no write."""
        self._unheld_effects.append(effect)

    def send(self, receiver: ReplicaId, message: MemberMessage) -> None:
        """Queue a message to a member of the cluster."""
        self.emit(SendToReplica(receiver.name, message))

    def header(self, receiver: ReplicaId) -> Header:
        """Return the header of a message to a member."""
        return Header(self._cluster, self._own_id, receiver.identity, self._term)

    def join_cluster(self, cluster: str) -> None:
        """Record that this host belongs to a cluster."""
        self._cluster = cluster
        self._needs_write = True

    def enter_term(self, term: int, voted_for: str = "") -> None:
        """Enter a later term, or record this host's vote in the current one."""
        self._term, self._voted_for = term, voted_for
        self._needs_write = True

    def record_lost_disk(self, replica: ReplicaId) -> bool:
        """Record that a voter's disk is lost; return whether it is a voter and this is new."""
        if replica not in self.all_voters or replica.identity in self._lost_identities:
            return False
        self._lost_identities.add(replica.identity)
        return True

    def append(
        self,
        note: Note | None = None,
        order: TargetOrder | None = None,
        voters: tuple[ReplicaId, ...] = (),
        configuration: StoredConfiguration | None = None,
        zone_order: ZoneOrder | None = None,
        token: int | None = None,
    ) -> None:
        """Append an entry of the current term.

        :param token: token of the proposal that asked for it, or ``None``.
        """
        index = self._log.last_index + 1
        entry = LogEntry(index, self._term, note, order, voters, configuration, zone_order)
        self._log.append(entry)
        self._mark_unwritten(entry.log_index)
        if token is not None:
            self._tokens[entry.log_index] = token

    def merge(self, entries: tuple[LogEntry, ...]) -> None:
        """Add a leader's entries to the log, replacing a suffix that conflicts with them."""
        changed = self._log.merge(entries)
        if changed is None:
            return
        assert changed > self._commit_index, "a committed entry can't change"
        self._durable_index = min(self._durable_index, changed - 1)
        self._pending_writes = collections.deque(
            (n, min(i, changed - 1)) for n, i in self._pending_writes
        )
        self._mark_unwritten(changed)

    def install_snapshot(self, snapshot: LogSnapshot) -> None:
        """Replace the state by a leader's snapshot, unless the commit index already covers it."""
        if snapshot.last_index <= self._commit_index:
            return
        current = DurableState(
            "", snapshot=self._log_base(), entries=self._log.slice(self._first_index)
        )
        self._log = ReplicaLog(snapshot, entries_after(current, snapshot))
        self._snapshot = self._unwritten_snapshot = snapshot
        if snapshot.catalogue.revision > self._catalogue.revision:
            self.emit(SnapshotInstalled(snapshot.catalogue))
        self._catalogue = snapshot.catalogue
        self._commit_index = snapshot.last_index
        self._durable_index = min(self._durable_index, snapshot.last_index)
        self._pending_writes = collections.deque(
            (n, min(i, snapshot.last_index)) for n, i in self._pending_writes
        )
        self._needs_write = True

    def commit_to(self, index: int) -> None:
        """Apply the entries up to an index that is known to be committed."""
        if index > self._commit_index:
            self._apply_up_to(index)
            self._needs_write = True

    def fail_proposals(self, detail: str) -> None:
        """End all pending proposals with an unknown outcome."""
        for token in self._tokens.values():
            reply = SubmitReply(SubmitTag.UNKNOWN, self._catalogue.revision, detail)
            self.emit(ProposalFailed(token, reply))
        self._tokens.clear()

    def record_persisted(self, number: int) -> None:
        """Record that the writes up to a number are durable."""
        self._last_durable_write = max(self._last_durable_write, number)
        while self._pending_writes and self._pending_writes[0][0] <= number:
            self._durable_index = self._pending_writes.popleft()[1]

    def discard_messages(self) -> None:
        """Discard all messages that are queued or held back."""
        self._queued_effects = [
            effect for effect in self._queued_effects if not isinstance(effect, SendToReplica)
        ]
        self._held_effects = collections.deque(
            (number, effect)
            for number, effect in self._held_effects
            if not isinstance(effect, SendToReplica)
        )

    def release_effects(self) -> list[ReplicaEffect]:
        """Return the effects that may be executed now; a new write, if any, comes first."""
        released, self._unheld_effects = self._unheld_effects, []
        if self._needs_write:
            released.append(Persist(self._next_write()))
        for effect in self._queued_effects:
            if isinstance(effect, SendToReplica | EntryApplied | SnapshotInstalled):
                self._held_effects.append((self._last_issued_write, effect))
            else:
                released.append(effect)
        self._queued_effects = []
        while self._held_effects and self._held_effects[0][0] <= self._last_durable_write:
            released.append(self._held_effects.popleft()[1])
        return released

    @property
    def _first_index(self) -> int:
        return self._log.base_index + 1

    def _log_base(self) -> LogSnapshot:
        term = self._log.term_at(self._log.base_index)
        return LogSnapshot(self._log.base_index, term or 0, (), Catalogue())

    def _mark_unwritten(self, index: int) -> None:
        self._needs_write = True
        before = self._first_unwritten
        self._first_unwritten = index if before is None else min(before, index)

    def _next_write(self) -> Write:
        changed, installed = self._first_unwritten, self._unwritten_snapshot
        entries = () if changed is None else self._log.slice(changed)
        self._needs_write, self._first_unwritten, self._unwritten_snapshot = False, None, None
        self._last_issued_write += 1
        self._pending_writes.append((self._last_issued_write, self._log.last_index))
        return Write(
            self._last_issued_write,
            self._cluster,
            self._term,
            self._voted_for,
            self._commit_index,
            entries,
            installed or self._compact(),
        )

    def _compact(self) -> LogSnapshot | None:
        log, commit = self._log, self._commit_index
        if commit - self._snapshot.last_index < COMPACT_AFTER_ENTRIES or log.voters_index > commit:
            return None
        term = log.term_at(commit)
        assert term is not None
        self._snapshot = LogSnapshot(commit, term, log.voters, self._catalogue)
        log.compact(max(log.base_index, commit - KEPT_ENTRY_COUNT), log.voters)
        return self._snapshot

    def _apply_up_to(self, index: int) -> None:
        for entry in self._log.slice(self._commit_index + 1, index):
            self._commit_index = entry.log_index
            outcome = self._apply(entry)
            if outcome is not None:
                self._catalogue = outcome.catalogue
                self.emit(EntryApplied(self._tokens.pop(entry.log_index, None), outcome))

    def _apply(self, entry: LogEntry) -> SubmitOutcome | None:
        if entry.note is not None:
            return self._catalogue.submit_note(entry.note)
        if entry.order is not None:
            return self._catalogue.submit_order(entry.order)
        if entry.configuration is not None:
            return self._catalogue.submit_configuration(entry.configuration)
        if entry.zone_order is not None:
            return self._catalogue.submit_zone_order(entry.zone_order)
        return None
