"""Encapsulated TCP segments (IPv4 in GRE in UDP), built with ``dpkt`` and not with product code."""

from __future__ import annotations

import socket
import struct
from typing import NamedTuple

import dpkt

_GRE = struct.Struct("!HH")
_IPV4 = 0x0800

Address = tuple[str, int]


class InnerSegment(NamedTuple):
    """A TCP segment between two inner endpoints."""

    source: Address
    destination: Address
    flags: int
    seq: int
    ack: int
    payload: bytes


def pack(segment: InnerSegment) -> bytes:
    """Return a segment as the payload of a UDP datagram."""
    tcp = dpkt.tcp.TCP(
        sport=segment.source[1],
        dport=segment.destination[1],
        seq=segment.seq,
        ack=segment.ack,
        flags=segment.flags,
        data=segment.payload,
    )
    packet = dpkt.ip.IP(
        src=socket.inet_aton(segment.source[0]),
        dst=socket.inet_aton(segment.destination[0]),
        p=dpkt.ip.IP_PROTO_TCP,
        data=tcp,
    )
    packet.len = len(packet)
    return _GRE.pack(0, _IPV4) + bytes(packet)


def unpack(datagram: bytes) -> InnerSegment:
    """Return the segment in a datagram.

    :raises dpkt.Error: if the datagram holds no TCP segment.
    """
    packet = dpkt.ip.IP(datagram[_GRE.size :])
    tcp = packet.data
    if not isinstance(tcp, dpkt.tcp.TCP):
        raise dpkt.UnpackError("inner packet is not TCP")
    return InnerSegment(
        (socket.inet_ntoa(packet.src), tcp.sport),
        (socket.inet_ntoa(packet.dst), tcp.dport),
        tcp.flags,
        tcp.seq,
        tcp.ack,
        bytes(tcp.data),
    )


def inner_destination(datagram: bytes) -> str:
    """Return the destination address of a datagram's inner packet."""
    return socket.inet_ntoa(datagram[_GRE.size + 16 : _GRE.size + 20])
