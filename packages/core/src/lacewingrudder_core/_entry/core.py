"""The entry host: connects the cores for flows, targets, membership and catalogue replication."""

from __future__ import annotations

import random

from .._admission.overload import SynLimiter
from .._admission.policy import AdmissionPolicy, RefusalReason
from .._admission.shares import ShareAdmission
from .._flows.handshake import refuse
from .._follower import follower
from .._follower.follower import CatalogueInForce, CataloguePersisted, ControlMessage
from .._follower.replication import CatalogueReplication, RevisionEffect
from .._membership import core as membership
from .._membership.core import (
    MemberLeft,
    MemberMessage,
    MembersChanged,
    MembershipCore,
    MembershipEffect,
    PeerConfirmed,
)
from .._notes.catalogue import Catalogue
from .._notes.evacuations import Evacuations
from .._routing.health import HealthTracker
from .._routing.placement import LoadAwarePlacement
from .._routing.target_table import TableEffect, TargetTable
from .._routing.view import ViewBuilder
from .._targets import core as targets
from .._targets.events import Announced, CatalogueChanged, HostsChanged
from ..chart import StateChart
from ..core import Core
from ..flows import (
    ACK,
    SYN,
    Drop,
    DropReason,
    FlowCore,
    FlowEffect,
    FlowTick,
    LeaveRequested,
    PinsReceived,
    Replicate,
    SegmentArrived,
    Stage,
    ViewChanged,
)
from ..messages import (
    Ack,
    LeaveNotice,
    MembersPull,
    MemberUpdates,
    Ping,
    Pins,
    ProbeRequest,
    SnapshotPull,
    Subscribe,
    SubscribeReply,
    SwimMessage,
    TargetsInUse,
    TargetsPull,
    TargetUpdates,
)
from ..types import HostName, Member, TargetName, ZoneName
from .events import (
    EntryEffect,
    EntryEvent,
    LoadMeasured,
    PeerMessage,
    ReadinessChanged,
    SendToPeer,
    ShutdownRequested,
    Tick,
)
from .readiness import Readiness

__all__ = [
    "EntryCore",
    "EntryEffect",
    "EntryEvent",
    "PeerMessage",
    "SendToPeer",
    "ShutdownRequested",
    "Tick",
]


