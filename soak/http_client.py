"""HTTP client for calls and readiness probes; opens a connection per request."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from typing import Any, NamedTuple

import aiohttp

from standins.wire import Address

REQUEST_TIMEOUT_SECONDS = 1.0
"""How long targets and operators wait for a response before they try another host."""

ABANDON_DELAY_SECONDS = 0.2
"""How long after a request its connection is reset whose response is not read."""

LINGER_RESET = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with a timeout of 0, so that closing the connection sends an RST."""


class Response(NamedTuple):
    """An HTTP response; status 0 if there was none."""

    status: int
    body: bytes


class HttpClient:
    """Sends HTTP requests; an asynchronous context manager."""

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS),
        )

    async def __aenter__(self) -> HttpClient:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._session.close()

    async def request(self, to: Address, method: str, path: str, body: Any = None) -> Response:
        """Send a request and return the response.

        A ``body`` that is not bytes is sent as JSON.
        """
        data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        url = f"http://{to[0]}:{to[1]}{path}"
        try:
            async with self._session.request(method, url, data=data) as response:
                return Response(response.status, await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Response(0, b"")

    async def request_and_abandon(self, to: Address, method: str, path: str, body: Any) -> None:
        """Send a request and reset the connection without reading the response."""
        data = json.dumps(body).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n"
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*to)
            writer.write(head.encode() + data)
            await asyncio.sleep(ABANDON_DELAY_SECONDS)
            reset_connection(writer)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, so that its peer doesn't take what it sent for received."""
    connection_socket = writer.get_extra_info("socket")
    connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()
