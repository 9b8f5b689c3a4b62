"""Datagram sockets that read many datagrams for each turn of the event loop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from .wire import Address

BUFFER_BYTES = 4 << 20
DATAGRAM_BYTES = 65_535
BATCH_DATAGRAMS = 64


def open_socket(
    local: Address, receive: Callable[[bytes, Address], None]
) -> Callable[[bytes, Address], None]:
    """Open a socket, hand each datagram to ``receive`` and return the function that sends one.

    A datagram that the kernel has no room for is lost, as on a network.

    :raises OSError: if the address can't be used.
    """
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    opened.setblocking(False)
    opened.bind(local)

    def read() -> None:
        for _ in range(BATCH_DATAGRAMS):
            try:
                data, sender = opened.recvfrom(DATAGRAM_BYTES)
            except (BlockingIOError, ConnectionError):
                return
            receive(data, sender)

    def send(data: bytes, destination: Address) -> None:
        try:
            opened.sendto(data, destination)
        except (BlockingIOError, ConnectionError):
            return

    asyncio.get_running_loop().add_reader(opened, read)
    return send
