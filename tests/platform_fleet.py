"""A fleet of platform processes on loopback addresses, and HTTP requests to them."""

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
WAIT_TIMEOUT_SECONDS = 20.0


def make_packet(port: int, flags: int, tag: int = 0, data: bytes = b"") -> bytes:
    return Packet(CALLER, port, SERVICE, SERVICE_PORT, flags, 1, 0, tag, data).pack()


def make_configuration(version: int, *services: str) -> Any:
    return manifest(version, [ManifestRoute(SERVICE, SERVICE_PORT, "a")], ("a", *services))


class PlatformFleet:
    """Three control hosts and two entry hosts, each in a process of its own."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._path = Path(self._folder.name)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        for address in CONTROLS:
            self.start(address, is_bootstrap=True)
        for address in ENTRIES:
            self.start(address, is_bootstrap=True)

    def start(self, address: str, is_bootstrap: bool = False) -> None:
        settings = self._path / f"{address}.json"
        write_settings(settings, self._settings(address, is_bootstrap))
        with (self._path / f"{address}.log").open("ab") as log:
            self.processes[address] = start_process(settings, log)

    def kill(self, address: str, signal_number: signal.Signals = signal.SIGKILL) -> int:
        process = self.processes.pop(address)
        process.send_signal(signal_number)
        return process.wait(WAIT_TIMEOUT_SECONDS)

    def close(self) -> None:
        for address in list(self.processes):
            self.kill(address)
        self._folder.cleanup()

    def log(self, address: str) -> str:
        return (self._path / f"{address}.log").read_text()

    def _settings(self, address: str, is_bootstrap: bool) -> Mapping[str, Any]:
        messages = f"{address}:{MESSAGE_PORT}"
        if address in CONTROLS:
            addresses = ProcessAddresses(messages, messages, f"{address}:{CALL_PORT}")
        else:
            public, readiness = f"{address}:{PACKET_PORT}", f"{address}:{READY_PORT}"
            addresses = ProcessAddresses(messages, messages, public, readiness)
        seeds = [f"{control}:{CALL_PORT}" for control in CONTROLS]
        folder = self._path / f"data-{address}"
        return process_settings(address, "z", addresses, seeds, is_bootstrap, folder)


def http_request(
    address: str, port: int, method: str, path: str, body: Any = None
) -> tuple[int, bytes]:
    """Return status and body of the response; status 0 if there is none."""
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


def wait_for_status(status: int, addresses: tuple[str, ...], *request: Any) -> bytes:
    """Send a request to the hosts in turn until one responds with a status; return the body.

    :param request: the arguments of :func:`http_request` after the address.
    :raises AssertionError: if no host responds with that status in time.
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    response = (0, b"")
    while time.monotonic() < deadline:
        for address in addresses:
            response = http_request(address, *request)
            if response[0] == status:
                return response[1]
        time.sleep(0.1)
    raise AssertionError(
        f"no host responded to {request[1:3]} as expected in time: "
        f"last response {response} (status 0: no response), expected status {status}"
    )
