"""Which entry hosts are alive, from heartbeats."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .core import Core
from .types import HostName, Member

HEARTBEAT_SECONDS = 0.5
DEAD_AFTER_SECONDS = 2.0


class MemberHeard(NamedTuple):
    """A member told that it is alive."""

    member: Member


class MemberLeft(NamedTuple):
    """A member left as planned."""

    member: Member


class Tick(NamedTuple):
    """Time passed."""


MembershipEvent = MemberHeard | MemberLeft | Tick


class MembersChanged(NamedTuple):
    """The set of live members changed."""

    members: tuple[Member, ...]


class SendHeartbeat(NamedTuple):
    """A heartbeat to this host is due."""

    host: HostName


MembershipEffect = MembersChanged | SendHeartbeat


class MembershipCore(Core[MembershipEvent, MembershipEffect]):
    """Keeps the set of live entry hosts.

    :param me: this host, always a member.
    :param peers: names of the other hosts to send heartbeats to.
    """

    def __init__(self, me: Member, peers: Iterable[HostName]) -> None:
        self._me = me
        self._peers = tuple(peers)
        self._members: dict[HostName, Member] = {}
        self._heard: dict[HostName, float] = {}
        self._sent = float("-inf")

    @property
    def members(self) -> tuple[Member, ...]:
        """The live members, this host among them."""
        return (self._me, *self._members.values())

    def handle(self, event: MembershipEvent, now: float) -> list[MembershipEffect]:
        """Take one event."""
        if isinstance(event, MemberHeard):
            return self._alive(event.member, now)
        if isinstance(event, MemberLeft):
            return self._remove([event.member.name])
        late = [name for name, at in self._heard.items() if now - at > DEAD_AFTER_SECONDS]
        return self._remove(late) + self._heartbeats(now)

    def _alive(self, member: Member, now: float) -> list[MembershipEffect]:
        self._heard[member.name] = now
        if self._members.get(member.name) == member:
            return []
        self._members[member.name] = member
        return [MembersChanged(self.members)]

    def _remove(self, names: Iterable[HostName]) -> list[MembershipEffect]:
        gone = [name for name in names if self._members.pop(name, None)]
        for name in gone:
            self._heard.pop(name, None)
        return [MembersChanged(self.members)] if gone else []

    def _heartbeats(self, now: float) -> list[MembershipEffect]:
        if now - self._sent < HEARTBEAT_SECONDS:
            return []
        self._sent = now
        return [SendHeartbeat(name) for name in self._peers]
