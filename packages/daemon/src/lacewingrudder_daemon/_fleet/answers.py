"""Matches asynchronous requests to a core with the answers it gives later."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Any, TypeVar

from lacewingrudder_core.latencies import LatencyHistogram

AnswerT = TypeVar("AnswerT")


class Answers:
    """Pending requests to a core, each identified by a token."""

    def __init__(self) -> None:
        self._tokens = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._seconds = LatencyHistogram()

    @property
    def seconds(self) -> LatencyHistogram:
        """Histogram of the time from a request to its answer."""
        return self._seconds

    async def ask(self, kind: type[AnswerT], hand_in: Callable[[int], None]) -> AnswerT:
        """Submit a request and wait for its answer.

        :param kind: expected class of the answer.
        :param hand_in: called with a new token; submits the request under it.
        """
        loop = asyncio.get_running_loop()
        asked = loop.time()
        token = next(self._tokens)
        future: asyncio.Future[Any] = loop.create_future()
        self._waiting[token] = future
        hand_in(token)
        try:
            answer = await future
            assert isinstance(answer, kind)
            return answer
        finally:
            del self._waiting[token]
            self._seconds.observe(loop.time() - asked)

    def give(self, token: int, body: Any) -> None:
        """Resolve the request with this token, unless its caller no longer waits."""
        future = self._waiting.get(token)
        if future is not None and not future.done():
            future.set_result(body)
