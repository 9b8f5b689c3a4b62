"""Discrete-event simulation of callers, entry hosts and targets, for overload tests."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from checkin_fakes import EDITS, configuration, data, entry, syn, update
from lacewingrudder_core.tagging import Forwarded, Route, Split, TagForwarder

OBJECTIVE_SECONDS = 0.2
WORK_SECONDS = 0.045
SLOTS = 3
QUEUE = 8
REQUESTS = 3
PAUSE_SECONDS = 0.1
TRIP_SECONDS = 0.003
RETRIES = 2
RETRY_SECONDS = 0.05


class Burst(NamedTuple):
    """A period with new flows at a constant rate.

    :param load: rate as a multiple of the capacity of the targets.
    """

    load: float
    begins: float
    ends: float


class Outcome(NamedTuple):
    """Result of a request.

    :param at: time of the first attempt.
    :param seconds: response time, or ``None`` if it got no answer.
    """

    at: float
    seconds: float | None

    @property
    def is_in_time(self) -> bool:
        """Whether it was answered within its latency objective."""
        return self.seconds is not None and self.seconds <= OBJECTIVE_SECONDS


class _Target:
    def __init__(self, slowness: float) -> None:
        self.slowness = slowness
        self.busy = 0
        self.queue: list[Callable[[], None]] = []


class OverloadModel:
    """Simulates flows of three requests each through several hosts.

    :param slowness: factor on the processing time of each target.
    :param is_guarded: whether routes have a latency objective; without one, no flow is refused.
    """

    def __init__(
        self, hosts: int, slowness: list[float], is_guarded: bool = True, seed: int = 1
    ) -> None:
        self._random = random.Random(seed)
        objective = OBJECTIVE_SECONDS if is_guarded else None
        route = Route(EDITS, (Split("proofdesk", 1),), False, 8, objective)
        entries = [entry(number + 1) for number in range(len(slowness))]
        self._hosts = [TagForwarder("adum") for _ in range(hosts)]
        for host in self._hosts:
            host.configure(configuration(1, route))
            host.update(update(*entries), 0.0)
        self._targets = {row.identity: _Target(slowness[row.identity - 1]) for row in entries}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._ports = itertools.count(1)
        self._now = 0.0
        self.outcomes: list[Outcome] = []
        self.refused = 0

    @property
    def capacity(self) -> float:
        """Requests per second that the targets can process."""
        return sum(SLOTS / (WORK_SECONDS * row.slowness) for row in self._targets.values())

    def run(self, bursts: list[Burst]) -> list[Outcome]:
        """Run the simulation and return the outcome of each request."""
        for burst in bursts:
            rate, at = burst.load * self.capacity / REQUESTS, burst.begins
            while (at := at + self._random.expovariate(rate)) < burst.ends:
                self._at(at, lambda at=at: self._open(at, REQUESTS, 0))
        while self._events:
            self._now, _, step = heapq.heappop(self._events)
            step()
        return self.outcomes

    def _at(self, when: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), step))

    def _open(self, asked: float, requests: int, tries: int) -> None:
        host, port = self._random.choice(self._hosts), next(self._ports)
        placed = host.decide(syn(port), self._now)
        if isinstance(placed, Forwarded):
            flow = _Flow(host, port, placed)
            begin = self._now + 2 * TRIP_SECONDS
            self._at(begin, lambda: self._ask(flow, asked, requests, tries))
        else:
            self.refused += 1
            self._again(asked, requests, tries)

    def _again(self, asked: float, requests: int, tries: int) -> None:
        if tries == RETRIES:
            self.outcomes.append(Outcome(asked, None))
        else:
            later = self._now + RETRY_SECONDS
            self._at(later, lambda: self._open(asked, requests, tries + 1))

    def _ask(self, flow: _Flow, asked: float, requests: int, tries: int) -> None:
        flow.send(self._now)
        target = self._targets[flow.placed.identity]
        if target.busy >= SLOTS and len(target.queue) >= QUEUE:
            flow.acknowledge(self._now + 2 * TRIP_SECONDS)
            self._again(asked, requests, tries)
            return
        done = lambda: self._answered(flow, asked, requests)  # noqa: E731
        if target.busy < SLOTS:
            self._work(target, done)
        else:
            target.queue.append(done)

    def _work(self, target: _Target, done: Callable[[], None]) -> None:
        target.busy += 1
        seconds = WORK_SECONDS * target.slowness * self._random.uniform(0.5, 1.5)

        def finish() -> None:
            target.busy -= 1
            if target.queue:
                self._work(target, target.queue.pop(0))
            done()

        self._at(self._now + seconds, finish)

    def _answered(self, flow: _Flow, asked: float, requests: int) -> None:
        flow.acknowledge(self._now + 2 * TRIP_SECONDS)
        self.outcomes.append(Outcome(asked, self._now + TRIP_SECONDS - asked))
        if requests > 1:
            later = self._now + PAUSE_SECONDS
            self._at(later, lambda: self._ask(flow, later, requests - 1, 0))


class _Flow:
    """A caller's end of an open flow."""

    def __init__(self, host: TagForwarder, port: int, placed: Forwarded) -> None:
        self._host = host
        self._port = port
        self._sequence = 2
        self._acknowledged = 1
        self.placed = placed

    def send(self, now: float) -> None:
        """Send a request."""
        packet = data(self._port, self.placed.tag, self._sequence, self._acknowledged)
        self._host.decide(packet, now)
        self._sequence += packet.payload

    def acknowledge(self, now: float) -> None:
        """Acknowledge an answer."""
        self._acknowledged += 1000
        packet = data(self._port, self.placed.tag, self._sequence, self._acknowledged)
        self._host.decide(packet._replace(payload=0), now)
