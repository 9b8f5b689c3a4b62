"""Simulates flows with requests against targets with slots, for :mod:`.placement`.

A flow sends its requests one after the other with a pause in between. A target works on as many
requests as it has slots and queues the others. Every flow has a home, which sees only its own
flows, as in the product; load reports of targets are not modelled.
"""

from __future__ import annotations

import heapq
import itertools
import random
import statistics
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from lacewingrudder_core.hashing import pair_hash
from lacewingrudder_core.notes import Catalogue
from lacewingrudder_core.routing import (
    HealthTracker,
    KindRoute,
    LeastConnections,
    LoadAwarePlacement,
    LoadTracker,
    ModuloPlacement,
    PlacementPolicy,
    TablePlacement,
    build_view,
)
from lacewingrudder_core.types import (
    Endpoint,
    Kind,
    KindPort,
    Member,
    Service,
    Target,
    TargetRecord,
    TargetState,
)

HOST_COUNT = 7
ZONES = ("adum", "suame", "ahodwo")
DURATION_SECONDS = 60.0
WARM_UP_SECONDS = 10.0
REQUESTS_PER_FLOW = 4
PAUSE_SECONDS = 1.0
WORK_SECONDS = 0.1
UTILISATION_SHARE = 0.7
SAMPLE_INTERVAL_SECONDS = 0.5
UNUSED_ENDPOINT = Endpoint(0x7F000001, 9)


class Scenario(NamedTuple):
    """The targets of one simulation.

    :param slots: number of slots of each target.
    :param slowdown: factor by which the first target is slower than the others.
    """

    name: str
    slots: tuple[int, ...]
    slowdown: float


SCENARIOS = (
    Scenario("even", (3,) * 7, 1.0),
    Scenario("mixed_slots", (2, 2, 3, 3, 4, 6, 6), 1.0),
    Scenario("slow_target", (3,) * 7, 3.0),
)
POLICIES: dict[str, Callable[[str], PlacementPolicy]] = {
    "": lambda zone: LoadAwarePlacement(zone, HealthTracker()),
    "baseline_table_": lambda zone: TablePlacement(),
    "baseline_plain_hash_": lambda zone: ModuloPlacement(),
    "baseline_least_connections_": lambda zone: LeastConnections(),
}


class Outcome(NamedTuple):
    """Results of one simulated policy.

    :param imbalance: highest open flows per slot of a target, divided by the mean of all targets;
        averaged over time.
    :param wait_ms: mean time that a request waits for a slot.
    :param wait_p99_ms: 99th percentile of the time that a request waits for a slot.
    :param pins_share: share of flows whose target differs from the placement table's choice.
    """

    imbalance: float
    wait_ms: float
    wait_p99_ms: float
    pins_share: float


class _Target:
    def __init__(self, slots: int, work_seconds: float) -> None:
        self.slots = slots
        self.work_seconds = work_seconds
        self.open_flows = 0
        self.busy_slot_count = 0
        self.queue: deque[_Flow] = deque()


class _Flow:
    def __init__(self, home: int, target: str) -> None:
        self.home = home
        self.target = target
        self.requests_left = REQUESTS_PER_FLOW
        self.requested_at = 0.0


def simulate(
    make_policy: Callable[[str], PlacementPolicy], scenario: Scenario, seed: int
) -> Outcome:
    """Simulate a policy in a scenario and return its results."""
    return _Simulation(make_policy, scenario, seed).run()


