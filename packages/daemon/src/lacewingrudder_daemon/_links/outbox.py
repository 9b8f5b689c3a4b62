"""The bounded queue of messages to one host."""

from __future__ import annotations

import asyncio
import collections
from typing import Any

from lacewingrudder_core import messages as m

OUTBOX_MESSAGES = 256

LATEST_WINS = (m.Ping, m.Subscribe, m.SubscribeReply)
WORTHLESS_LATER = (m.Ping, m.Ack, m.ProbeRequest, m.Subscribe, m.SubscribeReply)


class Outbox:
    """Keeps messages in order; of some kinds only the newest counts.

    :param limit: messages held at most; the oldest gives way.
    """

    def __init__(self, limit: int = OUTBOX_MESSAGES) -> None:
        self._limit = limit
        self._messages: collections.deque[Any] = collections.deque()
        self._is_filled = asyncio.Event()
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, body: Any) -> None:
        """Add a message."""
        if isinstance(body, LATEST_WINS):
            older = [other for other in self._messages if type(other) is type(body)]
            for other in older:
                self._messages.remove(other)
        if len(self._messages) >= self._limit:
            self._messages.popleft()
            self.dropped += 1
        self._messages.append(body)
        self._is_filled.set()

    async def get(self) -> Any:
        """Wait for the oldest message and take it out."""
        while not self._messages:
            self._is_filled.clear()
            await self._is_filled.wait()
        return self._messages.popleft()

    def put_back(self, body: Any) -> None:
        """Return a message that could not be sent to the front, unless its time is over."""
        kept = [other for other in self._messages if not isinstance(other, WORTHLESS_LATER)]
        if not isinstance(body, WORTHLESS_LATER) and len(kept) < self._limit:
            kept.insert(0, body)
        self._messages = collections.deque(kept)
