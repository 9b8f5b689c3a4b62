"""Measures a host's load: the backlog of its packet socket and the lag of its event loop."""

from __future__ import annotations

import socket
import struct

from lacewingrudder_core.entry import LoadMeasured

# Linux's SO_MEMINFO, which the socket module does not define.
_SO_MEMINFO = 55
_MEMINFO = struct.Struct("=9I")


def backlog(packets: socket.socket) -> float:
    """Return the used fraction of a socket's receive buffer; 0 if the system does not report it."""
    try:
        data = packets.getsockopt(socket.SOL_SOCKET, _SO_MEMINFO, _MEMINFO.size)
        used, limit, *_ = _MEMINFO.unpack(data)
    except (OSError, struct.error):
        return 0.0
    return float(used) / limit if limit else 0.0


def measure(packets: socket.socket, lag: float) -> LoadMeasured:
    """Return the current load.

    :param packets: the packet socket.
    :param lag: delay of the last timer in seconds; negative if it fired early.
    """
    return LoadMeasured(backlog(packets), max(0.0, lag))
