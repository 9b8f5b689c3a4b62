"""Nodes for :mod:`.stepping`: a host's membership alone, an entry host or a control host."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import Any

from lacewingrudder_core import entry, follower, membership, propagation
from lacewingrudder_core import messages as m
from lacewingrudder_core.notes import Catalogue, Change
from lacewingrudder_core.types import Endpoint, Member
from lacewingrudder_wire.resources import load_state_chart

from .stepping import Node, Sent

DATA_PORT = 4754
LINK_PORT = 7000
LOOPBACK = 127 << 24


def make_member(number: int, zone: str, incarnation: int = 1) -> Member:
    """Return a member whose name and loopback address are derived from its number."""
    data, link = Endpoint(LOOPBACK + number, DATA_PORT), Endpoint(LOOPBACK + number, LINK_PORT)
    return Member(f"entry-{number}", zone, incarnation, data, link)


def make_members(count: int, zones: int = 3) -> list[Member]:
    """Return members with numbers from 1, spread evenly over zones."""
    return [make_member(number, f"zone-{number % zones}") for number in range(1, count + 1)]


class MemberNode(Node):
    """The membership core of one host.

    ``change_count`` counts the changes to the live members that the core reported.
    """

    def __init__(self, local_member: Member, seeds: Iterable[str], seed: int = 1) -> None:
        self.core = membership.MembershipCore(
            local_member, seeds, random.Random(f"{seed}/{local_member.name}")
        )
        self.change_count = 0

    @property
    def names(self) -> frozenset[str]:
        """The names of the live members."""
        return frozenset(member.name for member in self.core.members)

    def tick(self, now: float) -> Iterable[Sent]:
        """Pass a tick to the core."""
        return self._sent_messages(self.core.handle(membership.Tick(), now))

    def receive(self, sender: str, body: Any, now: float) -> Iterable[Sent]:
        """Pass a message to the core."""
        if isinstance(body, m.LeaveNotice):
            return self._sent_messages(self.core.handle(membership.MemberLeft(body.member), now))
        return self._sent_messages(self.core.handle(membership.MemberMessage(sender, body), now))

    def _sent_messages(self, effects: Iterable[membership.MembershipEffect]) -> list[Sent]:
        sent = []
        for effect in effects:
            if isinstance(effect, membership.SendMember):
                sent.append(Sent(effect.host, effect.body))
            elif isinstance(effect, membership.MembersChanged):
                self.change_count += 1
        return sent


class EntryNode(Node):
    """The core of an entry host, whose disk is simulated in memory.

    ``persisted_catalogue`` is the catalogue that was persisted last. ``in_force`` lists the
    revisions that came into force, in that order.

    :param peers: names of the entry hosts.
    :param controls: names of the control hosts.
    :param catalogue: the catalogue on its disk, if any.
    :param persists: whether the host persists a catalogue before it comes into force.
    """

    def __init__(
        self,
        local_member: Member,
        peers: Sequence[str],
        controls: Sequence[str],
        catalogue: Catalogue | None = None,
        persists: bool = False,
    ) -> None:
        self.name = local_member.name
        self.persisted_catalogue = catalogue
        self.in_force: list[int] = []
        self.core = entry.EntryCore(
            local_member,
            tuple(peers),
            load_state_chart("target"),
            catalogue,
            tuple(controls),
            persists,
        )

    def tick(self, now: float) -> Iterable[Sent]:
        """Pass a tick to the core."""
        return self.handle(entry.Tick(), now)

    def receive(self, sender: str, body: Any, now: float) -> Iterable[Sent]:
        """Pass a message to the core."""
        if isinstance(body, m.SubscribeReply | m.Changes | m.SnapshotPart):
            return self.handle(follower.ControlMessage(sender, body), now)
        return self.handle(entry.PeerMessage(sender, body), now)

    def handle(self, event: entry.EntryEvent, now: float) -> list[Sent]:
        """Pass an event to the core and return the messages that it sends."""
        sent = []
        for effect in self.core.handle(event, now):
            if isinstance(effect, entry.SendToPeer | follower.SendToControl):
                sent.append(Sent(effect.host, effect.body))
            elif isinstance(effect, follower.CatalogueInForce):
                self.in_force.append(effect.catalogue.revision)
            elif isinstance(effect, follower.PersistCatalogue):
                self.persisted_catalogue = effect.catalogue
                sent += self.handle(follower.CataloguePersisted(effect.catalogue.revision), now)
        return sent


class ControlNode(Node):
    """A control host without a replicated log: it only propagates changes to its subscribers."""

    def __init__(self, catalogue: Catalogue | None = None) -> None:
        self.catalogue = catalogue or Catalogue()
        self.core = propagation.PropagationCore(self.catalogue)

    def tick(self, now: float) -> Iterable[Sent]:
        """Do nothing: propagation depends on messages and changes alone."""
        return ()

    def receive(self, sender: str, body: Any, now: float) -> Iterable[Sent]:
        """Pass a message to the core."""
        if isinstance(body, m.Subscribe):
            return self._sent_messages(self.core.handle(propagation.Subscribed(body), now))
        if isinstance(body, m.SnapshotPull):
            return self._sent_messages(self.core.handle(propagation.SnapshotPulled(body), now))
        return ()

    def commit(self, change: Change, now: float) -> list[Sent]:
        """Apply a committed change and return the messages that propagate it."""
        self.catalogue = self.catalogue.apply(change)
        return self._sent_messages(
            self.core.handle(propagation.ChangeApplied(change, self.catalogue), now)
        )

    def _sent_messages(self, effects: Iterable[propagation.SendToHost]) -> list[Sent]:
        return [Sent(effect.host, effect.body) for effect in effects]
