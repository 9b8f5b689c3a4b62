"""A bounded queue of messages to one host."""

from __future__ import annotations

import asyncio
import collections
from typing import Any

from lacewingrudder_core import messages as m

MAX_OUTBOX_MESSAGES = 256

LATEST_WINS = (m.Ping, m.Subscribe, m.SubscribeReply)
DROPPED_ON_RETRY = (m.Ping, m.Ack, m.ProbeRequest, m.Subscribe, m.SubscribeReply)


class Outbox:
    """Queues messages in order; of the types in :data:`LATEST_WINS` it holds only the newest.

    :param limit: maximum number of messages; a full queue drops the oldest.
    """

    def __init__(self, limit: int = MAX_OUTBOX_MESSAGES) -> None:
        self._limit = limit
        self._messages: collections.deque[Any] = collections.deque()
        self._is_filled = asyncio.Event()
        self.dropped_count = 0

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, body: Any) -> None:
        """Append a message.

        A message of a type in :data:`LATEST_WINS` replaces the queued one of its type. A full queue
        drops its oldest message.
        """
        if isinstance(body, LATEST_WINS):
            older = [other for other in self._messages if type(other) is type(body)]
            for other in older:
                self._messages.remove(other)
        if len(self._messages) >= self._limit:
            self._messages.popleft()
            self.dropped_count += 1
        self._messages.append(body)
        self._is_filled.set()

    async def get(self) -> Any:
        """Wait for a message, then remove and return the oldest."""
        while not self._messages:
            self._is_filled.clear()
            await self._is_filled.wait()
        return self._messages.popleft()

    def put_back(self, body: Any) -> None:
        """Put a message that could not be sent back at the front of the queue.

        Messages of the types in :data:`DROPPED_ON_RETRY` are dropped instead, queued ones included.
        """
        kept = [other for other in self._messages if not isinstance(other, DROPPED_ON_RETRY)]
        if not isinstance(body, DROPPED_ON_RETRY) and len(kept) < self._limit:
            kept.insert(0, body)
        self._messages = collections.deque(kept)
