"""Status of the whole system, which one control host collects from the others on request.

Control hosts exchange no status unless an operator asks. The status names a control host that does
not answer in time; entry hosts that subscribe only to it then count as not confirmed.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from typing import NamedTuple

from ..messages import (
    ControlStatus,
    HostStatus,
    PeerStatusMessage,
    PeerStatusReply,
    PeerStatusRequest,
    Status,
)
from ..types import HostName

ANSWER_TIMEOUT_SECONDS = 0.6
MAX_CONTACT_AGE_SECONDS = 5.0
"""An entry host whose last contact is older counts as not confirmed."""
HOST_RETENTION_SECONDS = 3_600.0
"""How long a host that is not expected stays listed after its last contact."""


class SendPeerStatus(NamedTuple):
    """Send a status request or its answer to another control host."""

    host: HostName
    body: PeerStatusMessage


class CollectedStatus(NamedTuple):
    """The answer to an operator's status request."""

    token: int
    status: Status


class _StatusQuery(NamedTuple):
    token: int
    own: PeerStatusReply
    deadline: float
    replies: dict[HostName, PeerStatusReply]


class StatusQueries:
    """Tracks status requests until all other control hosts have answered or a timeout expires.

    :param name: this control host.
    :param controls: names of all control hosts.
    :param first_number: number of the first query.
    """

    def __init__(self, name: HostName, controls: Iterable[HostName], first_number: int = 1) -> None:
        self._name = name
        self._others = tuple(sorted(set(controls) - {name}))
        self._expected_hosts: frozenset[HostName] = frozenset()
        self._pending: dict[int, _StatusQuery] = {}
        self._numbers = itertools.count(first_number)

    @property
    def others(self) -> tuple[HostName, ...]:
        """The control hosts to ask."""
        return self._others

    def set_expected_hosts(self, names: Iterable[HostName]) -> None:
        """Set the names of the entry hosts that the system should consist of."""
        self._expected_hosts = frozenset(names)

    def start(self, token: int, own: PeerStatusReply, now: float) -> PeerStatusRequest:
        """Start collecting the status and return the request to the other control hosts.

        :param token: returned in the :class:`CollectedStatus`.
        :param own: this host's own answer to the request.
        """
        number = next(self._numbers)
        self._pending[number] = _StatusQuery(token, own, now + ANSWER_TIMEOUT_SECONDS, {})
        return PeerStatusRequest(number)

    def record_reply(self, sender: HostName, reply: PeerStatusReply) -> None:
        """Record another control host's answer."""
        query = self._pending.get(reply.number)
        if query is not None:
            query.replies[sender] = reply

    def pop_finished(self, now: float) -> list[CollectedStatus]:
        """Remove the requests that have all answers or timed out, and return their status."""
        finished = [
            number
            for number, query in self._pending.items()
            if now >= query.deadline or len(query.replies) == len(self._others)
        ]
        return [self._collect(self._pending.pop(number)) for number in finished]

    def _collect(self, query: _StatusQuery) -> CollectedStatus:
        replies = {self._name: query.own, **query.replies}
        newest = max(replies.values(), key=lambda reply: reply.revision)
        revision, evacuated_zones = newest.revision, newest.evacuations.zones
        hosts = self._merge_hosts(replies.values())
        missing = tuple(host.name for host in hosts if not _confirms(host, revision))
        unheard = tuple(sorted(self._expected_hosts - {host.name for host in hosts}))
        controls = tuple(
            ControlStatus(name, replies[name].revision if name in replies else None)
            for name in sorted((self._name, *self._others))
        )
        leader = query.own.leader
        return CollectedStatus(
            query.token,
            Status(
                revision, leader, bool(leader), hosts, missing, unheard, controls, evacuated_zones
            ),
        )

    def _merge_hosts(self, replies: Iterable[PeerStatusReply]) -> tuple[HostStatus, ...]:
        """Return each entry host once, as reported by the control host with the latest contact."""
        newest: dict[HostName, HostStatus] = {}
        for host in (host for reply in replies for host in reply.hosts):
            known = newest.get(host.name)
            if known is None or host.age < known.age:
                newest[host.name] = host
        kept = [h for h in newest.values() if self._is_listed(h)]
        return tuple(sorted(kept))

    def _is_listed(self, host: HostStatus) -> bool:
        return host.name in self._expected_hosts or host.age < HOST_RETENTION_SECONDS


def _confirms(host: HostStatus, revision: int) -> bool:
    return host.revision >= revision and host.age <= MAX_CONTACT_AGE_SECONDS
