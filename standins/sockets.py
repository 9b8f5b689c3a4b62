"""Datagram sockets of the stand-ins; they read many datagrams for each turn of the event loop."""

from __future__ import annotations

from collections.abc import Callable

from lacewingrudder_daemon.packets import DatagramSocket

from .wire import Address


def open_socket(
    local: Address, receive: Callable[[bytes, Address], None]
) -> Callable[[bytes, Address], bool]:
    """Open a socket, hand each datagram to ``receive`` and return the function that sends one.

    A datagram that the kernel has no room for is lost, as on a network.

    :raises OSError: if the address can't be used.
    """
    opened = DatagramSocket(receive)
    opened.open(local)
    return opened.send
