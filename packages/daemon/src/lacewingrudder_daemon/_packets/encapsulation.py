"""GRE-in-UDP encapsulation (RFC 8086) of IP packets.

Between entry hosts the GRE key (RFC 2890) holds the relay stage in its lowest four bits. The other
bits identify the target once the flow has been found.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

from lacewingrudder_core.flows import Stage

_PROTOCOL_IPV4 = 0x0800
_FLAG_KEY = 0x2000
_PLAIN = struct.Struct("!HH")
_KEYED = struct.Struct("!HHI")
_STAGES = {stage.value: stage for stage in Stage}
_STAGE_BITS = 4
_STAGE_MASK = (1 << _STAGE_BITS) - 1


class Decapsulated(NamedTuple):
    """An inner packet and its relay stage.

    :param tag: identifies the flow's target at :attr:`Stage.FOUND`, else 0.
    """

    packet: bytes
    stage: Stage
    tag: int = 0


def encapsulate(packet: bytes | bytearray) -> bytes:
    """Encapsulate a packet for the fabric."""
    return _PLAIN.pack(0, _PROTOCOL_IPV4) + packet


def encapsulate_relay(packet: bytes | bytearray, stage: Stage, tag: int = 0) -> bytes:
    """Encapsulate a packet for another entry host."""
    return _KEYED.pack(_FLAG_KEY, _PROTOCOL_IPV4, tag << _STAGE_BITS | stage) + packet


def decapsulate(datagram: bytes) -> Decapsulated | None:
    """Return the packet in a datagram, or ``None`` if it is not valid GRE with an IPv4 payload."""
    if len(datagram) < _PLAIN.size:
        return None
    flags, protocol = _PLAIN.unpack_from(datagram)
    if protocol != _PROTOCOL_IPV4:
        return None
    if flags == 0:
        return Decapsulated(datagram[_PLAIN.size :], Stage.FABRIC)
    if flags != _FLAG_KEY or len(datagram) < _KEYED.size:
        return None
    key = _KEYED.unpack_from(datagram)[2]
    stage = _STAGES.get(key & _STAGE_MASK)
    if stage is None:
        return None
    return Decapsulated(datagram[_KEYED.size :], stage, key >> _STAGE_BITS)
