"""The in-memory log of a replica, and the snapshots that replace its compacted prefix."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from .._notes.catalogue import Catalogue, Note, NoteReceipt
from .._notes.configurations import StoredConfiguration
from .._notes.evacuations import Evacuations, ZoneOrder
from ..types import HostName, Service, TargetOrder

MAX_APPEND_WEIGHT = 1000
MAX_PART_WEIGHT = 1000
"""Weights are estimated sizes in units of about 100 bytes; these limits are per message."""
BYTES_PER_WEIGHT = 100


class ReplicaId(NamedTuple):
    """A control host together with its disk.

    :param identity: random text stored on the disk. A host that lost its disk gets a new one, so
        that votes and log entries it acknowledged before no longer count.
    """

    name: HostName
    identity: str


class LogEntry(NamedTuple):
    """One log entry: a note, an order, a configuration, a zone order, or a new set of voters.

    The entry that a leader appends at the start of its term carries none of them.
    """

    log_index: int
    term: int
    note: Note | None = None
    order: TargetOrder | None = None
    voters: tuple[ReplicaId, ...] = ()
    configuration: StoredConfiguration | None = None
    zone_order: ZoneOrder | None = None

    @property
    def weight(self) -> int:
        """Estimated size of the entry, in units of about 100 bytes."""
        if self.configuration is not None:
            return 1 + len(self.configuration.document) // BYTES_PER_WEIGHT
        if self.note is None:
            return 1 + len(self.voters)
        return 1 + note_weight(self.note)


class LogSnapshot(NamedTuple):
    """The state after the entry at ``last_index`` was applied."""

    last_index: int
    last_term: int
    voters: tuple[ReplicaId, ...]
    catalogue: Catalogue


class LogSnapshotPart(NamedTuple):
    """A part of a snapshot that fits into one message.

    :param number: position of the part, from 0.
    :param total: number of parts in the snapshot.
    :param configuration: set in the first part only.
    :param evacuations: set in the first part only.
    """

    last_index: int
    last_term: int
    voters: tuple[ReplicaId, ...]
    revision: int
    number: int
    total: int
    services: tuple[Service, ...]
    orders: tuple[TargetOrder, ...]
    receipts: tuple[NoteReceipt, ...]
    configuration: StoredConfiguration | None = None
    evacuations: Evacuations = Evacuations()


EMPTY_SNAPSHOT = LogSnapshot(0, 0, (), Catalogue())


def note_weight(note: Note) -> int:
    """Return the estimated size of a note, in units of about 100 bytes."""
    services = note.added + note.changed
    return sum(1 + len(service.kinds) for service in services) + len(note.withdrawn)


def split_snapshot(snapshot: LogSnapshot) -> tuple[LogSnapshotPart, ...]:
    """Split a snapshot into parts that each fit into one message."""
    catalogue = snapshot.catalogue
    items = [(1 + len(service.kinds), service) for service in catalogue.services]
    groups = list(_group_services(items))
    filled = [(tuple(group), (), ()) for group in groups] if groups else []
    orders, receipts = catalogue.orders, catalogue.receipts
    chunks: list[tuple[tuple[Service, ...], tuple[TargetOrder, ...], tuple[NoteReceipt, ...]]] = [
        *filled,
        *(
            ((), orders[at : at + MAX_PART_WEIGHT], ())
            for at in range(0, len(orders), MAX_PART_WEIGHT)
        ),
        *(
            ((), (), receipts[at : at + MAX_PART_WEIGHT])
            for at in range(0, len(receipts), MAX_PART_WEIGHT)
        ),
    ]
    chunks = chunks or [((), (), ())]
    head = (snapshot.last_index, snapshot.last_term, snapshot.voters, catalogue.revision)
    parts = tuple(
        LogSnapshotPart(*head, number, len(chunks), *chunk) for number, chunk in enumerate(chunks)
    )
    first = parts[0]._replace(
        configuration=catalogue.configuration, evacuations=catalogue.evacuations
    )
    return (first, *parts[1:])


def join_snapshot(parts: Iterable[LogSnapshotPart]) -> LogSnapshot:
    """Assemble a snapshot from all of its parts, given in order."""
    received = list(parts)
    first = received[0]
    catalogue = Catalogue(
        first.revision,
        tuple(service for part in received for service in part.services),
        tuple(order for part in received for order in part.orders),
        tuple(receipt for part in received for receipt in part.receipts),
        first.configuration,
        first.evacuations,
    )
    return LogSnapshot(first.last_index, first.last_term, first.voters, catalogue)


def _group_services(items: list[tuple[int, Service]]) -> Iterator[list[Service]]:
    group: list[Service] = []
    total = 0
    for weight, item in items:
        if group and total + weight > MAX_PART_WEIGHT:
            yield group
            group, total = [], 0
        group.append(item)
        total += weight
    if group:
        yield group


class ReplicaLog:
    """The entries after a compacted prefix, and the latest set of voters in them.

    :param snapshot: covers the compacted prefix.
    :param entries: consecutive entries, starting right after the snapshot.
    """

    def __init__(self, snapshot: LogSnapshot, entries: Iterable[LogEntry]) -> None:
        self._base_index = snapshot.last_index
        self._base_term = snapshot.last_term
        self._base_voters = snapshot.voters
        self._entries = list(entries)
        self._update_voters()

    @property
    def base_index(self) -> int:
        """The last compacted index."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def voters(self) -> tuple[ReplicaId, ...]:
        """The latest voters; as Raft requires, they apply even before their entry is committed."""
        return self._voters

    @property
    def voters_index(self) -> int:
        """The index of the entry that set the latest voters."""
        return self._voters_index

    def voters_at(self, index: int) -> tuple[ReplicaId, ...]:
        """Return the voters that the entries up to an index set."""
        for entry in reversed(self._entries[: max(0, index - self._base_index)]):
            if entry.voters:
                return entry.voters
        return self._base_voters

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index, or ``None`` if the log does not hold it."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self._entries[index - self._base_index - 1].term
        return None

    def first_of_term(self, index: int) -> int:
        """Return the first of the consecutive indexes whose entries have the term of ``index``."""
        term = self.term_at(index)
        while index - 1 > self._base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def slice(self, first: int, last: int | None = None) -> tuple[LogEntry, ...]:
        """Return the entries from ``first`` to ``last``, both included."""
        end = None if last is None else last - self._base_index
        return tuple(self._entries[first - self._base_index - 1 : end])

    def batch(self, first: int) -> tuple[LogEntry, ...]:
        """Return entries from ``first`` on that fit into one message, at least one if any exist."""
        total = 0
        kept: list[LogEntry] = []
        for entry in self._entries[first - self._base_index - 1 :]:
            total += entry.weight
            if kept and total > MAX_APPEND_WEIGHT:
                break
            kept.append(entry)
        return tuple(kept)

    def append(self, entry: LogEntry) -> None:
        """Append an entry; voters that it sets apply at once."""
        self._entries.append(entry)
        if entry.voters:
            self._voters, self._voters_index = entry.voters, entry.log_index

    def merge(self, entries: Iterable[LogEntry]) -> int | None:
        """Add a leader's entries, and remove a suffix that conflicts with them.

        :returns: the first index that changed, or ``None``.
        """
        changed = None
        for entry in entries:
            if entry.log_index <= self._base_index or self.term_at(entry.log_index) == entry.term:
                continue
            if changed is None:
                changed = entry.log_index
                self._truncate(entry.log_index)
            self.append(entry)
        return changed

    def compact(self, index: int, voters: tuple[ReplicaId, ...]) -> None:
        """Discard the entries up to and including an index.

        :param voters: the voters in effect at that index.
        """
        term = self.term_at(index)
        assert term is not None
        self._entries = self._entries[index - self._base_index :]
        self._base_index, self._base_term, self._base_voters = index, term, voters
        self._update_voters()

    def _truncate(self, index: int) -> None:
        del self._entries[index - self._base_index - 1 :]
        self._update_voters()

    def _update_voters(self) -> None:
        self._voters, self._voters_index = self._base_voters, self._base_index
        for entry in reversed(self._entries):
            if entry.voters:
                self._voters, self._voters_index = entry.voters, entry.log_index
                return
