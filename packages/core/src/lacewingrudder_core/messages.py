"""Messages exchanged between processes; the codecs in ``lacewingrudder_wire`` serialize them."""

from __future__ import annotations

import enum
from typing import NamedTuple

from ._notes.catalogue import Change, Note, SubmitReply
from ._notes.configurations import StoredConfiguration
from ._notes.evacuations import Evacuations, ZoneOrder
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
    """The state of an entry host in the membership protocol.

    Of two updates with the same incarnation, the one with the higher value wins.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberUpdate(NamedTuple):
    """A change in the state of one entry host, disseminated from host to host."""

    member: Member
    status: MemberStatus


class Ping(NamedTuple):
    """Probes whether an entry host is alive, and summarizes the sender's state.

    :param sequence: returned in the :class:`Ack`.
    :param revision: the catalogue revision in force at the sender.
    :param members: digest of the sender's live members.
    :param targets: digest of the sender's target records.
    :param updates: membership updates, piggybacked on the message.
    """

    sequence: int
    member: Member
    revision: int
    members: int
    targets: int
    updates: tuple[MemberUpdate, ...]


class Ack(NamedTuple):
    """Answers a :class:`Ping`, or reports that the subject of a :class:`ProbeRequest` answered.

    The fields are those of :class:`Ping` and describe the host that sends the answer.
    """

    sequence: int
    member: Member
    revision: int
    members: int
    targets: int
    updates: tuple[MemberUpdate, ...]


class ProbeRequest(NamedTuple):
    """Asks the receiver to ping a host that did not answer the sender (an indirect probe).

    :param sequence: returned in the :class:`Ack` if the subject answers.
    """

    sequence: int
    subject: HostName


class MembersPull(NamedTuple):
    """Requests the members in the buckets whose digests differ.

    :param digests: the sender's bucket digests; see :mod:`._gossip.digests`.
    """

    digests: bytes


class MemberUpdates(NamedTuple):
    """The answer to :class:`MembersPull`."""

    updates: tuple[MemberUpdate, ...]


class TargetsPull(NamedTuple):
    """Requests the target records in the buckets whose digests differ.

    :param digests: the sender's bucket digests; see :mod:`._gossip.digests`.
    """

    digests: bytes


class TargetsInUse(NamedTuple):
    """Lost targets that still have flows at the sender; repeated as long as they do."""

    targets: tuple[TargetName, ...]


class TargetUpdates(NamedTuple):
    """Target records that the receiver may not have yet.

    :param is_answer: whether they answer a :class:`TargetsPull`; the receiver does not forward
        records from an answer.
    """

    records: tuple[TargetRecord, ...]
    is_answer: bool


class LeaveNotice(NamedTuple):
    """Announces the graceful shutdown of an entry host that has handed over its flows."""

    member: Member


class PinGroup(NamedTuple):
    """Flows that are pinned to one target.

    :param hashes: concatenated 64-bit flow hashes, eight bytes each in network byte order.
    """

    target: TargetName
    hashes: bytes


class Pins(NamedTuple):
    """Flows whose target differs from the one that the placement table selects.

    :param home: the entry host that owns these flows.
    """

    home: HostName
    groups: tuple[PinGroup, ...]


class Subscribe(NamedTuple):
    """Subscribes an entry host to changes after its revision.

    The message is repeated: it renews the subscription and acknowledges what has been received.

    :param revision: the revision in force at the entry host.
    :param digest: hash of the contents of the catalogue in force there.
    """

    host: HostName
    zone: ZoneName
    revision: int
    digest: int


class SubscribeReply(NamedTuple):
    """Answers a :class:`Subscribe`.

    :param revision: the catalogue revision of the answering host.
    :param digest: hash of the contents of that catalogue.
    """

    revision: int
    digest: int


class Changes(NamedTuple):
    """Consecutive catalogue changes, starting at the revision after the receiver's."""

    changes: tuple[Change, ...]


