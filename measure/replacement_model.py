"""A model of callers, entry hosts, a control host and targets, two of which are replaced.

Each flow carries one request. Hosts choose targets by their own counts and don't know each other's;
what they learn from the control host comes from the product's core.
"""

from __future__ import annotations

import abc
import collections
import functools
import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from lacewingrudder_core.checkins import (
    LifeState,
    Lifetime,
    Position,
    SilenceQuery,
    SilenceReport,
    TargetEntry,
    Update,
)
from lacewingrudder_core.tagging import (
    SYN_ANSWER_TIMEOUT_SECONDS,
    Configuration,
    Forwarded,
    Route,
    Split,
    TagForwarder,
    TagSegment,
    flow_tag,
)
from lacewingrudder_core.types import Endpoint, FlowKey, ZoneName

from .control_model import CONTROL, HEARTBEAT_SECONDS, ControlModel, Subscriber

SERVICE = "a"
ROUTE_ENDPOINT = Endpoint.parse("198.18.0.1:443")
CALLER_ADDRESS = Endpoint.parse("100.64.0.1:1").address
FIRST_TARGET_ENDPOINT = Endpoint.parse("10.1.0.1:8080")

SLOTS = 2
QUEUE_LENGTH = 8
PROCESSING_SECONDS = 0.033
WARMUP_SECONDS = 2.0
WARMUP_SLOWDOWN = 1.6
OBJECTIVE_SECONDS = 0.15
ONE_WAY_DELAY_SECONDS = 0.003
SYN_RETRANSMISSION_SECONDS = (0.2, 0.6)
SYN_TIMEOUT_SECONDS = 1.4
MAX_RETRIES = 2
RETRY_DELAY_SECONDS = 0.05

REPLACED_COUNT = 2
FAILED_AT = 4.0
REPLACED_AT = 4.5
END_SECONDS = 12.0


class ModelSize(NamedTuple):
    """Numbers of entry hosts and targets, spread over the zones."""

    hosts: int
    targets: int
    zones: int


class Outage(NamedTuple):
    """A time in which no entry host runs; then they return one after another.

    Packets are spread over the hosts that run, so that flows move when one returns.

    :param ends: when the first host returns.
    :param interval: time from the return of a host to that of the next.
    """

    begins: float
    ends: float
    interval: float = 0.0

    def count_running(self, hosts: int, now: float) -> int:
        """Return how many hosts run at some time."""
        if not self.begins <= now < self.ends + hosts * self.interval:
            return hosts
        return 0 if now < self.ends else 1 + int((now - self.ends) / self.interval)


class Conditions(NamedTuple):
    """What happens in a run.

    :param replaces_targets: whether two targets are replaced.
    :param is_reporting: whether hosts report silent targets.
    :param loss: share of the SYNs that are lost on the way.
    :param outage: when all entry hosts are down.
    :param started_ms: start time of the targets. Hosts consider equal targets in an order that
        follows a hash of it.
    """

    replaces_targets: bool = True
    is_reporting: bool = True
    loss: float = 0.0
    outage: Outage = Outage(0.0, 0.0)
    started_ms: int = 1


REPLACEMENT = Conditions()


class Outcome(NamedTuple):
    """Result of a request.

    :param at: time of the first attempt.
    :param seconds: response time, or ``None`` if it got no answer.
    """

    at: float
    seconds: float | None

    @property
    def is_in_time(self) -> bool:
        """Whether it was answered within the objective."""
        return self.seconds is not None and self.seconds <= OBJECTIVE_SECONDS


class Target:
    """A target with slots and a queue, which is slow while it warms up."""

    def __init__(self, entry: TargetEntry, warmed_up_at: float) -> None:
        self.entry = entry
        self.warmed_up_at = warmed_up_at
        self.is_silent = False
        self.expected = 0
        self.busy = 0
        self.queue: collections.deque[Callable[[], None]] = collections.deque()

    def slowdown(self, now: float) -> float:
        """Return the factor on processing times."""
        return WARMUP_SLOWDOWN if now < self.warmed_up_at else 1.0


