"""Who belongs to the cluster: bootstrap, hosts that want to join it, and disks that are lost."""

from __future__ import annotations

from ..types import HostName
from . import messages as m
from .bootstrap import ClusterBootstrap
from .events import SendToReplica, VoterLost
from .leadership import Leadership
from .log import ReplicaId
from .state import ReplicaState
from .voter_policy import VoterPolicy


class Membership:
    """Handles the messages that carry no member's header, and those for a lost disk.

    :param policy: the bootstrap hosts, and the contacts of a host without a leader.
    """

    def __init__(self, state: ReplicaState, policy: VoterPolicy) -> None:
        self._state = state
        self._bootstrap = ClusterBootstrap(state, policy)

    def tick(self, now: float) -> bool:
        """Ask to join a cluster when it is due; return whether this host bootstrapped one."""
        return self._bootstrap.tick(now)

    def handle(
        self,
        sender: HostName,
        message: m.BootstrapMessage,
        leadership: Leadership | None,
        now: float,
    ) -> bool:
        """Handle a message; return whether this host joined a cluster by it.

        :param leadership: ``None`` if this host does not lead.
        """
        match message:
            case m.JoinRequest():
                self._bootstrap.answer_join_request(sender, message)
                if leadership is not None and message.cluster in ("", self._state.cluster):
                    leadership.add_learner(message.replica, now)
                return False
            case m.DiskLost(replica, lost):
                self._record_lost_disk(ReplicaId(replica.name, lost), leadership, now)
                return False
            case m.JoinReply():
                return self._bootstrap.record_join_reply(message)
            case m.BootstrapCluster():
                return self._bootstrap.accept_bootstrap(message)

    def is_for_this_disk(self, sender: HostName, header: m.Header) -> bool:
        """Return whether a message is for this replica; answer one for another disk of its host."""
        if header.receiver == self._state.own_id.identity:
            return True
        answer = m.DiskLost(self._state.own_id, header.receiver)
        self._state.emit(SendToReplica(sender, answer))
        return False

    def _record_lost_disk(self, lost: ReplicaId, leadership: Leadership | None, now: float) -> None:
        if not self._state.record_lost_disk(lost):
            return
        self._state.emit(VoterLost(lost.name))
        if leadership is not None:
            leadership.record_lost_disk(lost, now)