class _Simulation:
    def __init__(
        self, make_policy: Callable[[str], PlacementPolicy], scenario: Scenario, seed: int
    ) -> None:
        self._rng = random.Random(seed)
        self._route = _make_route(scenario)
        self._policies = [make_policy(ZONES[host % len(ZONES)]) for host in range(HOST_COUNT)]
        self._loads = [LoadTracker() for _ in range(HOST_COUNT)]
        self._targets = {
            name: _Target(slots, WORK_SECONDS * (scenario.slowdown if number == 0 else 1.0))
            for number, (name, slots) in enumerate(
                zip(sorted(self._route.records), scenario.slots, strict=True)
            )
        }
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()
        self._now = 0.0
        self._rate = UTILISATION_SHARE * sum(scenario.slots) / WORK_SECONDS / REQUESTS_PER_FLOW
        self._waits: list[float] = []
        self._imbalances: list[float] = []
        self._flow_count = 0
        self._pin_count = 0

    def run(self) -> Outcome:
        self._schedule_in(0.0, self._start_flow)
        self._schedule_in(WARM_UP_SECONDS, self._sample_imbalance)
        while self._events[0][0] < DURATION_SECONDS:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return Outcome(
            statistics.fmean(self._imbalances),
            statistics.fmean(self._waits) * 1000,
            statistics.quantiles(self._waits, n=100)[-1] * 1000,
            self._pin_count / self._flow_count,
        )

    def _schedule_in(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now + seconds, next(self._sequence_numbers), action))

    def _start_flow(self) -> None:
        self._schedule_in(self._rng.expovariate(self._rate), self._start_flow)
        digest = self._rng.getrandbits(64)
        home = pair_hash(digest, 1) % HOST_COUNT
        policy, loads = self._policies[home], self._loads[home]
        name = policy.choose(self._route, digest, 0, loads, self._now)
        assert name is not None
        self._flow_count += 1
        self._pin_count += name != self._route.table.choose(digest)
        loads.record_opened(name)
        self._targets[name].open_flows += 1
        self._send_request(_Flow(home, name))

    def _send_request(self, flow: _Flow) -> None:
        loads = self._loads[flow.home]
        loads.record_busy(flow.target)
        loads.answer_times.record_wait_start(flow.target, self._now)
        flow.requested_at = self._now
        self._targets[flow.target].queue.append(flow)
        self._start_requests(self._targets[flow.target])

    def _start_requests(self, target: _Target) -> None:
        while target.queue and target.busy_slot_count < target.slots:
            flow = target.queue.popleft()
            target.busy_slot_count += 1
            if self._now > WARM_UP_SECONDS:
                self._waits.append(self._now - flow.requested_at)
            seconds = self._rng.expovariate(1 / target.work_seconds)
            self._schedule_in(seconds, lambda flow=flow: self._finish_request(flow))  # type: ignore[misc]

    def _finish_request(self, flow: _Flow) -> None:
        target = self._targets[flow.target]
        target.busy_slot_count -= 1
        loads = self._loads[flow.home]
        loads.record_idle(flow.target)
        loads.answer_times.record_wait_end(flow.target, flow.requested_at, self._now)
        flow.requests_left -= 1
        if flow.requests_left:
            pause = self._rng.expovariate(1 / PAUSE_SECONDS)
            self._schedule_in(pause, lambda: self._send_request(flow))
        else:
            loads.record_closed(flow.target)
            target.open_flows -= 1
        self._start_requests(target)

    def _sample_imbalance(self) -> None:
        self._schedule_in(SAMPLE_INTERVAL_SECONDS, self._sample_imbalance)
        targets = self._targets.values()
        mean = sum(t.open_flows for t in targets) / sum(t.slots for t in targets)
        if mean:
            self._imbalances.append(max(t.open_flows / t.slots for t in targets) / mean)


def _make_route(scenario: Scenario) -> KindRoute:
    kind = Kind("edits", 443, 9, False, 0.5)
    service = Service("proofdesk", 0x0A0A0001, "secret", (kind,))
    members = [
        Member(f"entry-{host}", ZONES[host % len(ZONES)], 1, UNUSED_ENDPOINT, UNUSED_ENDPOINT)
        for host in range(HOST_COUNT)
    ]
    records = [_make_record(number, slots) for number, slots in enumerate(scenario.slots)]
    view = build_view(members, Catalogue(1, (service,)), records)
    return view.routes[Endpoint(service.address, kind.port)]


def _make_record(number: int, slots: int) -> TargetRecord:
    address = 0x0A0A0064 + number
    target = Target(
        str(Endpoint(address, 9000)),
        "proofdesk",
        ZONES[number % len(ZONES)],
        address,
        (KindPort("edits", 9000),),
        slots,
        2000,
        1,
    )
    return TargetRecord(target, TargetState.SERVING, 1, 0.0, "entry-0")
