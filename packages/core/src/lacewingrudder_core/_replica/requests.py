"""Proposals and reads of this host, which only a leader serves."""

from __future__ import annotations

from .._notes.catalogue import SubmitReply, SubmitTag
from .events import ProposalFailed, Propose, ReadConfirmed, ReadRequested
from .leadership import Leadership
from .state import ReplicaState

MAX_PENDING_PROPOSALS = 64
NO_QUORUM = "no quorum"


class Requests:
    """Passes requests to the leadership of this host, or refuses them.

    :ivar write_error: why writes to the disk fail; empty if they succeed.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self.write_error = ""

    def propose(self, event: Propose, leadership: Leadership | None, now: float) -> None:
        """Append a proposal to the log if this host leads; otherwise refuse it."""
        problem = self._refusal_reason(leadership)
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

    def _refusal_reason(self, leadership: Leadership | None) -> str:
        if self.write_error:
            return f"writes to the disk of {self._state.own_id.name} fail: {self.write_error}"
        if leadership is None:
            return NO_QUORUM
        if self._state.pending_proposal_count >= MAX_PENDING_PROPOSALS:
            return "too many changes are waiting to be committed"
        return ""
