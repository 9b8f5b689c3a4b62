"""Processes of a fleet on loopback addresses, and the calls of targets and operators."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
MESSAGE_PORT = 28_510
PACKET_PORT = 28_511
READY_PORT = 28_512
CALL_PORT = 28_513
CONTROLS = ("127.0.1.1", "127.0.1.2", "127.0.1.3")
ENTRIES = ("127.0.2.1", "127.0.2.2")
CALLER = "127.0.3.1"
SERVICE = "198.18.0.1"
SERVICE_PORT = 8080
SYN, ACK, RST = 64, 128, 8
HEADER = struct.Struct("!IIIHHIIIBBH")
WAIT_SECONDS = 20.0


def number(address: str) -> int:
    return int.from_bytes(socket.inet_aton(address), "big")


def packet(port: int, flags: int, tag: int = 0, data: bytes = b"", sequence: int = 1) -> bytes:
    head = (7, sequence, 0, port, SERVICE_PORT, number(SERVICE), number(CALLER), tag, flags, 0)
    return HEADER.pack(*head, len(data)) + data


def manifest(version: int, *services: str) -> dict[str, Any]:
    route = {
        "name": "r-1",
        "hostname": SERVICE,
        "path-prefix": f"/{SERVICE_PORT}/",
        "type": "unsafe",
        "timeout-ms": 1200,
        "priority": 1,
        "service": "a",
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": name} for name in ("a", *services)],
        "limits": {"idle-timeout-ms": 15000},
    }


class Fleet:
    """Starts and ends the processes; ends only those that it started."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._path = Path(self._folder.name)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        for address in CONTROLS:
            self.start(address, founds=True)
        for address in ENTRIES:
            self.start(address, founds=True)

    def start(self, address: str, founds: bool = False) -> None:
        settings = self._path / f"{address}.json"
        settings.write_text(json.dumps(self._settings(address, founds)))
        environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT / "platform"),
            "LACEWINGRUDDER_NODE_FILE": str(settings),
        }
        command = [sys.executable, "-m", "lacewingrudder_platform"]
        with (self._path / f"{address}.log").open("ab") as log:
            self.processes[address] = subprocess.Popen(
                command, env=environment, cwd=self._path, stdout=log, stderr=log
            )

    def end(self, address: str, how: signal.Signals = signal.SIGKILL) -> int:
        process = self.processes.pop(address)
        process.send_signal(how)
        return process.wait(WAIT_SECONDS)

    def close(self) -> None:
        for address in list(self.processes):
            self.end(address)
        self._folder.cleanup()

    def log(self, address: str) -> str:
        return (self._path / f"{address}.log").read_text()

    def _settings(self, address: str, founds: bool) -> dict[str, Any]:
        settings: dict[str, Any] = {
            "name": address,
            "zone": "z",
            "messages": f"{address}:{MESSAGE_PORT}",
            "seeds": [f"{control}:{CALL_PORT}" for control in CONTROLS],
            "founds": founds,
            "beat_ms": 1200,
            "grace_s": 6,
        }
        if address in CONTROLS:
            settings |= {
                "calls": f"{address}:{CALL_PORT}",
                "data_folder": str(self._path / f"data-{address}"),
            }
        else:
            settings |= {
                "packets": f"{address}:{PACKET_PORT}",
                "readiness": f"{address}:{READY_PORT}",
            }
        return settings


def call(address: str, port: int, method: str, path: str, body: Any = None) -> tuple[int, bytes]:
    """Return status and body; status 0 stands for no answer."""
    connection = http.client.HTTPConnection(address, port, timeout=2)
    try:
        data = None if body is None else json.dumps(body).encode()
        connection.request(method, path, data)
        response = connection.getresponse()
        return response.status, response.read()
    except OSError:
        return 0, b""
    finally:
        connection.close()


def until(status: int, addresses: tuple[str, ...], *request: Any) -> bytes:
    """Send a request to one host after the other until it gets a status.

    :raises AssertionError: if it does not in time.
    """
    end = time.monotonic() + WAIT_SECONDS
    found = (0, b"")
    while time.monotonic() < end:
        for address in addresses:
            found = call(address, *request)
            if found[0] == status:
                return found[1]
        time.sleep(0.1)
    raise AssertionError(f"{request[1:3]} got {found} instead of {status}")
