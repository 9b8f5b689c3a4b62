"""Messages between replicas."""

from __future__ import annotations

from typing import NamedTuple

from .._notes.catalogue import Note, SubmitReply
from .._notes.configurations import StoredConfiguration
from .._notes.evacuations import ZoneOrder
from ..types import TargetOrder
from .log import LogEntry, LogSnapshotPart, ReplicaId


class Header(NamedTuple):
    """The common start of all messages between members of a cluster.

    :param cluster: identifier of the sender's cluster.
    :param receiver: identity of the intended receiver; a host that lost its disk has a new one
        and ignores messages to its old one.
    :param term: the sender's current term.
    """

    cluster: str
    sender: ReplicaId
    receiver: str
    term: int


class PreVoteRequest(NamedTuple):
    """Asks whether the receiver would vote for the sender in the next term.

    Neither side changes its term, so a host that can't win an election disturbs no leader.
    """

    header: Header
    last_index: int
    last_term: int


class PreVoteReply(NamedTuple):
    """The answer to :class:`PreVoteRequest`."""

    header: Header
    granted: bool


class VoteRequest(NamedTuple):
    """Asks for the receiver's vote in the sender's term.

    :param is_leadership_transfer: whether the leader asked for this election. The receiver then
        answers although it still receives that leader's messages.
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
    """Entries to append after a log position; a heartbeat if there are none.

    :param sent_at: the leader's clock when it sent this; echoed in the reply.
    :param commit_index: the leader's commit index.
    """

    header: Header
    sent_at: float
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int


class AppendReply(NamedTuple):
    """The answer to :class:`AppendRequest`, and to :class:`SnapshotRequest` if no part is missing.

    :param sent_at: the clock value of the request.
    :param match_index: if accepted, the last index at which the logs are known to match;
        otherwise the index after which the leader should retry.
    """

    header: Header
    sent_at: float
    accepted: bool
    match_index: int


class SnapshotRequest(NamedTuple):
    """One part of a snapshot, for a receiver that needs entries the leader has compacted."""

    header: Header
    sent_at: float
    part: LogSnapshotPart


class SnapshotReply(NamedTuple):
    """The answer to :class:`SnapshotRequest` while parts of the snapshot are missing.

    :param last_index: the last log index that the snapshot covers.
    :param next_part: number of the next part that the receiver needs.
    """

    header: Header
    sent_at: float
    last_index: int
    next_part: int


class LeadershipTransfer(NamedTuple):
    """A stopping leader asks an up-to-date voter to start an election at once."""

    header: Header


class LeaveRequest(NamedTuple):
    """A replica that shuts down asks the leader to remove it from the voters, if others remain."""

    header: Header


class LeaveReply(NamedTuple):
    """The answer to :class:`LeaveRequest`, once the removal is committed or if there is none."""

    header: Header


class JoinRequest(NamedTuple):
    """Sent by a learner or a host without a leader, to bootstrap a cluster or to join one.

    :param cluster: the sender's cluster; empty if its disk is empty.
    """

    replica: ReplicaId
    cluster: str


class JoinReply(NamedTuple):
    """The answer to :class:`JoinRequest`.

    :param cluster: the sender's cluster; empty if its disk is empty.
    :param echo: identity of the host that asked.
    """

    replica: ReplicaId
    cluster: str
    echo: str


class BootstrapCluster(NamedTuple):
    """Gives a host with an empty disk the identifier and first voters of its new cluster."""

    cluster: str
    voters: tuple[ReplicaId, ...]


class DiskLost(NamedTuple):
    """The answer to a message for an identity that is not that of the receiver's disk.

    Such an identity is always an earlier one, so its disk is lost for good.

    :param replica: the host that answers, with the identity of its present disk.
    :param lost: the identity that the message was for.
    """

    replica: ReplicaId
    lost: str


class ForwardRequest(NamedTuple):
    """An operator's request, forwarded to the leader by the host that received it.

    It carries exactly one of a note, an order, a configuration and a zone order.

    :param number: the sender's request number, echoed in the reply.
    :param basis: log index up to which the operator may have known all orders; set for an order and
        a zone order, which earlier releases send without it.
    """

    number: int
    note: Note | None
    order: TargetOrder | None
    configuration: StoredConfiguration | None = None
    zone_order: ZoneOrder | None = None
    basis: int | None = None


class ForwardReply(NamedTuple):
    """The answer to :class:`ForwardRequest`, also from a host that no longer leads."""

    number: int
    reply: SubmitReply


class ReadRequest(NamedTuple):
    """Asks the leader for the log index that the sender has to apply before it answers a read.

    :param number: the sender's request number, echoed in the reply.
    """

    number: int


class ReadReply(NamedTuple):
    """The answer to :class:`ReadRequest`.

    :param log_index: ``None`` if the answering host could not confirm its leadership.
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
    | LeaveRequest
    | LeaveReply
)
BootstrapMessage = JoinRequest | JoinReply | BootstrapCluster | DiskLost
ReplicaMessage = MemberMessage | BootstrapMessage
ForwardMessage = ForwardRequest | ForwardReply | ReadRequest | ReadReply
