"""Client for operators' requests to control hosts.

A submission is sent to one host after another, a status request to all of them at once.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Sequence
from typing import Any

from lacewingrudder_core.clock import HybridTime
from lacewingrudder_core.messages import (
    OperatorReply,
    OperatorRequest,
    ReadConfiguration,
    Status,
    StatusRequest,
)
from lacewingrudder_core.notes import SubmitReply, SubmitTag
from lacewingrudder_core.types import Endpoint
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from .codec import MAX_MESSAGE_BYTES, Envelope, decode, encode
from .exceptions import CodecError, UnreachableError
from .handshake import OperatorHello

ANSWER_TIMEOUT_SECONDS = 5.0
STATUS_TIMEOUT_SECONDS = 2.0

_FINAL_TAGS = (SubmitTag.ACCEPTED, SubmitTag.CONFLICT, SubmitTag.INVALID)


def request(controls: Sequence[Endpoint], body: OperatorRequest) -> Any:
    """Send a request to control hosts and return the answer.

    A status request is sent to all hosts at once; an answer from a host that accepts notes is
    preferred. Any other request is sent to one host after another until one gives a final answer.
    If no host does, the returned reply says whether one may have accepted the request. A submission
    may safely be sent to several hosts, because it is applied only once. It is reported as refused
    only if it is certain that no host accepted it.

    :raises UnreachableError: if no host answers a status request.
    """
    if isinstance(body, StatusRequest):
        return asyncio.run(_Request(body).ask_status(controls))
    return asyncio.run(_Request(body).ask(controls))


class _Request:
    """A request and its outcome at the hosts asked so far."""

    def __init__(self, body: OperatorRequest) -> None:
        self._body = body
        self._was_sent = False
        self._may_be_accepted = False
        self._problems: list[str] = []

    async def ask_status(self, controls: Sequence[Endpoint]) -> Status:
        """Ask all hosts concurrently; prefer the first answer from a host that accepts notes."""
        tasks = [asyncio.create_task(self._try_host(endpoint)) for endpoint in controls]
        best_answer: Status | None = None
        with contextlib.suppress(TimeoutError):
            for done in asyncio.as_completed(tasks, timeout=STATUS_TIMEOUT_SECONDS):
                answer = await done
                if isinstance(answer, Status) and answer.accepting:
                    best_answer = answer
                    break
                if isinstance(answer, Status):
                    best_answer = answer
                elif isinstance(answer, OperatorReply):
                    self._problems.append(answer.reply.detail)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if best_answer is None:
            raise UnreachableError(f"no control host answered: {self._problem_text}")
        return best_answer

    async def ask(self, controls: Sequence[Endpoint]) -> Any:
        refusal: Any = None
        for endpoint in controls:
            answer = await self._try_host(endpoint)
            if answer is None:
                continue
            if not isinstance(answer, OperatorReply) or answer.reply.tag in _FINAL_TAGS:
                return answer
            if answer.reply.tag is SubmitTag.UNKNOWN:
                self._may_be_accepted = True
                self._problems.append(f"{endpoint}: {answer.reply.detail}")
            else:
                refusal = answer
        return refusal if refusal is not None and not self._may_be_accepted else self._outcome()

    @property
    def _problem_text(self) -> str:
        return "; ".join(self._problems)

    def _outcome(self) -> OperatorReply:
        if self._may_be_accepted:
            detail = f"may have been accepted; send it again: {self._problem_text}"
            return OperatorReply(SubmitReply(SubmitTag.UNKNOWN, 0, detail))
        detail = f"no control host answered: {self._problem_text}"
        return OperatorReply(SubmitReply(SubmitTag.REFUSED, 0, detail))

    async def _try_host(self, endpoint: Endpoint) -> Any:
        """Return the answer of a host, or ``None`` if the exchange fails."""
        self._was_sent = False
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                return await self._send(endpoint)
        except (OSError, TimeoutError, WebSocketException, CodecError) as error:
            self._problems.append(f"{endpoint}: {error or type(error).__name__}")
            is_submission = not isinstance(self._body, ReadConfiguration | StatusRequest)
            self._may_be_accepted |= self._was_sent and is_submission
        return None

    async def _send(self, endpoint: Endpoint) -> Any:
        async with connect(
            f"ws://{endpoint}", max_size=MAX_MESSAGE_BYTES, compression=None, proxy=None
        ) as connection:
            await connection.recv()
            await connection.send(encode(Envelope(_now(), OperatorHello())))
            data = encode(Envelope(_now(), self._body))
            self._was_sent = True
            await connection.send(data)
            answer = await connection.recv()
            if isinstance(answer, str):
                raise CodecError("expected a binary message, got text")
            return decode(answer).body


def _now() -> HybridTime:
    return HybridTime(int(time.time() * 1000), 0)
