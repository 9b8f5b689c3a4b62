"""The interfaces of the users' platform: packets, configurations and settings of processes."""

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
HEARTBEAT_SECONDS = 1.2
MESSAGE_PORT = 28_510
PACKET_PORT = 28_511
READY_PORT = 28_512
CALL_PORT = 28_513
"""Ports that every process uses on its own address, for messages, packets, readiness and calls."""

GRACE_SECONDS = 6
MILLISECONDS_PER_SECOND = 1000
IDLE_TIMEOUT_MS = 15_000

_HEADER = struct.Struct("!IIIHHIIIBBH")
_IDENTITY = struct.Struct("!Q")
_CHECKSUM_KEY = b"known to the ends alone"


class Packet(NamedTuple):
    """A packet between a caller and a target.

    :param acknowledged: acknowledgement number; in a SYN, how often it was retransmitted before.
    :param echo: the value of this field that the sender last received (the flow tag).
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
        """Return the packet's bytes, with the checksum of the endpoints unless one is given."""
        written_checksum = self._checksum() if checksum is None else checksum
        return self._header(written_checksum, self.echo) + self.data

    def _header(self, checksum: int, echo: int) -> bytes:
        return _HEADER.pack(
            checksum,
            self.sequence,
            self.acknowledged,
            self.source_port,
            self.destination_port,
            address_to_int(self.destination),
            address_to_int(self.source),
            echo,
            self.flags,
            0,
            len(self.data),
        )

    def _checksum(self) -> int:
        return zlib.crc32(_CHECKSUM_KEY + self._header(0, 0) + self.data) or 1


class Received(NamedTuple):
    """A received packet.

    :param is_genuine: whether an endpoint of the flow sent it unchanged; false for a reset that the
        system sent, as only the endpoints know the key of the checksum.
    """

    packet: Packet
    is_genuine: bool


def read_packet(data: bytes) -> Received:
    """Return the packet in a datagram.

    :raises struct.error: if the datagram is truncated or its length is wrong.
    """
    checksum, sequence, ack, sport, dport, destination, source, echo, flags, _, length = (
        _HEADER.unpack_from(data)
    )
    if len(data) != _HEADER.size + length:
        raise struct.error("packet length does not match its header")
    packet = Packet(
        int_to_address(source),
        sport,
        int_to_address(destination),
        dport,
        flags,
        sequence,
        ack,
        echo,
        data[_HEADER.size :],
    )
    return Received(packet, checksum == packet._checksum())


def split_identity(datagram: bytes) -> tuple[int, bytes]:
    """Return the identifier of the target that a datagram is for, and the packet's bytes."""
    return _IDENTITY.unpack_from(datagram)[0], datagram[_IDENTITY.size :]


def address_to_int(address: str) -> int:
    """Return an IPv4 address as an integer."""
    return int.from_bytes(socket.inet_aton(address), "big")


def int_to_address(number: int) -> str:
    """Return the IPv4 address of an integer."""
    return socket.inet_ntoa(number.to_bytes(4, "big"))


class ManifestRoute(NamedTuple):
    """An address and port, and the service that receives new flows to it."""

    address: str
    port: int
    service: str


def manifest(version: int, routes: Iterable[ManifestRoute], services: Iterable[str]) -> Any:
    """Return a complete configuration as an operator submits it."""
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
        "limits": {"idle-timeout-ms": IDLE_TIMEOUT_MS},
    }


class ProcessAddresses(NamedTuple):
    """The endpoints of one process.

    :param messages: advertised to the other processes of the system for messages.
    :param bind: the local endpoint on which it listens for messages.
    :param public: for packets of callers at an entry host, for calls of targets and operators at a
        control host.
    :param readiness: for readiness probes of an entry host; empty for a control host.
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
    is_bootstrap: bool,
    data_folder: Path,
) -> Mapping[str, Any]:
    """Return the settings of an entry host's or a control host's process."""
    settings: dict[str, Any] = {
        "name": name,
        "zone": zone,
        "messages": addresses.messages,
        "messages_bind": addresses.bind,
        "seeds": list(seeds),
        "founds": is_bootstrap,
        "beat_ms": int(HEARTBEAT_SECONDS * MILLISECONDS_PER_SECOND),
        "grace_s": GRACE_SECONDS,
    }
    if addresses.readiness:
        return settings | {"packets": addresses.public, "readiness": addresses.readiness}
    return settings | {"calls": addresses.public, "data_folder": str(data_folder)}


def start_process(settings: Path, log: IO[bytes]) -> subprocess.Popen[bytes]:
    """Start a process with a settings file, in the folder of that file."""
    environment = {
        **os.environ,
        "PYTHONPATH": os.pathsep.join(
            path for path in (str(ROOT / "platform"), os.environ.get("PYTHONPATH")) if path
        ),
        "LACEWINGRUDDER_NODE_FILE": str(settings),
    }
    command = [sys.executable, "-m", "lacewingrudder_platform"]
    return subprocess.Popen(command, env=environment, cwd=settings.parent, stdout=log, stderr=log)


def write_settings(path: Path, settings: Mapping[str, Any]) -> None:
    """Write a settings file and move it into place atomically."""
    temporary = path.with_suffix(".new")
    temporary.write_text(json.dumps(settings))
    temporary.replace(path)
