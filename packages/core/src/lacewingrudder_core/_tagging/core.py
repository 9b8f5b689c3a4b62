"""Stateless forwarding by flow tag: every packet names the target of its flow.

Both ends of a flow echo the last tag that they received. A target receives its own tag with the
SYN, so that every later packet of the caller carries it and any host can forward the packet with
one lookup. Hosts need no flow table for forwarding, and the loss of a host loses no flow.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .._checkins.types import (
    FormerTargets,
    LifeState,
    Lifetime,
    SilenceQuery,
    SilenceReport,
    Update,
)
from .._checkins.views import KnownTarget, Views
from .._notes.evacuations import Evacuations
from .._speeds.target_speeds import SpeedsByService, make_speeds
from ..latencies import LatencyHistogram
from ..types import Endpoint, FlowKey, HostName, ZoneName
from .admission import FlowAdmission
from .ejections import Ejections
from .flow_opener import FlowOpener
from .flow_tracker import AnswerStatus, FlowTracker
from .open_flows import OpenFlows
from .route_lag import RouteLag
from .selection import TargetChooser
from .silence_detector import SilenceDetector
from .speed_samples import record_speed
from .syn_age import has_expired
from .tags import flow_tag
from .target_index import TargetIndex
from .types import (
    DEFAULT_IDLE_TIMEOUT_SECONDS,
    Configuration,
    Decision,
    Dropped,
    DropReason,
    Ejection,
    Forwarded,
    RepeatedSyn,
    Reset,
    ResetReason,
    TagSegment,
)

if TYPE_CHECKING:
    from .explanation_types import Explanation

DISCOVERY_TIMEOUT_SECONDS = 2.0
"""A host that received its first update less than this ago may not know all targets yet: they check
in every 1.2 s."""

MAX_WAITING_OBJECTIVES = 4.0
"""How long a request counts as load of its target, as a multiple of its latency objective."""


class TagForwarder:
    """Decides where each packet of a caller goes.

    :param zone: zone of this host.
    :param seed: differs between hosts, so that they break ties between equal targets differently.
    :param limits_warmup: whether targets that warm up get no new flows, if the configuration says
        how long they do.
    :param learns_speeds: whether targets are chosen by their learned speed.
    """

    def __init__(
        self,
        zone: ZoneName,
        seed: int = 0,
        limits_warmup: bool = False,
        learns_speeds: bool = False,
    ) -> None:
        self._zone = zone
        self._limits_warmup = limits_warmup
        self._views = Views()
        self._target_index = TargetIndex(zone, seed)
        self._flow_tracker = FlowTracker()
        self._speeds = SpeedsByService(make_speeds(learns_speeds))
        self._chooser = TargetChooser(zone, self._flow_tracker.load, self._speeds, learns_speeds)
        self._ejections = Ejections(zone)
        self._evacuations = Evacuations()
        self._unreported: list[KnownTarget] = []
        self._silence = SilenceDetector()
        self._open_flows = OpenFlows(self._target_index, self._flow_tracker, self._silence)
        self._configuration: Configuration | None = None
        self._newest_version = -1
        self._confirmed_at = float("-inf")
        self._route_lag = RouteLag()
        self._admission = FlowAdmission(self._count_waiting)
        self._opener = FlowOpener(
            self._target_index,
            self._flow_tracker,
            self._chooser,
            self._ejections,
            self._silence,
            self._open_flows,
            self._admission,
        )
        self._started_at: float | None = None
        self._open_seconds = LatencyHistogram()

    @property
    def open_seconds(self) -> LatencyHistogram:
        """Times from a caller's first SYN to its first packet on the open flow."""
        return self._open_seconds

    @property
    def views(self) -> Views:
        """The published targets of each control host."""
        return self._views

    @property
    def version(self) -> int:
        """Version of the configuration in force, -1 for none."""
        return -1 if self._configuration is None else self._configuration.version

    @property
    def evacuations(self) -> Evacuations:
        """The newest evacuated zones that this host knows."""
        return self._evacuations

    @property
    def flow_tracker(self) -> FlowTracker:
        """Recently seen flows and the load that they put on targets."""
        return self._flow_tracker

    def is_ready(self, now: float) -> bool:
        """Return whether this host can place new flows."""
        if self._configuration is None or self._started_at is None:
            return False
        return not self._target_index.is_empty or now - self._started_at > DISCOVERY_TIMEOUT_SECONDS

    def pop_ejections(self) -> list[Ejection]:
        """Return the targets and zones that were ejected since the last call."""
        return self._ejections.pop_new()

    @property
    def next_silence_check(self) -> float | None:
        """When to call :meth:`pop_silent_targets`; ``None`` while no SYN awaits an answer."""
        return self._silence.next_check_at

    def pop_silent_targets(self, now: float) -> list[SilenceReport]:
        """Return reports for control hosts about targets that leave SYNs unanswered."""
        rows = self._silence.pop_silent(self._flow_tracker.is_opening, now)
        found = ((self._target_index.entry(row.tag), row) for row in rows)
        return [
            SilenceReport(entry.lifetime, self._zone, row.unanswered_seconds)
            for entry, row in found
            if entry is not None and entry.state is LifeState.READY
        ]

    def has_answered(self, query: SilenceQuery, now: float) -> bool:
        """Return whether a target answered what was sent to it after the silence began."""
        return self._silence.has_answered(flow_tag(query.lifetime), query.seconds, now)

    def configure(self, configuration: Configuration, now: float = 0.0) -> bool:
        """Put a configuration in force if its version is higher than that of the current one.

        :return: whether it was put in force.
        """
        if configuration.version <= self.version:
            return False
        before = () if self._configuration is None else self._configuration.routes
        self._route_lag.record_routes(before, configuration.routes, now)
        self._configuration = configuration
        self._admission.configure(configuration)
        if self._limits_warmup:
            self._target_index.limit_warmups(configuration.warmups, now)
        services = self._admission.services
        self._unreported += self._target_index.use_services(services, now)
        self._unreported = self._apply_changes(self._views.use_services(services), now)
        return True

    def apply_update(self, update: Update, now: float) -> list[KnownTarget]:
        """Apply an update of a control host; return the targets that are new or changed."""
        if self._started_at is None:
            self._started_at = now
        if update.evacuations.revision > self._evacuations.revision:
            self._evacuations = update.evacuations
            self._target_index.evacuate_zones(frozenset(update.evacuations.zones), now)
        self._newest_version = max(self._newest_version, update.version)
        if not self._is_behind:
            self._confirmed_at = now
        changed = self._views.apply_update(update, now)
        return self._apply_changes(changed | self._views.refresh(now), now)

    def apply_former(
        self, control: HostName, targets: FormerTargets, now: float
    ) -> list[KnownTarget]:
        """Add targets from before the start of a control host; return those that changed."""
        self._views.apply_former(control, targets.entries, now)
        changed = {entry.lifetime for entry in targets.entries}
        return self._apply_changes(changed | self._views.refresh(now), now)

    def tick(self, now: float) -> list[KnownTarget]:
        """Expire old state; return the targets that changed."""
        idle = (
            DEFAULT_IDLE_TIMEOUT_SECONDS
            if self._configuration is None
            else self._configuration.idle_seconds
        )
        self._flow_tracker.expire(idle, now)
        self._route_lag.expire(idle, now)
        self._speeds.expire(now)
        self._ejections.retain_known(self._is_known)
        self._silence.retain_known(self._is_known)
        return self._apply_changes(self._views.refresh(now), now)

    def _is_known(self, tag: int) -> bool:
        return self._target_index.entry(tag) is not None

    def _apply_changes(self, lifetimes: set[Lifetime], now: float) -> list[KnownTarget]:
        unreported, self._unreported = self._unreported, []
        return unreported + self._target_index.apply(
            ((lifetime, self._find_target(lifetime)) for lifetime in lifetimes), now
        )

    def _find_target(self, lifetime: Lifetime) -> KnownTarget | None:
        return self._views.get(lifetime, self._target_index.entry_of(lifetime))

    def decide(self, segment: TagSegment, now: float, waited_seconds: float = 0.0) -> Decision:
        """Return whether to forward, drop or reset a packet of a caller.

        :param waited_seconds: longest time for which the packet may have waited on this host.
        """
        if segment.is_syn and has_expired(segment.attempt, waited_seconds):
            return Dropped(DropReason.EXPIRED_SYN)
        configuration = self._configuration
        if configuration is None:
            return Dropped(DropReason.NOT_READY)
        route = configuration.routes.get(Endpoint(segment.flow.service, segment.flow.service_port))
        if route is None:
            return self._decide_without_route(segment, now)
        if segment.is_syn:
            if self._started_at is None:
                # Without an update of a control host, the evacuated zones are not known.
                return Dropped(DropReason.NOT_READY)
            return self._opener.open_flow(segment, route, self.is_ready(now), now)
        return self._forward_packet(segment, route.objective_seconds, now)

    def record_syn(self, segment: TagSegment, decision: Forwarded, packet: bytes = b"") -> int:
        """Return the tag to write into a SYN that goes to a target.

        :param packet: the SYN as the caller sent it, for :attr:`Forwarded.repeated_syns`.
        """
        return self._open_flows.record_syn(segment, decision.tag, packet)

    def explain(self, flow: FlowKey, now: float) -> Explanation:
        """Return where the first SYN of a flow would go, and why; changes nothing."""
        # Imported only now, since hosts that start should forward as soon as they can.
        from .explanation import PlacementState, explain_placement

        state = PlacementState(
            self._configuration,
            self._evacuations,
            self._started_at is not None,
            self.is_ready(now),
            self._opener.splits,
            self._admission,
            self._target_index,
            self._flow_tracker,
            self._chooser,
            self._ejections,
        )
        return explain_placement(state, flow, now)

    @property
    def _is_behind(self) -> bool:
        """Whether control hosts have a newer configuration than this host."""
        return self._newest_version > self.version

    def _decide_without_route(self, segment: TagSegment, now: float) -> Decision:
        """Forward a packet of a flow whose route this host may not know yet; reset any other."""
        endpoint = Endpoint(segment.flow.service, segment.flow.service_port)
        is_open = segment.tag and not segment.is_syn
        if is_open and (
            self._is_behind or self._route_lag.may_be_unknown(endpoint, self._confirmed_at, now)
        ):
            return self._forward_packet(segment, None, now)
        self._flow_tracker.remove_opening(segment.flow)
        return Reset(ResetReason.NO_ROUTE)

    def _count_waiting(self, service: str, now: float) -> int:
        return self._chooser.count_waiting(self._target_index.candidates(service, now).targets)

    def _forward_packet(self, segment: TagSegment, objective: float | None, now: float) -> Decision:
        """Forward a packet of an open flow to the target that its tag names.

        Packets with the former tag of their target keep it: hosts of the version before may forward
        later packets of the flow, and do not know the new one.

        :param objective: latency objective of the flow's requests in seconds, or ``None``.
        """
        echoed = segment.tag
        tag = self._open_flows.find_tag(segment, now)
        entry = self._target_index.entry(tag)
        if entry is None:
            return Dropped(DropReason.UNKNOWN_TAG if tag else DropReason.UNTAGGED)
        if self._target_index.has_ended(tag):
            return Reset(ResetReason.TARGET_GONE)
        repeated_syns: tuple[RepeatedSyn, ...] = ()
        opening = self._flow_tracker.remove_opening(segment.flow)
        if opening is not None:
            repeated_syns = self._open_flows.repeat_syn(opening, tag, now)
            self._open_seconds.observe(now - opening.opened_at)
            self._silence.record_answer(tag, opening.opened_at)
            self._ejections.record_answer(tag, entry.zone)
        if tag != segment.tag:
            segment = segment._replace(tag=tag)
        max_waiting = None if objective is None else MAX_WAITING_OBJECTIVES * objective
        observation = self._flow_tracker.record_packet(segment, now, max_waiting)
        if observation.answer_status is AnswerStatus.ANSWERED:
            self._ejections.record_answer(tag, entry.zone)
        elif observation.answer_status is AnswerStatus.RETRANSMITTED:
            self._ejections.record_failure(tag, entry, now)
        seconds = observation.answer_seconds
        if seconds is not None:
            self._silence.record_answer(tag, now - seconds)
        record_speed(self._speeds.service(entry.service), segment, observation, now)
        if seconds is not None and objective is not None:
            self._admission.record_answer(entry.service, tag, seconds, objective, now)
        is_named = echoed == tag or self._target_index.own_tag(echoed) == tag
        named_tag = echoed if is_named else tag
        return Forwarded(entry.endpoint, entry.identity, named_tag, repeated_syns)
