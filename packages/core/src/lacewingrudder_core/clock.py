"""Hybrid logical clock (Kulkarni et al., 2014), which orders events across processes."""

from __future__ import annotations

from typing import NamedTuple

MAX_CLOCK_AHEAD_MILLISECONDS = 60_000


class HybridTime(NamedTuple):
    """A timestamp of a hybrid logical clock.

    :param wall: wall-clock time in milliseconds since the epoch.
    :param counter: orders timestamps with the same wall-clock time.
    """

    wall: int
    counter: int


class HybridClock:
    """Issues strictly increasing timestamps, even if the wall clock is set back.

    A timestamp from another process that is too far ahead of the local wall clock is ignored, so
    that a single wrong clock can't advance the clocks of all other processes.
    """

    def __init__(self) -> None:
        self._last = HybridTime(0, 0)

    def tick(self, wall: int) -> HybridTime:
        """Return the timestamp of a local event.

        :param wall: wall-clock time in milliseconds.
        """
        if wall > self._last.wall:
            self._last = HybridTime(wall, 0)
        else:
            self._last = HybridTime(self._last.wall, self._last.counter + 1)
        return self._last

    def merge(self, wall: int, other: HybridTime) -> HybridTime:
        """Return the timestamp of the receipt of a message.

        :param wall: wall-clock time in milliseconds.
        :param other: the timestamp in the message.
        """
        if other > self._last and other.wall <= wall + MAX_CLOCK_AHEAD_MILLISECONDS:
            self._last = other
        return self.tick(wall)
