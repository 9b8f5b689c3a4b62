"""The targets that check in with one control host, and what other control hosts said of theirs."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from ..types import Endpoint, TargetName
from .publisher import Publisher
from .types import CheckIn, LifeState, Lifetime, Position, TargetEntry

MISSED_BEATS = 3
"""Heartbeats in a row that a target may miss before it is taken for unreachable."""


class CheckInOutcome(enum.StrEnum):
    """What became of a check-in."""

    REGISTERED = "registered"
    RENEWED = "renewed"
    DRAINING = "draining"
    ENDED = "ended"
    LATE = "late"
    FOREIGN = "foreign"


class Registry:
    """Knows lifetimes of targets and publishes what changes.

    A control host publishes what it heard itself, and the drains and ends that others heard, since
    these must outlive the host that confirmed them.

    :param epoch: names this start of the host.
    :param heartbeat_seconds: how often a target checks in.
    """

    def __init__(self, epoch: int, heartbeat_seconds: float) -> None:
        self._publisher = Publisher(epoch)
        self._expiry_seconds = MISSED_BEATS * heartbeat_seconds
        self._heard: dict[Lifetime, float] = {}
        self._sequences: dict[Lifetime, int] = {}
        self._newest: dict[TargetName, int] = {}
        self._holders: dict[Endpoint, Lifetime] = {}

    @property
    def position(self) -> Position:
        """The last published change."""
        return self._publisher.position

    @property
    def last_removal(self) -> int:
        """Number of the last published drain or end."""
        return self._publisher.promised

    def since(self, position: Position) -> tuple[int, tuple[TargetEntry, ...]]:
        """Return the number that the changes follow, and the changes after a position."""
        return self._publisher.since(position)

    def entries(self) -> list[TargetEntry]:
        """Return all entries that this host publishes."""
        return self._publisher.entries()

    def restore(self, entries: Iterable[TargetEntry], now: float) -> None:
        """Take what this host published before it stopped; targets that ended since expire."""
        for entry in entries:
            self._publisher.put(entry, now)
            self._remember(entry)
            if entry.state is LifeState.GONE:
                continue
            self._sequences[entry.lifetime] = entry.sequence
            self._holders[entry.endpoint] = entry.lifetime
            if entry.has_recent_heartbeat:
                self._heard[entry.lifetime] = now

    def check_in(self, call: CheckIn, now: float) -> CheckInOutcome:
        """Take a target's check-in."""
        lifetime = call.lifetime
        known = self._publisher.get(lifetime)
        if known is not None and not _is_same(known, call):
            return CheckInOutcome.FOREIGN
        if self._is_over(call, known):
            return CheckInOutcome.LATE
        if call.sequence <= self._sequences.get(lifetime, -1):
            return CheckInOutcome.LATE
        self._sequences[lifetime] = call.sequence
        self._heard[lifetime] = now
        self._end_predecessors(call, now)
        if known is not None and known.state >= call.state and known.has_recent_heartbeat:
            return CheckInOutcome.RENEWED
        state = call.state if known is None else max(known.state, call.state)
        self._publisher.put(_entry(call, state), now)
        if state is LifeState.DRAINING:
            return CheckInOutcome.DRAINING
        return CheckInOutcome.REGISTERED

    def deregister(self, target: TargetName, born: int | None, now: float) -> CheckInOutcome:
        """Take a target's word that it ends.

        :param born: the lifetime that ends; without it a target ends only if it is draining, since
            the call may be a late one of an earlier lifetime.
        """
        newest = self._newest.get(target)
        if newest is None or (born is not None and born < newest):
            return CheckInOutcome.LATE
        lifetime = Lifetime(target, newest if born is None else born)
        known = self._publisher.get(lifetime)
        if known is None or known.state is LifeState.GONE:
            return CheckInOutcome.LATE
        if born is None and known.state is not LifeState.DRAINING:
            return CheckInOutcome.LATE
        self._end(known, now)
        return CheckInOutcome.ENDED

    def merge_remote(self, entries: Iterable[TargetEntry], now: float) -> bool:
        """Take in what another control host publishes; return whether something is passed on."""
        passed_on = False
        for entry in entries:
            if entry.state is LifeState.READY:
                continue
            known = self._publisher.get(entry.lifetime)
            if known is not None and known.state >= entry.state:
                continue
            fresh = (
                known is not None
                and known.has_recent_heartbeat
                and entry.state is LifeState.DRAINING
            )
            self._publisher.put(entry._replace(has_recent_heartbeat=fresh), now)
            self._remember(entry)
            passed_on = True
        return passed_on

    def expire(self, now: float) -> list[TargetEntry]:
        """Take targets for unreachable that missed their heartbeats; return these."""
        late = [life for life, heard in self._heard.items() if now - heard > self._expiry_seconds]
        stale: list[TargetEntry] = []
        for lifetime in late:
            del self._heard[lifetime]
            known = self._publisher.get(lifetime)
            if (
                known is not None
                and known.has_recent_heartbeat
                and known.state is not LifeState.GONE
            ):
                last = self._sequences.get(lifetime, known.sequence)
                stale.append(known._replace(has_recent_heartbeat=False, sequence=last))
                self._publisher.put(stale[-1], now)
        for entry in self._publisher.forget_gone(now):
            self._forget(entry)
        return stale

    def _is_over(self, call: CheckIn, known: TargetEntry | None) -> bool:
        if known is not None and known.state is LifeState.GONE:
            return True
        lifetime = call.lifetime
        if lifetime.started_ms < self._newest.get(lifetime.target, lifetime.started_ms):
            return True
        holder = self._holders.get(call.endpoint)
        return holder is not None and holder.started_ms > lifetime.started_ms

    def _end_predecessors(self, call: CheckIn, now: float) -> None:
        lifetime = call.lifetime
        newest = self._newest.get(lifetime.target)
        if newest is not None and newest < lifetime.started_ms:
            self._end_lifetime(Lifetime(lifetime.target, newest), now)
        holder = self._holders.get(call.endpoint)
        if holder is not None and holder != lifetime:
            self._end_lifetime(holder, now)
        self._newest[lifetime.target] = lifetime.started_ms
        self._holders[call.endpoint] = lifetime

    def _end_lifetime(self, lifetime: Lifetime, now: float) -> None:
        known = self._publisher.get(lifetime)
        if known is not None and known.state is not LifeState.GONE:
            self._end(known, now)

    def _end(self, known: TargetEntry, now: float) -> None:
        self._heard.pop(known.lifetime, None)
        self._publisher.put(known._replace(state=LifeState.GONE, has_recent_heartbeat=False), now)

    def _forget(self, entry: TargetEntry) -> None:
        lifetime = entry.lifetime
        self._sequences.pop(lifetime, None)
        if self._newest.get(lifetime.target) == lifetime.started_ms:
            del self._newest[lifetime.target]
        if self._holders.get(entry.endpoint) == lifetime:
            del self._holders[entry.endpoint]

    def _remember(self, entry: TargetEntry) -> None:
        target, born = entry.lifetime
        self._newest[target] = max(born, self._newest.get(target, born))


def _is_same(known: TargetEntry, call: CheckIn) -> bool:
    """Whether a call describes the lifetime as it was; a lifetime never moves."""
    return (known.service, known.endpoint, known.zone) == (call.service, call.endpoint, call.zone)


def _entry(call: CheckIn, state: LifeState) -> TargetEntry:
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
