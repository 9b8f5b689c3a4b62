"""A UDP socket that reads many datagrams for each turn of the event loop.

The transports of :mod:`asyncio` read one datagram a turn, so that the loop's own cost is paid for
each packet. The bound on a batch keeps timers and links from waiting for a flood to end.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

BUFFER_BYTES = 4 << 20
DATAGRAM_BYTES = 65_535
BATCH_DATAGRAMS = 64

Address = tuple[str, int]


class DatagramSocket:
    """Owns a socket and hands on what it reads.

    :param receive: called with each datagram and its sender.
    """

    def __init__(self, receive: Callable[[bytes, Address], None]) -> None:
        self._receive = receive
        self._socket: socket.socket | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    @property
    def opened(self) -> socket.socket | None:
        """The socket while it is open, for measurements."""
        return self._socket

    def open(self, local: Address) -> None:
        """Bind the socket and start to read; needs a running event loop.

        :raises OSError: if the address can't be used.
        """
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
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
        """Stop to read and close the socket."""
        if self._socket is not None and self._loop is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def send(self, data: bytes, destination: Address) -> bool:
        """Send a datagram; return whether the kernel took it.

        A datagram it has no room for is lost, as on the network: the ends send again.
        """
        if self._socket is None:
            return False
        try:
            self._socket.sendto(data, destination)
        except OSError:
            return False
        return True

    def _read(self) -> None:
        for _ in range(BATCH_DATAGRAMS):
            if self._socket is None:
                return
            try:
                data, sender = self._socket.recvfrom(DATAGRAM_BYTES)
            except OSError:
                return
            self._receive(data, sender)
