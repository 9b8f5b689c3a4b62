"""Passes on the segments of a flow that this host keeps, and follows the flow's life by them."""

from __future__ import annotations

from .._routing.health import HealthTracker
from ..types import Endpoint
from .handshake import Opener
from .keeper import FlowKeeper
from .silence import SilenceWatch
from .table import CALLER_END, TARGET_END, Flow, FlowState
from .types import FIN, RST, SYN, FlowEffect, Segment, ToCaller, ToTarget
from .verdicts import verdict_on


class Serving:
    """Decides on segments that belong to a known flow.

    :param opener: decides on refused SYNs.
    :param silence: told of targets that answer.
    :param health: takes evidence on targets.
    """

    def __init__(
        self, keeper: FlowKeeper, opener: Opener, silence: SilenceWatch, health: HealthTracker
    ) -> None:
        self._keeper = keeper
        self._opener = opener
        self._silence = silence
        self._health = health

    def caller(self, flow: Flow, segment: Segment, now: float) -> list[FlowEffect]:
        """Pass on a segment of the caller."""
        flow.last_seen = now
        if segment.flags & RST:
            return self._caller_reset(flow, now)
        if flow.state is FlowState.HALF_OPEN:
            self._keeper.establish(flow, now)
        if flow.acknowledged_by_caller(segment.ack) and flow.asked_at is not None:
            self._keeper.heard(flow)
        if flow.state is FlowState.CLOSED:
            return [ToTarget(flow.endpoint)]
        if segment.payload:
            self._keeper.asked(flow, segment, now)
        if segment.flags & FIN and flow.has_ended(CALLER_END):
            self._keeper.close(flow, now)
        return [ToTarget(flow.endpoint)]

    def _caller_reset(self, flow: Flow, now: float) -> list[FlowEffect]:
        effects: list[FlowEffect] = [ToTarget(flow.endpoint)]
        if flow.state is FlowState.HALF_OPEN or flow.use.is_busy:
            effects.append(verdict_on(flow, "cancelled"))
        self._keeper.close(flow, now)
        return effects

    def target(
        self, flow: Flow, segment: Segment, service: Endpoint, now: float
    ) -> list[FlowEffect]:
        """Pass on a segment of the target.

        :param service: the endpoint that the caller knows the target by.
        """
        flow.last_seen = now
        flow.probes = 0
        if segment.flags & RST:
            return self._target_reset(flow, service, now)
        if flow.state is FlowState.HALF_OPEN and segment.flags & SYN:
            self.syn_answered(flow, segment, now)
        flow.acknowledged_by_target(segment.ack)
        if flow.asked_at is not None:
            self._keeper.heard(flow)
        if flow.state is FlowState.CLOSED:
            return [ToCaller(service)]
        if segment.payload:
            self._silence.answered(flow.target, now)
            self._keeper.answered(flow, now)
        if segment.flags & FIN and flow.has_ended(TARGET_END):
            self._keeper.close(flow, now)
        return [ToCaller(service)]

    def syn_answered(self, flow: Flow, segment: Segment, now: float) -> None:
        """Take note that the target accepted the flow."""
        flow.answer(segment)
        self._keeper.table.unanswered.pop(flow.key, None)
        self._health.syn_answered(flow.target, now)
        self._silence.answered(flow.target, now)

    def _target_reset(self, flow: Flow, service: Endpoint, now: float) -> list[FlowEffect]:
        if flow.state is FlowState.CLOSED:
            return [ToCaller(service)]
        if flow.state is FlowState.HALF_OPEN and flow.target_isn is None:
            return self._opener.refused(flow, now)
        self._keeper.close(flow, now)
        return [ToCaller(service), verdict_on(flow, "reset_by_target")]
