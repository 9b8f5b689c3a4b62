"""Views of a subscriber: what each control host published, and all of that merged."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ..types import HostName
from .types import LifeState, Lifetime, Position, TargetEntry, Update

VIEW_VALIDITY_SECONDS = 4.0
"""How long the view of a control host is valid after its last update: targets switch to another one
within three heartbeats."""

VIEW_RETENTION_SECONDS = 120.0
"""How long the view of a control host is retained after its last update: as long as it publishes
ended lifetimes."""


class KnownTarget(NamedTuple):
    """A lifetime of a target, merged from the views of all control hosts.

    :param has_recent_heartbeat: whether a control host with a valid view receives the target's
        heartbeats.
    """

    entry: TargetEntry
    has_recent_heartbeat: bool


class _Validity(NamedTuple):
    """Whether the view of a control host is valid, so that its heartbeat reports count.

    :param is_previous_valid: whether the entries from before the control host's last start are
        valid.
    """

    is_valid: bool
    is_previous_valid: bool


_Entries = dict[Lifetime, tuple[TargetEntry, ...]]
"""The entries of each lifetime, with different keys; almost always one."""


class _View:
    """View of one control host: the entries that it published.

    :ivar previous_entries: entries from before its last start.
    :ivar past_epochs: epochs whose updates are stale.
    """

    def __init__(self) -> None:
        self.position = Position(0, 0)
        self.entries: _Entries = {}
        self.last_received_at = float("-inf")
        self.previous_entries: _Entries = {}
        self.previous_valid_until = float("-inf")
        self.past_epochs: set[int] = set()
        self.validity = _Validity(True, False)

    def lifetimes(self) -> set[Lifetime]:
        """Return all lifetimes that this view has an entry of."""
        return self.entries.keys() | self.previous_entries.keys()

    def change_validity(self, validity: _Validity) -> set[Lifetime]:
        """Change which entries are valid; return their lifetimes."""
        changed: set[Lifetime] = set()
        if validity.is_valid != self.validity.is_valid:
            changed |= self.entries.keys()
        if validity.is_previous_valid != self.validity.is_previous_valid:
            changed |= self.previous_entries.keys()
        self.validity = validity
        return changed

    def begin_epoch(self, epoch: int, now: float) -> None:
        """Begin a new epoch after a restart; the entries from before stay valid for a while."""
        self.past_epochs.add(self.position.epoch)
        self.previous_entries, self.previous_valid_until = self.entries, now + VIEW_VALIDITY_SECONDS
        self.entries = {}
        self.position = Position(epoch, 0)


class Views:
    """Views of all control hosts; stale and duplicate updates have no effect.

    Methods that change the views return the lifetimes that may look different afterwards, so that
    callers need not look at the others.
    """

    def __init__(self) -> None:
        self._views: dict[HostName, _View] = {}
        self._used_services: frozenset[str] | None = None
        self._contested: set[Lifetime] = set()

    def use_services(self, services: frozenset[str]) -> set[Lifetime]:
        """Set the services that flows are placed on; return the lifetimes that may look different.

        Until the first call, all services count.
        """
        if services == self._used_services:
            return set()
        self._used_services = services
        return set(self._contested)

    @property
    def last_received_at(self) -> float:
        """Time of the last update from any control host."""
        return max((view.last_received_at for view in self._views.values()), default=float("-inf"))

    def position(self, control: HostName) -> Position:
        """Return the position up to which the updates of a control host are applied."""
        view = self._views.get(control)
        return Position(0, 0) if view is None else view.position

    def seconds_since_update(self, control: HostName, now: float) -> float:
        """Return the seconds since the last update of a control host, infinite if there is none."""
        view = self._views.get(control)
        return float("inf") if view is None else now - view.last_received_at

    def apply_update(self, update: Update, now: float) -> set[Lifetime]:
        """Apply an update; return the lifetimes that it changed."""
        view = self._views.setdefault(update.host, _View())
        epoch, number = update.position
        is_new = epoch != view.position.epoch
        if is_new and (update.since or epoch in view.past_epochs):
            return set()
        view.last_received_at = now
        changed: set[Lifetime] = set()
        if is_new:
            changed = view.lifetimes()
            view.begin_epoch(epoch, now)
        if update.since > view.position.number or number <= view.position.number:
            return changed
        for entry in update.entries:
            if entry not in view.entries.get(entry.lifetime, ()):
                _put(view.entries, entry)
                changed.add(entry.lifetime)
        view.position = update.position
        return changed

    def apply_former(self, control: HostName, entries: Iterable[TargetEntry], now: float) -> None:
        """Add entries from before the last start of a control host, valid for a while.

        They count from the next refresh on.
        """
        view = self._views.setdefault(control, _View())
        previous_entries = view.previous_entries
        view.previous_entries = {}
        for entry in (*entries, *(row for rows in previous_entries.values() for row in rows)):
            _put(view.previous_entries, entry)
        view.previous_valid_until = now + VIEW_VALIDITY_SECONDS

    def refresh(self, now: float) -> set[Lifetime]:
        """Update which views are valid; return the lifetimes in those whose validity changed.

        While all control hosts are unresponsive, no view expires: the last known state is the best
        available. Otherwise the views of long unresponsive control hosts are dropped.
        """
        all_unresponsive = now - self.last_received_at > VIEW_VALIDITY_SECONDS
        changed: set[Lifetime] = set()
        for host, view in list(self._views.items()):
            silence = now - view.last_received_at
            validity = _Validity(
                all_unresponsive or silence <= VIEW_VALIDITY_SECONDS,
                all_unresponsive or now <= view.previous_valid_until,
            )
            if not all_unresponsive and silence > VIEW_RETENTION_SECONDS:
                del self._views[host]
                changed |= view.lifetimes()
            else:
                changed |= view.change_validity(validity)
        return changed

    def find(self, lifetime: Lifetime) -> list[KnownTarget]:
        """Return the entries of a lifetime as merged from all views as of the last refresh.

        Entries with different services, zones or addresses are not merged.
        """
        merged: list[KnownTarget] = []
        for view in self._views.values():
            is_valid, is_previous_valid = view.validity
            for entry in view.previous_entries.get(lifetime, ()):
                _merge(merged, entry, is_previous_valid)
            for entry in view.entries.get(lifetime, ()):
                _merge(merged, entry, is_valid)
        return merged

    def get(self, lifetime: Lifetime, current: TargetEntry | None = None) -> KnownTarget | None:
        """Return the entry of a lifetime that is in use, or ``None`` if there is none.

        Of several entries, only one is that of the target. It is taken to be the one whose service
        is in use; of several of these, one that is heard, and one that has not ended; and if that
        does not tell them apart, the one that was used before.

        :param current: the entry that was used before.
        """
        found = self.find(lifetime)
        if len(found) <= 1:
            self._contested.discard(lifetime)
            return found[0] if found else None
        self._contested.add(lifetime)
        return max(found, key=lambda target: self._credibility(target, current))

    def _credibility(
        self, target: KnownTarget, current: TargetEntry | None
    ) -> tuple[bool, bool, bool, bool]:
        entry = target.entry
        return (
            self._used_services is None or entry.service in self._used_services,
            target.has_recent_heartbeat,
            entry.state is not LifeState.GONE,
            current is not None and entry.key == current.key,
        )

    def merge(self, now: float) -> dict[Lifetime, KnownTarget]:
        """Merge all views; of several entries of a lifetime, return the one in use."""
        merged = {lifetime: self.get(lifetime) for lifetime in self._refreshed_lifetimes(now)}
        return {lifetime: target for lifetime, target in merged.items() if target is not None}

    def merge_entries(self, now: float) -> list[KnownTarget]:
        """Merge all views; return all entries of each lifetime."""
        return [row for lifetime in self._refreshed_lifetimes(now) for row in self.find(lifetime)]

    def _refreshed_lifetimes(self, now: float) -> set[Lifetime]:
        self.refresh(now)
        return {lifetime for view in self._views.values() for lifetime in view.lifetimes()}


def _put(entries: _Entries, entry: TargetEntry) -> None:
    """Add an entry in place of the one with its key."""
    known = entries.get(entry.lifetime, ())
    others = tuple(row for row in known if not _has_same_key(row, entry)) if known else ()
    entries[entry.lifetime] = (*others, entry)


def _merge(merged: list[KnownTarget], entry: TargetEntry, is_valid: bool) -> None:
    """Merge an entry of one view into what is known of its lifetime."""
    has_recent_heartbeat = (
        is_valid and entry.has_recent_heartbeat and entry.state is not LifeState.GONE
    )
    for position, known in enumerate(merged):
        if _has_same_key(known.entry, entry):
            latest = entry if _rank(entry) > _rank(known.entry) else known.entry
            has_recent_heartbeat = has_recent_heartbeat or known.has_recent_heartbeat
            merged[position] = KnownTarget(latest, has_recent_heartbeat)
            return
    merged.append(KnownTarget(entry, has_recent_heartbeat))


def _has_same_key(left: TargetEntry, right: TargetEntry) -> bool:
    """Return whether two entries of one lifetime have the same key."""
    return (left.endpoint, left.service, left.zone) == (right.endpoint, right.service, right.zone)


def _rank(entry: TargetEntry) -> tuple[int, int]:
    return entry.state, entry.sequence
