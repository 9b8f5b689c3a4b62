"""Events, effects and outcomes of the target core."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import NamedTuple

from .._notes.catalogue import Catalogue
from ..types import HostName, TargetName, TargetRecord, ZoneName
from .announcements import Announcement


@dataclasses.dataclass(frozen=True, slots=True)
class Renewed:
    """The announcement was accepted; the target has to announce itself again within the lease.

    :param lease: duration in seconds.
    """

    lease: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The announcement was rejected.

    :param reason: which check failed, in words.
    """

    reason: str


AnnounceOutcome = Renewed | Rejected


class Announced(NamedTuple):
    """A target announced itself to this host.

    :param token: identifies the announcement in its :class:`AnnounceReply`.
    """

    token: int
    announcement: Announcement


class RecordsReceived(NamedTuple):
    """Records arrived from another host."""

    records: tuple[TargetRecord, ...]


class CatalogueChanged(NamedTuple):
    """The services or operators' orders changed."""

    catalogue: Catalogue


class HostsChanged(NamedTuple):
    """The set of live entry hosts changed.

    :param zones: the live hosts, this one included, and their zones.
    """

    zones: Mapping[HostName, ZoneName]


class LostTargetsClaimed(NamedTuple):
    """A host, possibly this one, still has flows on these lost targets."""

    targets: tuple[TargetName, ...]


class Tick(NamedTuple):
    """Periodic timer event: advances and expires the leases of targets."""


TargetEvent = (
    Announced | RecordsReceived | CatalogueChanged | HostsChanged | LostTargetsClaimed | Tick
)


class AnnounceReply(NamedTuple):
    """Reply to the announcement that came with this token."""

    token: int
    outcome: AnnounceOutcome


class RecordsChanged(NamedTuple):
    """Records changed on this host.

    :param records: those that this host wrote, to send to the others; empty if all changes were
        received from other hosts.
    """

    records: tuple[TargetRecord, ...]


TargetEffect = AnnounceReply | RecordsChanged
