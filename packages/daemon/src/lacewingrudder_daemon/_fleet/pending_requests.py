"""Matches asynchronous requests to a core with the answers it gives later."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Any, TypeVar

from lacewingrudder_core.latencies import LatencyHistogram

AnswerT = TypeVar("AnswerT")


class PendingRequests:
    """Pending requests to a core, each identified by a token."""

    def __init__(self) -> None:
        self._tokens = itertools.count(1)
        self._futures: dict[int, asyncio.Future[Any]] = {}
        self._latencies = LatencyHistogram()

    @property
    def latencies(self) -> LatencyHistogram:
        """Histogram of the seconds from each request to its answer or cancellation."""
        return self._latencies

    async def wait_for_answer(
        self,
        kind: type[AnswerT],
        submit: Callable[[int], None],
        withdraw: Callable[[int], None] | None = None,
    ) -> AnswerT:
        """Submit a request and wait for its answer.

        :param kind: expected class of the answer.
        :param submit: called with a new token; submits the request under it.
        :param withdraw: called with the token if the caller no longer waits.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        token = next(self._tokens)
        future: asyncio.Future[Any] = loop.create_future()
        self._futures[token] = future
        submit(token)
        try:
            answer = await future
            assert isinstance(answer, kind)
            return answer
        except asyncio.CancelledError:
            if withdraw is not None:
                withdraw(token)
            raise
        finally:
            del self._futures[token]
            self._latencies.observe(loop.time() - started)

    def resolve(self, token: int, body: Any) -> None:
        """Resolve the request with this token, unless its caller no longer waits."""
        future = self._futures.get(token)
        if future is not None and not future.done():
            future.set_result(body)
