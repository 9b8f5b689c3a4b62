"""Forwarding by flow tag: the packet itself says which target its flow is on.

Both ends of a flow return the last tag that they received. A target gets its tag with the SYN, so
every later packet of the caller names its target, and any host forwards it with one look-up: no
host keeps a flow, and none is lost with a host.
"""

from __future__ import annotations

import functools

from .._checkins.types import LifeState, TargetEntry, Update
from .._checkins.views import KnownTarget, Standing, Views
from ..latencies import LatencyHistogram
from ..types import Endpoint, ZoneName
from .evidence import Evidence
from .flow_book import FlowBook, Progress
from .overload import OverloadGuard
from .roster import Candidate, Roster
from .selection import SplitCounter, TargetChooser
from .types import (
    IDLE_SECONDS,
    Configuration,
    Decision,
    Dropped,
    DropReason,
    Ejection,
    Forwarded,
    Reset,
    ResetReason,
    Route,
    TagSegment,
)

SETTLE_SECONDS = 2.0
"""How long after its start a host may lack targets that check in every 1.2 s."""

REBUILD_SECONDS_PER_TARGET = 0.0001
REBUILD_SECONDS_LIMIT = 0.1
"""How far apart updates are worked in. Each takes some 5 us for each target that is known, and many
come when targets register or are replaced; the limit is below the 0.12 s after which a control host
sends a drain again."""


