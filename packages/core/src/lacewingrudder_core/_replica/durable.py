"""The state that a replica keeps on disk, and the writes that update it."""

from __future__ import annotations

from typing import NamedTuple

from .log import EMPTY_SNAPSHOT, LogEntry, LogSnapshot


class Write(NamedTuple):
    """One update of the durable state; updates become durable in the order of their numbers.

    :param number: sequence number, counted from the start of the process.
    :param cluster: identifier of this host's cluster; empty before it joined one.
    :param voted_for: identity that got this host's vote in the term, or empty.
    :param commit_index: index of the last entry known to be committed.
    :param entries: replace all stored entries from the index of the first one on.
    :param snapshot: replaces everything up to its index once the entries are stored, or ``None``.
    """

    number: int
    cluster: str
    term: int
    voted_for: str
    commit_index: int
    entries: tuple[LogEntry, ...] = ()
    snapshot: LogSnapshot | None = None


class DurableState(NamedTuple):
    """The state of a replica as its disk holds it; see :class:`Write` for the other fields.

    :param identity: text that identifies this disk.
    :param snapshot: the latest stored snapshot.
    :param entries: all stored entries after the snapshot.
    """

    identity: str
    cluster: str = ""
    term: int = 0
    voted_for: str = ""
    commit_index: int = 0
    snapshot: LogSnapshot = EMPTY_SNAPSHOT
    entries: tuple[LogEntry, ...] = ()

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.snapshot.last_index + len(self.entries)

    def after(self, write: Write) -> DurableState:
        """Return the state after a write."""
        entries = self.entries
        if write.entries:
            kept = write.entries[0].log_index - self.snapshot.last_index - 1
            entries = entries[:kept] + write.entries
        state = self._replace(
            cluster=write.cluster,
            term=write.term,
            voted_for=write.voted_for,
            commit_index=write.commit_index,
            entries=entries,
        )
        return state if write.snapshot is None else state._with_snapshot(write.snapshot)

    def _with_snapshot(self, snapshot: LogSnapshot) -> DurableState:
        return self._replace(snapshot=snapshot, entries=entries_after(self, snapshot))


def entries_after(state: DurableState, snapshot: LogSnapshot) -> tuple[LogEntry, ...]:
    """Return the entries to keep after a snapshot is stored.

    Entries after the snapshot are kept only if the log agrees with it at its last index.
    """
    at = snapshot.last_index - state.snapshot.last_index
    if at <= 0:
        return state.entries if at == 0 else ()
    if at > len(state.entries) or state.entries[at - 1].term != snapshot.last_term:
        return ()
    return state.entries[at:]