class Choice(Subscriber):
    """How an entry host chooses the target of a flow."""

    @abc.abstractmethod
    def choose(self, segment: TagSegment, now: float) -> Target | None:
        """Return the target for a SYN, or ``None`` if it is refused."""

    @abc.abstractmethod
    def record_packet(self, segment: TagSegment, target: Target, now: float) -> None:
        """Record that a later packet of the flow passed."""

    @abc.abstractmethod
    def pop_reports(self, now: float) -> list[SilenceReport]:
        """Return the reports of targets that left a SYN unanswered."""


class OwnCounts(Choice):
    """The choice of the product: each host by what it sees itself, and by what others report."""

    def __init__(self, zone: ZoneName, seed: int, targets: dict[int, Target]) -> None:
        super().__init__(zone)
        self._targets = targets
        route = Route(ROUTE_ENDPOINT, (Split(SERVICE, 1),), False, 0, OBJECTIVE_SECONDS)
        self._forwarder = TagForwarder(zone, seed)
        self._forwarder.configure(Configuration(1, {ROUTE_ENDPOINT: route}, 15.0))

    def choose(self, segment: TagSegment, now: float) -> Target | None:
        """Return the target for a SYN, or ``None`` if it is refused."""
        decision = self._forwarder.decide(segment, now)
        if not isinstance(decision, Forwarded):
            return None
        return self._targets[decision.identity]

    def record_packet(self, segment: TagSegment, target: Target, now: float) -> None:
        """Record that a later packet of the flow passed."""
        tag = flow_tag(target.entry.lifetime)
        self._forwarder.decide(segment._replace(tag=tag), now)

    def apply_update(self, update: Update, now: float) -> None:
        """Apply a published change of the targets."""
        self._forwarder.apply_update(update, now)

    @property
    def position(self) -> Position:
        """Position up to which updates are applied."""
        return self._forwarder.views.position(CONTROL)

    def pop_reports(self, now: float) -> list[SilenceReport]:
        """Return the reports of targets that left a SYN unanswered."""
        return self._forwarder.pop_silent_targets(now)

    def has_answered(self, query: SilenceQuery, now: float) -> bool:
        """Return whether a target answered what was sent after the silence began."""
        return self._forwarder.has_answered(query, now)


class AllCounts(Choice):
    """The limit: the target that is done first, by the queues of all running targets."""

    def __init__(self, zone: ZoneName, targets: dict[int, Target], rng: random.Random) -> None:
        super().__init__(zone)
        self._position = Position(0, 0)
        self._targets = targets
        self._random = rng

    def choose(self, segment: TagSegment, now: float) -> Target | None:
        """Return the target that can answer first."""
        running = [target for target in self._targets.values() if not target.is_silent]
        chosen = min(running, key=lambda t: self._cost(t, now))
        chosen.expected += 1
        return chosen

    def _cost(self, target: Target, now: float) -> tuple[float, float]:
        count = target.expected + target.busy + len(target.queue) + 1
        return max(1.0, count / SLOTS) * target.slowdown(now), self._random.random()

    def record_packet(self, segment: TagSegment, target: Target, now: float) -> None:
        """Record that an expected request arrived."""
        if segment.payload:
            target.expected -= 1

    def apply_update(self, update: Update, now: float) -> None:
        """Only confirm the update: the targets are known."""
        self._position = update.position

    @property
    def position(self) -> Position:
        """Position up to which updates are applied."""
        return self._position

    def pop_reports(self, now: float) -> list[SilenceReport]:
        """Return no reports: silent targets are known."""
        return []

    def has_answered(self, query: SilenceQuery, now: float) -> bool:
        """Return ``False``: there are no reports to refute."""
        return False


class _Flow(NamedTuple):
    """A caller's flow, for one attempt at a request.

    :param number: decides which host receives its packets.
    """

    number: int
    port: int
    requested_at: float
    retries: int


