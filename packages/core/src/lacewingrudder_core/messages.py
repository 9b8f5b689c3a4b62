"""Messages between processes; a codec outside of this package gives them their bytes."""

from __future__ import annotations

from typing import NamedTuple

from .notes import Catalogue, Change, Note, SubmitReply
from .types import HostName, Member, TargetName, TargetOrder, TargetRecord, ZoneName


class Heartbeat(NamedTuple):
    """Tells another entry host that the sender is alive and what it holds.

    :param revision: the sender's revision in force.
    :param digest: hash of the sender's target records, to detect a difference.
    """

    member: Member
    revision: int
    digest: int


class TargetUpdates(NamedTuple):
    """Target records that the sender believes the receiver may lack."""

    records: tuple[TargetRecord, ...]


class TargetsRequest(NamedTuple):
    """Asks for all target records."""


class Goodbye(NamedTuple):
    """An entry host leaves as planned, after it handed over its flows."""

    member: Member


class PinGroup(NamedTuple):
    """Flows that are kept on one target.

    :param hashes: 64-bit flow hashes, eight bytes each in network byte order.
    """

    target: TargetName
    hashes: bytes


class Pins(NamedTuple):
    """Flows whose target differs from the one that the table gives.

    :param home: the host that keeps these flows.
    """

    home: HostName
    groups: tuple[PinGroup, ...]


class Adopt(NamedTuple):
    """The receiver is the home of these flows; the sender served them until now."""

    groups: tuple[PinGroup, ...]


class Subscribe(NamedTuple):
    """An entry host asks a control host for what follows its revision; repeated as a lease.

    :param revision: the revision that the entry host has in force.
    """

    host: HostName
    zone: ZoneName
    revision: int


class Changes(NamedTuple):
    """Changes in revision order, the first of them one above the receiver's revision."""

    changes: tuple[Change, ...]


class Snapshot(NamedTuple):
    """A whole catalogue, for a receiver too far behind for changes."""

    catalogue: Catalogue


class SubmitNote(NamedTuple):
    """An operator hands in a note."""

    note: Note


class SubmitOrder(NamedTuple):
    """An operator orders something for one target."""

    order: TargetOrder


class StatusRequest(NamedTuple):
    """An operator asks for the state of the system."""


class HostStatus(NamedTuple):
    """An entry host as a control host last heard of it.

    :param age: seconds since it was heard.
    """

    name: HostName
    zone: ZoneName
    revision: int
    age: float


class Status(NamedTuple):
    """The answer to :class:`StatusRequest`.

    :param leader: the control host that accepts notes, empty if there is none.
    :param accepting: whether the answering side can accept notes now.
    :param missing: entry hosts that have not confirmed the revision.
    """

    revision: int
    leader: HostName
    accepting: bool
    hosts: tuple[HostStatus, ...]
    missing: tuple[HostName, ...]


class OperatorReply(NamedTuple):
    """The answer to a submission."""

    reply: SubmitReply


EntryMessage = (
    Heartbeat | TargetUpdates | TargetsRequest | Goodbye | Pins | Adopt | Changes | Snapshot
)
OperatorRequest = SubmitNote | SubmitOrder | StatusRequest
