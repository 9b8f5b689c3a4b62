"""What packets of callers show of the speed of targets."""

from __future__ import annotations

from .._speeds.target_speeds import TargetSpeeds
from .flow_tracker import AnswerStatus, Observation
from .types import TagSegment


def record_speed(
    speeds: TargetSpeeds, segment: TagSegment, observation: Observation, now: float
) -> None:
    """Record what a packet shows: an answer that a target gave, or a request that waits at it.

    :param speeds: the targets of the service of the packet's target.
    """
    flow, tag = segment.flow, segment.tag
    kind = flow.service, flow.service_port
    if observation.answer_seconds is not None:
        speeds.record(tag, kind, observation.answer_seconds, now, flow.caller)
    if observation.answer_status is AnswerStatus.ANSWERED or segment.is_last:
        speeds.record_end(tag, flow)
    if segment.payload and not segment.is_last:
        speeds.record_request(tag, flow, kind, now, flow.caller)
