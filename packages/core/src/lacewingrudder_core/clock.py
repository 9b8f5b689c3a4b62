"""Hybrid logical clock (Kulkarni et al., 2014), which orders events over all processes."""

from __future__ import annotations

from typing import NamedTuple

MAX_CLOCK_AHEAD_MILLISECONDS = 60_000


class HybridTime(NamedTuple):
    """A reading that orders events; equal wall times are told apart by the counter.

    :param wall: wall-clock time in milliseconds since the epoch.
    """

    wall: int
    counter: int


class HybridClock:
    """Gives readings that never go back, whatever the wall clock does.

    A reading from another process that is far ahead of this host's wall clock is not taken over, so
    that one wrong clock can't carry all others away.
    """

    def __init__(self) -> None:
        self._last = HybridTime(0, 0)

    def tick(self, wall: int) -> HybridTime:
        """Return the reading for an event of this process.

        :param wall: wall-clock time in milliseconds.
        """
        if wall > self._last.wall:
            self._last = HybridTime(wall, 0)
        else:
            self._last = HybridTime(self._last.wall, self._last.counter + 1)
        return self._last

    def merge(self, wall: int, other: HybridTime) -> HybridTime:
        """Return the reading for a message from another process."""
        if other > self._last and other.wall <= wall + MAX_CLOCK_AHEAD_MILLISECONDS:
            self._last = other
        return self.tick(wall)
