"""Proposals and reads of this host, which only a leader serves."""

from __future__ import annotations

from .._notes.catalogue import SubmitReply, SubmitTag
from .events import ProposalFailed, Propose, ReadConfirmed, ReadRequested
from .leadership import Leadership
from .log import LogEntry
from .state import ReplicaState

MAX_PENDING_PROPOSALS = 64
NO_QUORUM = "no quorum"
OUTDATED = "other orders may have been accepted after this one was sent; send it again"


class Requests:
    """Passes requests to the leadership of this host, or refuses them.

    :ivar write_error: why writes to the disk fail; empty if they succeed.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self.write_error = ""

    def propose(self, event: Propose, leadership: Leadership | None, now: float) -> None:
        """Append a proposal to the log if this host leads; otherwise refuse it."""
        problem = self._refusal_reason(leadership) or self._outdated_reason(event)
        if problem:
            reply = SubmitReply(SubmitTag.REFUSED, self._state.catalogue.revision, problem)
            self._state.emit(ProposalFailed(event.token, reply))
        elif leadership is not None:
            leadership.propose(event, now)

    def start_read(self, event: ReadRequested, leadership: Leadership | None, now: float) -> None:
        """Start a read if this host leads; otherwise answer that its lead is not confirmed."""
        if leadership is None:
            self._state.emit(ReadConfirmed(event.token, None))
        else:
            leadership.start_read(event.token, now)

    def _outdated_reason(self, event: Propose) -> str:
        """Return why an order is outdated, or nothing."""
        log = self._state.log
        if event.basis is None:
            return ""
        if event.basis < log.base_index:
            return OUTDATED
        for entry in reversed(log.slice(event.basis + 1)):
            if _concern_same(entry, event):
                is_same = (entry.order, entry.zone_order) == (event.order, event.zone_order)
                return "" if is_same else OUTDATED
        return ""

    def _refusal_reason(self, leadership: Leadership | None) -> str:
        if self.write_error:
            return f"writes to the disk of {self._state.own_id.name} fail: {self.write_error}"
        if leadership is None:
            return NO_QUORUM
        if self._state.pending_proposal_count >= MAX_PENDING_PROPOSALS:
            return "too many changes are waiting to be committed"
        return ""


def _concern_same(entry: LogEntry, event: Propose) -> bool:
    """Return whether an entry is an order for the same target or zone as a proposed one."""
    if entry.order is not None and event.order is not None:
        return entry.order.target == event.order.target
    if entry.zone_order is not None and event.zone_order is not None:
        return entry.zone_order.zone == event.zone_order.zone
    return False
