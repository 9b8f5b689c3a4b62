"""Where an operator's request goes, and who waits for its answer.

A host that is not the leader forwards a request to the leader that it hears. Whatever then remains
without an answer is unknown to the operator, who sends it again: a note or an order that was
applied before gets the same answer.
"""

from __future__ import annotations

import itertools
from typing import NamedTuple

from .._notes.catalogue import Note, SubmitReply, SubmitTag
from .._replica.events import Propose, SendToReplica
from .._replica.log import note_weight
from .._replica.messages import ForwardReply, ForwardRequest
from .._replica.replica import NO_QUORUM
from ..messages import SubmitConfiguration, SubmitNote, SubmitOrder
from ..types import HostName

ANSWER_SECONDS = 4.0
NOTE_WEIGHT_LIMIT = 4000
WAITING_LIMIT = 256


class OperatorAnswer(NamedTuple):
    """Answer the operator whose request carried the token."""

    token: int
    reply: SubmitReply


class _Waiting(NamedTuple):
    """Who waits for an answer: an operator here, or another control host.

    :param host: empty for an operator.
    :param number: the operator's token, or the other host's number.
    :param request: what was forwarded, or ``None``.
    :param leader: whom it was forwarded to.
    :param was_resent: whether more than one host may have taken it.
    """

    host: HostName
    number: int
    due: float
    request: ForwardRequest | None = None
    leader: HostName = ""
    was_resent: bool = False


class Submissions:
    """Keeps who waits for the outcome of which proposal."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._waiting: dict[int, _Waiting] = {}

    def operator(
        self,
        token: int,
        request: SubmitNote | SubmitOrder | SubmitConfiguration,
        me: HostName,
        leader: HostName,
        revision: int,
        now: float,
    ) -> Propose | SendToReplica | OperatorAnswer:
        """Take an operator's request and return where it goes.

        :param leader: the leader that this host hears, or empty.
        """
        note = request.note if isinstance(request, SubmitNote) else None
        order = request.order if isinstance(request, SubmitOrder) else None
        whole = request.configuration if isinstance(request, SubmitConfiguration) else None
        problem = self._problem(note, leader)
        if problem is not None:
            return OperatorAnswer(token, problem._replace(revision=revision))
        number = self._wait("", token, now)
        if leader == me:
            return Propose(number, note, order, whole)
        forward = ForwardRequest(number, note, order, whole)
        self._waiting[number] = self._waiting[number]._replace(request=forward, leader=leader)
        return SendToReplica(leader, forward)

    def forwarded(self, sender: HostName, request: ForwardRequest, now: float) -> Propose:
        """Take a request that another control host forwarded."""
        number = self._wait(sender, request.number, now)
        return Propose(number, request.note, request.order, request.configuration)

    def redirected(self, me: HostName, leader: HostName) -> list[Propose | SendToReplica]:
        """Return where requests go again that were forwarded to an earlier leader."""
        ways: list[Propose | SendToReplica] = []
        for number, waiting in self._waiting.items():
            request = waiting.request
            if request is None or waiting.leader == leader:
                continue
            self._waiting[number] = waiting._replace(leader=leader, was_resent=True)
            if leader == me:
                ways.append(Propose(number, request.note, request.order, request.configuration))
            else:
                ways.append(SendToReplica(leader, request))
        return ways

    def answered(self, number: int, reply: SubmitReply) -> SendToReplica | OperatorAnswer | None:
        """Return who gets the answer to a proposal or a forwarded request, if anyone waits."""
        waiting = self._waiting.pop(number, None)
        if waiting is None:
            return None
        if waiting.was_resent and reply.tag is SubmitTag.REFUSED:
            reply = reply._replace(tag=SubmitTag.UNKNOWN)
        if waiting.host:
            return SendToReplica(waiting.host, ForwardReply(waiting.number, reply))
        return OperatorAnswer(waiting.number, reply)

    def expired(self, revision: int, now: float) -> list[OperatorAnswer]:
        """Return the answers to operators whose requests got none in time."""
        late = [number for number, waiting in self._waiting.items() if waiting.due <= now]
        reply = SubmitReply(SubmitTag.UNKNOWN, revision, "no answer in time; send it again")
        answers = [self.answered(number, reply) for number in late]
        return [answer for answer in answers if isinstance(answer, OperatorAnswer)]

    def _problem(self, note: Note | None, leader: HostName) -> SubmitReply | None:
        if note is not None and note_weight(note) > NOTE_WEIGHT_LIMIT:
            return SubmitReply(SubmitTag.INVALID, 0, "(document): is too large; split it")
        if not leader:
            return SubmitReply(SubmitTag.REFUSED, 0, NO_QUORUM)
        if len(self._waiting) >= WAITING_LIMIT:
            return SubmitReply(SubmitTag.REFUSED, 0, "too many requests wait for answers")
        return None

    def _wait(self, host: HostName, number: int, now: float) -> int:
        own = next(self._numbers)
        self._waiting[own] = _Waiting(host, number, now + ANSWER_SECONDS)
        return own
