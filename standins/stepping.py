"""Discrete-event simulation of many hosts' cores in one process, without sockets or asyncio."""

from __future__ import annotations

import abc
import heapq
import itertools
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

TICK_INTERVAL_SECONDS = 0.1
CHECK_INTERVAL_SECONDS = 0.01
LATENCY_RANGE_SECONDS = (0.001, 0.005)


class Sent(NamedTuple):
    """A message and the name of the host that it is sent to."""

    host: str
    body: Any


class Node(abc.ABC):
    """One host's core, with the interface that the simulation drives."""

    @abc.abstractmethod
    def tick(self, now: float) -> Iterable[Sent]:
        """Handle a tick and return the messages that the host sends."""

    @abc.abstractmethod
    def receive(self, sender: str, body: Any, now: float) -> Iterable[Sent]:
        """Handle a message and return the messages that the host sends."""


class Network:
    """Delivers messages between nodes in simulated time.

    :param nodes: the nodes by host name.
    :param seed: seeds latency, loss and the time of each host's first tick.
    :param loss: probability that a message is lost.
    :param on_message: called with the sender and the body of each message, lost ones included.
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
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, str, str, Any]] = []
        self._resume_times: dict[str, float] = {}
        self._is_blocked: Callable[[str, str], bool] = lambda sender, receiver: False
        for name in self.nodes:
            self._schedule(self._rng.uniform(0, TICK_INTERVAL_SECONDS), "", name, None)

    def add(self, name: str, node: Node) -> None:
        """Add a host, or replace one, and tick it now."""
        self.nodes[name] = node
        self._schedule(self.now, "", name, None)

    def kill(self, name: str) -> None:
        """Remove a host without a graceful shutdown."""
        del self.nodes[name]

    def pause(self, name: str, seconds: float) -> None:
        """Pause a host for some seconds, and delay its ticks and the messages to it until then."""
        self._resume_times[name] = self.now + seconds

    def block(self, is_blocked: Callable[[str, str], bool]) -> None:
        """Drop each message for which ``is_blocked``, called with sender and receiver, is true."""
        self._is_blocked = is_blocked

    def unblock(self) -> None:
        """Stop dropping messages by ``block``; random loss goes on."""
        self.block(lambda sender, receiver: False)

    def send(self, sender: str, messages: Iterable[Sent]) -> None:
        """Send messages on behalf of a host."""
        for message in messages:
            if self._on_message is not None:
                self._on_message(sender, message.body)
            is_lost = self._rng.random() < self._loss or self._is_blocked(sender, message.host)
            if not is_lost:
                delay = self._rng.uniform(*LATENCY_RANGE_SECONDS)
                self._schedule(self.now + delay, sender, message.host, message.body)

    def run(self, seconds: float) -> None:
        """Run for a number of simulated seconds."""
        self.run_until(lambda: False, seconds)

    def run_until(self, condition: Callable[[], bool], seconds: float) -> float | None:
        """Run until a condition holds; it is checked at most 100 times per simulated second.

        :return: the simulated seconds that passed, or ``None`` if the condition never held.
        """
        start = self.now
        next_check = start
        while self._events and self._events[0][0] <= start + seconds:
            at, _, sender, name, body = heapq.heappop(self._events)
            self.now = max(self.now, at)
            self._step(sender, name, body)
            if self.now >= next_check:
                next_check = self.now + CHECK_INTERVAL_SECONDS
                if condition():
                    return self.now - start
        self.now = start + seconds
        return None

    def _step(self, sender: str, name: str, body: Any) -> None:
        node = self.nodes.get(name)
        if node is None:
            return
        resume_time = self._resume_times.get(name, 0.0)
        if resume_time > self.now:
            self._schedule(resume_time, sender, name, body)
        elif body is None:
            self._schedule(self.now + TICK_INTERVAL_SECONDS, "", name, None)
            self.send(name, node.tick(self.now))
        else:
            self.send(name, node.receive(sender, body, self.now))

    def _schedule(self, at: float, sender: str, name: str, body: Any) -> None:
        heapq.heappush(self._events, (at, next(self._event_numbers), sender, name, body))
