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
PROCESSING_SECONDS = 0.045
SLOTS = 3
QUEUE_LENGTH = 8
REQUESTS_PER_FLOW = 3
PAUSE_BETWEEN_REQUESTS_SECONDS = 0.1
ONE_WAY_DELAY_SECONDS = 0.003
MAX_RETRIES = 2
RETRY_DELAY_SECONDS = 0.05


class LoadPhase(NamedTuple):
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
    def __init__(self, slowdown: float) -> None:
        self.slowdown = slowdown
        self.busy = 0
        self.queue: list[Callable[[], None]] = []


class OverloadModel:
    """Simulates flows of three requests each through several hosts.

    :param slowdown: factor on the processing time of each target.
    :param has_objective: whether routes have a latency objective; without one, no flow is refused.
    """

    def __init__(
        self, hosts: int, slowdown: list[float], has_objective: bool = True, seed: int = 1
    ) -> None:
        self._random = random.Random(seed)
        objective = OBJECTIVE_SECONDS if has_objective else None
        route = Route(EDITS, (Split("proofdesk", 1),), False, 8, objective)
        entries = [entry(number + 1) for number in range(len(slowdown))]
        self._hosts = [TagForwarder("adum") for _ in range(hosts)]
        for host in self._hosts:
            host.configure(configuration(1, route))
            host.apply_update(update(*entries), 0.0)
        self._targets = {row.identity: _Target(slowdown[row.identity - 1]) for row in entries}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._ports = itertools.count(1)
        self._now = 0.0
        self.outcomes: list[Outcome] = []
        self.refused = 0

    @property
    def capacity(self) -> float:
        """Requests per second that the targets can process."""
        return sum(SLOTS / (PROCESSING_SECONDS * row.slowdown) for row in self._targets.values())

    def run(self, phases: list[LoadPhase]) -> list[Outcome]:
        """Run the simulation and return the outcome of each request."""
        for phase in phases:
            rate, at = phase.load * self.capacity / REQUESTS_PER_FLOW, phase.begins
            while (at := at + self._random.expovariate(rate)) < phase.ends:
                self._schedule(at, lambda at=at: self._open_flow(at, REQUESTS_PER_FLOW, 0))
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self.outcomes

    def _schedule(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    def _open_flow(self, requested_at: float, requests: int, retries: int) -> None:
        host, port = self._random.choice(self._hosts), next(self._ports)
        placed = host.decide(syn(port), self._now)
        if isinstance(placed, Forwarded):
            flow = _Flow(host, port, placed)
            begin = self._now + 2 * ONE_WAY_DELAY_SECONDS
            self._schedule(begin, lambda: self._request(flow, requested_at, requests, retries))
        else:
            self.refused += 1
            self._retry(requested_at, requests, retries)

    def _retry(self, requested_at: float, requests: int, retries: int) -> None:
        if retries == MAX_RETRIES:
            self.outcomes.append(Outcome(requested_at, None))
        else:
            later = self._now + RETRY_DELAY_SECONDS
            self._schedule(later, lambda: self._open_flow(requested_at, requests, retries + 1))

    def _request(self, flow: _Flow, requested_at: float, requests: int, retries: int) -> None:
        flow.send(self._now)
        target = self._targets[flow.placed.identity]
        if target.busy >= SLOTS and len(target.queue) >= QUEUE_LENGTH:
            flow.acknowledge(self._now + 2 * ONE_WAY_DELAY_SECONDS)
            self._retry(requested_at, requests, retries)
            return
        done = lambda: self._record_answer(flow, requested_at, requests)  # noqa: E731
        if target.busy < SLOTS:
            self._process(target, done)
        else:
            target.queue.append(done)

    def _process(self, target: _Target, done: Callable[[], None]) -> None:
        target.busy += 1
        seconds = PROCESSING_SECONDS * target.slowdown * self._random.uniform(0.5, 1.5)

        def finish() -> None:
            target.busy -= 1
            if target.queue:
                self._process(target, target.queue.pop(0))
            done()

        self._schedule(self._now + seconds, finish)

    def _record_answer(self, flow: _Flow, requested_at: float, requests: int) -> None:
        flow.acknowledge(self._now + 2 * ONE_WAY_DELAY_SECONDS)
        self.outcomes.append(
            Outcome(requested_at, self._now + ONE_WAY_DELAY_SECONDS - requested_at)
        )
        if requests > 1:
            later = self._now + PAUSE_BETWEEN_REQUESTS_SECONDS
            self._schedule(later, lambda: self._request(flow, later, requests - 1, 0))


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
