"""Chooses the service and the target of a new flow, for its SYN and for the retransmissions."""

from __future__ import annotations

from ..types import Endpoint
from .admission import FlowAdmission
from .candidates import Candidate
from .ejections import Ejections
from .flow_tracker import FlowTracker, OpeningFlow
from .open_flows import OpenFlows
from .selection import TargetChooser, WeightedRoundRobin, refusal
from .silence_detector import SilenceDetector
from .target_index import TargetIndex
from .types import Decision, Forwarded, Reset, ResetReason, Route, TagSegment


class FlowOpener:
    """Decides where the SYNs of callers go.

    :param silence: watches the SYNs that are forwarded.
    :param open_flows: finds the targets of flows that may be open already.
    :param admission: admits or refuses new flows.
    """

    def __init__(
        self,
        target_index: TargetIndex,
        flow_tracker: FlowTracker,
        chooser: TargetChooser,
        ejections: Ejections,
        silence: SilenceDetector,
        open_flows: OpenFlows,
        admission: FlowAdmission,
    ) -> None:
        self._target_index = target_index
        self._flow_tracker = flow_tracker
        self._chooser = chooser
        self._ejections = ejections
        self._silence = silence
        self._open_flows = open_flows
        self._admission = admission
        self._splits: dict[Endpoint, WeightedRoundRobin] = {}

    @property
    def splits(self) -> dict[Endpoint, WeightedRoundRobin]:
        """The distribution of new flows over the services of each route."""
        return self._splits

    def open_flow(self, segment: TagSegment, route: Route, is_ready: bool, now: float) -> Decision:
        """Return where a SYN goes.

        A retransmission stays with the service that was chosen first while the route has it, and
        prefers a target that was not tried. It is not refused for load: another host may have
        admitted the flow, which may be open by now.

        :param is_ready: whether this host can place new flows.
        """
        if segment.attempt:
            repeated = self._open_flows.find_repeated(segment, route, now)
            if repeated is not None:
                return repeated
        self._flow_tracker.forget_abandoned_requests(now)
        opening = self._find_opening(segment, now)
        if opening is None or not route.has_service(opening.service):
            self._flow_tracker.remove_opening(segment.flow)
            service, tried_tags = self._choose_service(route), list[int]()
            if self._refuses(segment, service, route, now):
                return Reset(ResetReason.OVERLOAD)
        else:
            service, tried_tags = opening.service, opening.tried_tags
        target = None if service is None else self._choose_target(service, tried_tags, now)
        if target is None or service is None:
            is_warming_up = self._target_index.has_warming_up(service or "", now)
            return refusal(is_warming_up, is_ready)
        self._flow_tracker.record_syn(segment, service, target.tag, now)
        self._silence.record_syn(segment.flow, target.tag, now)
        return Forwarded(target.entry.endpoint, target.entry.identity, target.tag)

    def _find_opening(self, segment: TagSegment, now: float) -> OpeningFlow | None:
        """Return the record of the SYN that a retransmission repeats, which has failed, if any."""
        opening = self._flow_tracker.get_opening(segment.flow) if segment.attempt else None
        if opening is not None:
            tag = opening.tried_tags[-1]
            entry = self._target_index.entry(tag)
            if entry is not None:
                self._ejections.record_failure(tag, entry, now)
        return opening

    def _refuses(self, segment: TagSegment, service: str | None, route: Route, now: float) -> bool:
        if segment.attempt or service is None:
            return False
        return not self._admission.admits(service, route, now)

    def _choose_service(self, route: Route) -> str | None:
        splits = self._splits.setdefault(route.endpoint, WeightedRoundRobin())
        return splits.choose(route.splits)

    def _choose_target(self, service: str, tried_tags: list[int], now: float) -> Candidate | None:
        return self._chooser.choose(
            self._target_index.candidates(service, now),
            tried_tags,
            lambda candidate: self._ejections.is_ejected(candidate, now),
            now,
        ).chosen
