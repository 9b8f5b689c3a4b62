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
from .._propagation.status_queries import SendPeerStatus, Surveys
from .._replica.events import (
    Answered,
    Applied,
    Installed,
    Persist,
    Persisted,
    PersistFailed,
    Propose,
    ReadConfirmed,
    ReadRequested,
    ReplicaEffect,
    ReplicaEvent,
    ReplicaMessageReceived,
    RoleChanged,
    SendToReplica,
    ShutdownRequested,
    Tick,
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
from .reads import ReadAnswer, Reads, ReadWay
from .submissions import OperatorAnswer, Submissions


class OperatorRequestReceived(NamedTuple):
    """An operator sent a request.

    :param token: returned in the :class:`Reply`.
    """

    token: int
    request: OperatorRequest


class ForwardMessageReceived(NamedTuple):
    """Another control host forwarded a request, or answered a forwarded one."""

    sender: HostName
    message: ForwardMessage


class PeerStatusReceived(NamedTuple):
    """Another control host asked which entry hosts this one serves, or answered that question."""

    sender: HostName
    message: PeerStatusMessage


class ExpectedHostsChanged(NamedTuple):
    """The set of entry hosts that the system should consist of."""

    names: frozenset[HostName]


ControlEvent = (
    OperatorRequestReceived
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
    Reply | SendToHost | SendPeerStatus | SendToReplica | Persist | Committed | RoleChanged
)


class ControlCore(Core[ControlEvent, ControlEffect]):
    """Routes operator requests to the leader, and propagates committed changes to entry hosts.

    :param name: this host.
    :param replica: this host's replica of the log.
    :param controls: names of all control hosts.
    """

    def __init__(
        self, name: HostName, replica: ReplicaCore, controls: Iterable[HostName] = ()
    ) -> None:
        self._name = name
        self._replica = replica
        self._catalogue = replica.catalogue
        self._spread = PropagationCore(replica.catalogue)
        self._submissions = Submissions()
        self._reads = Reads()
        self._surveys = Surveys(name, controls)

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
            return self._requested(event, now)
        if isinstance(event, ForwardMessageReceived):
            return self._forward_heard(event, now)
        if isinstance(event, PeerStatusReceived):
            return self._survey_heard(event, now)
        if isinstance(event, ExpectedHostsChanged):
            self._surveys.expect(event.names)
            return []
        if isinstance(event, Subscribed | SnapshotPulled):
            return list(self._spread.handle(event, now))
        effects = self._feed(event, now)
        if isinstance(event, Tick):
            effects += self._redirect(now) + self._expire(now)
        return effects

    def _requested(self, event: OperatorRequestReceived, now: float) -> list[ControlEffect]:
        request = event.request
        if isinstance(request, StatusRequest):
            return self._start_survey(event.token, now)
        leader = self._replica.leader(now)
        if isinstance(request, ReadConfiguration):
            return self._read([self._reads.operator(event.token, self._name, leader, now)], now)
        if self._is_overtaken(request):
            reply = SubmitReply(SubmitTag.ACCEPTED, self._catalogue.revision, "")
            return [Reply(event.token, OperatorReply(reply))]
        way = self._submissions.operator(
            event.token, request, self._name, leader, self._catalogue.revision, now
        )
        if isinstance(way, Propose):
            return self._feed(way, now)
        return [_reply(way)]

    def _forward_heard(self, event: ForwardMessageReceived, now: float) -> list[ControlEffect]:
        message = event.message
        if isinstance(message, ReadRequest):
            return self._read([self._reads.forwarded(event.sender, message, now)], now)
        if isinstance(message, ReadReply):
            return self._read(self._proved(message.number, message.log_index), now)
        if isinstance(message, ForwardRequest):
            return self._feed(self._submissions.forwarded(event.sender, message, now), now)
        answer = self._submissions.answered(message.number, message.reply)
        return [] if answer is None else [_reply(answer)]

    def _is_overtaken(self, request: OperatorRequest) -> bool:
        """Whether the request submits a configuration no newer than the committed one.

        Any host may then accept it without a leader, because it changes nothing.
        """
        return (
            isinstance(request, SubmitConfiguration)
            and request.configuration.version <= self._catalogue.configuration_version
        )

    def _proved(self, number: int, log_index: int | None) -> list[ReadWay]:
        return self._reads.proved(number, log_index, self._replica.state.commit_index)

    def _read(self, ways: Sequence[ReadWay], now: float) -> list[ControlEffect]:
        effects: list[ControlEffect] = []
        for way in ways:
            if isinstance(way, ReadRequested):
                effects += self._feed(way, now)
            elif isinstance(way, ReadAnswer):
                configuration = self._replica.catalogue.configuration
                effects.append(Reply(way.token, ConfigurationReply(way.is_newest, configuration)))
            else:
                effects.append(way)
        return effects

    def _redirect(self, now: float) -> list[ControlEffect]:
        leader = self._replica.leader(now)
        effects: list[ControlEffect] = []
        for way in self._submissions.redirected(self._name, leader) if leader else ():
            effects += self._feed(way, now) if isinstance(way, Propose) else [way]
        return effects

    def _expire(self, now: float) -> list[ControlEffect]:
        late = self._submissions.expired(self._catalogue.revision, now)
        reads = self._read(self._reads.expired(now), now)
        return [_reply(answer) for answer in late] + reads + self._finished_surveys(now)

    def _feed(self, event: ReplicaEvent, now: float) -> list[ControlEffect]:
        effects: list[ControlEffect] = []
        for effect in self._replica.handle(event, now):
            effects += self._replica_effect(effect, now)
        return effects + self._read(self._reads.applied(self._replica.state.commit_index), now)

    def _replica_effect(self, effect: ReplicaEffect, now: float) -> list[ControlEffect]:
        if isinstance(effect, Applied):
            return self._applied(effect, now)
        if isinstance(effect, ReadConfirmed):
            return self._read(self._proved(effect.token, effect.log_index), now)
        if isinstance(effect, Installed):
            self._catalogue = effect.catalogue
            return list(self._spread.handle(CatalogueReplaced(effect.catalogue), now))
        if isinstance(effect, Answered):
            answer = self._submissions.answered(effect.token, effect.reply)
            return [] if answer is None else [_reply(answer)]
        return [effect]

    def _applied(self, effect: Applied, now: float) -> list[ControlEffect]:
        outcome = effect.outcome
        effects: list[ControlEffect] = []
        if outcome.change is not None:
            self._catalogue = outcome.catalogue
            effects.append(Committed(outcome.change))
            effects += self._spread.handle(ChangeApplied(outcome.change, outcome.catalogue), now)
        if effect.token is not None:
            answer = self._submissions.answered(effect.token, outcome.reply)
            effects += [] if answer is None else [_reply(answer)]
        return effects

    def _start_survey(self, token: int, now: float) -> list[ControlEffect]:
        request = self._surveys.start(token, self._survey_reply(0, now), now)
        asked: list[ControlEffect] = [
            SendPeerStatus(name, request) for name in self._surveys.others
        ]
        return asked + self._finished_surveys(now)

    def _survey_heard(self, event: PeerStatusReceived, now: float) -> list[ControlEffect]:
        message = event.message
        if isinstance(message, PeerStatusRequest):
            return [SendPeerStatus(event.sender, self._survey_reply(message.number, now))]
        self._surveys.answered(event.sender, message)
        return self._finished_surveys(now)

    def _survey_reply(self, number: int, now: float) -> PeerStatusReply:
        leader = self._replica.leader(now)
        hosts = self._spread.hosts(now)
        return PeerStatusReply(number, self._catalogue.revision, leader, hosts)

    def _finished_surveys(self, now: float) -> list[ControlEffect]:
        return [Reply(token, status) for token, status in self._surveys.finished(now)]


def _reply(answer: OperatorAnswer | SendToReplica) -> Reply | SendToReplica:
    if isinstance(answer, SendToReplica):
        return answer
    return Reply(answer.token, OperatorReply(answer.reply))
