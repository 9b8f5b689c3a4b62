"""Measures the load of this host: the backlog of its packet socket and the lag of its loop."""

from __future__ import annotations

import socket
import struct

from lacewingrudder_core.entry import LoadMeasured

_SO_MEMINFO = 55
_MEMINFO = struct.Struct("=9I")


def backlog(packets: socket.socket) -> float:
    """Return the filled fraction of a socket's receive buffer; 0 where the system cannot tell."""
    try:
        data = packets.getsockopt(socket.SOL_SOCKET, _SO_MEMINFO, _MEMINFO.size)
        used, limit, *_ = _MEMINFO.unpack(data)
    except (OSError, struct.error):
        return 0.0
    return float(used) / limit if limit else 0.0


def measure(packets: socket.socket, late: float) -> LoadMeasured:
    """Return the measured load.

    :param late: seconds by which the caller's timer was late.
    """
    return LoadMeasured(backlog(packets), max(0.0, late))
