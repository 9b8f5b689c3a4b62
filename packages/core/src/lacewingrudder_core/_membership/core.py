"""Failure detection for entry hosts: SWIM (Das, Gupta, Motivala, 2002) over hash rings.

In each protocol period a host pings some of its neighbours (see :mod:`.rings`). A neighbour that
does not answer is probed indirectly through other hosts, then suspected, and declared dead unless
it refutes the suspicion with a higher incarnation. Membership updates are piggybacked on pings and
acks. Dead hosts are still pinged occasionally, so that views converge after a network partition
heals.
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

PROTOCOL_PERIOD_SECONDS = 0.5
PROBES_PER_PERIOD = 4
# Interval between pings of hosts that are not members: seeds not yet in the table, and dead hosts.
CONTACT_INTERVAL_SECONDS = 1.0
SUSPICION_TIMEOUT_SECONDS = 0.6
PULL_INTERVAL_SECONDS = 0.5
# Shorter intervals would pull members that updates still in transit deliver anyway.
UNSETTLED_PULL_INTERVAL_SECONDS = 3.0
SETTLING_SECONDS = 1.5
# If the last tick was longer ago, this process was paused; pending probes are then discarded.
MAX_TICK_GAP_SECONDS = 1.5
# A longer gap between ticks extends all deadlines by the excess.
MAX_REGULAR_TICK_GAP_SECONDS = 0.25
INDIRECT_PROBE_COUNT = 3
MAX_UPDATES_PER_MESSAGE = 8
MAX_UPDATES_PER_PULL = 128


class MemberMessage(NamedTuple):
    """A membership message arrived from another entry host."""

    sender: HostName
    body: SwimMessage


class MemberLeft(NamedTuple):
    """A member announced its graceful shutdown."""

    member: Member


class Leave(NamedTuple):
    """This host shuts down gracefully; it answers pings but no longer refutes updates on itself."""


class Tick(NamedTuple):
    """Runs periodic work; due several times a second."""


MembershipEvent = MemberMessage | MemberLeft | Leave | Tick


class MembersChanged(NamedTuple):
    """The set of live members or the endpoints of a live member changed."""

    members: tuple[Member, ...]


class SendMember(NamedTuple):
    """Send a message.

    The caller sets ``revision`` and ``targets`` of pings and acks: this core does not know them.
    """

    host: HostName
    body: SwimMessage


class PeerConfirmed(NamedTuple):
    """A host acknowledged a ping of this host: messages pass between the two in both directions."""

    host: HostName


MembershipEffect = MembersChanged | SendMember | PeerConfirmed


class MembershipCore(Core[MembershipEvent, MembershipEffect]):
    """Maintains the set of live entry hosts.

    :param local_member: this host, which is always a member.
    :param seeds: names of hosts to contact until the membership table has them.
    :param rng: source of randomness.
    """

    def __init__(self, local_member: Member, seeds: Iterable[HostName], rng: random.Random) -> None:
        self._table = table.MemberTable(local_member)
        self._seeds = tuple(name for name in seeds if name != local_member.name)
        self._rng = rng
        self._probes = Probes()
        self._probe_order: list[HostName] = []
        self._neighbours: tuple[HostName, ...] = ()
        self._next_period = float("-inf")
        self._next_contact = float("-inf")
        self._last_pull = float("-inf")
        self._last_tick: float | None = None

    @property
    def local_member(self) -> Member:
        """This host, at its current incarnation."""
        return self._table.local_member

    @property
    def members(self) -> tuple[Member, ...]:
        """The live members, this host among them."""
        return self._table.live

    @property
    def neighbours(self) -> tuple[HostName, ...]:
        """The hosts that this host probes and sends updates to."""
        return self._neighbours

    @property
    def digest(self) -> int:
        """Digest of the live members."""
        return self._table.digest

    def handle(self, event: MembershipEvent, now: float) -> list[MembershipEffect]:
        """Process one event; if the members changed, :class:`MembersChanged` comes first."""
        self._discard_probes_after_pause(now)
        if isinstance(event, Tick):
            effects = self._tick(now)
        elif isinstance(event, MemberLeft):
            self._table.apply([MemberUpdate(event.member, MemberStatus.LEFT)], now)
            effects = []
        elif isinstance(event, Leave):
            self._table.leave(now)
            effects = []
        else:
            effects = self._handle_message(event.sender, event.body, now)
        if self._table.pop_changed():
            names = [member.name for member in self.members]
            self._neighbours = neighbours(self.local_member.name, names)
            effects.insert(0, MembersChanged(self.members))
        return effects

    def _tick(self, now: float) -> list[MembershipEffect]:
        self._extend_deadlines_after_delay(now)
        effects = self._check_probe_timeouts(now)
        self._table.expire(now, SUSPICION_TIMEOUT_SECONDS)
        if now >= self._next_contact:
            self._next_contact = now + CONTACT_INTERVAL_SECONDS
            effects += self._contact_non_members(now)
        if now >= self._next_period:
            self._next_period = now + PROTOCOL_PERIOD_SECONDS
            effects += self._probe_neighbours(now)
        return effects

    def _discard_probes_after_pause(self, now: float) -> None:
        """Discard all pending probes and extend all suspicions if this host was paused.

        Acks to these probes prove nothing about the present, and may be processed before the first
        tick after the pause.
        """
        if self._last_tick is None or now - self._last_tick <= MAX_TICK_GAP_SECONDS:
            return
        self._probes.clear()
        self._table.postpone_suspicions(now - self._last_tick)
        self._last_tick = now

    def _extend_deadlines_after_delay(self, now: float) -> None:
        """Extend all deadlines by the part of a tick gap that shows a delay of this host itself."""
        gap = now - self._last_tick if self._last_tick is not None else 0.0
        self._last_tick = now
        if gap > MAX_REGULAR_TICK_GAP_SECONDS:
            self._probes.postpone(gap - MAX_REGULAR_TICK_GAP_SECONDS)
            self._table.postpone_suspicions(gap - MAX_REGULAR_TICK_GAP_SECONDS)

    def _check_probe_timeouts(self, now: float) -> list[MembershipEffect]:
        effects: list[MembershipEffect] = []
        for sequence, probe in self._probes.mark_late(now):
            others = [name for name in self._neighbours if name != probe.subject]
            proxies = self._rng.sample(others, min(INDIRECT_PROBE_COUNT, len(others)))
            effects += [SendMember(name, ProbeRequest(sequence, probe.subject)) for name in proxies]
        for probe in self._probes.pop_timed_out(now):
            self._table.suspect(probe.subject, now)
        return effects

    def _contact_non_members(self, now: float) -> list[MembershipEffect]:
        """Ping one random host that is not a member; without other members, all unknown seeds."""
        candidates = [name for name in self._seeds if not self._table.is_known(name)]
        if len(self.members) > 1 or not candidates:
            candidates += self._table.dead
            candidates = [self._rng.choice(candidates)] if candidates else []
        return [self._make_ping(name, Probe(name, now, is_contact=True)) for name in candidates]

    def _probe_neighbours(self, now: float) -> list[MembershipEffect]:
        pings: list[MembershipEffect] = []
        for _ in range(min(PROBES_PER_PERIOD, len(self._neighbours))):
            name = self._next_neighbour()
            if not self._probes.is_probing(name):
                pings.append(self._make_ping(name, Probe(name, now)))
        return pings

    def _next_neighbour(self) -> HostName:
        self._probe_order = [name for name in self._probe_order if name in self._neighbours]
        if not self._probe_order:
            self._probe_order = list(self._neighbours)
            self._rng.shuffle(self._probe_order)
        return self._probe_order.pop()

    def _make_ping(self, host: HostName, probe: Probe) -> SendMember:
        sequence = self._probes.start(probe)
        updates = self._table.updates_for(host, MAX_UPDATES_PER_MESSAGE)
        return SendMember(host, Ping(sequence, self.local_member, 0, self.digest, 0, updates))

    def _make_ack(self, host: HostName, sequence: int) -> SendMember:
        updates = self._table.updates_for(host, MAX_UPDATES_PER_MESSAGE)
        return SendMember(host, Ack(sequence, self.local_member, 0, self.digest, 0, updates))

    def _handle_message(
        self, sender: HostName, body: SwimMessage, now: float
    ) -> list[MembershipEffect]:
        if isinstance(body, Ping | Ack):
            return self._handle_ping_or_ack(sender, body, now)
        if isinstance(body, ProbeRequest):
            return [self._make_ping(body.subject, Probe(body.subject, now, sender, body.sequence))]
        if isinstance(body, MembersPull):
            return self._answer_pull(sender, body)
        self._table.apply(body.updates, now)
        return []

    def _handle_ping_or_ack(
        self, sender: HostName, body: Ping | Ack, now: float
    ) -> list[MembershipEffect]:
        self._table.apply([MemberUpdate(body.member, MemberStatus.ALIVE)], now)
        self._table.apply(body.updates, now)
        effects: list[MembershipEffect]
        if isinstance(body, Ping):
            effects = [self._make_ack(sender, body.sequence)]
        else:
            effects = self._handle_ack(sender, body.sequence)
        return effects + self._pull_if_different(sender, body.members, now)

    def _handle_ack(self, sender: HostName, sequence: int) -> list[MembershipEffect]:
        probe = self._probes.finish(sequence)
        if probe is None:
            return []
        effects: list[MembershipEffect] = []
        if probe.requester:
            effects.append(self._make_ack(probe.requester, probe.requester_sequence))
        return [*effects, PeerConfirmed(sender)]

    def _pull_if_different(
        self, sender: HostName, digest: int, now: float
    ) -> list[MembershipEffect]:
        """Request the differing members, unless updates still in transit may explain it.

        Shortly after a change, digests differ until the updates have reached every host; pulls are
        then sent less often.
        """
        is_settled = now - self._table.changed_at > SETTLING_SECONDS or len(self.members) <= 2
        interval = PULL_INTERVAL_SECONDS if is_settled else UNSETTLED_PULL_INTERVAL_SECONDS
        if digest == self.digest or now - self._last_pull < interval:
            return []
        self._last_pull = now
        return [SendMember(sender, self._make_pull_request())]

    def _make_pull_request(self) -> MembersPull:
        fingerprints = self._table.fingerprints
        return MembersPull(bucket_digests(fingerprints.values(), bucket_count(len(fingerprints))))

    def _answer_pull(self, sender: HostName, body: MembersPull) -> list[MembershipEffect]:
        updates = self._table.updates_in_differing_buckets(body.digests)
        self._rng.shuffle(updates)
        if not updates:
            return []
        return [SendMember(sender, MemberUpdates(tuple(updates[:MAX_UPDATES_PER_PULL])))]
