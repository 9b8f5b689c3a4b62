"""Which entry hosts are alive: SWIM (Das, Gupta, Motivala, 2002) over the rings of :mod:`.rings`.

Each period a host pings a few of its neighbours. One that does not answer is pinged through others,
then suspected, and declared dead unless it refutes the suspicion with a higher incarnation. News of
members travels on pings and their answers. Dead hosts are still pinged now and then, so that views
converge after a cut heals.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

from .._gossip.digests import bucket_count, bucket_digests
from ..core import Core
from ..messages import (
    Ack,
    MembersPull,
    MemberStatus,
    MemberUpdate,
    MemberUpdates,
    Ping,
    ProbeRequest,
    SwimMessage,
)
from ..types import HostName, Member
from . import table
from .probes import Probe, Probes
from .rings import neighbours

PERIOD_SECONDS = 0.5
PROBES_PER_PERIOD = 4
CONTACT_SECONDS = 1.0
SUSPICION_SECONDS = 0.6
PULL_SECONDS = 0.5
UNQUIET_PULL_SECONDS = 3.0
QUIET_SECONDS = 1.5
FROZEN_SECONDS = 1.5
LATE_TICK_SECONDS = 0.25
HELPERS = 3
UPDATES_PER_MESSAGE = 8
UPDATES_PER_PULL = 128


class MemberMessage(NamedTuple):
    """Another entry host sent a message about members."""

    sender: HostName
    body: SwimMessage


class MemberLeft(NamedTuple):
    """A member left as planned."""

    member: Member


class Leave(NamedTuple):
    """This host leaves as planned; it goes on answering, but refutes nothing."""


class Tick(NamedTuple):
    """Time passed; due several times a second."""


MembershipEvent = MemberMessage | MemberLeft | Leave | Tick


class MembersChanged(NamedTuple):
    """The set of live members changed, or where they can be reached."""

    members: tuple[Member, ...]


class SendMember(NamedTuple):
    """Send a message; the owner fills in ``revision`` and ``targets`` of pings and answers."""

    host: HostName
    body: SwimMessage


class PeerConfirmed(NamedTuple):
    """A host answered a ping that this host sent, so both are in touch now."""

    host: HostName


MembershipEffect = MembersChanged | SendMember | PeerConfirmed


class MembershipCore(Core[MembershipEvent, MembershipEffect]):
    """Keeps the set of live entry hosts.

    :param me: this host, always a member.
    :param seeds: names of hosts to call on until members are known through gossip.
    :param rng: source of random choices.
    """

    def __init__(self, me: Member, seeds: Iterable[HostName], rng: random.Random) -> None:
        self._table = table.MemberTable(me)
        self._seeds = tuple(name for name in seeds if name != me.name)
        self._rng = rng
        self._probes = Probes()
        self._round: list[HostName] = []
        self._neighbours: tuple[HostName, ...] = ()
        self._next_period = float("-inf")
        self._next_contact = float("-inf")
        self._pulled = float("-inf")
        self._last_tick: float | None = None

    @property
    def local_member(self) -> Member:
        """This host, at its current incarnation."""
        return self._table.me

    @property
    def members(self) -> tuple[Member, ...]:
        """The live members, this host among them."""
        return self._table.live

    @property
    def neighbours(self) -> tuple[HostName, ...]:
        """The hosts that this host probes and tells of news."""
        return self._neighbours

    @property
    def digest(self) -> int:
        """Digest of the live members."""
        return self._table.digest

    def handle(self, event: MembershipEvent, now: float) -> list[MembershipEffect]:
        """Take one event."""
        self._notice_gap(now)
        if isinstance(event, Tick):
            effects = self._tick(now)
        elif isinstance(event, MemberLeft):
            self._table.take([MemberUpdate(event.member, MemberStatus.LEFT)], now)
            effects = []
        elif isinstance(event, Leave):
            self._table.leave(now)
            effects = []
        else:
            effects = self._message(event.sender, event.body, now)
        if self._table.take_change():
            names = [member.name for member in self.members]
            self._neighbours = neighbours(self.local_member.name, names)
            effects.insert(0, MembersChanged(self.members))
        return effects

    def _tick(self, now: float) -> list[MembershipEffect]:
        self._allow_for_delay(now)
        effects = self._late_probes(now)
        self._table.expire(now, SUSPICION_SECONDS)
        if now >= self._next_contact:
            self._next_contact = now + CONTACT_SECONDS
            effects += self._contact(now)
        if now >= self._next_period:
            self._next_period = now + PERIOD_SECONDS
            effects += self._start_round(now)
        return effects

    def _notice_gap(self, now: float) -> None:
        """Forget pings from before a time in which this host stood still.

        Their answers prove nothing, and may come ahead of the first tick after such a time.
        """
        if self._last_tick is None or now - self._last_tick <= FROZEN_SECONDS:
            return
        self._probes.clear()
        self._table.postpone_suspicions(now - self._last_tick)
        self._last_tick = now

    def _allow_for_delay(self, now: float) -> None:
        """Count no answer as late for a time in which this host itself did not run."""
        delay = now - self._last_tick if self._last_tick is not None else 0.0
        self._last_tick = now
        if delay > LATE_TICK_SECONDS:
            self._probes.postpone(delay - LATE_TICK_SECONDS)
            self._table.postpone_suspicions(delay - LATE_TICK_SECONDS)

    def _late_probes(self, now: float) -> list[MembershipEffect]:
        effects: list[MembershipEffect] = []
        for sequence, probe in self._probes.take_unanswered(now):
            others = [name for name in self._neighbours if name != probe.subject]
            helpers = self._rng.sample(others, min(HELPERS, len(others)))
            effects += [SendMember(name, ProbeRequest(sequence, probe.subject)) for name in helpers]
        for probe in self._probes.take_failed(now):
            self._table.suspect(probe.subject, now)
        return effects

    def _contact(self, now: float) -> list[MembershipEffect]:
        """Ping one host that is not a member, or all seeds while there is no other member."""
        absent = [name for name in self._seeds if not self._table.is_known(name)]
        if len(self.members) > 1 or not absent:
            absent += self._table.dead
            absent = [self._rng.choice(absent)] if absent else []
        return [self._ping(name, Probe(name, now, is_contact=True)) for name in absent]

    def _start_round(self, now: float) -> list[MembershipEffect]:
        pings: list[MembershipEffect] = []
        for _ in range(min(PROBES_PER_PERIOD, len(self._neighbours))):
            name = self._next_neighbour()
            if not self._probes.is_probing(name):
                pings.append(self._ping(name, Probe(name, now)))
        return pings

    def _next_neighbour(self) -> HostName:
        self._round = [name for name in self._round if name in self._neighbours]
        if not self._round:
            self._round = list(self._neighbours)
            self._rng.shuffle(self._round)
        return self._round.pop()

    def _ping(self, host: HostName, probe: Probe) -> SendMember:
        sequence = self._probes.start(probe)
        updates = self._table.updates_for(host, UPDATES_PER_MESSAGE)
        return SendMember(host, Ping(sequence, self.local_member, 0, self.digest, 0, updates))

    def _ack(self, host: HostName, sequence: int) -> SendMember:
        updates = self._table.updates_for(host, UPDATES_PER_MESSAGE)
        return SendMember(host, Ack(sequence, self.local_member, 0, self.digest, 0, updates))

    def _message(self, sender: HostName, body: SwimMessage, now: float) -> list[MembershipEffect]:
        if isinstance(body, Ping | Ack):
            return self._exchange(sender, body, now)
        if isinstance(body, ProbeRequest):
            return [self._ping(body.subject, Probe(body.subject, now, sender, body.sequence))]
        if isinstance(body, MembersPull):
            return self._pulled_from(sender, body)
        self._table.take(body.updates, now)
        return []

    def _exchange(self, sender: HostName, body: Ping | Ack, now: float) -> list[MembershipEffect]:
        self._table.take([MemberUpdate(body.member, MemberStatus.ALIVE)], now)
        self._table.take(body.updates, now)
        effects: list[MembershipEffect]
        if isinstance(body, Ping):
            effects = [self._ack(sender, body.sequence)]
        else:
            effects = self._acknowledged(sender, body.sequence)
        return effects + self._pull(sender, body.members, now)

    def _acknowledged(self, sender: HostName, sequence: int) -> list[MembershipEffect]:
        probe = self._probes.finish(sequence)
        if probe is None:
            return []
        effects: list[MembershipEffect] = []
        if probe.asked_by:
            effects.append(self._ack(probe.asked_by, probe.asked_sequence))
        return [*effects, PeerConfirmed(sender)]

    def _pull(self, sender: HostName, digest: int, now: float) -> list[MembershipEffect]:
        """Ask for what differs, unless news that travels on pings may still explain it."""
        is_quiet = now - self._table.changed_at > QUIET_SECONDS or len(self.members) <= 2
        pause = PULL_SECONDS if is_quiet else UNQUIET_PULL_SECONDS
        if digest == self.digest or now - self._pulled < pause:
            return []
        self._pulled = now
        return [SendMember(sender, self._pull_request())]

    def _pull_request(self) -> MembersPull:
        prints = self._table.fingerprints
        return MembersPull(bucket_digests(prints.values(), bucket_count(len(prints))))

    def _pulled_from(self, sender: HostName, body: MembersPull) -> list[MembershipEffect]:
        updates = self._table.differing(body.digests)
        self._rng.shuffle(updates)
        if not updates:
            return []
        return [SendMember(sender, MemberUpdates(tuple(updates[:UPDATES_PER_PULL])))]
