"""Parses and rewrites IPv4 packets that carry TCP segments; reads only the fields it needs.

Checksums are verified with a single remainder. Ones' complement addition of 16-bit words is
addition modulo 65,535 (RFC 1071), so the sum of the words is congruent to the whole data read as
one number. Rewrites update checksums incrementally (RFC 1624), so a wrong checksum stays wrong.
"""

from __future__ import annotations

import enum
import struct
from typing import NamedTuple

from lacewingrudder_core.flows import Segment
from lacewingrudder_core.types import Endpoint

_IP = struct.Struct("!BBHHHBBHII")
_TCP = struct.Struct("!HHIIBBHHH")
_MINIMUM_BYTES = _IP.size + _TCP.size
_PROTOCOL_TCP = 6
_MORE_FRAGMENTS_OR_OFFSET = 0x3FFF
_IP_CHECKSUM_OFFSET = 10
_IP_SOURCE_OFFSET = 12
_IP_DESTINATION_OFFSET = 16
_TCP_CHECKSUM_OFFSET = 16
_TIME_TO_LIVE = 64
_UINT16 = struct.Struct("!H")
_UINT32 = struct.Struct("!I")


_MODULUS = 0xFFFF


class PacketFault(enum.StrEnum):
    """Why a packet was rejected; a label value of metrics."""

    TRUNCATED = "truncated"
    NOT_IPV4_TCP = "not_ipv4_tcp"
    FRAGMENT = "fragment"
    CHECKSUM = "checksum"


class ParsedPacket(NamedTuple):
    """A parsed TCP segment.

    :param header_length: length of the IP header in bytes, which is the offset of the TCP header.
    """

    segment: Segment
    header_length: int


def parse(packet: bytes) -> ParsedPacket | PacketFault:
    """Return the segment in a packet, or the reason why it is rejected.

    Checksums are not verified; see :func:`are_checksums_correct`.
    """
    if len(packet) < _MINIMUM_BYTES:
        return PacketFault.TRUNCATED
    first, _, total, _, fragment, _, protocol, _, source, destination = _IP.unpack_from(packet)
    header = (first & 0x0F) * 4
    if first >> 4 != 4 or protocol != _PROTOCOL_TCP:
        return PacketFault.NOT_IPV4_TCP
    if fragment & _MORE_FRAGMENTS_OR_OFFSET:
        return PacketFault.FRAGMENT
    if header < _IP.size or total > len(packet) or total < header + _TCP.size:
        return PacketFault.TRUNCATED
    source_port, destination_port, seq, ack, offset, flags, _, _, _ = _TCP.unpack_from(
        packet, header
    )
    payload = total - header - (offset >> 4) * 4
    if payload < 0 or offset >> 4 < 5:
        return PacketFault.TRUNCATED
    segment = Segment(
        Endpoint(source, source_port),
        Endpoint(destination, destination_port),
        flags,
        seq,
        ack,
        payload,
    )
    return ParsedPacket(segment, header)


def are_checksums_correct(packet: bytes, header_length: int) -> bool:
    """Return whether the checksums of the IP header and of the TCP segment are correct."""
    total: int = _UINT16.unpack_from(packet, 2)[0]
    if int.from_bytes(packet[:header_length]) % _MODULUS:
        return False
    segment = int.from_bytes(packet[header_length:total])
    if (total - header_length) % 2:
        segment <<= 8
    addresses = int.from_bytes(packet[_IP_SOURCE_OFFSET : _IP_SOURCE_OFFSET + 8])
    return (addresses + _PROTOCOL_TCP + total - header_length + segment) % _MODULUS == 0


def rewrite_destination(packet: bytes, header_length: int, endpoint: Endpoint) -> bytearray:
    """Return a copy of a packet with another destination address and port."""
    return _rewrite(packet, header_length, endpoint, _IP_DESTINATION_OFFSET, 2)


def rewrite_source(packet: bytes, header_length: int, endpoint: Endpoint) -> bytearray:
    """Return a copy of a packet with another source address and port."""
    return _rewrite(packet, header_length, endpoint, _IP_SOURCE_OFFSET, 0)


def build(source: Endpoint, destination: Endpoint, flags: int, seq: int, ack: int) -> bytes:
    """Return a packet with a TCP segment that has neither options nor payload."""
    total = _MINIMUM_BYTES
    ip = bytearray(
        _IP.pack(0x45, 0, total, 0, 0, _TIME_TO_LIVE, _PROTOCOL_TCP, 0, source[0], destination[0])
    )
    _UINT16.pack_into(ip, _IP_CHECKSUM_OFFSET, _checksum(ip))
    tcp = bytearray(_TCP.pack(source[1], destination[1], seq, ack, 5 << 4, flags, 0, 0, 0))
    pseudo = bytes(ip[_IP_SOURCE_OFFSET:]) + struct.pack("!HH", _PROTOCOL_TCP, _TCP.size)
    _UINT16.pack_into(tcp, _TCP_CHECKSUM_OFFSET, _checksum(pseudo + tcp))
    return bytes(ip + tcp)


def _rewrite(
    packet: bytes, header_length: int, endpoint: Endpoint, address_offset: int, port_offset: int
) -> bytearray:
    copy = bytearray(packet)
    old_address = _UINT32.unpack_from(copy, address_offset)[0]
    port_at = header_length + port_offset
    old_port = _UINT16.unpack_from(copy, port_at)[0]
    address_delta = _address_delta(old_address, endpoint.address)
    _UINT32.pack_into(copy, address_offset, endpoint.address)
    _UINT16.pack_into(copy, port_at, endpoint.port)
    _update_checksum(copy, _IP_CHECKSUM_OFFSET, address_delta)
    _update_checksum(
        copy,
        header_length + _TCP_CHECKSUM_OFFSET,
        address_delta + (old_port ^ 0xFFFF) + endpoint.port,
    )
    return copy


def _address_delta(old: int, new: int) -> int:
    return (old >> 16 ^ 0xFFFF) + (old & 0xFFFF ^ 0xFFFF) + (new >> 16) + (new & 0xFFFF)


def _update_checksum(packet: bytearray, offset: int, delta: int) -> None:
    total = (_UINT16.unpack_from(packet, offset)[0] ^ 0xFFFF) + delta
    total = (total & 0xFFFF) + (total >> 16)
    total = (total & 0xFFFF) + (total >> 16)
    _UINT16.pack_into(packet, offset, total ^ 0xFFFF)


def _checksum(data: bytes | bytearray) -> int:
    """Return the checksum of an even number of bytes whose checksum field is zero."""
    return _MODULUS - (int.from_bytes(data) % _MODULUS or _MODULUS)
