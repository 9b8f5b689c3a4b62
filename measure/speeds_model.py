"""A model of hosts that place requests on targets of different speed, which changes in the middle.

Each flow carries one request. A host knows only what passes through it. Some callers acknowledge
late, some requests take longer work, and a full target rejects at once.
"""

from __future__ import annotations

import abc
import collections
import functools
import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from lacewingrudder_core.checkins import LifeState, Lifetime, Position, TargetEntry, Update
from lacewingrudder_core.tagging import (
    Configuration,
    Forwarded,
    Route,
    Split,
    TagForwarder,
    TagSegment,
)
from lacewingrudder_core.types import Endpoint, FlowKey

SERVICE = "a"
CONTROL = "10.0.0.1:7720"
FIRST_TARGET_ADDRESS = Endpoint.parse("10.1.0.1:8080").address
FIRST_CALLER_ADDRESS = Endpoint.parse("100.64.0.1:1").address
CALLER_COUNT = 200
LATE_CALLER_SHARE = 0.1
LATE_SECONDS = 0.1

ZONE_COUNT = 4
TARGET_COUNT = 120
SLOTS = 2
QUEUE_LENGTH = 8
PROCESSING_SECONDS = 0.033
ONE_WAY_DELAY_SECONDS = 0.003
UPDATE_SECONDS = 0.5
TICK_SECONDS = 1.0
MAX_RETRIES = 2
RETRY_DELAY_SECONDS = 0.05

SLOWDOWNS = (2.0, 5.0, 8.0)
SLOW_SHARE = 0.15
STEEP_SHARE = 0.1
STEEP_SLOWDOWN = 4.0
"""Factor on the work of a steep target while its other slot is busy: it is full at half load."""

CHANGED_AT = 5.0
END_SECONDS = 10.0


class WorkKind(NamedTuple):
    """A kind of work.

    :param share: share of the requests.
    :param factor: length of its work, relative to the usual one.
    :param objective: latency objective in seconds.
    """

    endpoint: Endpoint
    share: float
    factor: float
    objective: float


KINDS = (
    WorkKind(Endpoint.parse("198.18.0.1:443"), 0.9, 1.0, 0.15),
    WorkKind(Endpoint.parse("198.18.0.1:8443"), 0.1, 3.0, 0.45),
)
MEAN_FACTOR = sum(kind.share * kind.factor for kind in KINDS)


class Outcome(NamedTuple):
    """Result of a request.

    :param at: time of the first attempt.
    :param is_in_time: whether it was answered within its objective.
    """

    at: float
    is_in_time: bool


class Target:
    """A target with slots and a queue.

    :ivar expected: requests that are on their way to it.
    """

    def __init__(self, number: int) -> None:
        endpoint = Endpoint(FIRST_TARGET_ADDRESS + number, 8080)
        self.entry = TargetEntry(
            Lifetime(f"i-{number}", 1),
            number,
            SERVICE,
            f"z{number % ZONE_COUNT}",
            endpoint,
            SLOTS,
            LifeState.READY,
            1,
            0,
            True,
        )
        self.expected = 0
        self.busy = 0
        self.queue: collections.deque[Callable[[], None]] = collections.deque()
        self.slowdown = 1.0
        self.is_steep = False

    def current_slowdown(self, busy: int) -> float:
        """Return the factor on the work of a request beside some number of busy slots."""
        return self.slowdown * (STEEP_SLOWDOWN if self.is_steep and busy else 1.0)


class Chooser(abc.ABC):
    """How an entry host chooses the target of a flow."""

    @abc.abstractmethod
    def choose(self, segment: TagSegment, now: float) -> tuple[Target, int] | None:
        """Return the target for a SYN with its flow tag, or ``None`` if the flow is refused."""

    @abc.abstractmethod
    def record_packet(self, segment: TagSegment, target: Target, now: float) -> None:
        """Record that a later packet of the flow passed."""

    @abc.abstractmethod
    def tick(self, now: float) -> None:
        """Run the timers."""


