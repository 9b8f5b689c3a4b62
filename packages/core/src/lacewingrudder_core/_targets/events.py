"""What the targets' life cycle takes and gives: events, effects and outcomes."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import NamedTuple

from .._notes.catalogue import Catalogue
from ..types import HostName, TargetName, TargetRecord, ZoneName
from .announcements import Announcement


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
    """The services or orders changed."""

    catalogue: Catalogue


class HostsChanged(NamedTuple):
    """The entry hosts that are alive, this one included, with their zones."""

    zones: Mapping[HostName, ZoneName]


class InUse(NamedTuple):
    """A host, this one included, still has flows of these lost targets."""

    targets: tuple[TargetName, ...]


class Tick(NamedTuple):
    """Time passed."""


TargetEvent = Announced | RecordsHeard | CatalogueChanged | HostsChanged | InUse | Tick


class AnnounceReply(NamedTuple):
    """Answer the announcement that came with this token."""

    token: int
    outcome: AnnounceOutcome


class RecordsChanged(NamedTuple):
    """Records changed here.

    :param records: what this host wrote, to tell the other hosts; empty if it only heard others.
    """

    records: tuple[TargetRecord, ...]


TargetEffect = AnnounceReply | RecordsChanged
