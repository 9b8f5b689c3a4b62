"""What a home does with a packet of a flow that it does not know."""

from __future__ import annotations

from typing import NamedTuple

from ..types import Endpoint, FlowKey, TargetName, Verdict
from .handshake import reset_target
from .keeper import FlowKeeper
from .routes import RouteBook
from .search import Candidate, Search, SearchBook
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


class Looked(NamedTuple):
    """The outcome of a look-up.

    :param flow: the flow that this host keeps from now on, if it was found.
    :param effects: what else has to be done.
    """

    flow: Flow | None
    effects: list[FlowEffect]


class Lookup:
    """Takes over flows that other hosts kept, on the evidence of pins, hosts and targets."""

    def __init__(self, keeper: FlowKeeper, routes: RouteBook) -> None:
        self._keeper = keeper
        self._routes = routes
        self._searches = SearchBook()

    def found(self, event: SegmentArrived, key: FlowKey, now: float) -> Looked:
        """Take over a flow whose target another host named."""
        target = self._routes.tags.target(event.tag)
        if target is None:
            return _dropped(DropReason.NO_TARGET)
        return self._take_over(event.segment, key, target, now)

    def pinned(self, event: SegmentArrived, key: FlowKey, now: float) -> Looked | None:
        """Take over a flow that is pinned, or return ``None`` if the pins do not settle it."""
        if event.segment.flags & (SYN | RST):
            return None
        target = self._keeper.pins.target(self._keeper.digest(key))
        if target is None or not self._agrees(event.segment, key, target):
            return None
        return self._take_over(event.segment, key, target, now)

    def reply(self, event: SegmentArrived, key: FlowKey, now: float) -> Looked | None:
        """Take a target's answer to a search, or return ``None`` if it is none."""
        search = self._searches.get(key)
        if search is None or _is_from_caller(event.segment, key):
            return None
        if search.is_denied_by(event.segment):
            return Looked(None, [Drop(DropReason.HELD), *self._ask_next(search, now)])
        answer = self._routes.answer(event.segment.source)
        if answer is None or not search.is_answered_by(event.segment):
            return None
        looked = self._take_over(event.segment, key, answer.target, now)
        kept: list[FlowEffect] = [Resend(packet, event.segment.source) for packet in search.packets]
        return Looked(looked.flow, looked.effects + kept)

    def unknown(self, event: SegmentArrived, key: FlowKey, now: float) -> Looked:
        """Decide on a segment of a flow that no entry host knows."""
        segment = event.segment
        if _is_from_caller(segment, key):
            return self._caller_unknown(event, key, now)
        answer = self._routes.answer(segment.source)
        if answer is None or not _shows_connection(segment) or self._searches.get(key):
            return _dropped(DropReason.UNKNOWN_FLOW)
        is_expected = answer.target == self._keeper.generations.expected(key)
        if is_expected or self._searches.sighted(key, answer.target, now):
            return self._take_over(segment, key, answer.target, now)
        return _dropped(DropReason.UNKNOWN_FLOW)

    def tick(self, now: float) -> list[FlowEffect]:
        """Go on with the searches."""
        return self._searches.tick(now)

    def _caller_unknown(self, event: SegmentArrived, key: FlowKey, now: float) -> Looked:
        segment = event.segment
        if segment.flags & RST:
            return self._pass_reset(key)
        search = self._searches.get(key)
        effects: list[FlowEffect] = [Drop(DropReason.HELD)]
        if search is None:
            search = self._searches.begin(key, segment, self._candidates(key), now)
            if search is None:
                return _dropped(DropReason.UNKNOWN_FLOW)
            effects += self._searches.ask_next(search, now)
        self._searches.hold(search, event.packet)
        return Looked(None, effects)

    def _pass_reset(self, key: FlowKey) -> Looked:
        candidates = self._candidates(key)
        if not candidates:
            return _dropped(DropReason.UNKNOWN_FLOW)
        return Looked(None, [ToTarget(candidates[0].endpoint)])

    def _ask_next(self, search: Search, now: float) -> list[FlowEffect]:
        more = self._searches.ask_next(search, now)
        if more or search.silent:
            return more
        segment = search.segment
        effects: list[FlowEffect] = [
            Reset(segment.destination, segment.source, segment.ack, 0, RST)
        ]
        if segment.payload:
            verdict = Verdict.MAY_HAVE_RUN
            effects.append(VerdictReached(search.key, "", verdict, "known_to_no_target"))
        return effects

    def _candidates(self, key: FlowKey) -> list[Candidate]:
        """Return the targets that may keep a flow, the most likely first."""
        service = Endpoint(key.service, key.service_port)
        known = self._keeper.table.get(key)
        likely = [
            self._searches.sighting(key),
            known.target if known is not None else None,
            self._keeper.pins.target(self._keeper.digest(key)),
            *self._keeper.generations.choices(key),
        ]
        route = self._routes.route(service)
        names = [name for name in likely if name is not None]
        names += sorted(route.endpoints) if route is not None else []
        found = ((name, self._routes.endpoint(service, name)) for name in dict.fromkeys(names))
        return [Candidate(name, endpoint) for name, endpoint in found if endpoint is not None]

    def _take_over(self, segment: Segment, key: FlowKey, target: TargetName, now: float) -> Looked:
        service = Endpoint(key.service, key.service_port)
        route = self._routes.route(service)
        endpoint = self._routes.endpoint(service, target)
        if route is None or endpoint is None:
            return _dropped(DropReason.NO_TARGET)
        before = self._keeper.table.get(key)
        flow = self._keeper.adopt(route, key, target, endpoint, now)
        if _is_from_caller(segment, key):
            flow.resume(segment.seq, segment.ack)
        else:
            flow.resume(segment.ack, segment.seq)
        self._searches.end(key)
        if before is None or before.target == target or before.state is FlowState.CLOSED:
            return Looked(flow, [])
        return Looked(flow, [reset_target(before, before.endpoint)])

    def _agrees(self, segment: Segment, key: FlowKey, target: TargetName) -> bool:
        if _is_from_caller(segment, key):
            return True
        answer = self._routes.answer(segment.source)
        return answer is not None and answer.target == target


def _is_from_caller(segment: Segment, key: FlowKey) -> bool:
    return segment.source == (key.caller, key.caller_port)


def _shows_connection(segment: Segment) -> bool:
    """Return whether a target sent this only after the caller completed the handshake with it."""
    if segment.flags & (SYN | RST):
        return False
    return segment.payload > 0 or bool(segment.flags & FIN)


def _dropped(reason: DropReason) -> Looked:
    return Looked(None, [Drop(reason)])
