"""HTTP client for calls and readiness probes; opens a connection per request."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

import aiohttp

from standins.wire import Address

REQUEST_TIMEOUT_SECONDS = 1.0
"""How long targets and operators wait for a response before they try another host."""


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
