"""Calls to control hosts, each on a connection of its own."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

import aiohttp

from standins.wire import Address

CALL_SECONDS = 1.0
"""How long targets and operators wait for an answer before they go to another host."""


class Answer(NamedTuple):
    """An answer; status 0 stands for none."""

    status: int
    body: bytes


class Caller:
    """Sends calls; use it as an asynchronous context manager."""

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=CALL_SECONDS),
        )

    async def __aenter__(self) -> Caller:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._session.close()

    async def call(self, to: Address, method: str, path: str, body: Any = None) -> Answer:
        """Send one call and return its answer."""
        data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        url = f"http://{to[0]}:{to[1]}{path}"
        try:
            async with self._session.request(method, url, data=data) as response:
                return Answer(response.status, await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Answer(0, b"")
