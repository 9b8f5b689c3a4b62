"""UDP sockets that read a batch of datagrams per event loop iteration.

The transports of :mod:`asyncio` read one datagram per iteration, which adds the loop's overhead to
each packet. The batch size is limited so that a flood cannot starve timers and links.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

SOCKET_BUFFER_BYTES = 4 << 20
MAX_DATAGRAM_BYTES = 65_535
MAX_BATCH_DATAGRAMS = 64

MAX_BACKLOG_DATAGRAMS = 8192
"""More than what waits in the kernel's buffer, even if each datagram is small."""

Address = tuple[str, int]


class DatagramSocket:
    """A non-blocking UDP socket on the running event loop.

    :param on_datagram: called with each datagram and its sender.
    """

    def __init__(self, on_datagram: Callable[[bytes, Address], None]) -> None:
        self._on_datagram = on_datagram
        self._socket: socket.socket | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    @property
    def opened(self) -> socket.socket | None:
        """The socket while it is open, else ``None``; used to measure its backlog."""
        return self._socket

    def open(self, local: Address) -> None:
        """Bind the socket and start reading; requires a running event loop.

        :raises OSError: if the address cannot be bound.
        """
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        opened.setblocking(False)
        try:
            opened.bind(local)
        except OSError:
            opened.close()
            raise
        self._socket = opened
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(opened, self._read)

    def close(self) -> None:
        """Stop reading and close the socket."""
        if self._socket is not None and self._loop is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def send(self, data: bytes, destination: Address) -> bool:
        """Send a datagram; return whether the kernel accepted it.

        A datagram that the kernel rejects, for example because its buffer is full, is dropped. The
        endpoints retransmit, as they do after a loss on the network.
        """
        if self._socket is None:
            return False
        try:
            self._socket.sendto(data, destination)
        except OSError:
            return False
        return True

    def _read(self) -> None:
        for _ in range(MAX_BATCH_DATAGRAMS):
            received = self._receive()
            if received is None:
                return
            self._on_datagram(*received)

    def _receive(self) -> tuple[bytes, Address] | None:
        """Return the next datagram and its sender, or ``None`` if there is none."""
        if self._socket is None:
            return None
        try:
            return self._socket.recvfrom(MAX_DATAGRAM_BYTES)
        except OSError:
            return None


class BacklogSocket(DatagramSocket):
    """A UDP socket that reads everything that waits before any of it is handled.

    Its owner can choose what to handle first, and what newer datagrams have made obsolete.

    :param on_backlog: called with the datagrams and their senders, in the order of their arrival.
    """

    def __init__(self, on_backlog: Callable[[list[tuple[bytes, Address]]], None]) -> None:
        super().__init__(lambda data, sender: on_backlog([(data, sender)]))
        self._on_backlog = on_backlog

    def _read(self) -> None:
        backlog: list[tuple[bytes, Address]] = []
        while len(backlog) < MAX_BACKLOG_DATAGRAMS:
            received = self._receive()
            if received is None:
                break
            backlog.append(received)
        if backlog:
            self._on_backlog(backlog)
