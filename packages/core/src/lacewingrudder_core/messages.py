"""Messages between processes; a codec outside of this package gives them their bytes."""

from __future__ import annotations

import enum
from typing import NamedTuple

from ._notes.catalogue import Change, Note, SubmitReply
from ._notes.configurations import StoredConfiguration
from .types import (
    HostName,
    Member,
    Service,
    TargetName,
    TargetOrder,
    TargetRecord,
    ZoneName,
)


class MemberStatus(enum.IntEnum):
    """What hosts believe of an entry host; at one incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberUpdate(NamedTuple):
    """News of one entry host, passed on from host to host."""

    member: Member
    status: MemberStatus


class Ping(NamedTuple):
    """Asks another entry host whether it is alive, and tells what the sender holds.

    :param sequence: comes back in the :class:`Ack`.
    :param revision: the sender's revision in force.
    :param members: digest of the live members that the sender knows.
    :param targets: digest of the target records that the sender knows.
    """

    sequence: int
    member: Member
    revision: int
    members: int
    targets: int
    updates: tuple[MemberUpdate, ...]


class Ack(NamedTuple):
    """Answers a :class:`Ping`, or says that the subject of a :class:`ProbeRequest` did.

    The fields are those of :class:`Ping`, for the host that sends the answer.
    """

    sequence: int
    member: Member
    revision: int
    members: int
    targets: int
    updates: tuple[MemberUpdate, ...]


class ProbeRequest(NamedTuple):
    """Asks the receiver to ping a host that the sender can't reach.

    :param sequence: comes back in the :class:`Ack` if the subject answers.
    """

    sequence: int
    subject: HostName


class MembersPull(NamedTuple):
    """Asks for the members in the buckets that differ; see :mod:`.digests`."""

    digests: bytes


class MemberUpdates(NamedTuple):
    """The answer to :class:`MembersPull`."""

    updates: tuple[MemberUpdate, ...]


class TargetsPull(NamedTuple):
    """Asks for the target records in the buckets that differ; see :mod:`.digests`."""

    digests: bytes


class TargetsInUse(NamedTuple):
    """Lost targets of which the sender still has flows; repeated while it does."""

    targets: tuple[TargetName, ...]


class TargetUpdates(NamedTuple):
    """Target records that the sender believes the receiver may lack.

    :param is_answer: whether they answer a :class:`TargetsPull`, and are no news to pass on.
    """

    records: tuple[TargetRecord, ...]
    is_answer: bool


class LeaveNotice(NamedTuple):
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


class Subscribe(NamedTuple):
    """An entry host asks for what follows its revision; repeated as a lease and as a receipt.

    :param revision: the revision that the entry host has in force.
    :param digest: hash of the contents of the catalogue it has in force.
    """

    host: HostName
    zone: ZoneName
    revision: int
    digest: int


class SubscribeReply(NamedTuple):
    """Answers a :class:`Subscribe`.

    :param revision: the revision that the answering host has.
    :param digest: hash of the contents of its catalogue.
    """

    revision: int
    digest: int


class Changes(NamedTuple):
    """Changes in revision order, the first of them one above the receiver's revision."""

    changes: tuple[Change, ...]


class SnapshotPart(NamedTuple):
    """A part of a whole catalogue, for a receiver too far behind for changes.

    :param revision: the revision of the whole.
    :param digest: hash of the contents of the whole.
    :param part: the part's place, from 0.
    :param parts: how many parts make the whole.
    """

    revision: int
    digest: int
    part: int
    parts: int
    services: tuple[Service, ...]
    orders: tuple[TargetOrder, ...]


class SnapshotPull(NamedTuple):
    """Asks for the next part of a snapshot.

    :param revision: the revision whose parts the sender collects.
    :param part: the part's place, from 0.
    """

    host: HostName
    revision: int
    part: int


class SubmitNote(NamedTuple):
    """An operator hands in a note."""

    note: Note


class SubmitOrder(NamedTuple):
    """An operator orders something for one target."""

    order: TargetOrder


class SubmitConfiguration(NamedTuple):
    """An operator hands in a whole configuration."""

    configuration: StoredConfiguration


class ReadConfiguration(NamedTuple):
    """An operator asks for the newest configuration."""


class ConfigurationReply(NamedTuple):
    """The answer to :class:`ReadConfiguration`.

    :param is_newest: whether it was proved that none newer was accepted before the request.
    """

    is_newest: bool
    configuration: StoredConfiguration | None


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


class ControlStatus(NamedTuple):
    """A control host as another one knows it.

    :param revision: ``None`` if it did not answer.
    """

    name: HostName
    revision: int | None


class Status(NamedTuple):
    """The answer to :class:`StatusRequest`.

    :param revision: the newest accepted revision that the answering side knows.
    :param leader: the control host that accepts notes, empty if there is none.
    :param accepting: whether the answering side can accept notes now.
    :param missing: entry hosts that have not confirmed the revision, or not lately.
    :param unheard: entry hosts that should be there and that no control host has heard.
    :param controls: all control hosts, the answering one included.
    """

    revision: int
    leader: HostName
    accepting: bool
    hosts: tuple[HostStatus, ...]
    missing: tuple[HostName, ...]
    unheard: tuple[HostName, ...]
    controls: tuple[ControlStatus, ...]


class PeerStatusRequest(NamedTuple):
    """A control host asks another which entry hosts it serves.

    :param number: comes back in the :class:`PeerStatusReply`.
    """

    number: int


class PeerStatusReply(NamedTuple):
    """The answer to :class:`PeerStatusRequest`.

    :param revision: the answering host's newest committed revision.
    :param leader: the control host that it takes for the leader, or empty.
    """

    number: int
    revision: int
    leader: HostName
    hosts: tuple[HostStatus, ...]


class OperatorReply(NamedTuple):
    """The answer to a submission."""

    reply: SubmitReply


SwimMessage = Ping | Ack | ProbeRequest | MembersPull | MemberUpdates
PeerStatusMessage = PeerStatusRequest | PeerStatusReply
PropagationMessage = SubscribeReply | Changes | SnapshotPart
SubscriberMessage = Subscribe | SnapshotPull
OperatorRequest = SubmitNote | SubmitOrder | SubmitConfiguration | ReadConfiguration | StatusRequest
