"""The core of a control host: operator requests, replication and propagation of changes."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .._notes.catalogue import Catalogue, Change, SubmitReply, SubmitTag
from .._propagation.propagation import (
    CatalogueReplaced,
    ChangeApplied,
    PropagationCore,
    SendToHost,
    SnapshotPulled,
    Subscribed,
)
from .._propagation.status_queries import SendPeerStatus, StatusQueries
from .._replica.events import (
    EntryApplied,
    Persist,
    Persisted,
    PersistFailed,
    ProposalFailed,
    Propose,
    ReadConfirmed,
    ReadRequested,
    ReplicaEffect,
    ReplicaEvent,
    ReplicaMessageReceived,
    RoleChanged,
    SendToReplica,
    ShutdownRequested,
    SnapshotInstalled,
    Tick,
    VoterLost,
)
from .._replica.messages import ForwardMessage, ForwardRequest, ReadReply, ReadRequest
from .._replica.replica import ReplicaCore
from ..core import Core
from ..messages import (
    ConfigurationReply,
    OperatorReply,
    OperatorRequest,
    PeerStatusMessage,
    PeerStatusReply,
    PeerStatusRequest,
    ReadConfiguration,
    Status,
    StatusRequest,
    SubmitConfiguration,
)
from ..types import HostName
from .order_basis import OrderBasis
from .reads import ReadAnswer, Reads, ReadStep
from .submissions import OperatorAnswer, Submissions


class OperatorRequestReceived(NamedTuple):
    """An operator sent a request.

    :param token: returned in the :class:`Reply`.
    """

    token: int
    request: OperatorRequest


class OperatorRequestWithdrawn(NamedTuple):
    """An operator no longer waits for the answer to a request.

    :param token: the token of the request.
    """

    token: int


class ForwardMessageReceived(NamedTuple):
    """Another control host forwarded a request, or answered a forwarded one."""

    sender: HostName
    message: ForwardMessage


class PeerStatusReceived(NamedTuple):
    """Another control host asked which entry hosts this one serves, or answered that question."""

    sender: HostName
    message: PeerStatusMessage


class ExpectedHostsChanged(NamedTuple):
    """The set of entry hosts that the system should consist of has changed."""

    names: frozenset[HostName]


ControlEvent = (
    OperatorRequestReceived
    | OperatorRequestWithdrawn
    | PeerStatusReceived
    | ExpectedHostsChanged
    | ForwardMessageReceived
    | ReplicaMessageReceived
    | Subscribed
    | SnapshotPulled
    | Persisted
    | PersistFailed
    | Tick
    | ShutdownRequested
)


class Reply(NamedTuple):
    """Answer an operator."""

    token: int
    body: OperatorReply | ConfigurationReply | Status


class Committed(NamedTuple):
    """A change was committed, and applied on this host."""

    change: Change


ControlEffect = (
    Reply
    | SendToHost
    | SendPeerStatus
    | SendToReplica
    | Persist
    | Committed
    | RoleChanged
    | VoterLost
)


class ControlCore(Core[ControlEvent, ControlEffect]):
    """Routes operator requests to the leader, and propagates committed changes to entry hosts.

    :param name: this host.
    :param replica: this host's replica of the log.
    :param controls: names of all control hosts.
    :param first_number: number of the first request to another control host. It should differ
        between starts of this host, so that a late answer to a request from before a restart is
        not taken for the answer to another one.
    """

    def __init__(
        self,
        name: HostName,
        replica: ReplicaCore,
        controls: Iterable[HostName] = (),
        first_number: int = 1,
    ) -> None:
        self._name = name
        self._replica = replica
        self._catalogue = replica.catalogue
        self._propagation = PropagationCore(replica.catalogue)
        self._submissions = Submissions(first_number)
        self._order_basis = OrderBasis(replica.state.commit_index)
        self._reads = Reads(first_number)
        self._status_queries = StatusQueries(name, controls, first_number)

    @property
    def replica(self) -> ReplicaCore:
        """This host's replica of the log; callers must not change it."""
        return self._replica

    @property
    def catalogue(self) -> Catalogue:
        """The catalogue after all changes that this host has reported as committed.

        It may trail the replica's catalogue, whose latest changes wait for a disk write.
        """
        return self._catalogue

    def handle(self, event: ControlEvent, now: float) -> list[ControlEffect]:
        """Handle one event and return its effects."""
        if isinstance(event, OperatorRequestReceived):
            return self._handle_operator_request(event, now)
        if isinstance(event, OperatorRequestWithdrawn):
            self._submissions.withdraw(event.token)
            return []
        if isinstance(event, ForwardMessageReceived):
            return self._handle_forward_message(event, now)
        if isinstance(event, PeerStatusReceived):
            return self._handle_peer_status(event, now)
        if isinstance(event, ExpectedHostsChanged):
            self._status_queries.set_expected_hosts(event.names)
            return []
        if isinstance(event, Subscribed | SnapshotPulled):
            return list(self._propagation.handle(event, now))
        effects = self._handle_replica_event(event, now)
        if isinstance(event, Tick):
            self._order_basis.record_tick(self._replica.state.commit_index)
            effects += self._redirect_submissions(now) + self._expire_requests(now)
        return effects

    def _handle_operator_request(
        self, event: OperatorRequestReceived, now: float
    ) -> list[ControlEffect]:
        request = event.request
        if isinstance(request, StatusRequest):
            return self._start_status_query(event.token, now)
        leader = self._replica.leader(now)
        if isinstance(request, ReadConfiguration):
            return self._execute_read_steps(
                [self._reads.start(event.token, self._name, leader, now)], now
            )
        if self._is_superseded(request):
            reply = SubmitReply(SubmitTag.ACCEPTED, self._catalogue.revision, "")
            return [Reply(event.token, OperatorReply(reply))]
        revision, basis = self._catalogue.revision, self._order_basis.index
        step = self._submissions.start(
            event.token, request, self._name, leader, revision, now, basis
        )
        if isinstance(step, Propose):
            return self._handle_replica_event(step, now)
        return [_reply(step)]

    def _handle_forward_message(
        self, event: ForwardMessageReceived, now: float
    ) -> list[ControlEffect]:
        message = event.message
        if isinstance(message, ReadRequest):
            return self._execute_read_steps(
                [self._reads.start_forwarded(event.sender, message, now)], now
            )
        if isinstance(message, ReadReply):
            return self._execute_read_steps(
                self._record_confirmation(message.number, message.log_index), now
            )
        if isinstance(message, ForwardRequest):
            return self._handle_replica_event(
                self._submissions.start_forwarded(event.sender, message, now), now
            )
        answer = self._submissions.complete(message.number, message.reply)
        return [] if answer is None else [_reply(answer)]

    def _is_superseded(self, request: OperatorRequest) -> bool:
        """Return whether the request submits a configuration no newer than the committed one.

        Any host may then accept it without a leader, because it changes nothing.
        """
        return (
            isinstance(request, SubmitConfiguration)
            and request.configuration.version <= self._catalogue.configuration_version
        )

    def _record_confirmation(self, number: int, log_index: int | None) -> list[ReadStep]:
        return self._reads.record_confirmation(number, log_index, self._replica.state.commit_index)

    def _execute_read_steps(self, steps: Sequence[ReadStep], now: float) -> list[ControlEffect]:
        effects: list[ControlEffect] = []
        for step in steps:
            if isinstance(step, ReadRequested):
                effects += self._handle_replica_event(step, now)
            elif isinstance(step, ReadAnswer):
                configuration = self._replica.catalogue.configuration
                effects.append(Reply(step.token, ConfigurationReply(step.is_newest, configuration)))
            else:
                effects.append(step)
        return effects

    def _redirect_submissions(self, now: float) -> list[ControlEffect]:
        leader = self._replica.leader(now)
        effects: list[ControlEffect] = []
        for step in self._submissions.redirect(self._name, leader) if leader else ():
            effects += (
                self._handle_replica_event(step, now) if isinstance(step, Propose) else [step]
            )
        return effects

    def _expire_requests(self, now: float) -> list[ControlEffect]:
        late = self._submissions.expire(self._catalogue.revision, now)
        reads = self._execute_read_steps(self._reads.expire(now), now)
        return [_reply(answer) for answer in late] + reads + self._pop_finished_status_queries(now)

    def _handle_replica_event(self, event: ReplicaEvent, now: float) -> list[ControlEffect]:
        effects: list[ControlEffect] = []
        for effect in self._replica.handle(event, now):
            effects += self._handle_replica_effect(effect, now)
        return effects + self._execute_read_steps(
            self._reads.finish_applied(self._replica.state.commit_index), now
        )

    def _handle_replica_effect(self, effect: ReplicaEffect, now: float) -> list[ControlEffect]:
        if isinstance(effect, EntryApplied):
            return self._handle_applied(effect, now)
        if isinstance(effect, ReadConfirmed):
            return self._execute_read_steps(
                self._record_confirmation(effect.token, effect.log_index), now
            )
        if isinstance(effect, SnapshotInstalled):
            self._catalogue = effect.catalogue
            return list(self._propagation.handle(CatalogueReplaced(effect.catalogue), now))
        if isinstance(effect, ProposalFailed):
            answer = self._submissions.complete(effect.token, effect.reply)
            return [] if answer is None else [_reply(answer)]
        return [effect]

    def _handle_applied(self, effect: EntryApplied, now: float) -> list[ControlEffect]:
        outcome = effect.outcome
        effects: list[ControlEffect] = []
        if outcome.change is not None:
            self._catalogue = outcome.catalogue
            effects.append(Committed(outcome.change))
            effects += self._propagation.handle(
                ChangeApplied(outcome.change, outcome.catalogue), now
            )
        if effect.token is not None:
            answer = self._submissions.complete(effect.token, outcome.reply)
            effects += [] if answer is None else [_reply(answer)]
        return effects

    def _start_status_query(self, token: int, now: float) -> list[ControlEffect]:
        request = self._status_queries.start(token, self._own_status(0, now), now)
        asked: list[ControlEffect] = [
            SendPeerStatus(name, request) for name in self._status_queries.others
        ]
        return asked + self._pop_finished_status_queries(now)

    def _handle_peer_status(self, event: PeerStatusReceived, now: float) -> list[ControlEffect]:
        message = event.message
        if isinstance(message, PeerStatusRequest):
            return [SendPeerStatus(event.sender, self._own_status(message.number, now))]
        self._status_queries.record_reply(event.sender, message)
        return self._pop_finished_status_queries(now)

    def _own_status(self, number: int, now: float) -> PeerStatusReply:
        leader = self._replica.leader(now)
        hosts = self._propagation.hosts(now)
        catalogue = self._catalogue
        return PeerStatusReply(number, catalogue.revision, leader, hosts, catalogue.evacuations)

    def _pop_finished_status_queries(self, now: float) -> list[ControlEffect]:
        return [Reply(token, status) for token, status in self._status_queries.pop_finished(now)]


def _reply(answer: OperatorAnswer | SendToReplica) -> Reply | SendToReplica:
    if isinstance(answer, SendToReplica):
        return answer
    return Reply(answer.token, OperatorReply(answer.reply))
