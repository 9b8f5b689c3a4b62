"""What a replica does before a graceful shutdown, so that the others can do without it."""

from __future__ import annotations

from .leadership import Leadership
from .log import ReplicaId
from .messages import LeaveRequest
from .state import ReplicaState

REJOIN_DELAY_SECONDS = 10.0
"""How long a host that was told to shut down asks no leader to admit it again."""


class PlannedStop:
    """Hands over the leadership, and tells the leader that this host stops."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._joins_from = float("-inf")
        self._is_answered = False

    @property
    def is_answered(self) -> bool:
        """Whether a leader has answered, so that it knows."""
        return self._is_answered

    def may_join(self, now: float) -> bool:
        """Return whether this host may ask a leader to admit it."""
        return now >= self._joins_from

    def request(self, leadership: Leadership | None, leader: ReplicaId | None, now: float) -> None:
        """Transfer the leadership, or tell the leader; to be repeated until it is answered.

        :param leadership: ``None`` if this host does not lead.
        :param leader: the leader that this host follows, if it knows one.
        """
        self._joins_from = now + REJOIN_DELAY_SECONDS
        if leadership is not None:
            leadership.transfer_leadership(now)
        elif leader is not None:
            self._state.send(leader, LeaveRequest(self._state.header(leader)))

    def record_answer(self) -> None:
        """Record that a leader has answered."""
        self._is_answered = True
