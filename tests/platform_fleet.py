"""A fleet of platform processes on loopback addresses, and HTTP requests to them."""

from __future__ import annotations

import http.client
import json
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import unittest
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
SUCCESSOR = "127.0.1.4"
"""A control host that starts later, with an empty disk; no seed."""

ENTRIES = ("127.0.2.1", "127.0.2.2")
CALLER = "127.0.3.1"
SERVICE = "198.18.0.1"
SERVICE_PORT = 8080
WAIT_TIMEOUT_SECONDS = 20.0

CONFIG_PATH = "/lacewingrudder/config"
TARGET_PATH = "/lacewingrudder/instances/i-7f3a91c2"
READY_PATH = "/lacewingrudder/readyz"
TARGET_ADDRESS = "127.0.4.1"
TARGET_STARTED_MS = 1000


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

    def lose_disk(self, address: str) -> None:
        """Kill a host, empty its disk and start it again."""
        self.kill(address)
        shutil.rmtree(self._data_folder(address))
        self.start(address)

    def close(self) -> None:
        for address in list(self.processes):
            self.kill(address)
        self._folder.cleanup()

    def log(self, address: str) -> str:
        return (self._path / f"{address}.log").read_text()

    def _settings(self, address: str, is_bootstrap: bool) -> Mapping[str, Any]:
        messages = f"{address}:{MESSAGE_PORT}"
        if address in (*CONTROLS, SUCCESSOR):
            addresses = ProcessAddresses(messages, messages, f"{address}:{CALL_PORT}")
        else:
            public, readiness = f"{address}:{PACKET_PORT}", f"{address}:{READY_PORT}"
            addresses = ProcessAddresses(messages, messages, public, readiness)
        seeds = [f"{control}:{CALL_PORT}" for control in CONTROLS]
        folder = self._data_folder(address)
        return process_settings(address, "z", addresses, seeds, is_bootstrap, folder)

    def _data_folder(self, address: str) -> Path:
        return self._path / f"data-{address}"


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


class PlatformFleetTestCase(unittest.TestCase):
    """A fleet, one target and one caller.

    :cvar receive_timeout_seconds: how long the target and the caller wait for a packet.
    """

    receive_timeout_seconds = 5.0

    def setUp(self) -> None:
        self.fleet = PlatformFleet()
        self.addCleanup(self.fleet.close)
        self.target = self._open_udp_socket(TARGET_ADDRESS)
        self.caller = self._open_udp_socket(CALLER, PACKET_PORT)
        self._sequence = 0

    def check_in_body(self, state: str) -> dict[str, str | int]:
        """Return the next check-in of the target."""
        self._sequence += 1
        return {
            "service": "a",
            "address": f"{TARGET_ADDRESS}:{self.target.getsockname()[1]}",
            "zone": "z",
            "version": "v1",
            "concurrency": 3,
            "state": state,
            "cold-remaining-ms": 0,
            "sequence": self._sequence,
            "born": TARGET_STARTED_MS,
        }

    def check_in(self, state: str = "ready") -> None:
        """Check the target in with the first control host that acknowledges it."""
        body = self.check_in_body(state)
        wait_for_status(200, CONTROLS, CALL_PORT, "PUT", TARGET_PATH, body)

    def wait_until_ready(self, entry: str) -> None:
        """Wait until an entry host says that it places flows."""
        wait_for_status(200, (entry,), READY_PORT, "GET", READY_PATH)

    def submit(self, configuration: Any) -> None:
        """Submit a configuration to the first control host that accepts it."""
        wait_for_status(200, CONTROLS, CALL_PORT, "PUT", CONFIG_PATH, configuration)

    def serve(self) -> None:
        """Submit a configuration, check the target in and wait until the entry hosts are ready."""
        self.submit(make_configuration(3))
        self.check_in()
        for entry in ENTRIES:
            self.wait_until_ready(entry)

    def send(self, entry: str, data: bytes) -> None:
        """Send a packet of the caller to an entry host."""
        self.caller.sendto(data, (entry, PACKET_PORT))

    def _open_udp_socket(self, address: str, port: int = 0) -> socket.socket:
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(udp_socket.close)
        udp_socket.bind((address, port))
        udp_socket.settimeout(self.receive_timeout_seconds)
        return udp_socket
