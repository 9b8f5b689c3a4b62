"""Registry of the targets that check in with one control host.

It also contains the drains and ended lifetimes that other control hosts published.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from ..types import Endpoint, TargetName
from .contested_calls import ContestedCalls
from .departures import Departures
from .events import Departed
from .heartbeats import Heartbeats
from .lifetime_index import LifetimeIndex
from .silence_marks import SilenceMarks
from .silent_targets import SilentTargets
from .types import CheckIn, CheckInOutcome, EntryKey, LifeState, Lifetime, Position, TargetEntry
from .versioned_entries import VersionedEntries
from .views import KnownTarget
from .warmups import Warmups

MAX_MISSED_HEARTBEATS = 3
"""Consecutive heartbeats that a target may miss before it counts as unreachable."""


class Registry:
    """Tracks the lifetimes of targets and publishes their changes.

    Besides the check-ins that it received itself, a control host publishes the drains and ends of
    lifetimes that other control hosts received, since these must survive the host that confirmed
    them.

    A later lifetime of a target ends the earlier one if it is of the same service: the target has
    restarted. Another one at the same address ends none, as it may come from a writer that is no
    target; hosts that know which services are in use decide what to believe. They also decide
    between entries of one lifetime with different services, zones or addresses, which never merge.
    While this host hears one of these, another counts once its check-in is repeated.

    :param epoch: identifies this start of the host.
    :param heartbeat_seconds: interval at which targets check in.
    :param find_elsewhere: returns the entries of a lifetime that other control hosts publish.
    """

    def __init__(
        self,
        epoch: int,
        heartbeat_seconds: float,
        find_elsewhere: Callable[[Lifetime], Sequence[KnownTarget]] = lambda _: (),
    ) -> None:
        self._entries = VersionedEntries(epoch)
        self._lifetimes = LifetimeIndex()
        self._find_elsewhere = find_elsewhere
        self._heartbeats = Heartbeats(MAX_MISSED_HEARTBEATS * heartbeat_seconds)
        self._sequences: dict[EntryKey, int] = {}
        self._silence_marks = SilenceMarks(self._heartbeats.expiry_seconds)
        self._departures = Departures(heartbeat_seconds)
        self._warmups = Warmups()
        self._contested = ContestedCalls(heartbeat_seconds, self._heartbeats.expiry_seconds)
        self._silent_targets = SilentTargets()

    @property
    def position(self) -> Position:
        """Position of the last published change."""
        return self._entries.position

    @property
    def last_removal(self) -> int:
        """Number of the last published removal; see :attr:`VersionedEntries.last_removal`."""
        return self._entries.last_removal

    def changes_since(self, position: Position, now: float) -> tuple[int, tuple[TargetEntry, ...]]:
        """Return the changes after a position; see :meth:`VersionedEntries.changes_since`."""
        since, entries = self._entries.changes_since(position)
        return since, tuple(self._warmups.refresh(entry, now) for entry in entries)

    def entries(self) -> list[TargetEntry]:
        """Return all entries as they were published."""
        return self._entries.entries()

    def current_entries(self, now: float) -> list[TargetEntry]:
        """Return all entries with the warm-up that remains now."""
        return [self._warmups.refresh(entry, now) for entry in self._entries.entries()]

    def restore(self, entries: Iterable[TargetEntry], is_outdated: bool, now: float) -> None:
        """Restore the entries that this host published before it stopped.

        Targets that ended in the meantime expire.

        :param is_outdated: whether other hosts may have forgotten the lifetimes that ended since.
            Targets then count as unreachable until they check in.
        """
        for stored in entries:
            entry = stored._replace(has_recent_heartbeat=False) if is_outdated else stored
            self._put(entry, now)
            if entry.state is LifeState.GONE:
                continue
            self._sequences[entry.key] = entry.sequence
            self._warmups.record(entry.key, entry.warmup_remaining_ms, now)
            if entry.has_recent_heartbeat:
                self._heartbeats.record(entry.key, now)

    def check_in(self, call: CheckIn, now: float) -> CheckInOutcome:
        """Process the check-in of a target."""
        key = call.key
        known = self._entries.get(key)
        if known is None and self._is_conflicting(key, now):
            return CheckInOutcome.CONFLICTING
        if self._is_outdated(call, known, now):
            return CheckInOutcome.OUTDATED
        if call.sequence <= self._sequences.get(key, -1):
            return self._record_late(call, known, now)
        self._sequences[key] = call.sequence
        self._silence_marks.record_heartbeat(key, now)
        self._heartbeats.record(key, now)
        self._silent_targets.forget(key)
        if key in self._departures:
            self._departures.record_call(key, now)
        self._end_predecessors(call, now)
        is_cold_again = self._warmups.record(key, call.warmup_remaining_ms, now)
        if call.repeats(known) and not is_cold_again:
            return CheckInOutcome.RENEWED
        state = call.state if known is None else max(known.state, call.state)
        # A new warm-up of a known target is published without delay, as a removal is.
        self._put(TargetEntry.from_check_in(call, state), now, is_cold_again and known is not None)
        if state is LifeState.DRAINING:
            return CheckInOutcome.DRAINING
        return CheckInOutcome.REGISTERED

    def _record_late(self, call: CheckIn, known: TargetEntry | None, now: float) -> CheckInOutcome:
        """Process a check-in whose sequence number is too low.

        A target that drains never stops to, so its drain counts, and the call may be confirmed.
        """
        is_drain = call.state is LifeState.DRAINING
        if not is_drain or known is None or known.state is not LifeState.READY:
            return CheckInOutcome.OUTDATED
        self._put(known._replace(state=LifeState.DRAINING), now)
        return CheckInOutcome.DRAINING

    def deregister(self, target: TargetName, started_ms: int | None, now: float) -> CheckInOutcome:
        """Process the deregistration of a target, which gets no new flows from now on.

        It exits only once it has the reply, so its open flows stay until :meth:`end_departed`.

        :param started_ms: start time of the lifetime that ends. If it is ``None``, the current
            lifetime ends only if it is draining, since the call may be a delayed one of an earlier
            lifetime.
        """
        leaving = self.find_leaving(target, started_ms)
        for entry in leaving:
            if entry.state is LifeState.READY:
                self._put(entry._replace(state=LifeState.DRAINING), now)
            self._departures.record_call(entry.key, now)
        return CheckInOutcome.ENDED if leaving else CheckInOutcome.OUTDATED

    def find_leaving(self, target: TargetName, started_ms: int | None) -> list[TargetEntry]:
        """Return the entries that a deregistration is for; none if it is outdated.

        It names no service, zone or address, so it is for all entries of its lifetime.
        """
        if started_ms is not None:
            found = self._find_all(Lifetime(target, started_ms))
            return [entry for entry in found if entry.state is not LifeState.GONE]
        newest = self._lifetimes.newest_start(target)
        known = [] if newest is None else self._find_own(Lifetime(target, newest))
        return [entry for entry in known if entry.state is LifeState.DRAINING]

    def _find_own(self, lifetime: Lifetime) -> list[TargetEntry]:
        return self._entries.get_all(self._lifetimes.of_lifetime(lifetime))

    def _find_all(self, lifetime: Lifetime) -> list[TargetEntry]:
        """Return the entries of a lifetime, and those that only other control hosts have."""
        own = self._find_own(lifetime)
        keys = {entry.key for entry in own}
        return own + [
            row.entry._replace(has_recent_heartbeat=False)
            for row in self._find_elsewhere(lifetime)
            if row.entry.key not in keys
        ]

    def confirm_departure(self, lifetime: Lifetime, now: float) -> None:
        """Record that a target received the reply to its deregistration."""
        self._departures.record_confirmation(lifetime, now)

    def end_departed(self, now: float) -> list[Departed]:
        """End the targets that deregistered and have had the time to exit; return them."""
        departed: list[Departed] = []
        for key, is_confirmed in self._departures.pop_ended(now, self._is_heard_elsewhere):
            known = self._entries.get(key)
            if known is not None and known.state is not LifeState.GONE:
                self._end(known, now)
                departed.append(Departed(known, is_confirmed))
        return departed

    def merge_remote(self, entries: Iterable[TargetEntry], now: float) -> bool:
        """Merge the entries of another control host; return whether any of them is republished.

        Only removals are republished, which are drains and ends of lifetimes.
        """
        is_republished = False
        for entry in entries:
            if entry.state is LifeState.READY:
                continue
            known = self._entries.get(entry.key)
            if known is not None and known.state >= entry.state:
                continue
            has_recent_heartbeat = (
                known is not None
                and known.has_recent_heartbeat
                and entry.state is LifeState.DRAINING
            )
            self._put(entry._replace(has_recent_heartbeat=has_recent_heartbeat), now)
            is_republished = True
        return is_republished

    def heard_at(self, lifetime: Lifetime) -> float | None:
        """Return the time of a target's last heartbeat, or ``None`` if it is unreachable."""
        known = self.get(lifetime)
        return None if known is None else self._heartbeats.received_at(known.key)

    def _is_heard_elsewhere(self, key: EntryKey) -> bool:
        return any(
            row.has_recent_heartbeat and row.entry.key == key
            for row in self._find_elsewhere(key.lifetime)
        )

    def get(self, lifetime: Lifetime) -> TargetEntry | None:
        """Return the entry of a lifetime, of several one that is heard here, or ``None``."""
        return max(
            self._find_own(lifetime),
            key=lambda entry: (entry.key in self._heartbeats, -entry.state),
            default=None,
        )

    def mark_silent(self, lifetime: Lifetime, now: float) -> TargetEntry | None:
        """Mark a target that entry hosts report as unreachable until its next heartbeat.

        :return: its entry, or ``None`` if it isn't marked since too many of its service are, or
            since an earlier report was wrong.
        """
        known = self.get(lifetime)
        if known is None or known.state is not LifeState.READY:
            return None
        key = known.key
        if key not in self._heartbeats:
            return None
        ready = [
            entry.key
            for entry in self._entries.entries()
            if entry.service == known.service and entry.state is LifeState.READY
        ]
        if not self._silence_marks.may_mark(ready, now):
            return None
        self._heartbeats.remove(key)
        self._silence_marks.record(key, now)
        last = self._sequences.get(key, known.sequence)
        entry = known._replace(has_recent_heartbeat=False, sequence=last)
        self._put(entry, now, is_removal=True)
        return entry

    def expire(self, now: float) -> list[TargetEntry]:
        """Mark targets that missed their heartbeats as unreachable; return their entries.

        It also ends those that are unreachable for so long that they can't run any more.
        """
        stale: list[TargetEntry] = []
        for key in self._heartbeats.pop_overdue(now):
            known = self._entries.get(key)
            if (
                known is not None
                and known.has_recent_heartbeat
                and known.state is not LifeState.GONE
            ):
                last = self._sequences.get(key, known.sequence)
                stale.append(known._replace(has_recent_heartbeat=False, sequence=last))
                self._put(stale[-1], now)
        self._end_long_silent(now)
        for entry in self._entries.remove_ended(now):
            self._remove(entry)
        self._contested.expire(now)
        return stale

    def _put(self, entry: TargetEntry, now: float, is_removal: bool = False) -> None:
        """Publish an entry; see :meth:`VersionedEntries.put`."""
        self._entries.put(entry, now, is_removal)
        self._lifetimes.add(entry)
        self._silent_targets.update(entry, now)

    def _is_conflicting(self, key: EntryKey, now: float) -> bool:
        """Return whether a check-in contradicts a target of the same lifetime that is heard."""
        is_heard = any(row in self._heartbeats for row in self._lifetimes.of_lifetime(key.lifetime))
        return is_heard and not self._contested.is_repeated(key, now)

    def _is_outdated(self, call: CheckIn, known: TargetEntry | None, now: float) -> bool:
        if known is not None and known.state is LifeState.GONE:
            return True
        lifetime = call.lifetime
        rivals = self._find_rivals(lifetime, call.endpoint)
        later = [row for row in rivals if row.lifetime.started_ms > lifetime.started_ms]
        if any(call.is_of_same_target(row) for row in later):
            return True
        # A drain of a target that has ended already does no harm.
        is_contested = bool(later) and call.state is LifeState.READY
        if not is_contested or call.key in self._heartbeats:
            return False
        return not self._contested.is_repeated(call.key, now)

    def _find_rivals(self, lifetime: Lifetime, endpoint: Endpoint) -> list[TargetEntry]:
        """Return the entries of other lifetimes with the same name or address."""
        return self._entries.get_all(self._lifetimes.rivals(lifetime, endpoint))

    def _end_predecessors(self, call: CheckIn, now: float) -> None:
        """End the earlier lifetimes of a target that has restarted."""
        for rival in self._find_rivals(call.lifetime, call.endpoint):
            is_earlier = rival.lifetime.started_ms < call.lifetime.started_ms
            is_running = rival.state is not LifeState.GONE
            if is_earlier and is_running and call.is_of_same_target(rival):
                self._end(rival, now)

    def _end_long_silent(self, now: float) -> None:
        """End targets that nobody has heard for long and that have left or been replaced."""
        for known in self._entries.get_all(self._silent_targets.pop_long_silent(now)):
            if self._is_heard_elsewhere(known.key) or not self._has_left(known):
                self._silent_targets.update(known, now)
            else:
                self._end(known, now)

    def _has_left(self, entry: TargetEntry) -> bool:
        """Return whether a silent target drains, or a later one checks in at its address."""
        return entry.state is LifeState.DRAINING or any(
            rival.key in self._heartbeats
            and rival.endpoint == entry.endpoint
            and rival.lifetime.started_ms > entry.lifetime.started_ms
            for rival in self._find_rivals(entry.lifetime, entry.endpoint)
        )

    def _end(self, known: TargetEntry, now: float) -> None:
        self._heartbeats.remove(known.key)
        self._departures.remove(known.key)
        self._put(known._replace(state=LifeState.GONE, has_recent_heartbeat=False), now)

    def _remove(self, entry: TargetEntry) -> None:
        self._lifetimes.remove(entry)
        self._sequences.pop(entry.key, None)
        self._silence_marks.remove(entry.key)
        self._departures.remove(entry.key)
        self._warmups.forget(entry.key)
