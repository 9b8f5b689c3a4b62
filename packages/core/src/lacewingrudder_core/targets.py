"""The targets' life cycle: announcements, leases and what other hosts say of targets."""

from __future__ import annotations

import dataclasses
import hashlib
import hmac
from collections.abc import Iterable
from typing import NamedTuple

from .chart import Chart
from .core import Core
from .hashing import name_hash
from .notes import Catalogue
from .types import HostName, Target, TargetName, TargetRecord, TargetState

LEASE_SECONDS = 3.0


class Announcement(NamedTuple):
    """What a target says of itself.

    :param load: busy share, 0 to 1.
    :param mac: hexadecimal keyed hash over the rest, see :func:`announcement_mac`.
    """

    target: Target
    state: TargetState
    load: float
    mac: str


@dataclasses.dataclass(frozen=True, slots=True)
class Renewed:
    """The announcement was taken; it has to be renewed within the lease.

    :param lease: seconds.
    """

    lease: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The announcement was not taken."""

    reason: str


AnnounceOutcome = Renewed | Rejected


class Announced(NamedTuple):
    """A target announced itself to this host."""

    token: int
    announcement: Announcement


class RecordsHeard(NamedTuple):
    """Another host told what it knows of targets."""

    records: tuple[TargetRecord, ...]


class CatalogueChanged(NamedTuple):
    """The services changed."""

    catalogue: Catalogue


class Tick(NamedTuple):
    """Time passed."""


TargetEvent = Announced | RecordsHeard | CatalogueChanged | Tick


class Answer(NamedTuple):
    """Answer the announcement that came with this token."""

    token: int
    outcome: AnnounceOutcome


class RecordsChanged(NamedTuple):
    """These records changed here; tell the other hosts."""

    records: tuple[TargetRecord, ...]


TargetEffect = Answer | RecordsChanged


def announcement_mac(key: str, target: Target, state: str, load: float) -> str:
    """Return the keyed hash that authenticates an announcement.

    :param key: the service's key from its release note.
    """
    ports = ",".join(f"{entry.kind}={entry.port}" for entry in target.ports)
    text = "|".join(
        str(part)
        for part in (
            target.name,
            target.service,
            target.zone,
            ports,
            target.slots,
            target.connection_limit,
            target.incarnation,
            state,
            f"{load:.3f}",
        )
    )
    return hmac.new(key.encode(), text.encode(), hashlib.sha256).hexdigest()


def records_digest(records: Iterable[TargetRecord]) -> int:
    """Return a hash over records that does not depend on their order."""
    digest = 0
    for record in records:
        text = f"{record.target.name}|{record.target.incarnation}|{record.version}|{record.state}"
        digest ^= name_hash(text)
    return digest


class TargetCore(Core[TargetEvent, TargetEffect]):
    """Holds the records of all targets and the leases of those that announce here.

    :param name: the name of this host.
    :param chart: the life cycle of a target.
    """

    def __init__(self, name: HostName, chart: Chart) -> None:
        self._name = name
        self._chart = chart
        self._catalogue = Catalogue()
        self._records: dict[TargetName, TargetRecord] = {}
        self._renewed: dict[TargetName, float] = {}

    @property
    def records(self) -> tuple[TargetRecord, ...]:
        """All records, in no particular order."""
        return tuple(self._records.values())

    def handle(self, event: TargetEvent, now: float) -> list[TargetEffect]:
        """Take one event."""
        if isinstance(event, Announced):
            return self._announced(event, now)
        if isinstance(event, RecordsHeard):
            return self._heard(event.records)
        if isinstance(event, CatalogueChanged):
            self._catalogue = event.catalogue
            return []
        return self._expire(now)

    def _announced(self, event: Announced, now: float) -> list[TargetEffect]:
        announcement = event.announcement
        problem = self._problem(announcement)
        if problem:
            return [Answer(event.token, Rejected(problem))]
        target = announcement.target
        self._renewed[target.name] = now
        answer = Answer(event.token, Renewed(LEASE_SECONDS))
        known = self._records.get(target.name)
        if known is not None and known.target == target and known.state is announcement.state:
            return [answer]
        version = known.version + 1 if known else 1
        record = TargetRecord(target, announcement.state, version, announcement.load, self._name)
        self._records[target.name] = record
        return [answer, RecordsChanged((record,))]

    def _problem(self, announcement: Announcement) -> str:
        service = self._catalogue.service(announcement.target.service)
        if service is None:
            return f"there is no service {announcement.target.service}"
        expected = announcement_mac(
            service.key, announcement.target, announcement.state, announcement.load
        )
        if not hmac.compare_digest(expected, announcement.mac):
            return "the key does not match the service's"
        return ""

    def _heard(self, records: tuple[TargetRecord, ...]) -> list[TargetEffect]:
        changed = tuple(record for record in records if self._supersedes(record))
        for record in changed:
            self._records[record.target.name] = record
        return [RecordsChanged(())] if changed else []

    def _supersedes(self, record: TargetRecord) -> bool:
        known = self._records.get(record.target.name)
        if known is None:
            return True
        return (record.target.incarnation, record.version) > (
            known.target.incarnation,
            known.version,
        )

    def _expire(self, now: float) -> list[TargetEffect]:
        late = [name for name, at in self._renewed.items() if now - at > LEASE_SECONDS]
        lost = []
        for name in late:
            del self._renewed[name]
            record = self._records[name]
            if record.owner != self._name:
                continue
            record = record._replace(state=TargetState.LOST, version=record.version + 1)
            self._records[name] = record
            lost.append(record)
        return [RecordsChanged(tuple(lost))] if lost else []
