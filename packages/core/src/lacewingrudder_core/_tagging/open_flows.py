"""Finds the target that holds an open flow when the caller's packets may not name it."""

from __future__ import annotations

from .._checkins.types import LifeState, TargetEntry
from .flow_tracker import SEQUENCE_COUNT, FlowTracker, OpeningFlow
from .silence_detector import SilenceDetector
from .syn_tags import (
    FIRST_PACKET_OFFSETS,
    make_retransmission_tag,
    make_syn_tag,
    read_syn_tag,
)
from .target_index import TargetIndex
from .types import Forwarded, RepeatedSyn, Route, TagSegment

REORDERING_SECONDS = 0.4
"""How long after a SYN the first packets of its flow may arrive in another order."""


class OpenFlows:
    """The targets of open flows, as this host knows them.

    Callers echo the tag that they received last. If two targets answered a SYN and its
    retransmission, that may be a tag of the one that doesn't hold the flow. Routers may have handed
    the copies of the SYN to several hosts, of which each knows only the targets that it chose.
    """

    def __init__(
        self, target_index: TargetIndex, flow_tracker: FlowTracker, silence: SilenceDetector
    ) -> None:
        self._target_index = target_index
        self._flow_tracker = flow_tracker
        self._silence = silence

    def find_repeated(self, segment: TagSegment, route: Route, now: float) -> Forwarded | None:
        """Return where the retransmission of a SYN goes again, or ``None`` to choose a target.

        A second target that answered it would replace the tag that the caller echoes. So it goes to
        the same target if that has opened the flow, or has answered something that was sent to it
        after the SYN: then the answer is late or lost. If the flow may not be open yet, the target
        has to be one of the route's, since it may be this SYN that opens it.
        """
        tag = self._flow_tracker.opened_tag(segment)
        if tag is not None:
            return self._forward_again(self._target_index.entry(tag), tag)
        opening = self._flow_tracker.get_opening(segment.flow)
        if opening is None or not route.has_service(opening.service):
            return None
        tag = opening.tried_tags[-1]
        if not self._silence.has_answered_since(tag, opening.opened_at):
            return None
        candidate = self._target_index.find_candidate(opening.service, tag, now)
        if candidate is None:
            return None
        opening.sent_at = now
        return self._forward_again(candidate.entry, tag)

    def _forward_again(self, entry: TargetEntry | None, tag: int) -> Forwarded | None:
        if entry is None or entry.state is LifeState.GONE:
            return None
        return Forwarded(entry.endpoint, entry.identity, tag)

    def record_syn(self, segment: TagSegment, tag: int, packet: bytes) -> int:
        """Return the tag that a SYN carries to a target; see :mod:`.syn_tags`.

        :param tag: flow tag of the target.
        :param packet: the SYN as the caller sent it.
        """
        opening = self._flow_tracker.get_opening(segment.flow)
        if opening is None:
            return tag
        if len(opening.tried_tags) > 1 or not opening.has_first:
            opening.packet = packet
        sent = dict(zip(opening.tried_tags, _syn_tags(opening), strict=True))
        return sent.get(tag, tag)

    def repeat_syn(self, opening: OpeningFlow, holder: int, now: float) -> tuple[RepeatedSyn, ...]:
        """Return the SYNs that tell the other targets of a flow which one holds it.

        A target that answered the SYN repeats its answer for seconds, with the tag that came with
        the SYN last. The caller echoes that tag, and hosts that didn't see the flow open can't tell
        from it which target holds the flow. Targets that may get no new flows any more get no SYN
        either.

        :param holder: tag of the target that holds the flow.
        """
        if not opening.packet:
            return ()
        others = (
            self._target_index.find_candidate(opening.service, tag, now)
            for tag in sorted(set(opening.tried_tags) - {holder})
        )
        return tuple(
            RepeatedSyn(opening.packet, other.entry.endpoint, other.entry.identity, holder)
            for other in others
            if other is not None
        )

    def find_tag(self, segment: TagSegment, now: float) -> int:
        """Return the tag of the target that a packet of an open flow goes to.

        It is the tag that the packet carries if that names no known target.
        """
        opened = self._flow_tracker.opened_tag(segment)
        is_elsewhere = opened is not None and not self._target_index.has_ended(opened)
        tag = opened if is_elsewhere and opened else self._find_named(segment, now)
        return self._target_index.current_tag(tag)

    def _find_named(self, segment: TagSegment, now: float) -> int:
        """Return the tag of the target that holds a packet's flow, by the tag of the packet."""
        tag = self._target_index.own_tag(segment.tag)
        if self._target_index.entry(tag) is not None:
            return tag
        opening = self._flow_tracker.get_opening(segment.flow)
        if opening is not None and _may_tell_holder(opening, segment, now):
            receivers = dict(zip(_syn_tags(opening), opening.tried_tags, strict=True))
            if segment.tag in receivers:
                return receivers[segment.tag]
        syn_tag = read_syn_tag(segment.tag)
        if syn_tag.is_retransmission or not syn_tag.is_followed_by(segment.sequence):
            return tag
        return self._target_index.find_named(syn_tag) or tag


def _may_tell_holder(opening: OpeningFlow, segment: TagSegment, now: float) -> bool:
    """Return whether the tag of a SYN that this host sent tells which target holds the flow.

    It does on the caller's first packet, and on one that may have overtaken that. Later it shows
    that another target holds the flow, which may have opened through another host.
    """
    offset = (segment.sequence - opening.sequence) % SEQUENCE_COUNT
    if offset in FIRST_PACKET_OFFSETS:
        return True
    return now - opening.sent_at < REORDERING_SECONDS


def _syn_tags(opening: OpeningFlow) -> list[int]:
    """Return the tags that the SYN of a flow and its retransmissions carried."""
    numbers = range(len(opening.tried_tags))
    tags = [make_retransmission_tag(number, opening.sequence) for number in numbers]
    if opening.has_first:
        tags[0] = make_syn_tag(opening.tried_tags[0], opening.sequence)
    return tags
