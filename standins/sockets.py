"""Datagram sockets that read many datagrams per iteration of the event loop."""

from __future__ import annotations

from collections.abc import Callable

from lacewingrudder_daemon.packets import DatagramSocket

from .wire import Address


def open_socket(
    local: Address, receive: Callable[[bytes, Address], None]
) -> Callable[[bytes, Address], bool]:
    """Open a socket, pass each datagram to ``receive`` and return the function that sends one.

    A datagram that does not fit into the kernel's socket buffer is lost, as on a network.

    :raises OSError: if the address can't be bound.
    """
    datagram_socket = DatagramSocket(receive)
    datagram_socket.open(local)
    return datagram_socket.send