class ReplacementModel:
    """Simulates requests while two targets fall silent and two cold ones start.

    :param load: request rate as a multiple of the capacity of all targets.
    :param knows_all: whether hosts choose by the state of all targets.
    """

    def __init__(
        self,
        size: ModelSize,
        load: float,
        knows_all: bool,
        seed: int,
        conditions: Conditions = REPLACEMENT,
    ) -> None:
        self._conditions = conditions
        self._random = random.Random(seed)
        self._size = size
        self._rate = load * size.targets * SLOTS / PROCESSING_SECONDS
        self.targets = {number: self._make_target(number, 0) for number in range(size.targets)}
        zones = [f"z{number % size.zones}" for number in range(size.hosts)]
        self._hosts: list[Choice] = [
            (
                AllCounts(zone, self.targets, self._random)
                if knows_all
                else OwnCounts(zone, self._random.getrandbits(64), self.targets)
            )
            for zone in zones
        ]
        self._control = ControlModel(self._hosts, self._schedule, lambda: self._now)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._ports = itertools.count(1)
        self._now = 0.0
        self.outcomes: list[Outcome] = []
        self.placements: list[tuple[float, int]] = []
        self.refusals: list[float] = []

    def run(self) -> None:
        """Run the simulation; outcomes and placements are recorded."""
        self._control.run_until(END_SECONDS)
        for target in list(self.targets.values()):
            self._send_heartbeats(target, self._random.uniform(0, HEARTBEAT_SECONDS))
        at = 0.0
        while (at := at + self._random.expovariate(self._rate)) < END_SECONDS:
            self._schedule(at, functools.partial(self._open_flow, at, 0))
        if self._conditions.replaces_targets:
            self._schedule(FAILED_AT, self._silence_targets)
            self._schedule(REPLACED_AT, self._start_targets)
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()

    def _make_target(self, number: int, warmup_ms: int, warmed_up_at: float = 0.0) -> Target:
        endpoint = Endpoint(FIRST_TARGET_ENDPOINT.address + number, FIRST_TARGET_ENDPOINT.port)
        zone, lifetime = f"z{number % self._size.zones}", Lifetime(
            f"i-{number}", self._conditions.started_ms
        )
        entry = TargetEntry(
            lifetime, number, SERVICE, zone, endpoint, SLOTS, LifeState.READY, 1, warmup_ms, True
        )
        return Target(entry, warmed_up_at)

    def _send_heartbeats(self, target: Target, seconds_to_next: float = HEARTBEAT_SECONDS) -> None:
        if target.is_silent:
            return
        self._control.check_in(target.entry)
        at = self._now + seconds_to_next
        if at < END_SECONDS:
            self._schedule(at, functools.partial(self._send_heartbeats, target))

    def _report_silence(self, number: int) -> None:
        if not self._conditions.is_reporting:
            return
        for report in self._hosts[number].pop_reports(self._now):
            self._control.receive_report(number, report)

    def _silence_targets(self) -> None:
        for number in range(REPLACED_COUNT):
            self.targets[number].is_silent = True

    def _start_targets(self) -> None:
        first = max(self.targets) + 1
        numbers = range(first, first + REPLACED_COUNT)
        warmed_up_at = self._now + WARMUP_SECONDS
        for number in numbers:
            warmup_ms = int(WARMUP_SECONDS * 1000)
            self.targets[number] = self._make_target(number, warmup_ms, warmed_up_at)
            self._send_heartbeats(self.targets[number])

    def _schedule(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    def _get_host(self, number: int) -> Choice | None:
        """Return the host that receives the packets of a flow now, if any runs."""
        running = self._conditions.outage.count_running(len(self._hosts), self._now)
        return self._hosts[number % running] if running else None

    def _open_flow(self, requested_at: float, retries: int) -> None:
        number = self._random.randrange(len(self._hosts))
        self._send_syn(_Flow(number, next(self._ports), requested_at, retries), 0)
        at = self._now + SYN_ANSWER_TIMEOUT_SECONDS
        self._schedule(at, functools.partial(self._report_silence, number))

    def _send_syn(self, flow: _Flow, attempt: int) -> None:
        host = self._get_host(flow.number)
        if host is None:
            self._repeat_syn(flow, attempt)
            return
        target = host.choose(_segment(flow.port, is_syn=True, attempt=attempt), self._now)
        if target is None:
            self.refusals.append(self._now)
            self._retry(flow)
            return
        if not attempt:
            self.placements.append((self._now, target.entry.identity))
        is_lost = self._random.random() < self._conditions.loss
        if not target.is_silent and not is_lost:
            at = self._now + 2 * ONE_WAY_DELAY_SECONDS
            self._schedule(at, functools.partial(self._request, flow, target))
        else:
            self._repeat_syn(flow, attempt)

    def _repeat_syn(self, flow: _Flow, attempt: int) -> None:
        if attempt < len(SYN_RETRANSMISSION_SECONDS):
            delay = SYN_RETRANSMISSION_SECONDS[attempt] - (0.2 if attempt else 0.0)
            again = functools.partial(self._send_syn, flow, attempt + 1)
            self._schedule(self._now + delay, again)
        else:
            later = self._now + SYN_TIMEOUT_SECONDS - SYN_RETRANSMISSION_SECONDS[-1]
            self._schedule(later, functools.partial(self._retry, flow))

    def _retry(self, flow: _Flow) -> None:
        if flow.retries == MAX_RETRIES:
            self.outcomes.append(Outcome(flow.requested_at, None))
        else:
            again = functools.partial(self._open_flow, flow.requested_at, flow.retries + 1)
            self._schedule(self._now + RETRY_DELAY_SECONDS, again)

    def _request(self, flow: _Flow, target: Target) -> None:
        self._pass_packet(flow, target, _segment(flow.port, payload=100))
        if target.is_silent:
            self._retry(flow)
            return
        if target.busy >= SLOTS and len(target.queue) >= QUEUE_LENGTH:
            self._end_flow(flow, target)
            self._retry(flow)
            return

        def done() -> None:
            seconds = self._now + ONE_WAY_DELAY_SECONDS - flow.requested_at
            self.outcomes.append(Outcome(flow.requested_at, seconds))
            at = self._now + 2 * ONE_WAY_DELAY_SECONDS
            self._schedule(at, functools.partial(self._end_flow, flow, target))

        if target.busy < SLOTS:
            self._process(target, done)
        else:
            target.queue.append(done)

    def _end_flow(self, flow: _Flow, target: Target) -> None:
        last = _segment(flow.port, acknowledged=1000, is_last=True)
        self._pass_packet(flow, target, last)

    def _pass_packet(self, flow: _Flow, target: Target, segment: TagSegment) -> None:
        host = self._get_host(flow.number)
        if host is not None:
            host.record_packet(segment, target, self._now)

    def _process(self, target: Target, done: Callable[[], None]) -> None:
        target.busy += 1
        seconds = PROCESSING_SECONDS * target.slowdown(self._now) * self._random.uniform(0.5, 1.5)

        def finish() -> None:
            target.busy -= 1
            if target.queue:
                self._process(target, target.queue.popleft())
            done()

        self._schedule(self._now + seconds, finish)


def _segment(
    port: int,
    is_syn: bool = False,
    attempt: int = 0,
    payload: int = 0,
    acknowledged: int = 1,
    is_last: bool = False,
) -> TagSegment:
    flow = FlowKey(
        CALLER_ADDRESS + port // 60_000,
        1 + port % 60_000,
        ROUTE_ENDPOINT.address,
        ROUTE_ENDPOINT.port,
    )
    return TagSegment(flow, 0, is_syn, is_last, attempt, payload, 2, acknowledged)
