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


class ViewValidity(NamedTuple):
    """Whether the view of a control host is valid, so that its heartbeat reports count.

    :param is_previous_valid: whether the entries from before the control host's last start are
        valid.
    """

    host: HostName
    is_valid: bool
    is_previous_valid: bool


class _View:
    """View of one control host: the entries that it published.

    :ivar previous_entries: entries from before its last start.
    :ivar past_epochs: epochs whose updates are stale.
    """

    def __init__(self) -> None:
        self.position = Position(0, 0)
        self.entries: dict[Lifetime, TargetEntry] = {}
        self.last_received_at = float("-inf")
        self.previous_entries: dict[Lifetime, TargetEntry] = {}
        self.previous_valid_until = float("-inf")
        self.past_epochs: set[int] = set()

    def begin_epoch(self, epoch: int, now: float) -> None:
        """Begin a new epoch after a restart; the entries from before stay valid for a while."""
        self.past_epochs.add(self.position.epoch)
        self.previous_entries, self.previous_valid_until = self.entries, now + VIEW_VALIDITY_SECONDS
        self.entries = {}
        self.position = Position(epoch, 0)


class Views:
    """Views of all control hosts; stale and duplicate updates have no effect."""

    def __init__(self) -> None:
        self._views: dict[HostName, _View] = {}

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

    def apply_update(self, update: Update, now: float) -> bool:
        """Apply an update; return whether it brought changes."""
        view = self._views.setdefault(update.host, _View())
        epoch, number = update.position
        is_new = epoch != view.position.epoch
        if is_new and (update.since or epoch in view.past_epochs):
            return False
        view.last_received_at = now
        if is_new:
            view.begin_epoch(epoch, now)
        if update.since > view.position.number or number <= view.position.number:
            return False
        for entry in update.entries:
            view.entries[entry.lifetime] = entry
        view.position = update.position
        return True

    def remove_unresponsive(self, now: float) -> None:
        """Drop the views of long unresponsive control hosts, unless all are unresponsive."""
        if now - self.last_received_at > VIEW_VALIDITY_SECONDS:
            return
        self._views = {
            host: view
            for host, view in self._views.items()
            if now - view.last_received_at <= VIEW_RETENTION_SECONDS
        }

    def validities(self, now: float) -> list[ViewValidity]:
        """Return which views are valid.

        While all control hosts are unresponsive, no view expires: the last known state is the best
        available.
        """
        all_unresponsive = now - self.last_received_at > VIEW_VALIDITY_SECONDS
        return [
            ViewValidity(
                host,
                all_unresponsive or now - view.last_received_at <= VIEW_VALIDITY_SECONDS,
                all_unresponsive or now <= view.previous_valid_until,
            )
            for host, view in self._views.items()
        ]

    def merge(self, now: float) -> dict[Lifetime, KnownTarget]:
        """Merge all views; the result changes only with the views and their validity."""
        merged: dict[Lifetime, KnownTarget] = {}
        for host, is_valid, is_previous_valid in self.validities(now):
            view = self._views[host]
            _merge(merged, view.previous_entries.values(), is_previous_valid)
            _merge(merged, view.entries.values(), is_valid)
        return merged


def _merge(
    merged: dict[Lifetime, KnownTarget], entries: Iterable[TargetEntry], is_valid: bool
) -> None:
    for entry in entries:
        has_recent_heartbeat = (
            is_valid and entry.has_recent_heartbeat and entry.state is not LifeState.GONE
        )
        known = merged.get(entry.lifetime)
        if known is None:
            merged[entry.lifetime] = KnownTarget(entry, has_recent_heartbeat)
            continue
        latest = entry if _rank(entry) > _rank(known.entry) else known.entry
        merged[entry.lifetime] = KnownTarget(
            latest, has_recent_heartbeat or known.has_recent_heartbeat
        )


def _rank(entry: TargetEntry) -> tuple[int, int]:
    return entry.state, entry.sequence
