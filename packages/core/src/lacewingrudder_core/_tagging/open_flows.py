"""Finds the target that holds an open flow when the caller's packets may not name it."""

from __future__ import annotations

from .._checkins.types import LifeState
from ..types import FlowKey
from .flow_tracker import FlowTracker
from .target_index import TargetIndex
from .types import Forwarded, TagSegment


class OpenFlows:
    """The targets of open flows, as this host knows them.

    Callers echo the tag that they received last. If two targets answered a SYN and its
    retransmission, that may be the tag of the one that doesn't hold the flow.
    """

    def __init__(self, target_index: TargetIndex, flow_tracker: FlowTracker) -> None:
        self._target_index = target_index
        self._flow_tracker = flow_tracker

    def find_opened(self, flow: FlowKey, now: float) -> Forwarded | None:
        """Return where the retransmission of a SYN goes whose flow is open already, or ``None``.

        A second target that answered it would replace the tag that the caller echoes.
        """
        tag = self._flow_tracker.recently_opened_tag(flow, now)
        entry = None if tag is None else self._target_index.entry(tag)
        if tag is None or entry is None or entry.state is LifeState.GONE:
            return None
        return Forwarded(entry.endpoint, entry.identity, tag)

    def find_tag(self, segment: TagSegment, named: int) -> int:
        """Return the tag of the target that a packet of an open flow goes to.

        :param named: tag of the target that the packet names.
        """
        opened = self._flow_tracker.opened_tag(segment)
        is_elsewhere = opened is not None and not self._target_index.has_ended(opened)
        return self._target_index.current_tag(opened if is_elsewhere and opened else named)
