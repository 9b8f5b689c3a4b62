"""Steps the decision cores of many hosts in one process, without sockets or asyncio."""

from __future__ import annotations

import abc
import heapq
import itertools
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

TICK_SECONDS = 0.1
LOOK_SECONDS = 0.01
LATENCY_SECONDS = (0.001, 0.005)


class Sent(NamedTuple):
    """A message that a host sends."""

    host: str
    body: Any


class Node(abc.ABC):
    """One host's core behind a common face."""

    @abc.abstractmethod
    def tick(self, now: float) -> Iterable[Sent]:
        """Tell the core of time."""

    @abc.abstractmethod
    def receive(self, sender: str, body: Any, now: float) -> Iterable[Sent]:
        """Hand a message to the core."""


class Network:
    """Carries messages between nodes in simulated time.

    :param nodes: by host name.
    :param loss: probability that a message is lost.
    :param on_message: told of each message that is sent.
    """

    def __init__(
        self,
        nodes: Mapping[str, Node],
        seed: int = 1,
        loss: float = 0.0,
        on_message: Callable[[str, Any], None] | None = None,
    ) -> None:
        self.nodes = dict(nodes)
        self.now = 0.0
        self._rng = random.Random(seed)
        self._loss = loss
        self._on_message = on_message
        self._order = itertools.count()
        self._events: list[tuple[float, int, str, str, Any]] = []
        self._thaws: dict[str, float] = {}
        self._blocked: Callable[[str, str], bool] = lambda sender, receiver: False
        for name in self.nodes:
            self._push(self._rng.uniform(0, TICK_SECONDS), "", name, None)

    def add(self, name: str, node: Node) -> None:
        """Start one more host now."""
        self.nodes[name] = node
        self._push(self.now, "", name, None)

    def kill(self, name: str) -> None:
        """End a host without a word."""
        del self.nodes[name]

    def freeze(self, name: str, seconds: float) -> None:
        """Stop a host for a time; what is sent to it waits."""
        self._thaws[name] = self.now + seconds

    def block(self, blocked: Callable[[str, str], bool]) -> None:
        """Lose all messages from a sender to a receiver for which ``blocked`` holds."""
        self._blocked = blocked

    def heal(self) -> None:
        """Lose no more messages than by chance."""
        self.block(lambda sender, receiver: False)

    def send(self, sender: str, messages: Iterable[Sent]) -> None:
        """Send messages on a host's behalf."""
        for message in messages:
            if self._on_message is not None:
                self._on_message(sender, message.body)
            is_lost = self._rng.random() < self._loss or self._blocked(sender, message.host)
            if not is_lost:
                delay = self._rng.uniform(*LATENCY_SECONDS)
                self._push(self.now + delay, sender, message.host, message.body)

    def run(self, seconds: float) -> None:
        """Step until a time has passed."""
        self.run_until(lambda: False, seconds)

    def run_until(self, reached: Callable[[], bool], seconds: float) -> float | None:
        """Step until a condition holds, looked at a hundred times a second.

        :return: seconds that passed, or ``None`` if the condition did not hold in time.
        """
        start = self.now
        next_look = start
        while self._events and self._events[0][0] <= start + seconds:
            at, _, sender, name, body = heapq.heappop(self._events)
            self.now = max(self.now, at)
            self._step(sender, name, body)
            if self.now >= next_look:
                next_look = self.now + LOOK_SECONDS
                if reached():
                    return self.now - start
        self.now = start + seconds
        return None

    def _step(self, sender: str, name: str, body: Any) -> None:
        node = self.nodes.get(name)
        if node is None:
            return
        thaw = self._thaws.get(name, 0.0)
        if thaw > self.now:
            self._push(thaw, sender, name, body)
        elif body is None:
            self._push(self.now + TICK_SECONDS, "", name, None)
            self.send(name, node.tick(self.now))
        else:
            self.send(name, node.receive(sender, body, self.now))

    def _push(self, at: float, sender: str, name: str, body: Any) -> None:
        heapq.heappush(self._events, (at, next(self._order), sender, name, body))
