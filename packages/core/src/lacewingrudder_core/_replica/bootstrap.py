"""Bootstrapping a cluster from hosts with empty disks, and joining an existing one.

Hosts that are told that the system starts for the first time begin with the cluster on their disks:
its first voters are the same on all of them, so that a majority can elect a leader even if the
others never start.

Hosts that aren't told can't tell a first start from a lost disk. Their cluster is bootstrapped
once, by the bootstrap host whose name sorts first. It does so only when *every* bootstrap host has
replied, echoing this host's identity, that its disk is empty. A host that lost its disk learns from
the others that a cluster exists; it creates none and asks to be admitted.
"""

from __future__ import annotations

from ..hashing import name_hash
from ..types import HostName
from .durable import DurableState
from .events import SendToReplica
from .log import LogEntry, ReplicaId
from .messages import BootstrapCluster, JoinReply, JoinRequest
from .state import ReplicaState
from .voter_policy import VoterPolicy

JOIN_REQUEST_INTERVAL_SECONDS = 0.5
FIRST_TERM = 1


def make_initial_state(name: HostName, identity: str, policy: VoterPolicy) -> DurableState:
    """Return the state of a host whose disk is empty.

    :param name: this host.
    :param identity: identity of its disk, unless it is one of the first voters.
    """
    voters = policy.initial_voters
    own_id = next((voter for voter in voters if voter.name == name), None)
    if own_id is None:
        return DurableState(identity)
    cluster = f"{name_hash(','.join(voter.name for voter in voters)):016x}"
    first_entry = LogEntry(1, FIRST_TERM, voters=voters)
    return DurableState(
        own_id.identity, cluster, FIRST_TERM, commit_index=1, entries=(first_entry,)
    )


class ClusterBootstrap:
    """Bootstraps or joins a cluster, and answers hosts that want to join one.

    :param policy: the bootstrap hosts, and the contacts of a host without a leader.
    """

    def __init__(self, state: ReplicaState, policy: VoterPolicy) -> None:
        self._state = state
        self._policy = policy
        self._next_request = float("-inf")
        self._empty_hosts: dict[HostName, ReplicaId] = {}

    def tick(self, now: float) -> bool:
        """Send join requests when they are due; return whether this host bootstrapped a cluster."""
        if now < self._next_request:
            return False
        self._next_request = now + JOIN_REQUEST_INTERVAL_SECONDS
        state = self._state
        for name in sorted(self._policy.contacts - {state.own_id.name}):
            self._state.emit(SendToReplica(name, JoinRequest(state.own_id, state.cluster)))
        return self._bootstrap_if_all_empty()

    def answer_join_request(self, sender: HostName, message: JoinRequest) -> None:
        """Answer a host that wants to join a cluster.

        A host with an empty disk that is an initial voter also gets the cluster's identifier.
        """
        state = self._state
        reply = JoinReply(state.own_id, state.cluster, message.replica.identity)
        state.emit(SendToReplica(sender, reply))
        initial_voters = state.log.voters if state.log.voters_index == 1 else ()
        if state.cluster and not message.cluster and message.replica in initial_voters:
            state.emit(SendToReplica(sender, BootstrapCluster(state.cluster, initial_voters)))

    def record_join_reply(self, message: JoinReply) -> bool:
        """Record another host's answer; return whether this host bootstrapped a cluster."""
        state = self._state
        if message.echo != state.own_id.identity or state.cluster:
            return False
        if message.cluster:
            self._empty_hosts.pop(message.replica.name, None)
            return False
        self._empty_hosts[message.replica.name] = message.replica
        return self._bootstrap_if_all_empty()

    def accept_bootstrap(self, message: BootstrapCluster) -> bool:
        """Join a new cluster that names this host as a voter; return whether it was joined."""
        names = {voter.name for voter in message.voters}
        if (
            self._state.cluster
            or names != self._policy.bootstrap_hosts
            or self._state.own_id not in message.voters
        ):
            return False
        self._join(message.cluster, message.voters)
        return True

    def _bootstrap_if_all_empty(self) -> bool:
        state = self._state
        own_id = state.own_id
        bootstrap_hosts = self._policy.bootstrap_hosts
        others = bootstrap_hosts - {own_id.name}
        if (
            state.cluster
            or own_id.name != min(bootstrap_hosts, default="")
            or others - set(self._empty_hosts)
        ):
            return False
        voters = tuple(sorted([own_id, *(self._empty_hosts[name] for name in others)]))
        self._join(own_id.identity, voters)
        for name in sorted(others):
            state.emit(SendToReplica(name, BootstrapCluster(state.cluster, voters)))
        return True

    def _join(self, cluster: str, voters: tuple[ReplicaId, ...]) -> None:
        self._state.join_cluster(cluster)
        self._state.enter_term(FIRST_TERM)
        self._state.merge((LogEntry(1, FIRST_TERM, voters=voters),))
        self._state.commit_to(1)
