"""Packets between consumers and backends, as PROTOCOL.md lays them out."""

from __future__ import annotations

import socket
import struct
import zlib
from typing import NamedTuple

SYN, ACK, FIN, RST = 64, 128, 4, 8
HEAD = struct.Struct("!IIIHHIIIBBH")
IDENTITY = struct.Struct("!Q")
KEY = b"known to consumers and backends only"


class Packet(NamedTuple):
    """One packet; ``checksum`` 0 marks a reset of the system's own."""

    src: str
    sport: int
    dst: str
    dport: int
    flags: int
    seq: int = 0
    ack: int = 0
    echo: int = 0
    data: bytes = b""
    checksum: int = 0

    def pack(self) -> bytes:
        return self._head(self._sum(), self.echo) + self.data

    @property
    def is_genuine(self) -> bool:
        """Whether an end of the flow wrote the packet, unchanged."""
        return self.checksum == self._sum()

    def _head(self, checksum: int, echo: int) -> bytes:
        return HEAD.pack(
            checksum,
            self.seq,
            self.ack,
            self.sport,
            self.dport,
            _number(self.dst),
            _number(self.src),
            echo,
            self.flags,
            0,
            len(self.data),
        )

    def _sum(self) -> int:
        return zlib.crc32(KEY + self._head(0, 0) + self.data) or 1


def unpack(data: bytes) -> Packet:
    checksum, seq, ack, sport, dport, dst, src, echo, flags, _, length = HEAD.unpack_from(data)
    body = data[HEAD.size :]
    if len(body) != length:
        raise ValueError("wrong length")
    return Packet(_text(src), sport, _text(dst), dport, flags, seq, ack, echo, body, checksum)


def _number(address: str) -> int:
    return int.from_bytes(socket.inet_aton(address), "big")


def _text(number: int) -> str:
    return socket.inet_ntoa(number.to_bytes(4, "big"))
