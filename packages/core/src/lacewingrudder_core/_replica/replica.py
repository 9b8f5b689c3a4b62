"""The core of a Raft replica: role transitions, elections and message dispatch.

The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum and single-server
membership changes (Ongaro's dissertation, 2014).
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from .._notes.catalogue import Catalogue
from ..chart import StateChart
from ..core import Core
from ..types import HostName
from . import messages as m
from .durable import DurableState
from .election import ElectionTimer
from .events import (
    Persisted,
    PersistFailed,
    Propose,
    ReadRequested,
    ReplicaEffect,
    ReplicaEvent,
    ReplicaMessageReceived,
    RoleChanged,
    ShutdownRequested,
)
from .leader_contact import LeaderContact
from .leadership import Leadership
from .log import ReplicaId
from .log_receiver import LogReceiver
from .membership import Membership
from .planned_stop import PlannedStop
from .requests import Requests
from .roles import Role
from .state import ReplicaState
from .voter_policy import VoterPolicy
from .voting import Voting

LEADERSHIP_LOST = "leadership changed before the outcome was known; send it again"


class ReplicaCore(Core[ReplicaEvent, ReplicaEffect]):
    """Elects a leader, replicates the log and applies committed entries.

    :param name: this host.
    :param policy: which hosts bootstrap the cluster and which may vote.
    :param chart: the state machine of the replica's roles.
    :param durable: the state recovered from disk.
    :param rng: seeded generator for the election timer.
    """

    def __init__(
        self,
        name: HostName,
        policy: VoterPolicy,
        chart: StateChart,
        durable: DurableState,
        rng: random.Random,
    ) -> None:
        self._chart = chart
        self._state = ReplicaState(ReplicaId(name, durable.identity), durable)
        self._policy = policy
        self._log_receiver = LogReceiver(self._state)
        self._membership = Membership(self._state, policy)
        self._election_timer = ElectionTimer(rng)
        self._was_timer_started = False
        self._voting = Voting(self._state)
        self._leadership: Leadership | None = None
        self._leader_contact = LeaderContact()
        self._requests = Requests(self._state)
        self._role = self._recovered_role()
        self._planned_stop = PlannedStop(self._state)
        self._now = 0.0
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            m.PreVoteRequest: self._handle_pre_vote_request,
            m.PreVoteReply: self._handle_pre_vote_reply,
            m.VoteRequest: self._handle_vote_request,
            m.VoteReply: self._handle_vote_reply,
            m.AppendRequest: self._handle_leader_message,
            m.AppendReply: self._handle_reply,
            m.SnapshotRequest: self._handle_leader_message,
            m.SnapshotReply: self._handle_reply,
            m.LeadershipTransfer: self._handle_leadership_transfer,
            m.LeaveRequest: self._handle_leave_request,
            m.LeaveReply: self._handle_leave_reply,
        }

    @property
    def state(self) -> ReplicaState:
        """Term, log and catalogue; callers must not change it."""
        return self._state

    @property
    def role(self) -> Role:
        """The current role."""
        return self._role

    @property
    def catalogue(self) -> Catalogue:
        """The catalogue after all committed entries."""
        return self._state.catalogue

    @property
    def may_exit(self) -> bool:
        """Whether a leader has answered that it knows that this host shuts down.

        True as well for a host that is no member of a cluster or can't write to its disk.
        """
        return self._planned_stop.is_answered or self._role in (Role.BLANK, Role.IMPAIRED)

    def leader(self, now: float) -> HostName:
        """Return the leader this host knows, or an empty string.

        A leader names itself only while its lease holds. A follower names a leader only if that
        leader sent a message within the election timeout.
        """
        if self._leadership is not None:
            return self._state.own_id.name if self._leadership.has_lease(now) else ""
        leader = self._leader_contact.current_leader(now)
        return "" if leader is None or self._role == Role.IMPAIRED else leader.name

    def handle(self, event: ReplicaEvent, now: float) -> list[ReplicaEffect]:
        """Handle one event and return the effects that are ready to be executed."""
        self._now = now
        if not self._was_timer_started:
            self._was_timer_started = True
            self._election_timer.restart(now)
        if self._leadership is not None and not self._leadership.has_lease(now):
            self._transition("lapse")
        self._dispatch(event)
        if self._leadership is not None and not self._state.is_voter:
            self._step_down_if_established(self._leadership)
        return self._state.release_effects()

    def _dispatch(self, event: ReplicaEvent) -> None:
        if isinstance(event, Persisted):
            self._handle_persisted(event)
        elif isinstance(event, PersistFailed):
            self._handle_persist_failure(event)
        elif isinstance(event, Propose):
            self._requests.propose(event, self._leadership, self._now)
        elif isinstance(event, ReadRequested):
            self._requests.start_read(event, self._leadership, self._now)
        elif self._role == Role.IMPAIRED:
            return
        elif isinstance(event, ReplicaMessageReceived):
            self._handle_message(event)
        elif isinstance(event, ShutdownRequested):
            self._shut_down()
        else:
            self._tick()

    def _step_down_if_established(self, leadership: Leadership) -> None:
        """Let a voter take over from a leader that is none, once an entry of its term is committed.

        From then on, the voters that committed it can elect one of them.
        """
        if leadership.is_established:
            leadership.transfer_leadership(self._now)
            self._transition("demote")

    def _transition(self, event: str) -> None:
        """Change the role as the chart says; a leader that steps down fails its open requests."""
        before = self._role
        self._role = Role(self._chart.next(before, event).state)
        if self._role == before:
            return
        if before == Role.LEADER:
            assert self._leadership is not None
            self._leadership.fail_reads()
            self._leadership = None
            self._state.fail_proposals(LEADERSHIP_LOST)
        self._election_timer.restart(self._now)
        self._state.emit(RoleChanged(self._role, self._state.term))

    def _recovered_role(self) -> Role:
        events = {True: "recover", False: "recover_learner"}
        event = events[self._state.is_voter] if self._state.cluster else "recover_blank"
        return Role(self._chart.next(Role.IMPAIRED, event).state)

    def _update_voter_role(self) -> None:
        self._transition("promote" if self._state.is_voter else "demote")

    def _handle_persisted(self, event: Persisted) -> None:
        self._state.record_persisted(event.number)
        if self._role == Role.IMPAIRED and not self._state.has_pending_writes:
            self._requests.write_error = ""
            self._role = self._recovered_role()
            self._election_timer.restart(self._now)
            self._state.emit(RoleChanged(self._role, self._state.term))
        elif self._leadership is not None:
            self._leadership.advance_commit_index(self._now)

    def _handle_persist_failure(self, event: PersistFailed) -> None:
        """Take no further part until writes succeed again; a leader hands over its leadership.

        The messages that wait for the failed write are discarded. The request to take over says
        nothing about this host's state, so it needn't wait for it.
        """
        self._requests.write_error = event.reason
        self._state.discard_messages()
        if self._leadership is not None:
            self._leadership.hand_over(self._now)
        self._transition("fail")

    def _tick(self) -> None:
        now = self._now
        if self._leadership is not None:
            self._leadership.tick(now)
            return
        has_to_join = not self._leader_contact.is_recent(now) or self._role == Role.LEARNER
        if has_to_join and self._planned_stop.may_join(now):
            self._transition_if_joined(self._membership.tick(now))
        if self._role in (Role.BLANK, Role.LEARNER):
            return
        is_single_voter = len(self._state.all_voters) == 1
        if is_single_voter or self._election_timer.is_expired(now):
            self._stand_again()

    def _stand_again(self) -> None:
        """Start the next pre-vote; one that is no voter waits until it is asked for its vote."""
        if self._state.is_voter:
            self._start_pre_vote()
        else:
            self._transition("demote")

    def _transition_if_joined(self, joined: bool) -> None:
        if joined:
            self._transition("form")

    def _handle_message(self, event: ReplicaMessageReceived) -> None:
        message = event.message
        if isinstance(message, m.BootstrapMessage):
            joined = self._membership.handle(event.sender, message, self._leadership, self._now)
            self._transition_if_joined(joined)
        elif self._accept_message(event.sender, message):
            self._handle_member_message(message)

    def _accept_message(self, sender: HostName, message: m.MemberMessage) -> bool:
        """Return whether a message is for this replica and its cluster.

        A blank replica joins the cluster of a leader that sends it entries or a snapshot.
        """
        header = message.header
        if not self._membership.is_for_this_disk(sender, header):
            return False
        if not self._state.cluster and isinstance(message, m.AppendRequest | m.SnapshotRequest):
            self._state.join_cluster(header.cluster)
            self._transition("adopt")
        return header.cluster == self._state.cluster

    def _handle_member_message(self, message: m.MemberMessage) -> None:
        term = message.header.term
        if (
            isinstance(message, m.VoteRequest)
            and self._has_leader()
            and not message.is_leadership_transfer
        ):
            return
        if term > self._state.term and not isinstance(message, m.PreVoteRequest):
            self._state.enter_term(term)
            self._leader_contact.forget_leader()
            self._transition("hear")
            self._update_voter_role()
        self._handlers[type(message)](message)

    def _has_leader(self) -> bool:
        return self._leadership is not None or self._leader_contact.is_recent(self._now)

    def _start_pre_vote(self) -> None:
        self._transition("timeout")
        self._election_timer.restart_for_retry(self._now)
        self._voting.request_pre_votes()
        self._start_election_if_won()

    def _start_election_if_won(self) -> None:
        if self._role == Role.PRE_CANDIDATE and self._voting.is_won:
            self._transition("win")
            self._election_timer.restart_for_retry(self._now)
            self._voting.request_votes()
            self._become_leader_if_won()

    def _shut_down(self) -> None:
        leader = self._leader_contact.current_leader(self._now)
        self._planned_stop.request(self._leadership, leader, self._now)

    def _handle_leave_request(self, message: m.LeaveRequest) -> None:
        if self._leadership is not None:
            self._leadership.handle_leave_request(message.header.sender, self._now)

    def _handle_leave_reply(self, message: m.LeaveReply) -> None:
        self._planned_stop.record_answer()

    def _handle_leadership_transfer(self, message: m.LeadershipTransfer) -> None:
        if self._role == Role.FOLLOWER and message.header.term == self._state.term:
            self._transition("timeout")
            self._transition("win")
            self._voting.request_votes(is_leadership_transfer=True)
            self._become_leader_if_won()

    def _become_leader_if_won(self) -> None:
        if self._role == Role.CANDIDATE and self._voting.is_won:
            self._transition("win")
            self._leadership = Leadership(self._state, self._policy, self._now)

    def _handle_pre_vote_request(self, message: m.PreVoteRequest) -> None:
        """Answer a candidate; a learner whose log is newer than the candidate's stands itself.

        The candidate counts it as a voter, by an entry that is not committed and that the learner
        doesn't have. The others may lack the learner's vote, which it can't grant.
        """
        has_leader = self._has_leader()
        self._voting.answer_pre_vote(message, has_leader)
        if self._role == Role.LEARNER and not has_leader and self._voting.has_newer_log(message):
            self._start_pre_vote()

    def _handle_pre_vote_reply(self, message: m.PreVoteReply) -> None:
        if self._role == Role.PRE_CANDIDATE:
            self._voting.count_reply(message)
            self._start_election_if_won()

    def _handle_vote_request(self, message: m.VoteRequest) -> None:
        if self._voting.answer_vote(message):
            self._election_timer.restart(self._now)

    def _handle_vote_reply(self, message: m.VoteReply) -> None:
        if self._role == Role.CANDIDATE and message.header.term == self._state.term:
            self._voting.count_reply(message)
            self._become_leader_if_won()

    def _handle_leader_message(self, message: m.AppendRequest | m.SnapshotRequest) -> None:
        """Follow the leader that sent entries or a part of a snapshot, unless its term is over."""
        header = message.header
        if header.term < self._state.term:
            self._log_receiver.reject(message)
            return
        self._transition("hear")
        self._leader_contact.record(header.sender, self._now)
        self._election_timer.restart(self._now)
        self._log_receiver.receive(message)
        self._update_voter_role()

    def _handle_reply(self, message: m.AppendReply | m.SnapshotReply) -> None:
        if self._leadership is not None and message.header.term == self._state.term:
            self._leadership.record_reply(message, self._now)
