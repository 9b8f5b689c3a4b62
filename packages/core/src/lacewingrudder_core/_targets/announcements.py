"""Announcements of targets, and the checks that they have to pass to be accepted."""

from __future__ import annotations

import hashlib
import hmac
from typing import NamedTuple

from .._notes.catalogue import Catalogue
from ..types import (
    Endpoint,
    KindPort,
    Service,
    Target,
    TargetName,
    TargetRecord,
    TargetState,
    ZoneName,
)
from .quarantine import Quarantine
from .records import RecordStore

ANNOUNCED_STATES = frozenset({TargetState.WARMING, TargetState.SERVING, TargetState.DRAINING})

KEY_OVERLAP_SECONDS = 600.0  # how long a service's former key is accepted after a change


class Announcement(NamedTuple):
    """What a target reports about itself.

    :param load: fraction of its capacity in use, 0 to 1.
    :param sequence: grows with each announcement of an incarnation.
    :param mac: hexadecimal keyed hash over the other fields, see :func:`announcement_mac`.
    """

    target: Target
    state: TargetState
    load: float
    sequence: int
    mac: str


def announcement_mac(key: str, target: Target, state: str, load: float, sequence: int) -> str:
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
            sequence,
        )
    )
    return hmac.new(key.encode(), text.encode(), hashlib.sha256).hexdigest()


class _FormerKey(NamedTuple):
    """A key that a service used before, accepted until a time."""

    key: str
    until: float


class _Position(NamedTuple):
    """The last accepted announcement of a target."""

    incarnation: int
    sequence: int


class AnnouncementValidator:
    """Validates announcements.

    :param zone: the zone of this host; its targets may announce here, and those of a zone that has
        no live host.
    :param records: the known records of targets.
    :param quarantine: determines whether a lost target's endpoint may still have flows.
    """

    def __init__(self, zone: ZoneName, records: RecordStore, quarantine: Quarantine) -> None:
        self._zone = zone
        self.zones: frozenset[ZoneName] = frozenset([zone])
        self._records = records
        self._quarantine = quarantine
        self._accepted: dict[TargetName, _Position] = {}
        self._former_keys: dict[str, _FormerKey] = {}

    def keep_former_keys(self, before: Catalogue, after: Catalogue, now: float) -> None:
        """Keep accepting former keys for a time, so that targets can switch to the new ones."""
        keys = {service.name: service.key for service in after.services}
        for service in before.services:
            if keys.get(service.name, service.key) != service.key:
                self._former_keys[service.name] = _FormerKey(service.key, now + KEY_OVERLAP_SECONDS)

    def record_accepted(self, announcement: Announcement) -> None:
        """Record an accepted announcement, so that replays and older ones are rejected."""
        target = announcement.target
        self._accepted[target.name] = _Position(target.incarnation, announcement.sequence)

    def last_sequence(self, target: Target) -> int:
        """Return the sequence of the last announcement of this incarnation accepted here, or 0."""
        position = self._accepted.get(target.name)
        return (
            position.sequence
            if position is not None and position.incarnation == target.incarnation
            else 0
        )

    def find_problem(self, announcement: Announcement, catalogue: Catalogue, now: float) -> str:
        """Return why an announcement is rejected; empty if it is accepted."""
        target = announcement.target
        service = catalogue.service(target.service)
        if service is None:
            return f"there is no service {target.service}"
        return (
            self._key_problem(announcement, service, now)
            or self._zone_problem(target)
            or _state_problem(announcement.state)
            or _ports_problem(target, service, catalogue)
            or self._sequence_problem(announcement)
            or self._endpoint_problem(target, now)
        )

    def _key_problem(self, announcement: Announcement, service: Service, now: float) -> str:
        former = self._former_keys.get(service.name)
        if _is_signed(announcement, service.key):
            return ""
        if former is not None and now < former.until and _is_signed(announcement, former.key):
            return ""
        return "the mac does not match the contents and the service's key"

    def _zone_problem(self, target: Target) -> str:
        if target.zone == self._zone or target.zone not in self.zones:
            return ""
        return f"zone {target.zone} has entry hosts; this one is in zone {self._zone}"

    def _sequence_problem(self, announcement: Announcement) -> str:
        target = announcement.target
        known = self._records.get(target.name)
        if known is None or target.incarnation > known.target.incarnation:
            return ""
        if target.incarnation < known.target.incarnation:
            return (
                f"incarnation {target.incarnation} is older than the known incarnation "
                f"{known.target.incarnation}"
            )
        last = max(known.sequence, self.last_sequence(target))
        if announcement.sequence <= last:
            return f"sequence {announcement.sequence} is not above {last}"
        if known.weight == 0 and announcement.state is not TargetState.DRAINING:
            return (
                f"incarnation {target.incarnation} has drained; only a new incarnation can return"
            )
        if target != known.target:
            return "the description of the target changed without a new incarnation"
        return ""

    def _endpoint_problem(self, target: Target, now: float) -> str:
        for entry in target.ports:
            endpoint = Endpoint(target.address, entry.port)
            for record in self._records.find_by_endpoint(endpoint):
                if _is_same_use(record, target, entry):
                    continue
                if record.state is TargetState.LOST and self._quarantine.is_over(record, now):
                    continue
                return (
                    f"{endpoint} belongs to service {record.target.service}, target "
                    f"{record.target.name}, and may still have its flows"
                )
        return ""


def _is_signed(announcement: Announcement, key: str) -> bool:
    target, state, load, sequence, mac = announcement
    expected = announcement_mac(key, target, state, load, sequence)
    return hmac.compare_digest(expected.encode(), mac.encode())


def _is_same_use(record: TargetRecord, target: Target, entry: KindPort) -> bool:
    same_target = (record.target.name, record.target.service) == (target.name, target.service)
    return same_target and entry in record.target.ports


def _state_problem(state: TargetState) -> str:
    if state in ANNOUNCED_STATES:
        return ""
    return f"a target can't announce the state {state}"


def _ports_problem(target: Target, service: Service, catalogue: Catalogue) -> str:
    ports = [entry.port for entry in target.ports]
    if len(set(ports)) != len(ports):
        return "two kinds of work share a port"
    known = {kind.name for kind in service.kinds}
    if not any(entry.kind in known for entry in target.ports):
        return f"the target has no port for any kind of work of service {service.name}"
    service_endpoints = {
        (other.address, kind.port) for other in catalogue.services for kind in other.kinds
    }
    taken = next((port for port in ports if (target.address, port) in service_endpoints), None)
    if taken is not None:
        return (
            f"{Endpoint(target.address, taken)} is the address of a service; a target needs another"
        )
    return ""
