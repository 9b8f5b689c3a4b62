"""Events and effects of a replica."""

from __future__ import annotations

from typing import NamedTuple

from .._notes.catalogue import Catalogue, Note, Outcome, SubmitReply
from .._notes.configurations import StoredConfiguration
from ..types import HostName, TargetOrder
from .durable import Write
from .messages import ForwardMessage, ReplicaMessage
from .roles import Role


class ReplicaMessageReceived(NamedTuple):
    """Another control host sent a message."""

    sender: HostName
    message: ReplicaMessage


class Propose(NamedTuple):
    """Put a note, an order or a configuration into the log; the outcome carries the token."""

    token: int
    note: Note | None
    order: TargetOrder | None
    configuration: StoredConfiguration | None = None


class ReadRequested(NamedTuple):
    """Prove that this replica leads now; the :class:`ReadConfirmed` carries the token."""

    token: int


class Persisted(NamedTuple):
    """All writes up to a number are durable on this host's disk."""

    number: int


class PersistFailed(NamedTuple):
    """The disk refused the writes after the last :class:`Persisted`; its owner tries again."""

    reason: str


class Tick(NamedTuple):
    """Time passed; due several times within a heartbeat."""


class ShutdownRequested(NamedTuple):
    """This host is going to stop; a leader hands over."""


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


class Applied(NamedTuple):
    """A committed note or order was applied.

    :param token: of the proposal, if it was made here.
    """

    token: int | None
    outcome: Outcome


class Installed(NamedTuple):
    """The catalogue was replaced by a newer one of the leader's."""

    catalogue: Catalogue


class Answered(NamedTuple):
    """A proposal ended here without being applied; the reply says whether it still may be."""

    token: int
    reply: SubmitReply


class ReadConfirmed(NamedTuple):
    """Whether this replica led after the request came.

    :param log_index: everything committed before the request is at or below it; ``None`` if the
        lead was not proved.
    """

    token: int
    log_index: int | None


class RoleChanged(NamedTuple):
    """This replica has another role."""

    role: Role
    term: int


ReplicaEffect = (
    SendToReplica | Persist | Applied | Installed | Answered | ReadConfirmed | RoleChanged
)
