"""Tags of the messages between replicas; links and datagrams use the same tags."""

from __future__ import annotations

from typing import Any

from lacewingrudder_core import replica as r

REPLICA_TAGS: dict[int, type[Any]] = {
    40: r.PreVoteRequest,
    41: r.PreVoteReply,
    42: r.VoteRequest,
    43: r.VoteReply,
    44: r.AppendRequest,
    45: r.AppendReply,
    46: r.SnapshotRequest,
    47: r.SnapshotReply,
    48: r.JoinRequest,
    49: r.JoinReply,
    50: r.BootstrapCluster,
    51: r.ForwardRequest,
    52: r.ForwardReply,
    53: r.LeadershipTransfer,
    54: r.ReadRequest,
    55: r.ReadReply,
    56: r.LeaveRequest,
    57: r.LeaveReply,
    58: r.DiskLost,
}
