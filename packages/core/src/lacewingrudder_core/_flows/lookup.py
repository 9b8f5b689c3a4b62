"""Finds the target of a flow that its home does not know."""

from __future__ import annotations

from typing import NamedTuple

from ..types import Endpoint, FlowKey, TargetName, Verdict
from .handshake import reset_target
from .routes import RouteTable
from .search import Candidate, Search, SearchTable
from .store import FlowStore
from .table import Flow, FlowState
from .types import (
    FIN,
    RST,
    SYN,
    Drop,
    DropReason,
    FlowEffect,
    Resend,
    Reset,
    Segment,
    SegmentArrived,
    ToTarget,
    VerdictReached,
)


class LookupResult(NamedTuple):
    """The result of a lookup.

    :param flow: the flow, if it was found; this host serves it from now on.
    :param effects: further effects to execute.
    """

    flow: Flow | None
    effects: list[FlowEffect]


class FlowLookup:
    """Takes over flows that other hosts served.

    The flow's target is found by a pin, a report of another host or an answer to a probe.
    """

    def __init__(self, store: FlowStore, routes: RouteTable) -> None:
        self._store = store
        self._routes = routes
        self._searches = SearchTable()

    def take_over_reported(self, event: SegmentArrived, key: FlowKey, now: float) -> LookupResult:
        """Take over a flow whose target another host reported with the relayed segment."""
        target = self._routes.tags.target(event.tag)
        if target is None:
            return _drop(DropReason.NO_TARGET)
        return self._take_over(event.segment, key, target, now)

    def take_over_pinned(
        self, event: SegmentArrived, key: FlowKey, now: float
    ) -> LookupResult | None:
        """Take over a flow that is pinned here; return ``None`` if no pin applies to it."""
        if event.segment.flags & (SYN | RST):
            return None
        target = self._store.pins.target(self._store.hash_of(key))
        if target is None or not self._is_consistent(event.segment, key, target):
            return None
        return self._take_over(event.segment, key, target, now)

    def handle_probe_reply(
        self, event: SegmentArrived, key: FlowKey, now: float
    ) -> LookupResult | None:
        """Handle a target's answer to a search; return ``None`` if the segment is not one."""
        search = self._searches.get(key)
        if search is None or _is_from_caller(event.segment, key):
            return None
        if search.is_rejected_by(event.segment):
            return LookupResult(None, [Drop(DropReason.HELD), *self._probe_next(search, now)])
        target_route = self._routes.target_route(event.segment.source)
        if target_route is None or not search.is_answered_by(event.segment):
            return None
        result = self._take_over(event.segment, key, target_route.target, now)
        buffered: list[FlowEffect] = [
            Resend(packet, event.segment.source) for packet in search.packets
        ]
        return LookupResult(result.flow, result.effects + buffered)

    def handle_unknown(self, event: SegmentArrived, key: FlowKey, now: float) -> LookupResult:
        """Handle a segment of a flow that no entry host knows."""
        segment = event.segment
        if _is_from_caller(segment, key):
            return self._start_search(event, key, now)
        target_route = self._routes.target_route(segment.source)
        if target_route is None or not _shows_connection(segment) or self._searches.get(key):
            return _drop(DropReason.UNKNOWN_FLOW)
        is_expected = target_route.target == self._store.generations.newest_choice(key)
        if is_expected or self._searches.record_target_segment(key, target_route.target, now):
            return self._take_over(segment, key, target_route.target, now)
        return _drop(DropReason.UNKNOWN_FLOW)

    def tick(self, now: float) -> list[FlowEffect]:
        """Probe the next target in each search whose last probe was not answered in time."""
        return self._searches.tick(now)

    def _start_search(self, event: SegmentArrived, key: FlowKey, now: float) -> LookupResult:
        """Buffer a caller's packet of an unknown flow and search for the flow's target."""
        segment = event.segment
        if segment.flags & RST:
            return self._forward_reset(key)
        search = self._searches.get(key)
        effects: list[FlowEffect] = [Drop(DropReason.HELD)]
        if search is None:
            search = self._searches.start(key, segment, self._candidates(key), now)
            if search is None:
                return _drop(DropReason.UNKNOWN_FLOW)
            effects += self._searches.probe_next(search, now)
        self._searches.buffer(search, event.packet)
        return LookupResult(None, effects)

    def _forward_reset(self, key: FlowKey) -> LookupResult:
        """Forward a caller's reset of an unknown flow to the most likely target."""
        candidates = self._candidates(key)
        if not candidates:
            return _drop(DropReason.UNKNOWN_FLOW)
        return LookupResult(None, [ToTarget(candidates[0].endpoint)])

    def _probe_next(self, search: Search, now: float) -> list[FlowEffect]:
        """Probe the next candidate; reset the caller if all candidates answered with a reset."""
        probes = self._searches.probe_next(search, now)
        if probes or search.has_unanswered_probe:
            return probes
        segment = search.segment
        effects: list[FlowEffect] = [
            Reset(segment.destination, segment.source, segment.ack, 0, RST)
        ]
        if segment.payload:
            verdict = Verdict.MAY_HAVE_RUN
            effects.append(VerdictReached(search.key, "", verdict, "known_to_no_target"))
        return effects

    def _candidates(self, key: FlowKey) -> list[Candidate]:
        """Return the targets that may have a flow, the most likely first."""
        service = Endpoint(key.service, key.service_port)
        known = self._store.table.get(key)
        likely = [
            self._searches.sending_target(key),
            known.target if known is not None else None,
            self._store.pins.target(self._store.hash_of(key)),
            *self._store.generations.choices(key),
        ]
        route = self._routes.route(service)
        names = [name for name in likely if name is not None]
        names += sorted(route.endpoints) if route is not None else []
        found = ((name, self._routes.endpoint(service, name)) for name in dict.fromkeys(names))
        return [Candidate(name, endpoint) for name, endpoint in found if endpoint is not None]

    def _take_over(
        self, segment: Segment, key: FlowKey, target: TargetName, now: float
    ) -> LookupResult:
        service = Endpoint(key.service, key.service_port)
        route = self._routes.route(service)
        endpoint = self._routes.endpoint(service, target)
        if route is None or endpoint is None:
            return _drop(DropReason.NO_TARGET)
        before = self._store.table.get(key)
        flow = self._store.adopt(route, key, target, endpoint, now)
        if _is_from_caller(segment, key):
            flow.resume(segment.seq, segment.ack)
        else:
            flow.resume(segment.ack, segment.seq)
        self._searches.remove(key)
        if before is None or before.target == target or before.state is FlowState.CLOSED:
            return LookupResult(flow, [])
        return LookupResult(flow, [reset_target(before, before.endpoint)])

    def _is_consistent(self, segment: Segment, key: FlowKey, target: TargetName) -> bool:
        if _is_from_caller(segment, key):
            return True
        target_route = self._routes.target_route(segment.source)
        return target_route is not None and target_route.target == target


def _is_from_caller(segment: Segment, key: FlowKey) -> bool:
    return segment.source == (key.caller, key.caller_port)


def _shows_connection(segment: Segment) -> bool:
    """Return whether a target sends such a segment only after a completed handshake."""
    if segment.flags & (SYN | RST):
        return False
    return segment.payload > 0 or bool(segment.flags & FIN)


def _drop(reason: DropReason) -> LookupResult:
    return LookupResult(None, [Drop(reason)])