class SnapshotPart(NamedTuple):
    """One part of a complete catalogue, for a receiver that is too far behind for changes.

    :param revision: the revision of the complete catalogue.
    :param digest: hash of the contents of the complete catalogue.
    :param part: index of this part, from 0.
    :param parts: the total number of parts.
    :param evacuations: set in the first part only.
    """

    revision: int
    digest: int
    part: int
    parts: int
    services: tuple[Service, ...]
    orders: tuple[TargetOrder, ...]
    evacuations: Evacuations = Evacuations()


class SnapshotPull(NamedTuple):
    """Requests the next part of a snapshot.

    :param revision: the revision of the snapshot.
    :param part: index of the requested part, from 0.
    """

    host: HostName
    revision: int
    part: int


class SubmitNote(NamedTuple):
    """An operator submits a release note."""

    note: Note


class SubmitOrder(NamedTuple):
    """An operator submits an order for one target."""

    order: TargetOrder


class SubmitConfiguration(NamedTuple):
    """An operator submits a complete configuration."""

    configuration: StoredConfiguration


class SubmitZoneOrder(NamedTuple):
    """An operator submits an order for all targets of a zone."""

    order: ZoneOrder


class ReadConfiguration(NamedTuple):
    """An operator requests the latest configuration."""


class ConfigurationReply(NamedTuple):
    """The answer to :class:`ReadConfiguration`.

    :param is_newest: whether the read is linearizable: it is confirmed that no newer configuration
        had been accepted when the request arrived.
    :param configuration: ``None`` if there is none.
    """

    is_newest: bool
    configuration: StoredConfiguration | None


class StatusRequest(NamedTuple):
    """An operator requests the state of the system."""


class HostStatus(NamedTuple):
    """The state that an entry host last reported to a control host.

    :param age: seconds since that report.
    """

    name: HostName
    zone: ZoneName
    revision: int
    age: float


class ControlStatus(NamedTuple):
    """The state of a control host as known to another control host.

    :param revision: its newest revision, ``None`` if it did not answer.
    """

    name: HostName
    revision: int | None


class Status(NamedTuple):
    """The answer to :class:`StatusRequest`.

    :param revision: the newest accepted revision known to the answering host.
    :param leader: the control host that accepts notes, empty if there is none.
    :param accepting: whether notes can be accepted now through the answering host.
    :param hosts: the entry hosts that have reported to a control host.
    :param missing: those entry hosts that have not confirmed the revision, or not recently.
    :param unheard: expected entry hosts that have not reported to any control host.
    :param controls: all control hosts, including the answering one.
    :param evacuated_zones: the zones whose targets get no new flows, as of the revision.
    """

    revision: int
    leader: HostName
    accepting: bool
    hosts: tuple[HostStatus, ...]
    missing: tuple[HostName, ...]
    unheard: tuple[HostName, ...]
    controls: tuple[ControlStatus, ...]
    evacuated_zones: tuple[ZoneName, ...] = ()


class PeerStatusRequest(NamedTuple):
    """A control host asks another which entry hosts it serves.

    :param number: identifies the request; returned in the :class:`PeerStatusReply`.
    """

    number: int


class PeerStatusReply(NamedTuple):
    """The answer to :class:`PeerStatusRequest`.

    :param revision: the newest revision committed at the answering host.
    :param leader: the control host that the answering host believes to be the leader, or empty.
    :param hosts: the entry hosts that have reported to the answering host.
    """

    number: int
    revision: int
    leader: HostName
    hosts: tuple[HostStatus, ...]
    evacuations: Evacuations = Evacuations()


class OperatorReply(NamedTuple):
    """The answer to a submitted note, order, configuration or zone order."""

    reply: SubmitReply


SwimMessage = Ping | Ack | ProbeRequest | MembersPull | MemberUpdates
PeerStatusMessage = PeerStatusRequest | PeerStatusReply
PropagationMessage = SubscribeReply | Changes | SnapshotPart
SubscriberMessage = Subscribe | SnapshotPull
OperatorRequest = (
    SubmitNote
    | SubmitOrder
    | SubmitConfiguration
    | SubmitZoneOrder
    | ReadConfiguration
    | StatusRequest
)
