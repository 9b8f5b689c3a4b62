"""The core of a Raft replica: role transitions, elections and message dispatch.

The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum and single-server
membership changes (Ongaro's dissertation, 2014).
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from .._notes.catalogue import Catalogue, SubmitReply, SubmitTag
from ..chart import StateChart
from ..core import Core
from ..types import HostName
from . import messages as m
from .durable import DurableState
from .election import ELECTION_SECONDS, ElectionTimer, quorum_size
from .events import (
    Answered,
    Persisted,
    PersistFailed,
    Propose,
    ReadConfirmed,
    ReadRequested,
    ReplicaEffect,
    ReplicaEvent,
    ReplicaMessageReceived,
    RoleChanged,
    ShutdownRequested,
)
from .following import Following
from .formation import Formation
from .leading import Leading
from .log import ReplicaId
from .roles import Role
from .state import ReplicaState
from .voter_policy import VoterPolicy
from .voting import Voting

PROPOSALS_LIMIT = 64
NO_QUORUM = "no quorum"
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
        self._following = Following(self._state)
        self._formation = Formation(self._state, policy)
        self._timer = ElectionTimer(rng)
        self._timer_runs = False
        self._voting = Voting(self._state)
        self._leading: Leading | None = None
        self._leader: ReplicaId | None = None
        self._leader_heard = float("-inf")
        self._impaired_by = ""
        self._role = self._recovered_role()
        self._now = 0.0
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            m.PreVoteRequest: self._pre_vote_asked,
            m.PreVoteReply: self._pre_vote_answered,
            m.VoteRequest: self._vote_asked,
            m.VoteReply: self._vote_answered,
            m.AppendRequest: self._append_asked,
            m.AppendReply: self._append_answered,
            m.SnapshotRequest: self._snapshot_asked,
            m.SnapshotReply: self._snapshot_answered,
            m.LeadershipTransfer: self._handover_asked,
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

    def leader(self, now: float) -> HostName:
        """Return the leader this host knows, or an empty string.

        A leader names itself only while its lease holds. A follower names a leader only if that
        leader sent a message within the election timeout.
        """
        if self._leading is not None:
            return self._state.me.name if self._leading.lease_holds(now) else ""
        if self._leader is None or not self._hears_leader(now) or self._role == Role.IMPAIRED:
            return ""
        return self._leader.name

    def handle(self, event: ReplicaEvent, now: float) -> list[ReplicaEffect]:
        """Handle one event and return the effects that may leave now."""
        self._now = now
        if not self._timer_runs:
            self._timer_runs = True
            self._timer.restart(now)
        if self._leading is not None and not self._leading.lease_holds(now):
            self._turn("lapse")
        self._take(event)
        return self._state.finish()

    def _take(self, event: ReplicaEvent) -> None:
        if isinstance(event, Persisted):
            self._persisted(event)
        elif isinstance(event, PersistFailed):
            self._persist_failed(event)
        elif isinstance(event, Propose):
            self._propose(event)
        elif isinstance(event, ReadRequested):
            self._read(event)
        elif self._role == Role.IMPAIRED:
            return
        elif isinstance(event, ReplicaMessageReceived):
            self._heard(event)
        elif isinstance(event, ShutdownRequested):
            self._hand_over()
        else:
            self._tick()

    def _turn(self, event: str) -> None:
        """Change the role as the chart says; a leader that steps down fails its open requests."""
        before = self._role
        self._role = Role(self._chart.next(before, event).state)
        if self._role == before:
            return
        if before == Role.LEADER:
            assert self._leading is not None
            self._leading.abandon_reads()
            self._leading = None
            self._state.abandon(LEADERSHIP_LOST)
        self._timer.restart(self._now)
        self._state.emit(RoleChanged(self._role, self._state.term))

    def _recovered_role(self) -> Role:
        events = {True: "recover", False: "recover_learner"}
        event = events[self._state.is_voter] if self._state.cluster else "recover_blank"
        return Role(self._chart.next(Role.IMPAIRED, event).state)

    def _check_membership(self) -> None:
        self._turn("promote" if self._state.is_voter else "demote")

    def _persisted(self, event: Persisted) -> None:
        self._state.persisted(event.number)
        if self._role == Role.IMPAIRED and not self._state.has_writes:
            self._impaired_by = ""
            self._role = self._recovered_role()
            self._timer.restart(self._now)
            self._state.emit(RoleChanged(self._role, self._state.term))
        elif self._leading is not None:
            self._leading.advance(self._now)

    def _persist_failed(self, event: PersistFailed) -> None:
        self._impaired_by = event.reason
        self._turn("fail")
        self._state.drop_sends()

    def _propose(self, event: Propose) -> None:
        problem = self._refusal()
        if problem:
            reply = SubmitReply(SubmitTag.REFUSED, self._state.catalogue.revision, problem)
            self._state.emit(Answered(event.token, reply))
        elif self._leading is not None:
            self._leading.propose(event, self._now)

    def _read(self, event: ReadRequested) -> None:
        if self._leading is None:
            self._state.emit(ReadConfirmed(event.token, None))
        else:
            self._leading.read(event.token, self._now)

    def _refusal(self) -> str:
        if self._impaired_by:
            return f"writes to the disk of {self._state.me.name} fail: {self._impaired_by}"
        if self._leading is None:
            return NO_QUORUM
        if self._state.waiting >= PROPOSALS_LIMIT:
            return "too many changes are waiting to be committed"
        return ""

    def _tick(self) -> None:
        now = self._now
        if self._leading is not None:
            self._leading.tick(now)
            return
        if not self._hears_leader(now) or self._role == Role.LEARNER:
            self._form(self._formation.tick(now))
        if self._role in (Role.BLANK, Role.LEARNER):
            return
        alone = quorum_size(self._state.log.voters) == 1
        if alone or self._timer.expired(now):
            self._canvass()

    def _form(self, joined: bool) -> None:
        if joined:
            self._turn("form")

    def _heard(self, event: ReplicaMessageReceived) -> None:
        message = event.message
        if isinstance(message, m.JoinRequest):
            self._introduce(event.sender, message)
        elif isinstance(message, m.JoinReply):
            self._form(self._formation.introduced(message))
        elif isinstance(message, m.BootstrapCluster):
            self._form(self._formation.found(message))
        elif self._is_for_me(message):
            self._member_message(message)

    def _introduce(self, sender: HostName, message: m.JoinRequest) -> None:
        self._formation.introduce(sender, message)
        if self._leading is not None and message.cluster in ("", self._state.cluster):
            self._leading.admit(message.voter, self._now)

    def _is_for_me(self, message: m.MemberMessage) -> bool:
        header = message.header
        if header.receiver != self._state.me.identity:
            return False
        if not self._state.cluster and isinstance(message, m.AppendRequest | m.SnapshotRequest):
            self._state.join(header.cluster)
            self._turn("adopt")
        return header.cluster == self._state.cluster

    def _member_message(self, message: m.MemberMessage) -> None:
        term = message.header.term
        if (
            isinstance(message, m.VoteRequest)
            and self._is_led()
            and not message.is_leadership_transfer
        ):
            return
        if term > self._state.term and not isinstance(message, m.PreVoteRequest):
            self._state.enter_term(term)
            self._leader = None
            self._turn("hear")
        self._handlers[type(message)](message)

    def _hears_leader(self, now: float) -> bool:
        return now - self._leader_heard < ELECTION_SECONDS

    def _is_led(self) -> bool:
        return self._leading is not None or self._hears_leader(self._now)

    def _canvass(self) -> None:
        self._turn("timeout")
        self._timer.restart(self._now)
        self._voting.ask_before()
        self._stand_if_won()

    def _stand_if_won(self) -> None:
        if self._role == Role.PRE_CANDIDATE and self._voting.is_won:
            self._turn("win")
            self._voting.ask()
            self._lead_if_won()

    def _hand_over(self) -> None:
        if self._leading is not None:
            self._leading.hand_over()

    def _handover_asked(self, message: m.LeadershipTransfer) -> None:
        if self._role == Role.FOLLOWER and message.header.term == self._state.term:
            self._turn("timeout")
            self._turn("win")
            self._voting.ask(is_leadership_transfer=True)
            self._lead_if_won()

    def _lead_if_won(self) -> None:
        if self._role == Role.CANDIDATE and self._voting.is_won:
            self._turn("win")
            self._leading = Leading(self._state, self._policy, self._now)

    def _pre_vote_asked(self, message: m.PreVoteRequest) -> None:
        self._voting.answer_before(message, self._is_led())

    def _pre_vote_answered(self, message: m.PreVoteReply) -> None:
        if self._role == Role.PRE_CANDIDATE:
            self._voting.count(message)
            self._stand_if_won()

    def _vote_asked(self, message: m.VoteRequest) -> None:
        if self._voting.answer(message):
            self._timer.restart(self._now)

    def _vote_answered(self, message: m.VoteReply) -> None:
        if self._role == Role.CANDIDATE and message.header.term == self._state.term:
            self._voting.count(message)
            self._lead_if_won()

    def _follow(self, message: m.AppendRequest | m.SnapshotRequest) -> bool:
        header = message.header
        if header.term < self._state.term:
            reply = m.AppendReply(self._state.header(header.sender), message.sent, False, 0)
            self._state.send(header.sender, reply)
            return False
        self._turn("hear")
        self._leader = header.sender
        self._leader_heard = self._now
        self._timer.restart(self._now)
        return True

    def _append_asked(self, message: m.AppendRequest) -> None:
        if self._follow(message):
            self._following.append(message)
            self._check_membership()

    def _snapshot_asked(self, message: m.SnapshotRequest) -> None:
        if self._follow(message):
            self._following.snapshot(message)
            self._check_membership()

    def _append_answered(self, message: m.AppendReply) -> None:
        if self._leading is not None and message.header.term == self._state.term:
            self._leading.append_answered(message, self._now)

    def _snapshot_answered(self, message: m.SnapshotReply) -> None:
        if self._leading is not None and message.header.term == self._state.term:
            self._leading.snapshot_answered(message, self._now)
