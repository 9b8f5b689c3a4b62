"""What an operator sees of the whole: one control host asks the others which hosts they serve.

Nothing is exchanged until somebody asks. A control host that does not answer in time is named, and
its followers then count as not confirmed unless they told another control host.
"""

from __future__ import annotations

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

ANSWER_SECONDS = 0.6
HEARD_SECONDS = 5.0
FORGOTTEN_SECONDS = 3_600.0


class SendPeerStatus(NamedTuple):
    """Send a question or an answer to another control host."""

    host: HostName
    body: PeerStatusMessage


class Outcome(NamedTuple):
    """The answer to an operator's question."""

    token: int
    status: Status


class _Survey(NamedTuple):
    token: int
    own: PeerStatusReply
    due: float
    replies: dict[HostName, PeerStatusReply]


class Surveys:
    """Keeps the questions under way.

    :param name: this control host.
    :param controls: names of all control hosts.
    """

    def __init__(self, name: HostName, controls: Iterable[HostName]) -> None:
        self._name = name
        self._others = tuple(sorted(set(controls) - {name}))
        self._expected: frozenset[HostName] = frozenset()
        self._surveys: dict[int, _Survey] = {}
        self._last_number = 0

    @property
    def others(self) -> tuple[HostName, ...]:
        """The control hosts to ask."""
        return self._others

    def expect(self, names: Iterable[HostName]) -> None:
        """Take the names of the entry hosts that should be there."""
        self._expected = frozenset(names)

    def start(self, token: int, own: PeerStatusReply, now: float) -> PeerStatusRequest:
        """Begin a survey and return what to ask the other control hosts.

        :param own: what this host would answer.
        """
        self._last_number += 1
        self._surveys[self._last_number] = _Survey(token, own, now + ANSWER_SECONDS, {})
        return PeerStatusRequest(self._last_number)

    def answered(self, sender: HostName, reply: PeerStatusReply) -> None:
        """Take another control host's answer."""
        survey = self._surveys.get(reply.number)
        if survey is not None:
            survey.replies[sender] = reply

    def finished(self, now: float) -> list[Outcome]:
        """Return the surveys that have all answers, or whose time is over."""
        over = [
            number
            for number, survey in self._surveys.items()
            if now >= survey.due or len(survey.replies) == len(self._others)
        ]
        return [self._outcome(self._surveys.pop(number)) for number in over]

    def _outcome(self, survey: _Survey) -> Outcome:
        replies = {self._name: survey.own, **survey.replies}
        revision = max(reply.revision for reply in replies.values())
        hosts = self._merged(replies.values())
        missing = tuple(host.name for host in hosts if not _confirms(host, revision))
        unheard = tuple(sorted(self._expected - {host.name for host in hosts}))
        controls = tuple(
            ControlStatus(name, replies[name].revision if name in replies else None)
            for name in sorted((self._name, *self._others))
        )
        leader = survey.own.leader
        return Outcome(
            survey.token,
            Status(revision, leader, bool(leader), hosts, missing, unheard, controls),
        )

    def _merged(self, replies: Iterable[PeerStatusReply]) -> tuple[HostStatus, ...]:
        """Return each host once, as the control host that heard it last knows it."""
        newest: dict[HostName, HostStatus] = {}
        for host in (host for reply in replies for host in reply.hosts):
            known = newest.get(host.name)
            if known is None or host.age < known.age:
                newest[host.name] = host
        kept = [h for h in newest.values() if self._is_listed(h)]
        return tuple(sorted(kept))

    def _is_listed(self, host: HostStatus) -> bool:
        return host.name in self._expected or host.age < FORGOTTEN_SECONDS


def _confirms(host: HostStatus, revision: int) -> bool:
    return host.revision >= revision and host.age <= HEARD_SECONDS
