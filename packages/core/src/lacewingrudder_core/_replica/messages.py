"""Messages between the replicas of the log, and who a replica is."""

from __future__ import annotations

from typing import NamedTuple

from .._notes.catalogue import Note, SubmitReply
from .._notes.configurations import StoredConfiguration
from ..types import TargetOrder
from .log import LogEntry, LogSnapshotPart, ReplicaId


class Header(NamedTuple):
    """What each message between members of a cluster begins with.

    :param cluster: the cluster that the sender belongs to.
    :param receiver: identity that the message is meant for; a host that lost its disk has another.
    :param term: the sender's term.
    """

    cluster: str
    sender: ReplicaId
    receiver: str
    term: int


class PreVoteRequest(NamedTuple):
    """Asks whether the receiver would vote for the sender, without a new term."""

    header: Header
    last_index: int
    last_term: int


class PreVoteReply(NamedTuple):
    """The answer to :class:`PreVoteRequest`."""

    header: Header
    granted: bool


class VoteRequest(NamedTuple):
    """Asks for the receiver's vote in the sender's term.

    :param is_leadership_transfer: whether the leader asked for this election, so that it need not
        be silent.
    """

    header: Header
    last_index: int
    last_term: int
    is_leadership_transfer: bool


class VoteReply(NamedTuple):
    """The answer to :class:`VoteRequest`."""

    header: Header
    granted: bool


class AppendRequest(NamedTuple):
    """Entries that follow a position of the log; without entries it is a heartbeat.

    :param sent: the leader's clock; the answer carries it back.
    :param commit: the leader's commit index.
    """

    header: Header
    sent: float
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit: int


class AppendReply(NamedTuple):
    """The answer to :class:`AppendRequest` and to the last :class:`SnapshotRequest`.

    :param match: if accepted, the last index known to equal the leader's; else the index from
        which the leader should try again.
    """

    header: Header
    sent: float
    accepted: bool
    match: int


class SnapshotRequest(NamedTuple):
    """One part of a snapshot, for a receiver that lacks entries the leader has compacted."""

    header: Header
    sent: float
    part: LogSnapshotPart


class SnapshotReply(NamedTuple):
    """The receiver has all parts before ``expected`` of the snapshot at ``last_index``."""

    header: Header
    sent: float
    last_index: int
    expected: int


class LeadershipTransfer(NamedTuple):
    """The leader is going to stop and asks the receiver, who has the whole log, to take over."""

    header: Header


class JoinRequest(NamedTuple):
    """A host without a leader says who it is: to form a cluster, or to be admitted to one.

    :param cluster: the cluster it belongs to; empty if its disk is blank.
    """

    voter: ReplicaId
    cluster: str


class JoinReply(NamedTuple):
    """The answer to :class:`JoinRequest`.

    :param echo: identity of the host that asked.
    """

    voter: ReplicaId
    cluster: str
    echo: str


class BootstrapCluster(NamedTuple):
    """The first configuration of a new cluster."""

    cluster: str
    voters: tuple[ReplicaId, ...]


class ForwardRequest(NamedTuple):
    """A request that an operator handed to a host that is not the leader.

    :param number: the sender's number for it.
    """

    number: int
    note: Note | None
    order: TargetOrder | None
    configuration: StoredConfiguration | None = None


class ForwardReply(NamedTuple):
    """The leader's answer to :class:`ForwardRequest`."""

    number: int
    reply: SubmitReply


class ReadRequest(NamedTuple):
    """Asks the leader up to where a read that has just come has to see the log.

    :param number: the sender's number for it.
    """

    number: int


class ReadReply(NamedTuple):
    """The answer to :class:`ReadRequest`.

    :param log_index: ``None`` if the receiver could not prove that it leads.
    """

    number: int
    log_index: int | None


MemberMessage = (
    PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | SnapshotReply
    | LeadershipTransfer
)
FormationMessage = JoinRequest | JoinReply | BootstrapCluster
ReplicaMessage = MemberMessage | FormationMessage
ForwardMessage = ForwardRequest | ForwardReply | ReadRequest | ReadReply
