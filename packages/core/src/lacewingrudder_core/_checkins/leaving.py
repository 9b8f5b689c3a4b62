"""When an entry host that is told to stop may leave, so that its zone keeps enough others."""

from __future__ import annotations

from .types import ZonePeerCounts


class ShutdownPolicy:
    """A planned stop of one entry host.

    The fabric uses every host of a zone, also those that are down, once fewer than half of them are
    ready. A host that is told to stop therefore goes on as before until the others are enough, or
    until its time is nearly up. While no control host answers, a host that starts could place
    nothing, so that this one stays as well.

    :param latest: when it has to begin to leave at the latest.
    """

    def __init__(self, latest: float) -> None:
        self._latest = latest

    def may_leave(self, peers: ZonePeerCounts, is_blind: bool, now: float) -> bool:
        """Return whether to begin to leave.

        :param is_blind: whether no control host answers.
        """
        if now >= self._latest:
            return True
        if is_blind:
            return False
        return 2 * peers.ready >= peers.known + 1 or not peers.known
