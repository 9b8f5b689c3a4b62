"""What a host reports about the placement of a new flow."""

from __future__ import annotations

import enum
from typing import NamedTuple

from ..types import Endpoint, FlowKey, TargetName, ZoneName
from .flow_tracker import TargetLoad
from .types import Decision, Dropped, DropReason, Forwarded, Reset, ResetReason, Route

MAX_LISTED_TARGETS = 500
"""Maximum length of each list of targets. An explanation delays the packets that arrive meanwhile:
listing 5,000 targets and encoding them took 160 ms."""


class AvoidanceReason(enum.StrEnum):
    """Why new flows avoid a target.

    Targets with one of the last two are chosen if there is no other.
    """

    DRAINING = "draining"
    ENDED = "ended"
    EVACUATED = "evacuated"
    WARMING_UP = "warming_up"
    MISSES_HEARTBEATS = "misses_heartbeats"
    EJECTED = "ejected"


class TargetIdentity(NamedTuple):
    """One lifetime of a target.

    :param started_ms: start of the lifetime in milliseconds, as the target reports it.
    """

    name: TargetName
    started_ms: int
    endpoint: Endpoint
    zone: ZoneName
    tag: int


class LeftOutTarget(NamedTuple):
    """A target that can't be chosen."""

    target: TargetIdentity
    reason: AvoidanceReason


class AssessedTarget(NamedTuple):
    """A target that can be chosen.

    :param load: flows and requests of this host.
    :param relative_answer_time: expected response time, 1.0 for the average of the service.
    :param load_per_slot: what is compared between targets of the same penalty; the lowest wins.
    :param penalty: penalty for signs that the target won't answer; compared first.
    :param reasons: the reasons of the penalty.
    :param is_compared: whether it was compared for this flow. Only a few local targets are, and the
        others only if these have high loads or penalties.
    """

    target: TargetIdentity
    slots: int
    load: TargetLoad
    relative_answer_time: float
    load_per_slot: float
    penalty: int
    reasons: tuple[AvoidanceReason, ...]
    is_compared: bool


class AdmissionVerdict(NamedTuple):
    """Whether a service's concurrency limit admits the flow.

    :param limit: number of waiting requests at which flows of the route are refused, or ``None``.
    :param waiting: requests that await an answer, and flows that are being opened.
    """

    is_admitted: bool
    limit: float | None
    waiting: int


class Explanation(NamedTuple):
    """Where a new flow would go, and why.

    One of the last three fields is set: the target, or the reason of a drop or a reset.

    :param version: version of the configuration in force, -1 for none.
    :param has_update: whether a control host has sent an update, with targets and evacuations.
    :param service: service of the split that would be taken, ``None`` if all weights are 0.
    :param left_out: the targets of the service that can't be chosen, or the first of them.
    :param left_out_count: the number of all of these.
    :param targets: the targets of the service that can be chosen, or the first of them.
    :param target_count: the number of all of these.
    :param admission: ``None`` if no service was chosen.
    """

    version: int
    has_update: bool
    evacuated_zones: tuple[ZoneName, ...] = ()
    route: Route | None = None
    service: str | None = None
    left_out: tuple[LeftOutTarget, ...] = ()
    left_out_count: int = 0
    targets: tuple[AssessedTarget, ...] = ()
    target_count: int = 0
    admission: AdmissionVerdict | None = None
    forwarded: Forwarded | None = None
    drop_reason: DropReason | None = None
    reset_reason: ResetReason | None = None

    @property
    def has_view(self) -> bool:
        """Whether the host has a configuration and has heard of targets from a control host."""
        return self.version >= 0 and self.has_update

    def with_decision(self, decision: Decision) -> Explanation:
        """Return this explanation with what would be done with the SYN."""
        match decision:
            case Dropped(reason):
                return self._replace(drop_reason=reason)
            case Reset(reason):
                return self._replace(reset_reason=reason)
            case _:
                return self._replace(forwarded=decision)


class ExplainRequest(NamedTuple):
    """Asks an entry host where a new flow would go."""

    flow: FlowKey


class ExplainReply(NamedTuple):
    """Answers an :class:`ExplainRequest`."""

    flow: FlowKey
    explanation: Explanation
