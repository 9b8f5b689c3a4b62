"""What a subscriber knows from each control host, put together to one view."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ..types import HostName
from .types import LifeState, Lifetime, Position, TargetEntry, Update

VIEW_SECONDS = 4.0
"""How long the word of a silent control host counts: targets find another within three beats."""

FORGET_SECONDS = 120.0
"""How long the view of a silent control host is kept: as long as ends of lifetimes are."""


class KnownTarget(NamedTuple):
    """A lifetime of a target as this host sees it.

    :param has_recent_heartbeat: whether a control host that is heard vouches for its heartbeats.
    """

    entry: TargetEntry
    has_recent_heartbeat: bool


class Standing(NamedTuple):
    """Whether the word of a control host counts.

    :param earlier_counts: the same for what it said before its last start.
    """

    host: HostName
    counts: bool
    earlier_counts: bool


class _View:
    """What one control host publishes."""

    def __init__(self) -> None:
        self.position = Position(0, 0)
        self.entries: dict[Lifetime, TargetEntry] = {}
        self.heard = float("-inf")
        self.earlier: dict[Lifetime, TargetEntry] = {}
        self.earlier_until = float("-inf")
        self.past_epochs: set[int] = set()

    def begin(self, epoch: int, now: float) -> None:
        """Follow a control host that started again; what it said before counts for a while."""
        self.past_epochs.add(self.position.epoch)
        self.earlier, self.earlier_until = self.entries, now + VIEW_SECONDS
        self.entries = {}
        self.position = Position(epoch, 0)


class Views:
    """Views of all control hosts; a late or repeated update changes nothing."""

    def __init__(self) -> None:
        self._views: dict[HostName, _View] = {}

    @property
    def last_heard(self) -> float:
        """When any control host was heard last."""
        return max((view.heard for view in self._views.values()), default=float("-inf"))

    def position(self, control: HostName) -> Position:
        """Return up to where this host follows a control host."""
        view = self._views.get(control)
        return Position(0, 0) if view is None else view.position

    def seconds_since_heard(self, control: HostName, now: float) -> float:
        """Return for how many seconds a control host has not been heard."""
        view = self._views.get(control)
        return float("inf") if view is None else now - view.heard

    def apply_update(self, update: Update, now: float) -> bool:
        """Take in an update; return whether it brought entries that were not known."""
        view = self._views.setdefault(update.host, _View())
        epoch, number = update.position
        is_new = epoch != view.position.epoch
        if is_new and (update.since or epoch in view.past_epochs):
            return False
        view.heard = now
        if is_new:
            view.begin(epoch, now)
        if update.since > view.position.number or number <= view.position.number:
            return False
        for entry in update.entries:
            view.entries[entry.lifetime] = entry
        view.position = update.position
        return True

    def forget_silent(self, now: float) -> None:
        """Drop the views of control hosts that are gone, unless no other is heard."""
        if now - self.last_heard > VIEW_SECONDS:
            return
        self._views = {
            host: view for host, view in self._views.items() if now - view.heard <= FORGET_SECONDS
        }

    def standings(self, now: float) -> list[Standing]:
        """Return whose word counts.

        While no control host is heard, nobody's word expires: what was known last is the best
        there is.
        """
        is_alone = now - self.last_heard > VIEW_SECONDS
        return [
            Standing(
                host,
                is_alone or now - view.heard <= VIEW_SECONDS,
                is_alone or now <= view.earlier_until,
            )
            for host, view in self._views.items()
        ]

    def merge(self, now: float) -> dict[Lifetime, KnownTarget]:
        """Return all lifetimes that any control host knows; the same until a standing changes."""
        merged: dict[Lifetime, KnownTarget] = {}
        for host, counts, earlier_counts in self.standings(now):
            view = self._views[host]
            _merge(merged, view.earlier.values(), earlier_counts)
            _merge(merged, view.entries.values(), counts)
        return merged


def _merge(
    merged: dict[Lifetime, KnownTarget], entries: Iterable[TargetEntry], counts: bool
) -> None:
    for entry in entries:
        is_fresh = counts and entry.has_recent_heartbeat and entry.state is not LifeState.GONE
        known = merged.get(entry.lifetime)
        if known is None:
            merged[entry.lifetime] = KnownTarget(entry, is_fresh)
            continue
        latest = entry if _rank(entry) > _rank(known.entry) else known.entry
        merged[entry.lifetime] = KnownTarget(latest, is_fresh or known.has_recent_heartbeat)


def _rank(entry: TargetEntry) -> tuple[int, int]:
    return entry.state, entry.sequence