class TagForwarder:
    """Decides on callers' packets.

    :param zone: of this host.
    :param seed: a number of this host's own, for choices among equal targets.
    """

    def __init__(self, zone: ZoneName, seed: int = 0) -> None:
        self._zone = zone
        self._views = Views()
        self._standings: list[Standing] = []
        self._is_behind = False
        self._rebuilt = float("-inf")
        self._roster = Roster(zone, seed)
        self._book = FlowBook()
        self._chooser = TargetChooser(zone, self._book.load)
        self._evidence: Evidence[int] = Evidence()
        self._zones: Evidence[ZoneName] = Evidence()
        self._avoided: list[Ejection] = []
        self._configuration: Configuration | None = None
        self._splits: dict[Endpoint, SplitCounter] = {}
        self._guards: dict[str, OverloadGuard] = {}
        self._urgencies: dict[str, int] = {}
        self._started: float | None = None
        self._open_seconds = LatencyHistogram()

    @property
    def open_seconds(self) -> LatencyHistogram:
        """From a caller's first SYN to its first packet on the open flow."""
        return self._open_seconds

    @property
    def views(self) -> Views:
        """What control hosts publish."""
        return self._views

    @property
    def version(self) -> int:
        """Version of the configuration in force, -1 for none."""
        return -1 if self._configuration is None else self._configuration.version

    @property
    def flow_tracker(self) -> FlowBook:
        """Flows that passed this host of late."""
        return self._book

    def is_ready(self, now: float) -> bool:
        """Return whether this host can place new flows."""
        if self._configuration is None or self._started is None:
            return False
        return not self._roster.is_empty or now - self._started > SETTLE_SECONDS

    @property
    def has_pending_updates(self) -> bool:
        """Whether updates wait to be worked in by :meth:`apply_pending`."""
        return self._is_behind

    def pending_delay(self, now: float) -> float:
        """Return in how many seconds :meth:`apply_pending` is due."""
        return max(0.0, self._rebuild_delay(now))

    def take_ejections(self) -> list[Ejection]:
        """Return what new flows have kept away from since this was asked last."""
        avoided, self._avoided = self._avoided, []
        return avoided

    def configure(self, configuration: Configuration) -> bool:
        """Put a configuration in force unless a newer one is; return whether it was."""
        if configuration.version <= self.version:
            return False
        self._configuration = configuration
        self._urgencies = _urgencies(configuration)
        return True

    def update(self, update: Update, now: float) -> list[KnownTarget]:
        """Take in what a control host publishes; return targets that are new or changed.

        It decides nothing, and must not be confirmed, while this host :attr:`has_pending_updates`.
        """
        if self._started is None:
            self._started = now
        if not self._views.apply_update(update, now):
            return []
        self._is_behind = True
        if self._rebuild_delay(now) > 0 and not any(map(self._is_first, update.entries)):
            return []
        return self._rebuild(now)

    def _rebuild_delay(self, now: float) -> float:
        pace = min(REBUILD_SECONDS_LIMIT, REBUILD_SECONDS_PER_TARGET * self._roster.size)
        return self._rebuilt + pace - now

    def _is_first(self, entry: TargetEntry) -> bool:
        """Whether a target is the first of its service, without which flows are refused."""
        return entry.state is LifeState.READY and not self._roster.candidates(entry.service).rows

    def apply_pending(self, now: float) -> list[KnownTarget]:
        """Work in the updates that wait for it; return targets that are new or changed."""
        return self._rebuild(now) if self._is_behind else []

    def tick(self, now: float) -> list[KnownTarget]:
        """Let time pass; return targets that changed."""
        idle = IDLE_SECONDS if self._configuration is None else self._configuration.idle_seconds
        self._book.expire(idle, now)
        self._views.forget_silent(now)
        self._evidence.forget(lambda tag: self._roster.entry(tag) is not None)
        if self._is_behind or self._views.standings(now) != self._standings:
            return self._rebuild(now)
        return []

    def _rebuild(self, now: float) -> list[KnownTarget]:
        self._is_behind = False
        self._rebuilt = now
        self._standings = self._views.standings(now)
        return self._roster.rebuild(self._views.merge(now), now)

    def decide(self, segment: TagSegment, now: float) -> Decision:
        """Return what becomes of a caller's packet."""
        configuration = self._configuration
        if configuration is None:
            return Dropped(DropReason.NOT_READY)
        route = configuration.routes.get(Endpoint(segment.flow.service, segment.flow.service_port))
        if route is None:
            self._book.close_opening(segment.flow)
            return Reset(ResetReason.NO_ROUTE)
        if segment.is_syn:
            return self._open(segment, route, now)
        return self._follow(segment, route, now)

    def _open(self, segment: TagSegment, route: Route, now: float) -> Decision:
        opening = self._book.opening(segment.flow)
        if opening is None or not segment.attempt:
            self._book.close_opening(segment.flow)
            service = self._splits.setdefault(route.endpoint, SplitCounter()).choose(route.splits)
            tried: list[int] = []
            if service is not None and not self._admits(service, route):
                return Reset(ResetReason.OVERLOAD)
        else:
            service, tried = opening.service, opening.tried
            self._silent(tried[-1], now)
        target = None if service is None else self._choose(service, tried, now)
        if target is None or service is None:
            if not self.is_ready(now):
                return Dropped(DropReason.NOT_READY)
            return Reset(ResetReason.NO_TARGET)
        self._book.open(segment.flow, service, target.tag, now)
        return Forwarded(target.entry.endpoint, target.entry.identity, target.tag)

    def _guard(self, service: str) -> OverloadGuard:
        return self._guards.setdefault(service, OverloadGuard())

    def _admits(self, service: str, route: Route) -> bool:
        is_most_urgent = route.urgency >= self._urgencies[service]
        return self._guard(service).admits(
            functools.partial(self._waiting, service), is_most_urgent
        )

    def _waiting(self, service: str) -> int:
        loads = (self._book.load(row.tag) for row in self._roster.candidates(service).rows)
        return sum(load.waiting + load.opening for load in loads)

    def _choose(self, service: str, tried: list[int], now: float) -> Candidate | None:
        return self._chooser.choose(
            self._roster.candidates(service),
            tried,
            lambda candidate: self._is_avoided(candidate, now),
            now,
        )

    def _is_avoided(self, candidate: Candidate, now: float) -> bool:
        zone = candidate.entry.zone
        return self._evidence.is_avoided(candidate.tag, now) or self._zones.is_avoided(zone, now)

    def _silent(self, tag: int, now: float) -> None:
        """Take in that a target did not answer; other zones may be out of reach as a whole."""
        entry = self._roster.entry(tag)
        if entry is None:
            return
        if self._evidence.failed(tag, now):
            self._avoided.append(Ejection(entry.zone, entry.endpoint))
        if entry.zone != self._zone and self._zones.failed(entry.zone, now):
            self._avoided.append(Ejection(entry.zone, None))

    def _answered(self, tag: int, zone: ZoneName) -> None:
        self._evidence.answered(tag)
        self._zones.answered(zone)

    def _follow(self, segment: TagSegment, route: Route, now: float) -> Decision:
        tag = self._roster.current(segment.tag)
        entry = self._roster.entry(tag)
        if entry is None:
            return Dropped(DropReason.UNKNOWN_TAG if tag else DropReason.UNTAGGED)
        if self._roster.is_gone(tag):
            return Reset(ResetReason.TARGET_GONE)
        opening = self._book.close_opening(segment.flow)
        if opening is not None:
            self._open_seconds.observe(now - opening.since)
            self._answered(tag, entry.zone)
        if tag != segment.tag:
            segment = segment._replace(tag=tag)
        observation = self._book.take(segment, now)
        if observation.progress is Progress.ANSWERED:
            self._answered(tag, entry.zone)
        elif observation.progress is Progress.REPEATED:
            self._silent(tag, now)
        seconds, objective = observation.answer_seconds, route.objective_seconds
        if seconds is not None and objective is not None:
            waiting = functools.partial(self._waiting, entry.service)
            self._guard(entry.service).answered(tag, seconds, objective, waiting, now)
        return Forwarded(entry.endpoint, entry.identity, tag)


def _urgencies(configuration: Configuration) -> dict[str, int]:
    """Return how urgent the most urgent kind of work of each service is."""
    urgencies: dict[str, int] = {}
    for route in configuration.routes.values():
        for split in (split for split in route.splits if split.weight > 0):
            urgencies[split.service] = max(urgencies.get(split.service, 0), route.urgency)
    return urgencies
