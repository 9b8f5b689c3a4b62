"""Reads of the newest configuration, each held until its leader proved that it leads."""

from __future__ import annotations

import itertools
from typing import NamedTuple

from .._replica.events import ReadRequested, SendToReplica
from .._replica.messages import ReadReply, ReadRequest
from ..types import HostName

READ_SECONDS = 0.8
"""How long a read waits; callers go on to another host after a second."""

WAITING_LIMIT = 256


class _Waiting(NamedTuple):
    """Who waits for a proof: an operator here, or another control host.

    :param host: empty for an operator.
    :param number: the operator's token, or the other host's number.
    :param log_index: what this host has to apply before it answers; ``None`` before the proof.
    """

    host: HostName
    number: int
    due: float
    log_index: int | None = None


class ReadAnswer(NamedTuple):
    """Answer an operator's read.

    :param is_newest: whether what this host holds is proved to be the newest.
    """

    token: int
    is_newest: bool


ReadWay = ReadRequested | SendToReplica | ReadAnswer


class Reads:
    """Keeps who waits for which proof."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._waiting: dict[int, _Waiting] = {}

    def operator(self, token: int, me: HostName, leader: HostName, now: float) -> ReadWay:
        """Take an operator's read and return where it goes.

        :param leader: the leader that this host hears, or empty.
        """
        if not leader or len(self._waiting) >= WAITING_LIMIT:
            return ReadAnswer(token, False)
        number = self._wait("", token, now)
        return ReadRequested(number) if leader == me else SendToReplica(leader, ReadRequest(number))

    def forwarded(self, sender: HostName, request: ReadRequest, now: float) -> ReadWay:
        """Take a read that another control host forwarded."""
        if len(self._waiting) >= WAITING_LIMIT:
            return SendToReplica(sender, ReadReply(request.number, None))
        return ReadRequested(self._wait(sender, request.number, now))

    def proved(self, number: int, log_index: int | None, commit: int) -> list[ReadWay]:
        """Take in the outcome of a proof.

        :param commit: the index up to which this host has applied the log.
        """
        waiting = self._waiting.get(number)
        if waiting is None:
            return []
        if waiting.host:
            del self._waiting[number]
            return [SendToReplica(waiting.host, ReadReply(waiting.number, log_index))]
        if log_index is None:
            del self._waiting[number]
            return [ReadAnswer(waiting.number, False)]
        self._waiting[number] = waiting._replace(log_index=log_index)
        return self.applied(commit)

    def applied(self, commit: int) -> list[ReadWay]:
        """Return the answers to reads whose proof is in and whose entries are applied."""
        ready = [
            number
            for number, waiting in self._waiting.items()
            if waiting.log_index is not None and waiting.log_index <= commit
        ]
        return [ReadAnswer(self._waiting.pop(number).number, True) for number in ready]

    def expired(self, now: float) -> list[ReadWay]:
        """Return the answers to operators whose reads were not proved in time."""
        late = [number for number, waiting in self._waiting.items() if waiting.due <= now]
        ended = [self._waiting.pop(number) for number in late]
        return [ReadAnswer(waiting.number, False) for waiting in ended if not waiting.host]

    def _wait(self, host: HostName, number: int, now: float) -> int:
        own = next(self._numbers)
        self._waiting[own] = _Waiting(host, number, now + READ_SECONDS)
        return own
