"""An entry host of a fleet on loopback addresses: where it listens, and what its metrics say."""

from __future__ import annotations

import contextlib
import socket
from typing import NamedTuple

SCRAPE_SECONDS = 1.0
"""How long a connection to the metrics address may take."""


class EntryHost(NamedTuple):
    """An entry host of the fleet."""

    name: str
    zone: str
    address: str

    @property
    def data(self) -> str:
        """Where it takes packets."""
        return f"{self.address}:4754"

    @property
    def listen(self) -> str:
        """Where it takes links."""
        return f"{self.address}:7000"

    @property
    def announce(self) -> str:
        """Where targets announce themselves."""
        return f"{self.address}:8080"

    @property
    def metrics(self) -> str:
        """Where its metrics are."""
        return f"{self.address}:9100"

    def metric(self, name: str) -> float:
        """Return the sum of a metric over its labels, or 0 if the host does not answer."""
        with contextlib.suppress(OSError):
            lines = _get(self.metrics, "/metrics").splitlines()
            values = [line.split()[-1] for line in lines if line.split("{")[0].split()[0] == name]
            return sum(float(value) for value in values)
        return 0.0


def _get(endpoint: str, path: str) -> str:
    address, _, port = endpoint.rpartition(":")
    with socket.create_connection((address, int(port)), timeout=SCRAPE_SECONDS) as connection:
        connection.sendall(f"GET {path} HTTP/1.0\r\nHost: {address}\r\n\r\n".encode())
        parts = iter(lambda: connection.recv(65536), b"")
        return b"".join(parts).decode().partition("\r\n\r\n")[2]
