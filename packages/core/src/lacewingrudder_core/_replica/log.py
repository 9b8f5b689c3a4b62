"""The replicated log in memory: entries after a compacted prefix, and snapshots of the state."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from .._notes.catalogue import Catalogue, Note, NoteReceipt
from .._notes.configurations import StoredConfiguration
from ..types import HostName, Service, TargetOrder

APPEND_WEIGHT = 1000
PART_WEIGHT = 1000
WEIGHT_BYTES = 100


class ReplicaId(NamedTuple):
    """A control host with its disk.

    :param identity: random text kept on the disk; a host that lost its disk gets another one.
    """

    name: HostName
    identity: str


class LogEntry(NamedTuple):
    """One entry: a note, an order, a configuration, new voters, or nothing as a term starts."""

    log_index: int
    term: int
    note: Note | None = None
    order: TargetOrder | None = None
    voters: tuple[ReplicaId, ...] = ()
    configuration: StoredConfiguration | None = None

    @property
    def weight(self) -> int:
        """Size of the entry, counted in items of about 100 bytes."""
        if self.configuration is not None:
            return 1 + len(self.configuration.document) // WEIGHT_BYTES
        if self.note is None:
            return 1 + len(self.voters)
        return 1 + note_weight(self.note)


class LogSnapshot(NamedTuple):
    """The state after all entries up to an index."""

    last_index: int
    last_term: int
    voters: tuple[ReplicaId, ...]
    catalogue: Catalogue


class LogSnapshotPart(NamedTuple):
    """A part of a snapshot that fits into one message.

    :param number: position of the part, from 0.
    :param total: how many parts there are.
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


EMPTY_SNAPSHOT = LogSnapshot(0, 0, (), Catalogue())


def note_weight(note: Note) -> int:
    """Return the size of a note, counted in items of about 100 bytes."""
    services = note.added + note.changed
    return sum(1 + len(service.kinds) for service in services) + len(note.withdrawn)


def split_snapshot(snapshot: LogSnapshot) -> tuple[LogSnapshotPart, ...]:
    """Return the parts of a snapshot."""
    catalogue = snapshot.catalogue
    items = [(1 + len(service.kinds), service) for service in catalogue.services]
    groups = list(_grouped(items))
    filled = [(tuple(group), (), ()) for group in groups] if groups else []
    orders, receipts = catalogue.orders, catalogue.receipts
    chunks: list[tuple[tuple[Service, ...], tuple[TargetOrder, ...], tuple[NoteReceipt, ...]]] = [
        *filled,
        *(((), orders[at : at + PART_WEIGHT], ()) for at in range(0, len(orders), PART_WEIGHT)),
        *(((), (), receipts[at : at + PART_WEIGHT]) for at in range(0, len(receipts), PART_WEIGHT)),
    ]
    chunks = chunks or [((), (), ())]
    head = (snapshot.last_index, snapshot.last_term, snapshot.voters, catalogue.revision)
    parts = tuple(
        LogSnapshotPart(*head, number, len(chunks), *chunk) for number, chunk in enumerate(chunks)
    )
    return (parts[0]._replace(configuration=catalogue.configuration), *parts[1:])


def join_snapshot(parts: Iterable[LogSnapshotPart]) -> LogSnapshot:
    """Return the snapshot that all its parts, in order, make up."""
    known = list(parts)
    first = known[0]
    catalogue = Catalogue(
        first.revision,
        tuple(service for part in known for service in part.services),
        tuple(order for part in known for order in part.orders),
        tuple(receipt for part in known for receipt in part.receipts),
        first.configuration,
    )
    return LogSnapshot(first.last_index, first.last_term, first.voters, catalogue)


def _grouped(items: list[tuple[int, Service]]) -> Iterator[list[Service]]:
    group: list[Service] = []
    total = 0
    for weight, item in items:
        if group and total + weight > PART_WEIGHT:
            yield group
            group, total = [], 0
        group.append(item)
        total += weight
    if group:
        yield group


class ReplicaLog:
    """Entries after a base position, with the set of voters that the log ends on.

    :param snapshot: the state that the entries follow.
    :param entries: consecutive entries, the first one after the snapshot.
    """

    def __init__(self, snapshot: LogSnapshot, entries: Iterable[LogEntry]) -> None:
        self._base_index = snapshot.last_index
        self._base_term = snapshot.last_term
        self._base_voters = snapshot.voters
        self._entries = list(entries)
        self._find_voters()

    @property
    def base_index(self) -> int:
        """The last index that is no longer here."""
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
        """The latest voters, whether their entry is committed or not."""
        return self._voters

    @property
    def voters_index(self) -> int:
        """The index from which the latest voters count."""
        return self._voters_index

    def term_at(self, index: int) -> int | None:
        """Return the term of an index, or ``None`` if it is compacted or not there yet."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self._entries[index - self._base_index - 1].term
        return None

    def first_of_term(self, index: int) -> int:
        """Return the first index here that has the same term as ``index``, without gaps."""
        term = self.term_at(index)
        while index - 1 > self._base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def slice(self, first: int, last: int | None = None) -> tuple[LogEntry, ...]:
        """Return the entries from ``first`` to ``last``, both included."""
        end = None if last is None else last - self._base_index
        return tuple(self._entries[first - self._base_index - 1 : end])

    def batch(self, first: int) -> tuple[LogEntry, ...]:
        """Return entries from ``first`` on, at least one if there is one, that fit a message."""
        total = 0
        kept: list[LogEntry] = []
        for entry in self._entries[first - self._base_index - 1 :]:
            total += entry.weight
            if kept and total > APPEND_WEIGHT:
                break
            kept.append(entry)
        return tuple(kept)

    def append(self, entry: LogEntry) -> None:
        """Add an entry at the end."""
        self._entries.append(entry)
        if entry.voters:
            self._voters, self._voters_index = entry.voters, entry.log_index

    def merge(self, entries: Iterable[LogEntry]) -> int | None:
        """Take a leader's entries; a conflicting suffix gives way.

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
        """Forget the entries up to an index.

        :param voters: the voters at that index.
        """
        term = self.term_at(index)
        assert term is not None
        self._entries = self._entries[index - self._base_index :]
        self._base_index, self._base_term, self._base_voters = index, term, voters
        self._find_voters()

    def _truncate(self, index: int) -> None:
        del self._entries[index - self._base_index - 1 :]
        self._find_voters()

    def _find_voters(self) -> None:
        self._voters, self._voters_index = self._base_voters, self._base_index
        for entry in reversed(self._entries):
            if entry.voters:
                self._voters, self._voters_index = entry.voters, entry.log_index
                return
