"""Events and effects of a replica."""

from __future__ import annotations

from typing import NamedTuple

from .._notes.catalogue import Catalogue, Note, SubmitOutcome, SubmitReply
from .._notes.configurations import StoredConfiguration
from .._notes.evacuations import ZoneOrder
from ..types import HostName, TargetOrder
from .durable import Write
from .messages import ForwardMessage, ReplicaMessage
from .roles import Role


class ReplicaMessageReceived(NamedTuple):
    """A message from another control host arrived."""

    sender: HostName
    message: ReplicaMessage


class Propose(NamedTuple):
    """Append a note, an order, a configuration or a zone order to the log.

    :param token: returned in the :class:`EntryApplied` or :class:`ProposalFailed` that ends it.
    :param basis: an order or a zone order is refused if the log holds a contrary one after this
        index; ``None`` for no such check.
    """

    token: int
    note: Note | None
    order: TargetOrder | None
    configuration: StoredConfiguration | None = None
    zone_order: ZoneOrder | None = None
    basis: int | None = None


class ReadRequested(NamedTuple):
    """Confirm that this replica still leads, so that a read is linearizable.

    :param token: returned in the :class:`ReadConfirmed`.
    """

    token: int


class Persisted(NamedTuple):
    """All writes up to and including a number are durable on this host's disk."""

    number: int


class PersistFailed(NamedTuple):
    """The writes after the last :class:`Persisted` failed; the caller retries them."""

    reason: str


class Tick(NamedTuple):
    """Periodic timer event; has to be sent several times within a heartbeat interval."""


class ShutdownRequested(NamedTuple):
    """This host is about to stop; repeated until it may exit.

    A leader asks an up-to-date voter to take over; another host asks the leader to do without it.
    """


ReplicaEvent = (
    ReplicaMessageReceived
    | Propose
    | ReadRequested
    | Persisted
    | PersistFailed
    | Tick
    | ShutdownRequested
)


class SendToReplica(NamedTuple):
    """Send a message to another control host."""

    host: HostName
    message: ReplicaMessage | ForwardMessage


class Persist(NamedTuple):
    """Make a write durable after all earlier ones, then report :class:`Persisted`."""

    write: Write


class EntryApplied(NamedTuple):
    """A committed note, order, configuration or zone order was applied.

    :param token: token of this host's pending proposal for the entry, or ``None`` if there is none.
    """

    token: int | None
    outcome: SubmitOutcome


class SnapshotInstalled(NamedTuple):
    """A snapshot from the leader replaced the catalogue by a newer one."""

    catalogue: Catalogue


class ProposalFailed(NamedTuple):
    """A proposal ended before it was applied here.

    :param reply: refused if the proposal never entered the log, unknown if it may still be applied.
    """

    token: int
    reply: SubmitReply


class ReadConfirmed(NamedTuple):
    """The outcome of a :class:`ReadRequested`.

    :param log_index: an index at or above everything committed before the request; ``None`` if
        leadership was not confirmed.
    """

    token: int
    log_index: int | None


class RoleChanged(NamedTuple):
    """This replica changed its role."""

    role: Role
    term: int


class VoterLost(NamedTuple):
    """A voter answered that it has another disk than the one that votes."""

    name: HostName


ReplicaEffect = (
    SendToReplica
    | Persist
    | EntryApplied
    | SnapshotInstalled
    | ProposalFailed
    | ReadConfirmed
    | RoleChanged
    | VoterLost
)
