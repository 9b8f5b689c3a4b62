"""The entry host: joins the cores of flows, targets and membership, and follows the catalogue."""

from __future__ import annotations

from typing import NamedTuple

from . import follower, membership, targets
from .admission import AdmitAll
from .chart import Chart
from .core import Core
from .flows import FlowCore, FlowEffect, SegmentArrived, ViewChanged
from .follower import ControlMessage, FollowerCore, FollowerEffect, InForce, SendControl
from .health import HealthBook
from .membership import MemberHeard, MemberLeft, MembersChanged, MembershipCore, MembershipEffect
from .messages import (
    Adopt,
    Goodbye,
    Heartbeat,
    Pins,
    TargetsRequest,
    TargetUpdates,
)
from .notes import Catalogue
from .placement import SparingPlacement
from .targets import (
    Announced,
    Answer,
    CatalogueChanged,
    RecordsHeard,
    TargetCore,
    TargetEffect,
    records_digest,
)
from .types import HostName, Member, TargetState
from .view import build_view

PeerBody = Heartbeat | TargetUpdates | TargetsRequest | Goodbye | Pins | Adopt


class PeerMessage(NamedTuple):
    """Another entry host sent a message."""

    sender: HostName
    body: PeerBody


class Tick(NamedTuple):
    """Time passed; due several times a second."""


class StopPlanned(NamedTuple):
    """This host is going to stop: hand over, then leave."""


EntryEvent = SegmentArrived | PeerMessage | ControlMessage | Announced | Tick | StopPlanned


class SendPeer(NamedTuple):
    """Send a message to another entry host."""

    host: HostName
    body: PeerBody


EntryEffect = FlowEffect | SendPeer | SendControl | Answer | InForce | MembersChanged


class EntryCore(Core[EntryEvent, EntryEffect]):
    """All decisions of an entry host.

    :param me: this host.
    :param peers: names of the other entry hosts.
    :param target_chart: the life cycle of targets.
    :param catalogue: the catalogue this host last had in force, if it kept it.
    """

    def __init__(
        self,
        me: Member,
        peers: tuple[HostName, ...],
        target_chart: Chart,
        catalogue: Catalogue | None = None,
    ) -> None:
        self._me = me
        in_force = catalogue or Catalogue()
        self._follower = FollowerCore(me.name, me.zone, in_force)
        self._membership = MembershipCore(me, peers)
        self._targets = TargetCore(me.name, target_chart)
        self._targets.handle(CatalogueChanged(in_force), 0.0)
        self._health = HealthBook()
        placement = SparingPlacement(me.zone, self._health)
        view = build_view([me], in_force, ())
        self._flows = FlowCore(me.name, view, AdmitAll(), placement, self._health)

    @property
    def revision(self) -> int:
        """The revision in force on this host."""
        return self._follower.catalogue.revision

    @property
    def flow_count(self) -> int:
        """How many flows this host keeps."""
        return self._flows.flow_count

    @property
    def member_count(self) -> int:
        """How many entry hosts are alive, this one included."""
        return len(self._membership.members)

    @property
    def serving_targets(self) -> int:
        """How many targets take new flows."""
        return sum(record.state is TargetState.SERVING for record in self._targets.records)

    def handle(self, event: EntryEvent, now: float) -> list[EntryEffect]:
        """Take one event."""
        if isinstance(event, SegmentArrived):
            return list(self._flows.handle(event, now))
        if isinstance(event, PeerMessage):
            return self._peer(event, now)
        if isinstance(event, ControlMessage):
            return self._follower_effects(self._follower.handle(event, now), now)
        if isinstance(event, Announced):
            return self._target_effects(self._targets.handle(event, now), now)
        if isinstance(event, StopPlanned):
            return self._to_all(Goodbye(self._me))
        return self._tick(now)

    def _tick(self, now: float) -> list[EntryEffect]:
        effects = self._member_effects(self._membership.handle(membership.Tick(), now), now)
        effects += self._target_effects(self._targets.handle(targets.Tick(), now), now)
        return effects + self._follower_effects(self._follower.handle(follower.Tick(), now), now)

    def _peer(self, event: PeerMessage, now: float) -> list[EntryEffect]:
        body = event.body
        if isinstance(body, Heartbeat):
            return self._heartbeat(body, now)
        if isinstance(body, TargetUpdates):
            return self._target_effects(self._targets.handle(RecordsHeard(body.records), now), now)
        if isinstance(body, TargetsRequest):
            return [SendPeer(event.sender, TargetUpdates(self._targets.records))]
        if isinstance(body, Goodbye):
            return self._member_effects(self._membership.handle(MemberLeft(body.member), now), now)
        return []

    def _heartbeat(self, body: Heartbeat, now: float) -> list[EntryEffect]:
        effects = self._member_effects(self._membership.handle(MemberHeard(body.member), now), now)
        if body.digest != records_digest(self._targets.records):
            effects.append(SendPeer(body.member.name, TargetsRequest()))
        return effects

    def _follower_effects(self, effects: list[FollowerEffect], now: float) -> list[EntryEffect]:
        for effect in effects:
            if isinstance(effect, InForce):
                self._targets.handle(CatalogueChanged(effect.catalogue), now)
                self._refresh(now)
        return list(effects)

    def _member_effects(self, effects: list[MembershipEffect], now: float) -> list[EntryEffect]:
        done: list[EntryEffect] = []
        for effect in effects:
            if isinstance(effect, MembersChanged):
                self._refresh(now)
                done.append(effect)
            else:
                digest = records_digest(self._targets.records)
                done.append(SendPeer(effect.host, Heartbeat(self._me, self.revision, digest)))
        return done

    def _target_effects(self, effects: list[TargetEffect], now: float) -> list[EntryEffect]:
        done: list[EntryEffect] = []
        for effect in effects:
            if isinstance(effect, Answer):
                done.append(effect)
                continue
            self._refresh(now)
            if effect.records:
                done += self._to_all(TargetUpdates(effect.records))
        return done

    def _to_all(self, body: PeerBody) -> list[EntryEffect]:
        others = [m.name for m in self._membership.members if m.name != self._me.name]
        return [SendPeer(name, body) for name in others]

    def _refresh(self, now: float) -> None:
        view = build_view(self._membership.members, self._follower.catalogue, self._targets.records)
        self._health.regroup(view.working_targets())
        self._flows.handle(ViewChanged(view), now)