class OwnSamples(Chooser):
    """The choice of the product, by what this host sees itself.

    :param learns_speeds: the setting of the same name.
    """

    def __init__(
        self, zone: str, seed: int, targets: Sequence[Target], learns_speeds: bool
    ) -> None:
        self._targets = targets
        self._forwarder = TagForwarder(zone, seed, learns_speeds=learns_speeds)
        routes = {
            kind.endpoint: Route(kind.endpoint, (Split(SERVICE, 1),), False, 0, kind.objective)
            for kind in KINDS
        }
        self._forwarder.configure(Configuration(1, routes, 15.0))
        entries = tuple(target.entry for target in targets)
        self._forwarder.apply_update(self._update(0, entries), 0.0)

    def choose(self, segment: TagSegment, now: float) -> tuple[Target, int] | None:
        """Return the target for a SYN with its flow tag, or ``None`` if the flow is refused."""
        decision = self._forwarder.decide(segment, now)
        if not isinstance(decision, Forwarded):
            return None
        return self._targets[decision.identity], decision.tag

    def record_packet(self, segment: TagSegment, target: Target, now: float) -> None:
        """Record that a later packet of the flow passed."""
        self._forwarder.decide(segment, now)

    def tick(self, now: float) -> None:
        """Run the timers, with an update that changes nothing."""
        self._forwarder.apply_update(self._update(1), now)
        self._forwarder.tick(now)

    @staticmethod
    def _update(since: int, entries: tuple[TargetEntry, ...] = ()) -> Update:
        return Update(CONTROL, Position(1, 1), since, entries, 1, (CONTROL,))


class AllStates(Chooser):
    """The limit: the target that is done first, by the speeds and queues of all targets."""

    def __init__(self, targets: Sequence[Target], rng: random.Random) -> None:
        self._targets = targets
        self._random = rng

    def choose(self, segment: TagSegment, now: float) -> tuple[Target, int] | None:
        """Return the target that can answer first."""
        target = min(self._targets, key=self._cost)
        target.expected += 1
        return target, 1

    def _cost(self, target: Target) -> tuple[float, float]:
        count = target.expected + target.busy + len(target.queue)
        slowdown = target.current_slowdown(count)
        return max(1.0, (count + 1) / SLOTS) * slowdown, self._random.random()

    def record_packet(self, segment: TagSegment, target: Target, now: float) -> None:
        """Record that an expected request arrived."""
        if segment.payload:
            target.expected -= 1

    def tick(self, now: float) -> None:
        """Do nothing: there are no timers."""


class _Flow(NamedTuple):
    """A caller's flow, for one attempt at a request."""

    host: Chooser
    key: FlowKey
    kind: WorkKind
    requested_at: float
    retries: int
    lateness: float


