"""The time in which a target of a soak is cold, and the SYNs that it receives meanwhile."""

from __future__ import annotations

import asyncio
import collections

from standins.platform import MILLISECONDS_PER_SECOND

COLD_SECONDS = 2.0
"""How long a target is cold after its start; the configuration gives the same time."""

MAX_COLD_SYN_COUNT = 5
"""Maximum number of SYNs that a cold target may receive in any second, from all hosts."""


class Warmup:
    """Tracks whether one target is cold; it is from the creation of this object on."""

    def __init__(self) -> None:
        self._ends_at = 0.0
        self._is_known = True
        self._syns: collections.deque[float] = collections.deque()
        self.start()

    @property
    def remaining_ms(self) -> int:
        """Remaining time in milliseconds; 0 if the target is not cold."""
        return round(max(0.0, self._ends_at - _loop_time()) * MILLISECONDS_PER_SECOND)

    def start(self, is_known: bool = True) -> None:
        """Let the target be cold from now on.

        :param is_known: whether hosts can know that before a check-in is confirmed.
        """
        self._ends_at = _loop_time() + COLD_SECONDS
        self._is_known = is_known

    def record_confirmation(self) -> None:
        """Record that a control host confirmed a check-in, which tells how cold the target is."""
        self._is_known = True

    def count_syn(self) -> int:
        """Record a SYN; return the number of the last second, or 0 if the target is not cold."""
        now = _loop_time()
        if now >= self._ends_at or not self._is_known:
            self._syns.clear()
            return 0
        self._syns.append(now)
        while self._syns[0] <= now - 1.0:
            self._syns.popleft()
        return len(self._syns)


def _loop_time() -> float:
    return asyncio.get_running_loop().time()
