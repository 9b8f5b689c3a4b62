"""The users' platform as a stand-in speaks it: packets, manifests, settings of a process."""

from __future__ import annotations

import json
import os
import socket
import struct
import subprocess
import sys
import zlib
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import IO, Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
SYN, ACK, FIN, RST = 64, 128, 4, 8
BEAT_SECONDS = 1.2
MESSAGE_PORT = 28_510
PACKET_PORT = 28_511
READY_PORT = 28_512
CALL_PORT = 28_513
"""Ports of every process on its own address: messages, packets, readiness, and calls."""

GRACE_SECONDS = 6
MILLISECONDS_PER_SECOND = 1000
IDLE_MS = 15_000

_HEADER = struct.Struct("!IIIHHIIIBBH")
_IDENTITY = struct.Struct("!Q")
_CHECKSUM_KEY = b"known to the ends alone"


class Packet(NamedTuple):
    """A packet between a caller and a target.

    :param acknowledged: in a SYN, which copy it is.
    :param echo: the value that its sender received last in this field.
    """

    source: str
    source_port: int
    destination: str
    destination_port: int
    flags: int
    sequence: int = 0
    acknowledged: int = 0
    echo: int = 0
    data: bytes = b""

    def pack(self, checksum: int | None = None) -> bytes:
        """Return its bytes; the checksum is the one of its ends unless it is given."""
        found = self._checksum() if checksum is None else checksum
        return self._header(found, self.echo) + self.data

    def _header(self, checksum: int, echo: int) -> bytes:
        return _HEADER.pack(
            checksum,
            self.sequence,
            self.acknowledged,
            self.source_port,
            self.destination_port,
            number_of(self.destination),
            number_of(self.source),
            echo,
            self.flags,
            0,
            len(self.data),
        )

    def _checksum(self) -> int:
        return zlib.crc32(_CHECKSUM_KEY + self._header(0, 0) + self.data) or 1


class Received(NamedTuple):
    """A packet that arrived.

    :param is_genuine: whether one of its ends wrote it so; false for a reset of the system.
    """

    packet: Packet
    is_genuine: bool


def read_packet(data: bytes) -> Received:
    """Return the packet in a datagram.

    :raises struct.error: if it holds none.
    """
    checksum, sequence, ack, sport, dport, destination, source, echo, flags, _, length = (
        _HEADER.unpack_from(data)
    )
    if len(data) != _HEADER.size + length:
        raise struct.error("length differs")
    packet = Packet(
        address_of(source),
        sport,
        address_of(destination),
        dport,
        flags,
        sequence,
        ack,
        echo,
        data[_HEADER.size :],
    )
    return Received(packet, checksum == packet._checksum())


def split_identity(datagram: bytes) -> tuple[int, bytes]:
    """Return the target that a forwarded datagram is meant for, and the packet's bytes."""
    return _IDENTITY.unpack_from(datagram)[0], datagram[_IDENTITY.size :]


def number_of(address: str) -> int:
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(address), "big")


def address_of(number: int) -> str:
    """Return a number as an IPv4 address."""
    return socket.inet_ntoa(number.to_bytes(4, "big"))


class ManifestRoute(NamedTuple):
    """An address and port, and the service that new flows to it go to."""

    address: str
    port: int
    service: str


def manifest(version: int, routes: Iterable[ManifestRoute], services: Iterable[str]) -> Any:
    """Return a whole configuration as an operator sends it."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{route.port}",
                "hostname": route.address,
                "path-prefix": f"/{route.port}/",
                "type": "unsafe",
                "timeout-ms": 1200,
                "priority": 1,
                "service": route.service,
            }
            for route in routes
        ],
        "services": [{"name": name} for name in services],
        "limits": {"idle-timeout-ms": IDLE_MS},
    }


class ProcessAddresses(NamedTuple):
    """Where one process is reached.

    :param messages: by other processes of the system.
    :param bind: where it listens for messages.
    :param public: callers' packets, or calls of targets and operators.
    :param readiness: probes of an entry host; empty for a control host.
    """

    messages: str
    bind: str
    public: str
    readiness: str = ""


def process_settings(
    name: str,
    zone: str,
    addresses: ProcessAddresses,
    seeds: Iterable[str],
    founds: bool,
    data_folder: Path,
) -> Mapping[str, Any]:
    """Return the settings of one process."""
    settings: dict[str, Any] = {
        "name": name,
        "zone": zone,
        "messages": addresses.messages,
        "messages_bind": addresses.bind,
        "seeds": list(seeds),
        "founds": founds,
        "beat_ms": int(BEAT_SECONDS * MILLISECONDS_PER_SECOND),
        "grace_s": GRACE_SECONDS,
    }
    if addresses.readiness:
        return settings | {"packets": addresses.public, "readiness": addresses.readiness}
    return settings | {"calls": addresses.public, "data_folder": str(data_folder)}


def start_process(settings: Path, log: IO[bytes]) -> subprocess.Popen[bytes]:
    """Start the process that a settings file describes."""
    environment = {
        **os.environ,
        "PYTHONPATH": str(ROOT / "platform"),
        "LACEWINGRUDDER_NODE_FILE": str(settings),
    }
    command = [sys.executable, "-m", "lacewingrudder_platform"]
    return subprocess.Popen(command, env=environment, cwd=settings.parent, stdout=log, stderr=log)


def write_settings(path: Path, settings: Mapping[str, Any]) -> None:
    """Put a settings file in place as a whole."""
    temporary = path.with_suffix(".new")
    temporary.write_text(json.dumps(settings))
    temporary.replace(path)
