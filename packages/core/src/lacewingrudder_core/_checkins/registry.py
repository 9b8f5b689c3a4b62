"""Registry of the targets that check in with one control host.

It also contains the drains and ended lifetimes that other control hosts published.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

from ..types import Endpoint, TargetName
from .types import CheckIn, LifeState, Lifetime, Position, TargetEntry
from .versioned_entries import VersionedEntries

MAX_MISSED_HEARTBEATS = 3
"""Consecutive heartbeats that a target may miss before it counts as unreachable."""

MAX_REPORTED_SHARE = 1 / 3
"""Share of a service's targets that may count as unreachable because of reports alone, though at
least one: wrong reports must not take away most of a service."""

FALSE_ALARM_BACKOFF_SECONDS = 10.0
"""How long reports are ignored after one that a heartbeat refuted: the network seems to lose
packets."""


class CheckInOutcome(enum.StrEnum):
    """Result of a check-in or deregistration.

    An outdated call has no effect: its lifetime is unknown, ended or superseded, the same or a
    later call of it arrived before, or a call to deregister may be one of an earlier lifetime.
    """

    REGISTERED = "registered"
    RENEWED = "renewed"
    DRAINING = "draining"
    ENDED = "ended"
    OUTDATED = "late"
    CONFLICTING = "foreign"


class Registry:
    """Tracks the lifetimes of targets and publishes their changes.

    Besides the check-ins that it received itself, a control host publishes the drains and ends of
    lifetimes that other control hosts received, since these must survive the host that confirmed
    them.

    :param epoch: identifies this start of the host.
    :param heartbeat_seconds: interval at which targets check in.
    """

    def __init__(self, epoch: int, heartbeat_seconds: float) -> None:
        self._entries = VersionedEntries(epoch)
        self._expiry_seconds = MAX_MISSED_HEARTBEATS * heartbeat_seconds
        self._received_at: dict[Lifetime, float] = {}
        self._sequences: dict[Lifetime, int] = {}
        self._reported_at: dict[Lifetime, float] = {}
        self._trusts_reports_from = float("-inf")
        self._newest_start_ms: dict[TargetName, int] = {}
        self._lifetime_by_endpoint: dict[Endpoint, Lifetime] = {}

    @property
    def position(self) -> Position:
        """Position of the last published change."""
        return self._entries.position

    @property
    def last_removal(self) -> int:
        """Number of the last published removal; see :attr:`VersionedEntries.last_removal`."""
        return self._entries.last_removal

    def changes_since(self, position: Position) -> tuple[int, tuple[TargetEntry, ...]]:
        """Return the changes after a position; see :meth:`VersionedEntries.changes_since`."""
        return self._entries.changes_since(position)

    def entries(self) -> list[TargetEntry]:
        """Return all published entries."""
        return self._entries.entries()

    def restore(self, entries: Iterable[TargetEntry], is_outdated: bool, now: float) -> None:
        """Restore the entries that this host published before it stopped.

        Targets that ended in the meantime expire.

        :param is_outdated: whether other hosts may have forgotten the lifetimes that ended since.
            Targets then count as unreachable until they check in.
        """
        for stored in entries:
            entry = stored._replace(has_recent_heartbeat=False) if is_outdated else stored
            self._entries.put(entry, now)
            self._record_newest_start(entry)
            if entry.state is LifeState.GONE:
                continue
            self._sequences[entry.lifetime] = entry.sequence
            self._lifetime_by_endpoint[entry.endpoint] = entry.lifetime
            if entry.has_recent_heartbeat:
                self._received_at[entry.lifetime] = now

    def check_in(self, call: CheckIn, now: float) -> CheckInOutcome:
        """Process the check-in of a target."""
        lifetime = call.lifetime
        known = self._entries.get(lifetime)
        if known is not None and not _matches(known, call):
            return CheckInOutcome.CONFLICTING
        if self._is_outdated(call, known):
            return CheckInOutcome.OUTDATED
        if call.sequence <= self._sequences.get(lifetime, -1):
            return CheckInOutcome.OUTDATED
        self._sequences[lifetime] = call.sequence
        if self._reported_at.pop(lifetime, None) is not None:
            self._trusts_reports_from = now + FALSE_ALARM_BACKOFF_SECONDS
        self._received_at.pop(lifetime, None)
        self._received_at[lifetime] = now
        self._end_predecessors(call, now)
        if known is not None and known.state >= call.state and known.has_recent_heartbeat:
            return CheckInOutcome.RENEWED
        state = call.state if known is None else max(known.state, call.state)
        self._entries.put(_make_entry(call, state), now)
        if state is LifeState.DRAINING:
            return CheckInOutcome.DRAINING
        return CheckInOutcome.REGISTERED

    def deregister(self, target: TargetName, started_ms: int | None, now: float) -> CheckInOutcome:
        """Process the deregistration of a target.

        :param started_ms: start time of the lifetime that ends. If it is ``None``, the current
            lifetime ends only if it is draining, since the call may be a delayed one of an earlier
            lifetime.
        """
        newest = self._newest_start_ms.get(target)
        if newest is None or (started_ms is not None and started_ms < newest):
            return CheckInOutcome.OUTDATED
        lifetime = Lifetime(target, newest if started_ms is None else started_ms)
        known = self._entries.get(lifetime)
        if known is None or known.state is LifeState.GONE:
            return CheckInOutcome.OUTDATED
        if started_ms is None and known.state is not LifeState.DRAINING:
            return CheckInOutcome.OUTDATED
        self._end(known, now)
        return CheckInOutcome.ENDED

    def merge_remote(self, entries: Iterable[TargetEntry], now: float) -> bool:
        """Merge the entries of another control host; return whether any of them is republished.

        Only removals are republished, which are drains and ends of lifetimes.
        """
        is_republished = False
        for entry in entries:
            if entry.state is LifeState.READY:
                continue
            known = self._entries.get(entry.lifetime)
            if known is not None and known.state >= entry.state:
                continue
            has_recent_heartbeat = (
                known is not None
                and known.has_recent_heartbeat
                and entry.state is LifeState.DRAINING
            )
            self._entries.put(entry._replace(has_recent_heartbeat=has_recent_heartbeat), now)
            self._record_newest_start(entry)
            is_republished = True
        return is_republished

    def heard_at(self, lifetime: Lifetime) -> float | None:
        """Return the time of a target's last heartbeat, or ``None`` if it is unreachable."""
        return self._received_at.get(lifetime)

    def get(self, lifetime: Lifetime) -> TargetEntry | None:
        """Return the entry of a lifetime, or ``None``."""
        return self._entries.get(lifetime)

    def mark_silent(self, lifetime: Lifetime, now: float) -> TargetEntry | None:
        """Mark a target that entry hosts report as unreachable until its next heartbeat.

        :return: its entry, or ``None`` if it isn't marked since too many of its service are, or
            since an earlier report was wrong.
        """
        known = self._entries.get(lifetime)
        if known is None or known.state is not LifeState.READY:
            return None
        if lifetime not in self._received_at:
            return None
        if now < self._trusts_reports_from or not self._may_mark(known.service, now):
            return None
        del self._received_at[lifetime]
        self._reported_at[lifetime] = now
        last = self._sequences.get(lifetime, known.sequence)
        entry = known._replace(has_recent_heartbeat=False, sequence=last)
        self._entries.put(entry, now, is_removal=True)
        return entry

    def _may_mark(self, service: str, now: float) -> bool:
        self._reported_at = {
            lifetime: at
            for lifetime, at in self._reported_at.items()
            if now - at <= self._expiry_seconds
        }
        ready = [
            entry.lifetime
            for entry in self._entries.entries()
            if entry.service == service and entry.state is LifeState.READY
        ]
        reported = sum(lifetime in self._reported_at for lifetime in ready)
        return reported + 1 <= max(1, int(MAX_REPORTED_SHARE * len(ready)))

    def expire(self, now: float) -> list[TargetEntry]:
        """Mark targets that missed their heartbeats as unreachable; return their entries."""
        expired = self._pop_overdue(now)
        stale: list[TargetEntry] = []
        for lifetime in expired:
            known = self._entries.get(lifetime)
            if (
                known is not None
                and known.has_recent_heartbeat
                and known.state is not LifeState.GONE
            ):
                last = self._sequences.get(lifetime, known.sequence)
                stale.append(known._replace(has_recent_heartbeat=False, sequence=last))
                self._entries.put(stale[-1], now)
        for entry in self._entries.remove_ended(now):
            self._remove(entry)
        return stale

    def _pop_overdue(self, now: float) -> list[Lifetime]:
        """Remove and return the lifetimes without a recent heartbeat; the oldest come first."""
        overdue: list[Lifetime] = []
        while self._received_at:
            lifetime, received_at = next(iter(self._received_at.items()))
            if now - received_at <= self._expiry_seconds:
                break
            del self._received_at[lifetime]
            overdue.append(lifetime)
        return overdue

    def _is_outdated(self, call: CheckIn, known: TargetEntry | None) -> bool:
        if known is not None and known.state is LifeState.GONE:
            return True
        lifetime = call.lifetime
        if lifetime.started_ms < self._newest_start_ms.get(lifetime.target, lifetime.started_ms):
            return True
        holder = self._lifetime_by_endpoint.get(call.endpoint)
        return holder is not None and holder.started_ms > lifetime.started_ms

    def _end_predecessors(self, call: CheckIn, now: float) -> None:
        lifetime = call.lifetime
        newest = self._newest_start_ms.get(lifetime.target)
        if newest is not None and newest < lifetime.started_ms:
            self._end_lifetime(Lifetime(lifetime.target, newest), now)
        holder = self._lifetime_by_endpoint.get(call.endpoint)
        if holder is not None and holder != lifetime:
            self._end_lifetime(holder, now)
        self._newest_start_ms[lifetime.target] = lifetime.started_ms
        self._lifetime_by_endpoint[call.endpoint] = lifetime

    def _end_lifetime(self, lifetime: Lifetime, now: float) -> None:
        known = self._entries.get(lifetime)
        if known is not None and known.state is not LifeState.GONE:
            self._end(known, now)

    def _end(self, known: TargetEntry, now: float) -> None:
        self._received_at.pop(known.lifetime, None)
        self._entries.put(known._replace(state=LifeState.GONE, has_recent_heartbeat=False), now)

    def _remove(self, entry: TargetEntry) -> None:
        lifetime = entry.lifetime
        self._sequences.pop(lifetime, None)
        self._reported_at.pop(lifetime, None)
        if self._newest_start_ms.get(lifetime.target) == lifetime.started_ms:
            del self._newest_start_ms[lifetime.target]
        if self._lifetime_by_endpoint.get(entry.endpoint) == lifetime:
            del self._lifetime_by_endpoint[entry.endpoint]

    def _record_newest_start(self, entry: TargetEntry) -> None:
        target, started_ms = entry.lifetime
        self._newest_start_ms[target] = max(
            started_ms, self._newest_start_ms.get(target, started_ms)
        )


def _matches(known: TargetEntry, call: CheckIn) -> bool:
    """Return whether a call has the service, address and zone of its lifetime, which are fixed."""
    return (known.service, known.endpoint, known.zone) == (call.service, call.endpoint, call.zone)


def _make_entry(call: CheckIn, state: LifeState) -> TargetEntry:
    return TargetEntry(
        call.lifetime,
        call.identity,
        call.service,
        call.zone,
        call.endpoint,
        call.slots,
        state,
        call.sequence,
        call.warmup_remaining_ms,
        True,
    )
