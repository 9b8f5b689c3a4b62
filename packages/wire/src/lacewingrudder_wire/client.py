"""Operators' requests to control hosts, one after another until one answers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from typing import Any

from lacewingrudder_core.clock import HybridTime
from lacewingrudder_core.messages import OperatorRequest
from lacewingrudder_core.types import Endpoint
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from .codec import MESSAGE_LIMIT_BYTES, Envelope, decode, encode
from .exceptions import CodecError, UnreachableError
from .handshake import OperatorHello

ANSWER_SECONDS = 5.0


def request(controls: Sequence[Endpoint], body: OperatorRequest) -> Any:
    """Return the answer of the first control host that gives one.

    :raises UnreachableError: if none does; a submission may then have been accepted.
    """
    return asyncio.run(_request(controls, body))


async def _request(controls: Sequence[Endpoint], body: OperatorRequest) -> Any:
    problems = []
    for endpoint in controls:
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                return await _ask(endpoint, body)
        except (OSError, TimeoutError, WebSocketException, CodecError) as error:
            problems.append(f"{endpoint}: {error or type(error).__name__}")
    raise UnreachableError("no control host answered: " + "; ".join(problems))


async def _ask(endpoint: Endpoint, body: OperatorRequest) -> Any:
    async with connect(
        f"ws://{endpoint}", max_size=MESSAGE_LIMIT_BYTES, compression=None, proxy=None
    ) as connection:
        for message in (OperatorHello(), body):
            await connection.send(encode(Envelope(_now(), message)))
        await connection.recv()
        data = await connection.recv()
        if isinstance(data, str):
            raise CodecError("text instead of bytes")
        return decode(data).body


def _now() -> HybridTime:
    return HybridTime(int(time.time() * 1000), 0)
