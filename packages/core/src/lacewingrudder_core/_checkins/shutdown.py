"""Decides when an entry host may shut down without leaving its zone short of ready hosts."""

from __future__ import annotations

from .types import ZonePeerCounts


class ShutdownPolicy:
    """Policy for the graceful shutdown of one entry host.

    Once fewer than half of a zone's hosts are ready, the fabric sends packets to all of them, even
    to those that are down. A host that is asked to stop therefore keeps serving until enough others
    are ready, or until its deadline. It also keeps serving while no control host answers, because
    a replacement that starts then couldn't place flows.

    :param deadline: time at which the shutdown begins at the latest.
    """

    def __init__(self, deadline: float) -> None:
        self._deadline = deadline

    def may_leave(self, peers: ZonePeerCounts, is_control_unreachable: bool, now: float) -> bool:
        """Return whether to begin the shutdown.

        :param is_control_unreachable: whether no control host answers.
        """
        if now >= self._deadline:
            return True
        if is_control_unreachable:
            return False
        return 2 * peers.ready >= peers.known + 1 or not peers.known
