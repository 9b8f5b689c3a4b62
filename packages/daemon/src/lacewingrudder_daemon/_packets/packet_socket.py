"""A UDP socket for packets that says how long each of them may have waited to be read.

A host that was paused or is slow finds packets that arrived long ago. The kernel doesn't say when
each one arrived, but all that is read arrived after the socket was last seen empty.
"""

from __future__ import annotations

import asyncio
import collections
import time
from collections.abc import Callable
from typing import NamedTuple

from .datagrams import MAX_BACKLOG_DATAGRAMS, MAX_BATCH_DATAGRAMS, Address, DatagramSocket

CHECK_INTERVAL_SECONDS = 0.05
"""Interval at which a socket without packets is seen to be empty."""


def read_boot_clock() -> float:
    """Return the seconds since the system started, with the time for which it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _Arrival(NamedTuple):
    """A packet that was read; it arrived after some time."""

    data: bytes
    sender: Address
    arrived_after: float


class PacketSocket(DatagramSocket):
    """A UDP socket that bounds the time for which its packets have waited.

    Each read empties the socket, so that the bound is close also while packets wait to be handled.

    :param on_packet: called with each packet, its sender, and the longest time in seconds for which
        it may have waited.
    :param clock: returns a time in seconds that also advances while the host is suspended.
    """

    def __init__(
        self,
        on_packet: Callable[[bytes, Address, float], None],
        clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        super().__init__(lambda data, sender: on_packet(data, sender, 0.0))
        self._on_packet = on_packet
        self._clock = clock
        self._empty_at = 0.0
        self._waiting: collections.deque[_Arrival] = collections.deque(maxlen=MAX_BACKLOG_DATAGRAMS)
        self._check: asyncio.Handle | None = None
        self._continuation: asyncio.Handle | None = None

    def open(self, local: Address) -> None:
        """Bind the socket and start reading; requires a running event loop.

        :raises OSError: if the address cannot be bound.
        """
        self._empty_at = self._clock()
        super().open(local)
        self._schedule_check()

    def close(self) -> None:
        """Close the socket; what waits is not handled any more."""
        super().close()
        self._waiting.clear()
        for handle in (self._check, self._continuation):
            if handle is not None:
                handle.cancel()

    def _schedule_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._check = loop.call_later(CHECK_INTERVAL_SECONDS, self._check_empty)

    def _check_empty(self) -> None:
        self._schedule_check()
        self._read()

    def _read(self) -> None:
        # The time from before the reads: this process may be stopped between any two steps.
        began_at, arrived_after = self._clock(), self._empty_at
        for _ in range(MAX_BACKLOG_DATAGRAMS):
            received = self._receive()
            if received is None:
                self._empty_at = began_at
                break
            self._waiting.append(_Arrival(*received, arrived_after))
        if self._waiting and self._continuation is None:
            self._handle_some()

    def _handle_some(self) -> None:
        """Handle a part of what waits, and let the event loop do other work before the rest."""
        self._continuation = None
        for _ in range(min(len(self._waiting), MAX_BATCH_DATAGRAMS)):
            data, sender, arrived_after = self._waiting.popleft()
            self._on_packet(data, sender, self._clock() - arrived_after)
        if self._waiting:
            self._continuation = asyncio.get_running_loop().call_soon(self._handle_some)
