"""Explains where a new flow would go, from a host's current state and without changing it."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from .._checkins.types import LifeState, TargetEntry
from .._notes.evacuations import Evacuations
from ..types import Endpoint, FlowKey
from .admission import FlowAdmission
from .candidates import Candidate, Exclusion
from .ejections import Ejections
from .explanation_types import (
    MAX_LISTED_TARGETS,
    AdmissionVerdict,
    AssessedTarget,
    AvoidanceReason,
    Explanation,
    LeftOutTarget,
    TargetIdentity,
)
from .flow_tracker import FlowTracker
from .selection import Selection, TargetChooser, WeightedRoundRobin, refusal
from .target_index import TargetIndex
from .types import (
    Configuration,
    Decision,
    Dropped,
    DropReason,
    Forwarded,
    Reset,
    ResetReason,
)

_EXCLUSION_REASONS = {
    Exclusion.EVACUATED: AvoidanceReason.EVACUATED,
    Exclusion.WARMING_UP: AvoidanceReason.WARMING_UP,
}

_STATE_REASONS = {
    LifeState.DRAINING: AvoidanceReason.DRAINING,
    LifeState.GONE: AvoidanceReason.ENDED,
}


class PlacementState(NamedTuple):
    """What the placement of new flows depends on.

    :param has_update: whether a control host has sent an update.
    :param is_ready: whether the host can place new flows.
    :param splits: the state of the weighted round robin of each route that had a flow.
    """

    configuration: Configuration | None
    evacuations: Evacuations
    has_update: bool
    is_ready: bool
    splits: Mapping[Endpoint, WeightedRoundRobin]
    admission: FlowAdmission
    target_index: TargetIndex
    flow_tracker: FlowTracker
    chooser: TargetChooser
    ejections: Ejections


def explain_placement(state: PlacementState, flow: FlowKey, now: float) -> Explanation:
    """Return where the first SYN of a flow would go, and why."""
    configuration = state.configuration
    version = -1 if configuration is None else configuration.version
    explanation = Explanation(version, state.has_update, state.evacuations.zones)
    if configuration is None:
        return explanation.with_decision(Dropped(DropReason.NOT_READY))
    endpoint = Endpoint(flow.service, flow.service_port)
    route = configuration.routes.get(endpoint)
    if route is None:
        return explanation.with_decision(Reset(ResetReason.NO_ROUTE))
    explanation = explanation._replace(route=route)
    if not state.has_update:
        return explanation.with_decision(Dropped(DropReason.NOT_READY))
    service = state.splits.get(endpoint, WeightedRoundRobin()).peek(route.splits)
    if service is None:
        return explanation.with_decision(refusal(False, state.is_ready))

    candidates = state.target_index.peek_candidates(service, now)
    chooser = state.chooser.preview(state.flow_tracker.loads_at_syn(flow, now))
    waiting = chooser.count_waiting(candidates.targets)
    limit = state.admission.limit(service, route)
    is_admitted = limit is None or waiting < limit
    selection = chooser.choose(
        candidates, (), lambda candidate: state.ejections.is_ejected(candidate, now), now
    )
    compared_tags = {candidate.tag for candidate in selection.compared}
    left_out = _left_out_targets(state.target_index, service, now)
    explanation = explanation._replace(
        service=service,
        left_out=left_out[:MAX_LISTED_TARGETS],
        left_out_count=len(left_out),
        targets=tuple(
            _assess(state, chooser, candidate, candidate.tag in compared_tags, now)
            for candidate in _in_order(candidates.targets, selection, compared_tags)
        ),
        target_count=len(candidates.targets),
        admission=AdmissionVerdict(is_admitted, limit, waiting),
    )
    if not is_admitted:
        return explanation.with_decision(Reset(ResetReason.OVERLOAD))
    return explanation.with_decision(_decide(state, selection, service, now))


def _decide(state: PlacementState, selection: Selection, service: str, now: float) -> Decision:
    chosen = selection.chosen
    if chosen is None:
        return refusal(state.target_index.has_warming_up(service, now), state.is_ready)
    return Forwarded(chosen.entry.endpoint, chosen.entry.identity, chosen.tag)


def _in_order(
    targets: Sequence[Candidate], selection: Selection, compared_tags: Collection[int]
) -> Sequence[Candidate]:
    """Return the targets to list: the chosen one first, then those that were compared."""
    chosen_tag = None if selection.chosen is None else selection.chosen.tag
    order = sorted(targets, key=lambda row: (row.tag != chosen_tag, row.tag not in compared_tags))
    return order[:MAX_LISTED_TARGETS]


def _left_out_targets(index: TargetIndex, service: str, now: float) -> tuple[LeftOutTarget, ...]:
    """Return the targets that can't be chosen, those that still run first."""
    exclusions = index.exclusions(service, now)
    left_out = [
        (entry.state, _identity(tag, entry), reason)
        for tag, entry in index.targets(service)
        if (reason := _left_out_reason(entry, exclusions.get(tag))) is not None
    ]
    return tuple(LeftOutTarget(target, reason) for _, target, reason in sorted(left_out))


def _left_out_reason(entry: TargetEntry, exclusion: Exclusion | None) -> AvoidanceReason | None:
    if entry.state is not LifeState.READY:
        return _STATE_REASONS[entry.state]
    return None if exclusion is None else _EXCLUSION_REASONS[exclusion]


def _assess(
    state: PlacementState,
    chooser: TargetChooser,
    candidate: Candidate,
    is_compared: bool,
    now: float,
) -> AssessedTarget:
    is_ejected = state.ejections.is_ejected(candidate, now)
    cost = chooser.cost(candidate, is_ejected, now)
    reasons = []
    if not candidate.has_recent_heartbeat:
        reasons.append(AvoidanceReason.MISSES_HEARTBEATS)
    if is_ejected:
        reasons.append(AvoidanceReason.EJECTED)
    return AssessedTarget(
        _identity(candidate.tag, candidate.entry),
        candidate.entry.slots,
        chooser.target_load(candidate),
        chooser.relative_answer_time(candidate, now),
        cost.load,
        cost.penalty,
        tuple(reasons),
        is_compared,
    )


def _identity(tag: int, entry: TargetEntry) -> TargetIdentity:
    name, started_ms = entry.lifetime
    return TargetIdentity(name, started_ms, entry.endpoint, entry.zone, tag)
