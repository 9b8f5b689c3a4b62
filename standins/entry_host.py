"""An entry host of a fleet on loopback addresses: its endpoints and a client for its metrics."""

from __future__ import annotations

import contextlib
import socket
from typing import NamedTuple

SCRAPE_TIMEOUT_SECONDS = 1.0
"""Timeout of each socket operation of a metrics request."""


class EntryHost(NamedTuple):
    """An entry host of a fleet; each endpoint is ``ADDRESS:PORT``."""

    name: str
    zone: str
    address: str

    @property
    def data(self) -> str:
        """The endpoint for packets from the fabric."""
        return f"{self.address}:4754"

    @property
    def listen(self) -> str:
        """The endpoint for links from other hosts."""
        return f"{self.address}:7000"

    @property
    def announce(self) -> str:
        """The HTTP endpoint for announcements of targets."""
        return f"{self.address}:8080"

    @property
    def metrics(self) -> str:
        """The HTTP endpoint for metrics."""
        return f"{self.address}:9100"

    def metric(self, name: str) -> float:
        """Return the sum of a metric over its labels, or 0 if the host can't be reached."""
        with contextlib.suppress(OSError):
            lines = _http_get(self.metrics, "/metrics").splitlines()
            values = [line.split()[-1] for line in lines if line.split("{")[0].split()[0] == name]
            return sum(float(value) for value in values)
        return 0.0


def _http_get(endpoint: str, path: str) -> str:
    address, _, port = endpoint.rpartition(":")
    with socket.create_connection(
        (address, int(port)), timeout=SCRAPE_TIMEOUT_SECONDS
    ) as connection:
        connection.sendall(f"GET {path} HTTP/1.0\r\nHost: {address}\r\n\r\n".encode())
        chunks = iter(lambda: connection.recv(65536), b"")
        return b"".join(chunks).decode().partition("\r\n\r\n")[2]
