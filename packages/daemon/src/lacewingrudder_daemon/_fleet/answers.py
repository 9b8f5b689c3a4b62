"""Requests that wait for a core's answer."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Any, TypeVar

from lacewingrudder_core.latencies import LatencyHistogram

AnswerT = TypeVar("AnswerT")


class Answers:
    """Hands requests to a core under tokens, and the answers back to those who wait."""

    def __init__(self) -> None:
        self._tokens = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._seconds = LatencyHistogram()

    @property
    def seconds(self) -> LatencyHistogram:
        """From a request to its answer."""
        return self._seconds

    async def ask(self, kind: type[AnswerT], hand_in: Callable[[int], None]) -> AnswerT:
        """Hand in a request under a token, and return the answer that carries it.

        :param kind: the class of the answer.
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
        """Give an answer to whoever still waits for it."""
        future = self._waiting.get(token)
        if future is not None and not future.done():
            future.set_result(body)
