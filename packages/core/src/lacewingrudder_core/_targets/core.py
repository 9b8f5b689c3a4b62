"""The targets' life cycle: announcements, leases and what other hosts say of targets.

The entry host to which a target announces itself owns its lease and writes its record; the other
hosts only merge records. If the owner is gone, every host of the target's zone waits for the target
to announce itself anew, and else declares it lost. Operators' orders are not written into records:
they come with the catalogue, which every host has, and outrank them.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .._notes.catalogue import Catalogue
from ..chart import StateChart
from ..core import Core
from ..types import HostName, OrderAction, TargetName, TargetRecord, TargetState, ZoneName
from .announcements import Announcement, AnnouncementChecks, announcement_mac
from .events import (
    Announced,
    AnnounceOutcome,
    AnnounceReply,
    CatalogueChanged,
    HostsChanged,
    InUse,
    RecordsChanged,
    RecordsHeard,
    Rejected,
    Renewed,
    TargetEffect,
    TargetEvent,
    Tick,
)
from .lease import LEASE_SECONDS, Lease
from .lifecycle import LifeCycle
from .quarantine import Quarantine
from .records import RecordBook, records_digest, supersedes

__all__ = [
    "Announced",
    "Announcement",
    "AnnounceOutcome",
    "AnnounceReply",
    "CatalogueChanged",
    "InUse",
    "HostsChanged",
    "RecordsChanged",
    "RecordsHeard",
    "Rejected",
    "Renewed",
    "TargetCore",
    "TargetEffect",
    "TargetEvent",
    "Tick",
    "announcement_mac",
    "records_digest",
]

CHECK_SECONDS = 0.5
FREEZE_SECONDS = 1.5
ORPHAN_SECONDS = 2 * LEASE_SECONDS
ORPHAN_STAGGER_SECONDS = 0.5
MOVE_SECONDS = 30.0


class _Orphan(NamedTuple):
    """Since when the owner of a record's lease is gone."""

    version: int
    since: float