class SpeedsModel:
    """Simulates requests while the slow targets change.

    :param load: request rate as a multiple of the capacity of targets of the usual speed.
    :param rule: ``current``, ``learned`` or ``all`` for complete knowledge.
    """

    def __init__(self, hosts: int, load: float, rule: str, seed: int) -> None:
        self._random = random.Random(seed)
        self._rate = load * TARGET_COUNT * SLOTS / (PROCESSING_SECONDS * MEAN_FACTOR)
        self.targets = [Target(number) for number in range(TARGET_COUNT)]
        self._change_speeds()
        self._choosers = [self._make_chooser(number, rule) for number in range(hosts)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._ports = itertools.count(1)
        self._now = 0.0
        self.outcomes: list[Outcome] = []
        self.rejections = 0

    def run(self) -> None:
        """Run the simulation; outcomes are recorded."""
        for chooser in self._choosers:
            self._tick(chooser, self._random.uniform(0, UPDATE_SECONDS))
        at = 0.0
        while (at := at + self._random.expovariate(self._rate)) < END_SECONDS:
            kind = self._random.choices(KINDS, [row.share for row in KINDS])[0]
            self._schedule(at, functools.partial(self._open_flow, kind, at, 0))
        self._schedule(CHANGED_AT, self._change_speeds)
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()

    def _make_chooser(self, number: int, rule: str) -> Chooser:
        if rule == "all":
            return AllStates(self.targets, self._random)
        seed = self._random.getrandbits(64)
        return OwnSamples(f"z{number % ZONE_COUNT}", seed, self.targets, rule == "learned")

    def _change_speeds(self) -> None:
        for target in self.targets:
            target.slowdown, target.is_steep = 1.0, False
        slow_count = round(SLOW_SHARE * TARGET_COUNT)
        steep_count = round(STEEP_SHARE * TARGET_COUNT)
        chosen = self._random.sample(self.targets, slow_count + steep_count)
        for target, slowdown in zip(chosen[:slow_count], itertools.cycle(SLOWDOWNS), strict=False):
            target.slowdown = slowdown
        for target in chosen[slow_count:]:
            target.is_steep = True

    def _tick(self, chooser: Chooser, delay: float = UPDATE_SECONDS) -> None:
        if self._now:
            chooser.tick(self._now)
        if self._now + delay < END_SECONDS:
            self._schedule(self._now + delay, functools.partial(self._tick, chooser))

    def _schedule(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    def _open_flow(self, kind: WorkKind, requested_at: float, retries: int) -> None:
        caller = self._random.randrange(CALLER_COUNT)
        number = next(self._ports)
        key = FlowKey(
            FIRST_CALLER_ADDRESS + caller,
            number,
            kind.endpoint.address,
            kind.endpoint.port,
        )
        host = self._random.choice(self._choosers)
        lateness = LATE_SECONDS if caller < LATE_CALLER_SHARE * CALLER_COUNT else 0.0
        flow = _Flow(host, key, kind, requested_at, retries, lateness)
        found = host.choose(TagSegment(key, 0, True, False, 0, 0, 1, 0), self._now)
        if found is None:
            self._retry(flow)
            return
        at = self._now + 2 * ONE_WAY_DELAY_SECONDS
        self._schedule(at, functools.partial(self._request, flow, *found))

    def _retry(self, flow: _Flow) -> None:
        if flow.retries == MAX_RETRIES:
            self.outcomes.append(Outcome(flow.requested_at, False))
            return
        again = functools.partial(self._open_flow, flow.kind, flow.requested_at, flow.retries + 1)
        self._schedule(self._now + RETRY_DELAY_SECONDS, again)

    def _request(self, flow: _Flow, target: Target, tag: int) -> None:
        flow.host.record_packet(
            TagSegment(flow.key, tag, False, False, 0, 100, 2, 1), target, self._now
        )
        if target.busy >= SLOTS and len(target.queue) >= QUEUE_LENGTH:
            self.rejections += 1
            at = self._now + 2 * ONE_WAY_DELAY_SECONDS
            self._schedule(at, functools.partial(self._end_flow, flow, target, tag))
            self._schedule(at, functools.partial(self._retry, flow))
            return

        def done() -> None:
            seconds = self._now + ONE_WAY_DELAY_SECONDS - flow.requested_at
            self.outcomes.append(Outcome(flow.requested_at, seconds <= flow.kind.objective))
            at = self._now + 2 * ONE_WAY_DELAY_SECONDS + flow.lateness
            self._schedule(at, functools.partial(self._end_flow, flow, target, tag))

        process = functools.partial(self._process, target, flow.kind.factor, done)
        if target.busy < SLOTS:
            process()
        else:
            target.queue.append(process)

    def _end_flow(self, flow: _Flow, target: Target, tag: int) -> None:
        last = TagSegment(flow.key, tag, False, True, 0, 0, 102, 1000)
        flow.host.record_packet(last, target, self._now)

    def _process(self, target: Target, factor: float, done: Callable[[], None]) -> None:
        slowdown = target.current_slowdown(target.busy)
        target.busy += 1

        def finish() -> None:
            target.busy -= 1
            if target.queue:
                target.queue.popleft()()
            done()

        seconds = PROCESSING_SECONDS * factor * slowdown * self._random.uniform(0.5, 1.5)
        self._schedule(self._now + seconds, finish)
