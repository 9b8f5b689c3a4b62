"""Calls to control hosts, each on a connection of its own."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

import aiohttp

from standins.wire import Address

REQUEST_TIMEOUT_SECONDS = 1.0
"""How long targets and operators wait for an answer before they go to another host."""


class Response(NamedTuple):
    """An answer; status 0 stands for none."""

    status: int
    body: bytes


class HttpClient:
    """Sends calls; use it as an asynchronous context manager."""

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
        """Send one call and return its answer."""
        data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        url = f"http://{to[0]}:{to[1]}{path}"
        try:
            async with self._session.request(method, url, data=data) as response:
                return Response(response.status, await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Response(0, b"")
