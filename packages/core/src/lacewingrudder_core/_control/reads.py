"""Linearizable reads of the configuration, delayed until the leader confirms its leadership."""

from __future__ import annotations

import itertools
from typing import NamedTuple

from .._replica.events import ReadRequested, SendToReplica
from .._replica.messages import ReadReply, ReadRequest
from ..types import HostName

READ_TIMEOUT_SECONDS = 0.8
"""How long a read waits; callers try another host after one second."""

MAX_PENDING_READS = 256


class _PendingRead(NamedTuple):
    """A pending read of an operator here, or of another control host.

    :param host: the control host that asked; empty for an operator.
    :param number: the operator's token, or the other host's request number.
    :param deadline: when the read times out.
    :param log_index: index that this host has to apply before it answers; ``None`` until the
        leader has confirmed its leadership.
    """

    host: HostName
    number: int
    deadline: float
    log_index: int | None = None


class ReadAnswer(NamedTuple):
    """Answer an operator's read.

    :param is_newest: whether this host's configuration is confirmed to be the newest.
    """

    token: int
    is_newest: bool


ReadStep = ReadRequested | SendToReplica | ReadAnswer


class Reads:
    """Tracks reads until they are answered or time out.

    An operator's read is answered once the leadership is confirmed and this host has applied the
    log up to the read's index; a forwarded read is answered once the leadership is confirmed.

    :param first_number: number of the first read.
    """

    def __init__(self, first_number: int = 1) -> None:
        self._numbers = itertools.count(first_number)
        self._pending: dict[int, _PendingRead] = {}

    def start(self, token: int, own_name: HostName, leader: HostName, now: float) -> ReadStep:
        """Start an operator's read.

        Returns a request to confirm the leadership, here or at the leader. If no leader is known or
        too many reads are pending, returns an answer that is not confirmed to be the newest.

        :param own_name: this host.
        :param leader: the leader this host knows, or empty.
        """
        if not leader or len(self._pending) >= MAX_PENDING_READS:
            return ReadAnswer(token, False)
        number = self._add("", token, now)
        return (
            ReadRequested(number)
            if leader == own_name
            else SendToReplica(leader, ReadRequest(number))
        )

    def start_forwarded(self, sender: HostName, request: ReadRequest, now: float) -> ReadStep:
        """Start a read that another control host forwarded."""
        if len(self._pending) >= MAX_PENDING_READS:
            return SendToReplica(sender, ReadReply(request.number, None))
        return ReadRequested(self._add(sender, request.number, now))

    def record_confirmation(
        self, number: int, log_index: int | None, commit: int
    ) -> list[ReadStep]:
        """Handle the outcome of confirming the leadership for a read.

        :param number: this host's number of the read.
        :param log_index: index that the read has to see, or ``None`` if there was no confirmation.
        :param commit: the index up to which this host has applied the log.
        """
        pending = self._pending.get(number)
        if pending is None:
            return []
        if pending.host:
            del self._pending[number]
            return [SendToReplica(pending.host, ReadReply(pending.number, log_index))]
        if log_index is None:
            del self._pending[number]
            return [ReadAnswer(pending.number, False)]
        self._pending[number] = pending._replace(log_index=log_index)
        return self.finish_applied(commit)

    def finish_applied(self, commit: int) -> list[ReadStep]:
        """Return the answers to confirmed reads whose log index has been applied."""
        ready = [
            number
            for number, pending in self._pending.items()
            if pending.log_index is not None and pending.log_index <= commit
        ]
        return [ReadAnswer(self._pending.pop(number).number, True) for number in ready]

    def expire(self, now: float) -> list[ReadStep]:
        """Drop the reads that timed out, and return the answers for those of operators."""
        late = [number for number, pending in self._pending.items() if pending.deadline <= now]
        ended = [self._pending.pop(number) for number in late]
        return [ReadAnswer(pending.number, False) for pending in ended if not pending.host]

    def _add(self, host: HostName, number: int, now: float) -> int:
        own_number = next(self._numbers)
        self._pending[own_number] = _PendingRead(host, number, now + READ_TIMEOUT_SECONDS)
        return own_number