class TargetCore(Core[TargetEvent, TargetEffect]):
    """Holds the records of all targets and the leases of those that announce here.

    :param name: the name of this host.
    :param zone: the zone of this host; its targets announce here, and those of a zone that has no
        live host.
    :param chart: the life cycle of a target.
    """

    def __init__(self, name: HostName, zone: ZoneName, chart: StateChart) -> None:
        self._name = name
        self._zone = zone
        self._catalogue = Catalogue()
        self._book = RecordBook()
        self._life = LifeCycle(name, chart, self._book)
        self._quarantine = Quarantine()
        self._checks = AnnouncementChecks(zone, self._book, self._quarantine)
        self._leases: dict[TargetName, Lease] = {}
        self._orphans: dict[TargetName, _Orphan] = {}
        self._moved: dict[TargetName, float] = {}
        self._hosts: Mapping[HostName, ZoneName] = {name: zone}
        self._ticked: float | None = None
        self._checked = float("-inf")

    @property
    def records(self) -> tuple[TargetRecord, ...]:
        """All records, in no particular order."""
        return self._book.records

    def state(self, name: TargetName) -> TargetState | None:
        """Return a target's state with the operators' order for it, or ``None`` if unknown."""
        record = self._book.get(name)
        if record is None:
            return None
        order = self._catalogue.order(name)
        return record.state if order is None else self._life.next(record.state, order.value)

    def lost(self, names: Iterable[TargetName]) -> tuple[TargetRecord, ...]:
        """Return the records of those of the named targets that are lost."""
        known = (self._book.get(name) for name in names)
        return tuple(r for r in known if r is not None and r.state is TargetState.LOST)

    def handle(self, event: TargetEvent, now: float) -> list[TargetEffect]:
        """Take one event."""
        match event:
            case Announced():
                return self._announced(event, now)
            case RecordsHeard():
                return self._heard(event.records, now)
            case CatalogueChanged():
                return self._catalogue_changed(event.catalogue, now)
            case HostsChanged():
                self._hosts = event.zones
                self._checks.zones = frozenset(event.zones.values())
                return []
            case InUse():
                self._quarantine.claim(event.targets, now)
                return []
            case Tick():
                return self._tick(now)

    def _announced(self, event: Announced, now: float) -> list[TargetEffect]:
        announcement = event.announcement
        problem = self._checks.problem(announcement, self._catalogue, now)
        if problem:
            return [AnnounceReply(event.token, Rejected(problem))]
        self._checks.accepted(announcement)
        answer = AnnounceReply(event.token, Renewed(LEASE_SECONDS))
        known = self._book.get(announcement.target.name)
        record = self._life.begun(announcement, known)
        if record is not known:
            self._leases.pop(record.target.name, None)
        lease = self._lease(announcement, record, now)
        if record.owner != self._name and not self._takes_over(lease, record, now):
            return [answer]
        record = self._life.progress(record._replace(owner=self._name), lease, now)
        return [answer, *self._write([record], now)]

    def _lease(self, announcement: Announcement, record: TargetRecord, now: float) -> Lease:
        lease = self._leases.get(announcement.target.name)
        if lease is None:
            lease = Lease(announcement, record.flaps, now)
            self._leases[announcement.target.name] = lease
        else:
            lease.renew(announcement, now)
        return lease

    def _takes_over(self, lease: Lease, record: TargetRecord, now: float) -> bool:
        """Return whether this host becomes the owner of a lease another host owns.

        A target that keeps to this host moves its lease here, if it did not move of late; one that
        announces to many hosts in turn does not, unless it drains, which must not wait.
        """
        if record.owner not in self._hosts:
            return True
        if lease.said is TargetState.DRAINING and record.state is not TargetState.DRAINING:
            return True
        moved = self._moved.get(record.target.name, float("-inf"))
        return lease.is_steady and now - moved > MOVE_SECONDS

    def _write(self, records: Iterable[TargetRecord], now: float) -> list[TargetEffect]:
        """Keep those of the given records that differ, under a new version of this owner."""
        written = []
        for record in records:
            if self._book.get(record.target.name) == record:
                continue
            sequence = max(record.sequence, self._checks.last_sequence(record.target))
            record = record._replace(
                version=record.version + 1, owner=self._name, sequence=sequence
            )
            self._keep(record, now)
            written.append(record)
        return [RecordsChanged(tuple(written))] if written else []

    def _keep(self, record: TargetRecord, now: float) -> None:
        known = self._book.get(record.target.name)
        if known is not None and known.owner != record.owner:
            self._moved[record.target.name] = now
        self._book.put(record)
        self._quarantine.update(record, now)

    def _heard(self, records: tuple[TargetRecord, ...], now: float) -> list[TargetEffect]:
        changed = False
        answers = []
        for record in records:
            before = self._book.get(record.target.name)
            if not supersedes(record, before):
                continue
            changed = True
            self._keep(record, now)
            if before is not None and self._knows_better(record, before):
                answers.append(self._answer(record, before, now))
        return self._write(answers, now) or ([RecordsChanged(())] if changed else [])

    def _knows_better(self, record: TargetRecord, before: TargetRecord) -> bool:
        """Return whether this host heard the target after the record's owner did.

        The owner then lost a target that announces itself here, or took up a replay.
        """
        lease = self._leases.get(record.target.name)
        if lease is not None and lease.is_held:
            return False
        is_other = record.owner != before.owner or record.state is TargetState.LOST
        later = self._checks.last_sequence(record.target) > record.sequence
        return is_other and later and record.target == before.target

    def _answer(self, record: TargetRecord, before: TargetRecord, now: float) -> TargetRecord:
        """Return the record in place of one that another host wrote without knowing as much."""
        lease = self._leases.get(record.target.name)
        if lease is None or lease.has_expired(now):
            return record if record.state is TargetState.LOST else self._life.lost(record)
        state = before.state if record.state is TargetState.LOST else record.state
        return record._replace(state=state, owner=self._name)

    def _catalogue_changed(self, catalogue: Catalogue, now: float) -> list[TargetEffect]:
        self._checks.change_keys(self._catalogue, catalogue, now)
        before = {order.target: order.action for order in self._catalogue.orders}
        self._catalogue = catalogue
        stops = (OrderAction.DRAIN, OrderAction.WITHDRAW)
        restored = [
            self._restored(name, now)
            for name, action in before.items()
            if action in stops and catalogue.order(name) not in stops
        ]
        return self._write(filter(None, restored), now)

    def _restored(self, name: TargetName, now: float) -> TargetRecord | None:
        record = self._book.get(name)
        lease = self._leases.get(name)
        if record is None or lease is None or record.owner != self._name:
            return None
        return self._life.restored(record, lease, now)

    def _tick(self, now: float) -> list[TargetEffect]:
        if self._ticked is not None and now - self._ticked > FREEZE_SECONDS:
            self._postpone(now - self._ticked)
        self._ticked = now
        if now - self._checked < CHECK_SECONDS:
            return []
        self._checked = now
        return self._write([*self._owned_progress(now), *self._lost_orphans(now)], now)

    def _postpone(self, seconds: float) -> None:
        """Hold all state after this process did not run, until the targets renewed it."""
        for lease in self._leases.values():
            lease.postpone(seconds)
        self._quarantine.postpone(seconds)
        self._orphans.clear()

    def _owned_progress(self, now: float) -> list[TargetRecord]:
        changed = []
        for name, lease in list(self._leases.items()):
            record = self._book.get(name)
            assert record is not None
            if lease.has_expired(now):
                del self._leases[name]
                if record.owner == self._name:
                    changed.append(self._life.lost(record))
            elif record.owner == self._name:
                changed.append(self._life.progress(record, lease, now))
        return changed

    def _lost_orphans(self, now: float) -> list[TargetRecord]:
        """Return as lost what no live host holds a lease of for too long."""
        orphans = {
            record.target.name: record for record in self._book.records if self._is_orphan(record)
        }
        self._orphans = {name: self._orphan(record, now) for name, record in orphans.items()}
        wait = ORPHAN_SECONDS + ORPHAN_STAGGER_SECONDS * self._place_in_zone()
        return [
            self._life.lost(record)
            for name, record in orphans.items()
            if now - self._orphans[name].since > wait
        ]

    def _orphan(self, record: TargetRecord, now: float) -> _Orphan:
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

    def _place_in_zone(self) -> int:
        near = [name for name, zone in self._hosts.items() if zone == self._zone]
        return sorted(near).index(self._name)
