"""The platform's packets, as PROTOCOL.md describes them."""

from __future__ import annotations

import socket
import struct
import zlib
from typing import NamedTuple

SYN, ACK, FIN, RST = 64, 128, 4, 8
MODULUS = 1 << 32
_HEADER = struct.Struct("!IIIHHIIIBBH")
_IDENTITY = struct.Struct("!Q")
_KEY = b"known to the two ends of a flow alone"


class Packet(NamedTuple):
    """A packet of a flow; ``checksum`` is 0 in a packet that the system wrote itself."""

    source: str
    source_port: int
    destination: str
    destination_port: int
    flags: int
    sequence: int = 0
    acknowledged: int = 0
    echo: int = 0
    data: bytes = b""
    checksum: int = 0

    def pack(self) -> bytes:
        """Return the bytes of a packet that an end of the flow sends, with its checksum."""
        return self._encode(self.keyed_checksum(), self.echo)

    def keyed_checksum(self) -> int:
        """Return the checksum that only the ends of a flow can compute; it leaves out the echo."""
        return zlib.crc32(_KEY + self._encode(0, 0)) or 1

    @property
    def is_genuine(self) -> bool:
        """Whether an end of the flow wrote this packet."""
        return self.checksum == self.keyed_checksum()

    def _encode(self, checksum: int, echo: int) -> bytes:
        return (
            _HEADER.pack(
                checksum,
                self.sequence,
                self.acknowledged,
                self.source_port,
                self.destination_port,
                _to_int(self.destination),
                _to_int(self.source),
                echo,
                self.flags,
                0,
                len(self.data),
            )
            + self.data
        )


def read_packet(data: bytes) -> Packet:
    """Return the packet in a datagram.

    :raises struct.error: if it is not a packet.
    """
    checksum, seq, ack, sport, dport, dst, src, echo, flags, _, length = _HEADER.unpack_from(data)
    if len(data) != _HEADER.size + length:
        raise struct.error("length does not match the header")
    body = data[_HEADER.size :]
    return Packet(_to_text(src), sport, _to_text(dst), dport, flags, seq, ack, echo, body, checksum)


def split_identity(datagram: bytes) -> tuple[int, bytes]:
    """Return the number of the intended backend, and the packet."""
    return _IDENTITY.unpack_from(datagram)[0], datagram[_IDENTITY.size :]


def _to_int(address: str) -> int:
    return int.from_bytes(socket.inet_aton(address), "big")


def _to_text(number: int) -> str:
    return socket.inet_ntoa(number.to_bytes(4, "big"))
