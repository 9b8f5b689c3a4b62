"""Nodes for :mod:`.stepping`: a host's membership alone, or a whole entry host."""

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
    """Return the member of that number."""
    data, link = Endpoint(LOOPBACK + number, DATA_PORT), Endpoint(LOOPBACK + number, LINK_PORT)
    return Member(f"entry-{number}", zone, incarnation, data, link)


def make_members(count: int, zones: int = 3) -> list[Member]:
    """Return members spread evenly over zones."""
    return [make_member(number, f"zone-{number % zones}") for number in range(1, count + 1)]


class MemberNode(Node):
    """The membership of one host."""

    def __init__(self, me: Member, seeds: Iterable[str], seed: int = 1) -> None:
        self.core = membership.MembershipCore(me, seeds, random.Random(f"{seed}/{me.name}"))
        self.changes = 0

    @property
    def names(self) -> frozenset[str]:
        """The names of the live members."""
        return frozenset(member.name for member in self.core.members)

    def tick(self, now: float) -> Iterable[Sent]:
        """Tell the core of time."""
        return self._sends(self.core.handle(membership.Tick(), now))

    def receive(self, sender: str, body: Any, now: float) -> Iterable[Sent]:
        """Hand a message to the core."""
        if isinstance(body, m.LeaveNotice):
            return self._sends(self.core.handle(membership.MemberLeft(body.member), now))
        return self._sends(self.core.handle(membership.MemberMessage(sender, body), now))

    def _sends(self, effects: Iterable[membership.MembershipEffect]) -> list[Sent]:
        sends = []
        for effect in effects:
            if isinstance(effect, membership.SendMember):
                sends.append(Sent(effect.host, effect.body))
            elif isinstance(effect, membership.MembersChanged):
                self.changes += 1
        return sends


class EntryNode(Node):
    """A whole entry host; its catalogue is kept in memory as if on disk.

    :param keeps: whether it keeps its catalogue.
    """

    def __init__(
        self,
        me: Member,
        peers: Sequence[str],
        controls: Sequence[str],
        catalogue: Catalogue | None = None,
        keeps: bool = False,
    ) -> None:
        self.name = me.name
        self.kept = catalogue
        self.in_force: list[int] = []
        self.core = entry.EntryCore(
            me, tuple(peers), load_state_chart("target"), catalogue, tuple(controls), keeps
        )

    def tick(self, now: float) -> Iterable[Sent]:
        """Tell the core of time."""
        return self.handle(entry.Tick(), now)

    def receive(self, sender: str, body: Any, now: float) -> Iterable[Sent]:
        """Hand a message to the core."""
        if isinstance(body, m.SubscribeReply | m.Changes | m.SnapshotPart):
            return self.handle(follower.ControlMessage(sender, body), now)
        return self.handle(entry.PeerMessage(sender, body), now)

    def handle(self, event: entry.EntryEvent, now: float) -> list[Sent]:
        """Hand an event to the core and return what it sends."""
        sends = []
        for effect in self.core.handle(event, now):
            if isinstance(effect, entry.SendToPeer | follower.SendToControl):
                sends.append(Sent(effect.host, effect.body))
            elif isinstance(effect, follower.CatalogueInForce):
                self.in_force.append(effect.catalogue.revision)
            elif isinstance(effect, follower.PersistCatalogue):
                self.kept = effect.catalogue
                sends += self.handle(follower.CataloguePersisted(effect.catalogue.revision), now)
        return sends


class ControlNode(Node):
    """A control host reduced to what spreads its changes."""

    def __init__(self, catalogue: Catalogue | None = None) -> None:
        self.catalogue = catalogue or Catalogue()
        self.core = propagation.PropagationCore(self.catalogue)

    def tick(self, now: float) -> Iterable[Sent]:
        """Tell the core of time."""
        return ()

    def receive(self, sender: str, body: Any, now: float) -> Iterable[Sent]:
        """Hand a message to the core."""
        if isinstance(body, m.Subscribe):
            return self._sends(self.core.handle(propagation.Subscribed(body), now))
        if isinstance(body, m.SnapshotPull):
            return self._sends(self.core.handle(propagation.SnapshotPulled(body), now))
        return ()

    def commit(self, change: Change, now: float) -> list[Sent]:
        """Apply a committed change."""
        self.catalogue = self.catalogue.apply(change)
        return self._sends(self.core.handle(propagation.ChangeApplied(change, self.catalogue), now))

    def _sends(self, effects: Iterable[propagation.SendToHost]) -> list[Sent]:
        return [Sent(effect.host, effect.body) for effect in effects]
