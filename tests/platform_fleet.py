"""Processes of a fleet on loopback addresses, and the calls of targets and operators."""

from __future__ import annotations

import http.client
import json
import signal
import subprocess
import tempfile
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from standins.platform import (
    CALL_PORT,
    MESSAGE_PORT,
    PACKET_PORT,
    READY_PORT,
    ManifestRoute,
    Packet,
    ProcessAddresses,
    manifest,
    process_settings,
    start_process,
    write_settings,
)

CONTROLS = ("127.0.1.1", "127.0.1.2", "127.0.1.3")
ENTRIES = ("127.0.2.1", "127.0.2.2")
CALLER = "127.0.3.1"
SERVICE = "198.18.0.1"
SERVICE_PORT = 8080
WAIT_SECONDS = 20.0


def packet(port: int, flags: int, tag: int = 0, data: bytes = b"") -> bytes:
    return Packet(CALLER, port, SERVICE, SERVICE_PORT, flags, 1, 0, tag, data).pack()


def configuration(version: int, *services: str) -> Any:
    return manifest(version, [ManifestRoute(SERVICE, SERVICE_PORT, "a")], ("a", *services))


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
        write_settings(settings, self._settings(address, founds))
        with (self._path / f"{address}.log").open("ab") as log:
            self.processes[address] = start_process(settings, log)

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

    def _settings(self, address: str, founds: bool) -> Mapping[str, Any]:
        messages = f"{address}:{MESSAGE_PORT}"
        if address in CONTROLS:
            addresses = ProcessAddresses(messages, messages, f"{address}:{CALL_PORT}")
        else:
            public, readiness = f"{address}:{PACKET_PORT}", f"{address}:{READY_PORT}"
            addresses = ProcessAddresses(messages, messages, public, readiness)
        seeds = [f"{control}:{CALL_PORT}" for control in CONTROLS]
        folder = self._path / f"data-{address}"
        return process_settings(address, "z", addresses, seeds, founds, folder)


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
