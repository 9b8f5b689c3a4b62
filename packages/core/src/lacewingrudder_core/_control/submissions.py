"""Routing of operators' submissions to the leader, and of the outcomes back to the requesters.

A host that is not the leader forwards a submission to the leader it knows. If no answer arrives
in time, the operator is told that the outcome is unknown and sends the request again. That is safe:
a note that was already applied, or an order or a configuration in force, is accepted without a new
revision. An order is refused if a contrary one came after the operator sent it: whoever sent both
has given up the earlier one, which may have waited on a paused host or for a new leader.
"""

from __future__ import annotations

import itertools
from typing import NamedTuple

from .._notes.catalogue import Note, SubmitReply, SubmitTag
from .._replica.events import Propose, SendToReplica
from .._replica.log import note_weight
from .._replica.messages import ForwardReply, ForwardRequest
from .._replica.requests import NO_QUORUM
from ..messages import SubmitConfiguration, SubmitNote, SubmitOrder, SubmitZoneOrder
from ..types import HostName

ANSWER_TIMEOUT_SECONDS = 4.0
MAX_NOTE_WEIGHT = 4000
"""Maximum size of a note as estimated by :func:`note_weight`, so that it fits into a message."""
MAX_PENDING_SUBMISSIONS = 256


class OperatorAnswer(NamedTuple):
    """Answer the operator whose request carried the token."""

    token: int
    reply: SubmitReply


class _PendingSubmission(NamedTuple):
    """A pending submission of an operator here, or of another control host.

    :param host: the control host that forwarded it; empty for an operator.
    :param number: the operator's token, or the other host's request number.
    :param deadline: when the submission times out.
    :param request: what was forwarded to the leader, or ``None``.
    :param leader: the leader to which it was forwarded.
    :param was_resent: whether more than one leader may have received it.
    """

    host: HostName
    number: int
    deadline: float
    request: ForwardRequest | None = None
    leader: HostName = ""
    was_resent: bool = False


class Submissions:
    """Tracks submissions from their start until they are answered or time out.

    :param first_number: number of the first submission.
    """

    def __init__(self, first_number: int = 1) -> None:
        self._numbers = itertools.count(first_number)
        self._pending: dict[int, _PendingSubmission] = {}

    def start(
        self,
        token: int,
        request: SubmitNote | SubmitOrder | SubmitConfiguration | SubmitZoneOrder,
        own_name: HostName,
        leader: HostName,
        revision: int,
        now: float,
        basis: int = 0,
    ) -> Propose | SendToReplica | OperatorAnswer:
        """Start an operator's submission: propose it, forward it, or answer why it is refused.

        :param own_name: this host.
        :param leader: the leader this host knows, or empty.
        :param revision: current revision, for the answer to a refused submission.
        :param basis: log index up to which the operator may have known all orders.
        """
        problem = self._refusal(request.note if isinstance(request, SubmitNote) else None, leader)
        if problem is not None:
            return OperatorAnswer(token, problem._replace(revision=revision))
        number = self._add("", token, now)
        forward = _forward_request(number, request, basis)
        if leader == own_name:
            return _propose(number, forward)
        self._pending[number] = self._pending[number]._replace(request=forward, leader=leader)
        return SendToReplica(leader, forward)

    def withdraw(self, token: int) -> None:
        """Forget the submissions of an operator that no longer waits for an answer.

        They may have been applied, or still be, but are not sent to another leader any more.
        """
        rows = list(self._pending.items())
        for number, pending in rows:
            if not pending.host and pending.number == token:
                del self._pending[number]

    def start_forwarded(self, sender: HostName, request: ForwardRequest, now: float) -> Propose:
        """Start a submission that another control host forwarded."""
        number = self._add(sender, request.number, now)
        return _propose(number, request)

    def redirect(self, own_name: HostName, leader: HostName) -> list[Propose | SendToReplica]:
        """Send submissions that were forwarded to an earlier leader to the current one."""
        steps: list[Propose | SendToReplica] = []
        for number, pending in self._pending.items():
            request = pending.request
            if request is None or pending.leader == leader:
                continue
            self._pending[number] = pending._replace(leader=leader, was_resent=True)
            if leader == own_name:
                steps.append(_propose(number, request))
            else:
                steps.append(SendToReplica(leader, request))
        return steps

    def complete(self, number: int, reply: SubmitReply) -> SendToReplica | OperatorAnswer | None:
        """End a submission and return the answer to its requester; ``None`` if it already ended.

        A refusal after the request was sent to two leaders becomes unknown: the first one may
        have committed it.
        """
        pending = self._pending.pop(number, None)
        if pending is None:
            return None
        if pending.was_resent and reply.tag is SubmitTag.REFUSED:
            reply = reply._replace(tag=SubmitTag.UNKNOWN)
        if pending.host:
            return SendToReplica(pending.host, ForwardReply(pending.number, reply))
        return OperatorAnswer(pending.number, reply)

    def expire(self, revision: int, now: float) -> list[OperatorAnswer]:
        """End the submissions that timed out, and return the answers for those of operators."""
        late = [number for number, pending in self._pending.items() if pending.deadline <= now]
        reply = SubmitReply(SubmitTag.UNKNOWN, revision, "the request timed out; send it again")
        answers = [self.complete(number, reply) for number in late]
        return [answer for answer in answers if isinstance(answer, OperatorAnswer)]

    def _refusal(self, note: Note | None, leader: HostName) -> SubmitReply | None:
        if note is not None and note_weight(note) > MAX_NOTE_WEIGHT:
            return SubmitReply(
                SubmitTag.INVALID, 0, "(document): the note is too large for one message; split it"
            )
        if not leader:
            return SubmitReply(SubmitTag.REFUSED, 0, NO_QUORUM)
        if len(self._pending) >= MAX_PENDING_SUBMISSIONS:
            return SubmitReply(SubmitTag.REFUSED, 0, "too many requests are waiting for an answer")
        return None

    def _add(self, host: HostName, number: int, now: float) -> int:
        own_number = next(self._numbers)
        self._pending[own_number] = _PendingSubmission(host, number, now + ANSWER_TIMEOUT_SECONDS)
        return own_number


def _forward_request(
    number: int,
    request: SubmitNote | SubmitOrder | SubmitConfiguration | SubmitZoneOrder,
    basis: int,
) -> ForwardRequest:
    if isinstance(request, SubmitNote):
        return ForwardRequest(number, request.note, None)
    if isinstance(request, SubmitOrder):
        return ForwardRequest(number, None, request.order, basis=basis)
    if isinstance(request, SubmitConfiguration):
        return ForwardRequest(number, None, None, request.configuration)
    return ForwardRequest(number, None, None, zone_order=request.order, basis=basis)


def _propose(number: int, request: ForwardRequest) -> Propose:
    return Propose(number, *request[1:])
