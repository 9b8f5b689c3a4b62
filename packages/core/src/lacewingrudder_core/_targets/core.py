"""The life cycle of targets: announcements, leases and records from other hosts.

The entry host to which a target announces itself owns its lease and writes its record; the other
hosts only merge records. If the owner dies or leaves, the hosts of the target's zone wait for the
target to announce itself again and otherwise declare it lost. Operators' orders are not written
into records: they are part of the catalogue, which every host has, and take precedence.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .._notes.catalogue import Catalogue
from ..chart import StateChart
from ..core import Core
from ..types import HostName, OrderAction, TargetName, TargetRecord, TargetState, ZoneName
from .announcements import Announcement, AnnouncementValidator, announcement_mac
from .events import (
    Announced,
    AnnounceOutcome,
    AnnounceReply,
    CatalogueChanged,
    HostsChanged,
    LostTargetsClaimed,
    RecordsChanged,
    RecordsReceived,
    Rejected,
    Renewed,
    TargetEffect,
    TargetEvent,
    Tick,
)
from .lease import LEASE_SECONDS, Lease
from .lifecycle import LifeCycle
from .quarantine import Quarantine
from .records import RecordStore, records_digest, supersedes

__all__ = [
    "Announced",
    "Announcement",
    "AnnounceOutcome",
    "AnnounceReply",
    "CatalogueChanged",
    "LostTargetsClaimed",
    "HostsChanged",
    "RecordsChanged",
    "RecordsReceived",
    "Rejected",
    "Renewed",
    "TargetCore",
    "TargetEffect",
    "TargetEvent",
    "Tick",
    "announcement_mac",
    "records_digest",
]

CHECK_INTERVAL_SECONDS = 0.5
MAX_TICK_GAP_SECONDS = 1.5  # a longer gap between ticks means that this process was paused
ORPHAN_TIMEOUT_SECONDS = 2 * LEASE_SECONDS  # a target without a live lease owner is then lost
ORPHAN_STAGGER_SECONDS = 0.5  # between the hosts of a zone, so that one of them acts first
MIN_OWNER_CHANGE_INTERVAL_SECONDS = 30.0


class _Orphan(NamedTuple):
    """A record whose lease has no live owner.

    :param version: the version of the record; a new version restarts the timer.
    :param since: when this host noticed that the lease has no live owner.
    """

    version: int
    since: float


class TargetCore(Core[TargetEvent, TargetEffect]):
    """Keeps the records of all targets and the leases of those that announce here.

    :param name: the name of this host.
    :param zone: the zone of this host; its targets announce here, and those of a zone that has no
        live host.
    :param chart: the state machine of a target's life cycle.
    """

    def __init__(self, name: HostName, zone: ZoneName, chart: StateChart) -> None:
        self._name = name
        self._zone = zone
        self._catalogue = Catalogue()
        self._records = RecordStore()
        self._life_cycle = LifeCycle(name, chart, self._records)
        self._quarantine = Quarantine()
        self._validator = AnnouncementValidator(zone, self._records, self._quarantine)
        self._leases: dict[TargetName, Lease] = {}
        self._orphans: dict[TargetName, _Orphan] = {}
        self._moved_at: dict[TargetName, float] = {}
        self._hosts: Mapping[HostName, ZoneName] = {name: zone}
        self._ticked_at: float | None = None
        self._checked_at = float("-inf")

    @property
    def records(self) -> tuple[TargetRecord, ...]:
        """All records, in no particular order."""
        return self._records.records

    def state(self, name: TargetName) -> TargetState | None:
        """Return a target's state under the operators' order for it, or ``None`` if unknown."""
        record = self._records.get(name)
        if record is None:
            return None
        order = self._catalogue.order(name)
        return record.state if order is None else self._life_cycle.next(record.state, order.value)

    def find_lost(self, names: Iterable[TargetName]) -> tuple[TargetRecord, ...]:
        """Return the records of the lost targets among the given ones."""
        known = (self._records.get(name) for name in names)
        return tuple(r for r in known if r is not None and r.state is TargetState.LOST)

    def handle(self, event: TargetEvent, now: float) -> list[TargetEffect]:
        """Handle one event."""
        match event:
            case Announced():
                return self._handle_announcement(event, now)
            case RecordsReceived():
                return self._merge(event.records, now)
            case CatalogueChanged():
                return self._change_catalogue(event.catalogue, now)
            case HostsChanged():
                self._hosts = event.zones
                self._validator.zones = frozenset(event.zones.values())
                return []
            case LostTargetsClaimed():
                self._quarantine.claim(event.targets, now)
                return []
            case Tick():
                return self._tick(now)

    def _handle_announcement(self, event: Announced, now: float) -> list[TargetEffect]:
        announcement = event.announcement
        problem = self._validator.find_problem(announcement, self._catalogue, now)
        if problem:
            return [AnnounceReply(event.token, Rejected(problem))]
        self._validator.record_accepted(announcement)
        reply = AnnounceReply(event.token, Renewed(LEASE_SECONDS))
        known = self._records.get(announcement.target.name)
        record = self._life_cycle.start(announcement, known)
        if record is not known:
            self._leases.pop(record.target.name, None)
        lease = self._start_or_renew_lease(announcement, record, now)
        if record.owner != self._name and not self._should_take_over(lease, record, now):
            return [reply]
        record = self._life_cycle.progress(record._replace(owner=self._name), lease, now)
        return [reply, *self._write([record], now)]

    def _start_or_renew_lease(
        self, announcement: Announcement, record: TargetRecord, now: float
    ) -> Lease:
        lease = self._leases.get(announcement.target.name)
        if lease is None:
            lease = Lease(announcement, record.flaps, now)
            self._leases[announcement.target.name] = lease
        else:
            lease.renew(announcement, now)
        return lease

    def _should_take_over(self, lease: Lease, record: TargetRecord, now: float) -> bool:
        """Return whether this host becomes the owner of a lease that another host owns.

        The lease moves here if the target renews it here regularly and the lease did not move
        recently. The lease of a target that alternates between hosts stays, unless the target
        drains, which must take effect at once.
        """
        if record.owner not in self._hosts:
            return True
        if (
            lease.announced_state is TargetState.DRAINING
            and record.state is not TargetState.DRAINING
        ):
            return True
        moved_at = self._moved_at.get(record.target.name, float("-inf"))
        return lease.is_renewed_regularly and now - moved_at > MIN_OWNER_CHANGE_INTERVAL_SECONDS

    def _write(self, records: Iterable[TargetRecord], now: float) -> list[TargetEffect]:
        """Store the given records that changed, with a new version and this host as owner."""
        written = []
        for record in records:
            if self._records.get(record.target.name) == record:
                continue
            sequence = max(record.sequence, self._validator.last_sequence(record.target))
            record = record._replace(
                version=record.version + 1, owner=self._name, sequence=sequence
            )
            self._store(record, now)
            written.append(record)
        return [RecordsChanged(tuple(written))] if written else []

    def _store(self, record: TargetRecord, now: float) -> None:
        known = self._records.get(record.target.name)
        if known is not None and known.owner != record.owner:
            self._moved_at[record.target.name] = now
        self._records.put(record)
        self._quarantine.update(record, now)

    def _merge(self, records: tuple[TargetRecord, ...], now: float) -> list[TargetEffect]:
        """Store received records that supersede known ones, and correct outdated ones."""
        changed = False
        corrections = []
        for record in records:
            before = self._records.get(record.target.name)
            if not supersedes(record, before):
                continue
            changed = True
            self._store(record, now)
            if before is not None and self._has_newer_announcement(record, before):
                corrections.append(self._correct(record, before, now))
        return self._write(corrections, now) or ([RecordsChanged(())] if changed else [])

    def _has_newer_announcement(self, record: TargetRecord, before: TargetRecord) -> bool:
        """Return whether this host has a newer announcement than the owner of a received record.

        The owner has then declared a target lost that announces itself here, or accepted a
        replayed announcement.
        """
        lease = self._leases.get(record.target.name)
        if lease is not None and lease.is_suspended:
            return False
        is_conflicting = record.owner != before.owner or record.state is TargetState.LOST
        is_newer = self._validator.last_sequence(record.target) > record.sequence
        return is_conflicting and is_newer and record.target == before.target

    def _correct(self, record: TargetRecord, before: TargetRecord, now: float) -> TargetRecord:
        """Return the record that corrects one that another host wrote from older announcements."""
        lease = self._leases.get(record.target.name)
        if lease is None or lease.has_expired(now):
            return record if record.state is TargetState.LOST else self._life_cycle.expire(record)
        state = before.state if record.state is TargetState.LOST else record.state
        return record._replace(state=state, owner=self._name)

    def _change_catalogue(self, catalogue: Catalogue, now: float) -> list[TargetEffect]:
        self._validator.keep_former_keys(self._catalogue, catalogue, now)
        before, self._catalogue = self._catalogue, catalogue
        restored_zones = set(before.evacuations.zones) - set(catalogue.evacuations.zones)
        restored = _stopped_targets(before) - _stopped_targets(catalogue)
        restored |= {
            record.target.name
            for record in self._records.records
            if record.target.zone in restored_zones
        }
        return self._write(filter(None, (self._restore(n, now) for n in sorted(restored))), now)

    def _restore(self, name: TargetName, now: float) -> TargetRecord | None:
        record = self._records.get(name)
        lease = self._leases.get(name)
        if record is None or lease is None or record.owner != self._name:
            return None
        return self._life_cycle.restore(record, lease, now)

    def _tick(self, now: float) -> list[TargetEffect]:
        if self._ticked_at is not None and now - self._ticked_at > MAX_TICK_GAP_SECONDS:
            self._shift_timers(now - self._ticked_at)
        self._ticked_at = now
        if now - self._checked_at < CHECK_INTERVAL_SECONDS:
            return []
        self._checked_at = now
        return self._write([*self._progress_owned(now), *self._expire_orphans(now)], now)

    def _shift_timers(self, seconds: float) -> None:
        """Shift all timers after a pause of this process, and restart those of orphans."""
        for lease in self._leases.values():
            lease.shift(seconds)
        self._quarantine.shift(seconds)
        self._orphans.clear()

    def _progress_owned(self, now: float) -> list[TargetRecord]:
        """Return this host's records with their leases' progress, and delete expired leases."""
        changed = []
        for name, lease in list(self._leases.items()):
            record = self._records.get(name)
            assert record is not None
            if lease.has_expired(now):
                del self._leases[name]
                if record.owner == self._name:
                    changed.append(self._life_cycle.expire(record))
            elif record.owner == self._name:
                changed.append(self._life_cycle.progress(record, lease, now))
        return changed

    def _expire_orphans(self, now: float) -> list[TargetRecord]:
        """Return the records, as lost, of targets whose lease had no live owner for too long."""
        orphans = {
            record.target.name: record
            for record in self._records.records
            if self._is_orphan(record)
        }
        self._orphans = {
            name: self._get_or_make_orphan(record, now) for name, record in orphans.items()
        }
        wait = ORPHAN_TIMEOUT_SECONDS + ORPHAN_STAGGER_SECONDS * self._rank_in_zone()
        return [
            self._life_cycle.expire(record)
            for name, record in orphans.items()
            if now - self._orphans[name].since > wait
        ]

    def _get_or_make_orphan(self, record: TargetRecord, now: float) -> _Orphan:
        known = self._orphans.get(record.target.name)
        if known is not None and known.version == record.version:
            return known
        return _Orphan(record.version, now)

    def _is_orphan(self, record: TargetRecord) -> bool:
        if record.state is TargetState.LOST:
            return False
        if record.owner == self._name:
            return record.target.name not in self._leases
        return record.target.zone == self._zone and record.owner not in self._hosts

    def _rank_in_zone(self) -> int:
        zone_hosts = [name for name, zone in self._hosts.items() if zone == self._zone]
        return sorted(zone_hosts).index(self._name)


def _stopped_targets(catalogue: Catalogue) -> set[TargetName]:
    """Return the targets that an operator's order drains or withdraws."""
    stop_actions = (OrderAction.DRAIN, OrderAction.WITHDRAW)
    return {order.target for order in catalogue.orders if order.action in stop_actions}
