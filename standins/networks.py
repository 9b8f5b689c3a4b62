"""Loopback networks, each reserved for one fleet at a time."""

from __future__ import annotations

import random
import socket

CLAIM_PORT = 4999


def claim_network() -> socket.socket:
    """Reserve a random /24 of the loopback range, across processes, until the socket is closed.

    :return: a bound socket; its address is in the reserved network.
    """
    while True:
        address = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}.254"
        claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            claim.bind((address, CLAIM_PORT))
            return claim
        except OSError:
            claim.close()