class EntryCore(Core[EntryEvent, EntryEffect]):
    """Makes all decisions of an entry host.

    :param me: this host.
    :param peers: names of the other entry hosts.
    :param target_chart: state chart of the life cycle of targets.
    :param catalogue: catalogue that this host last had in force, if it was persisted.
    :param controls: names of the control hosts.
    :param persists: whether to persist a catalogue before it comes into force.
    :param rng: source of randomness for gossip and jitter.
    :param admission: admission policy for new flows; guaranteed shares if ``None``.
    """

    def __init__(
        self,
        me: Member,
        peers: tuple[HostName, ...],
        target_chart: StateChart,
        catalogue: Catalogue | None = None,
        controls: tuple[HostName, ...] = (),
        persists: bool = False,
        rng: random.Random | None = None,
        admission: AdmissionPolicy | None = None,
    ) -> None:
        self._me = me
        rng = rng or random.Random(me.name)
        in_force = catalogue or Catalogue()
        self._replication = CatalogueReplication(me, in_force, controls, persists, rng)
        self._membership = MembershipCore(me, peers, rng)
        self._has_seeds = bool(set(peers) - {me.name})
        self._readiness = Readiness(bool(controls))
        self._targets = TargetTable(me, target_chart, in_force, rng)
        self._health = HealthTracker()
        placement = LoadAwarePlacement(me.zone, self._health)
        self._views = ViewBuilder()
        view = self._views.build([me], in_force, ())
        self._limiter = SynLimiter()
        self._flows = FlowCore(
            me.name, view, admission or ShareAdmission(), placement, self._health
        )

    @property
    def revision(self) -> int:
        """The revision in force on this host."""
        return self._replication.catalogue.revision

    @property
    def evacuations(self) -> Evacuations:
        """The evacuated zones in force on this host."""
        return self._replication.catalogue.evacuations

    @property
    def flow_count(self) -> int:
        """Number of flows in this host's flow table."""
        return self._flows.flow_count

    @property
    def pin_count(self) -> int:
        """Number of this host's flows whose target differs from the one that the table gives."""
        return self._flows.pin_count

    @property
    def member_count(self) -> int:
        """Number of live entry hosts, including this one."""
        return len(self._membership.members)

    def ejected_targets(self, now: float) -> frozenset[TargetName]:
        """Return the targets that get no new flows of this host because it saw them fail."""
        return self._health.ejected_targets(now)

    @property
    def serving_target_count(self) -> int:
        """Number of targets that accept new flows."""
        return self._targets.accepting_count

    @property
    def followed_control(self) -> HostName:
        """The control host that this host subscribes to, empty if there is none."""
        return self._replication.followed_control

    @property
    def zones(self) -> dict[HostName, ZoneName]:
        """Zones of the live entry hosts, by name."""
        return {member.name: member.zone for member in self._membership.members}

    def handle(self, event: EntryEvent, now: float) -> list[EntryEffect]:
        """Handle an event and return its effects."""
        is_alone = not self._has_seeds and self.member_count == 1
        self._readiness.reset_after_gap(now, is_alone)
        if isinstance(event, SegmentArrived):
            return self._handle_segment(event, now)
        if isinstance(event, PeerMessage):
            return self._handle_peer(event, now)
        if isinstance(event, ControlMessage):
            may_adopt = self._readiness.may_adopt_catalogue(now)
            if isinstance(event.body, SubscribeReply) and event.sender == self.followed_control:
                self._readiness.record_control_answer(self._replication.is_caught_up(event.body))
            return self._replication_effects(
                self._replication.handle_control_message(event, may_adopt, now), now
            )
        if isinstance(event, Announced):
            return self._target_effects(self._targets.handle(event, now), now)
        if isinstance(event, LoadMeasured):
            self._limiter.record_load(event.backlog, event.lag)
            return []
        if isinstance(event, CataloguePersisted):
            return self._replication_effects(self._replication.handle(event, now), now)
        if isinstance(event, ShutdownRequested):
            return self._leave_membership(now)
        return self._handle_tick(now)

    def _handle_segment(self, event: SegmentArrived, now: float) -> list[EntryEffect]:
        """Handle a packet; one that may open a flow is dropped until this host is ready."""
        may_open_flow = event.segment.flags & (SYN | ACK) == SYN
        if may_open_flow and not self._readiness.is_ready(now):
            return [Drop(DropReason.NOT_READY)]
        if (
            may_open_flow
            and event.stage is Stage.FABRIC
            and not self._limiter.try_admit(event.segment, now)
        ):
            return list(refuse(event.segment, RefusalReason.OVERLOAD))
        return self._flow_effects(self._flows.handle(event, now))

    def _handle_tick(self, now: float) -> list[EntryEffect]:
        self._readiness.record_tick(now)
        effects = self._member_effects(self._membership.handle(membership.Tick(), now), now)
        effects += self._target_effects(self._targets.handle(targets.Tick(), now), now)
        effects += self._replication_effects(self._replication.handle(follower.Tick(), now), now)
        effects += self._flow_effects(self._flows.handle(FlowTick(), now))
        effects += self._targets.report_lost_in_use(self._flows.targets_in_use, self.zones, now)
        effects += self._targets.tick_gossip(self._membership.neighbours, now)
        effects += [ReadinessChanged(ready) for ready in self._readiness.pop_changes(now)]
        return effects

    def _handle_peer(self, event: PeerMessage, now: float) -> list[EntryEffect]:
        sender, body = event
        if isinstance(body, Ping | Ack | ProbeRequest | MembersPull | MemberUpdates):
            return self._handle_swim(sender, body, now)
        if isinstance(body, TargetUpdates | TargetsPull | TargetsInUse):
            return self._target_effects(self._targets.receive(sender, body, now), now)
        if isinstance(body, LeaveNotice):
            return self._member_effects(self._membership.handle(MemberLeft(body.member), now), now)
        if isinstance(body, Subscribe | SnapshotPull):
            return list(self._replication.serve_peer(body, now))
        if isinstance(body, Pins):
            self._flows.handle(PinsReceived(body), now)
        return []

    def _handle_swim(self, sender: HostName, body: SwimMessage, now: float) -> list[EntryEffect]:
        effects = self._member_effects(
            self._membership.handle(MemberMessage(sender, body), now), now
        )
        if not isinstance(body, Ping | Ack):
            return effects
        effects += self._targets.compare_digest(sender, body.targets, now)
        effects += self._replication_effects(
            self._replication.handle_peer_revision(sender, body.revision, now), now
        )
        has_same_targets = body.targets == self._targets.digest
        self._readiness.record_comparison(has_same_targets and body.revision <= self.revision)
        return effects

    def _leave_membership(self, now: float) -> list[EntryEffect]:
        self._membership.handle(membership.Leave(), now)
        notice = LeaveNotice(self._membership.local_member)
        flow_effects = self._flow_effects(self._flows.handle(LeaveRequested(), now))
        return flow_effects + [SendToPeer(name, notice) for name in self._membership.neighbours]

    def _flow_effects(self, effects: list[FlowEffect]) -> list[EntryEffect]:
        return [
            SendToPeer(effect.host, effect.pins) if isinstance(effect, Replicate) else effect
            for effect in effects
        ]

    def _replication_effects(self, effects: list[RevisionEffect], now: float) -> list[EntryEffect]:
        done: list[EntryEffect] = []
        for effect in effects:
            done.append(effect)
            if isinstance(effect, CatalogueInForce):
                changed = self._targets.handle(CatalogueChanged(effect.catalogue), now)
                done += self._target_effects(changed, now)
                done += self._rebuild_view(now)
        return done

    def _member_effects(self, effects: list[MembershipEffect], now: float) -> list[EntryEffect]:
        done: list[EntryEffect] = []
        for effect in effects:
            if isinstance(effect, MembersChanged):
                self._replication.update_zones(self.zones, now)
                self._targets.handle(HostsChanged(self.zones), now)
                done += self._rebuild_view(now)
                done.append(effect)
            elif isinstance(effect, PeerConfirmed):
                self._readiness.record_answer()
            else:
                done.append(SendToPeer(effect.host, self._with_local_state(effect.body)))
        return done

    def _with_local_state(self, body: SwimMessage) -> SwimMessage:
        if isinstance(body, Ping | Ack):
            return body._replace(revision=self.revision, targets=self._targets.digest)
        return body

    def _target_effects(self, effects: list[TableEffect], now: float) -> list[EntryEffect]:
        return [*effects, *(self._rebuild_view(now) if self._targets.pop_changed() else ())]

    def _rebuild_view(self, now: float) -> list[EntryEffect]:
        members = sorted(self._membership.members)
        view = self._views.build(members, self._replication.catalogue, self._targets.records)
        self._health.set_targets(view.accepting_targets())
        return self._flow_effects(self._flows.handle(ViewChanged(view), now))
