"""Plays flows with requests against targets with slots, for :mod:`.placement`.

A flow sends its requests one after the other with a pause in between. A target works on as many
requests as it has slots and lets the others wait. Every flow has a home, which sees its own flows
only, as in the product; reports of load never arrive.
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

HOSTS = 7
ZONES = ("adum", "suame", "ahodwo")
SECONDS = 60.0
WARM_UP_SECONDS = 10.0
REQUESTS = 4
PAUSE_SECONDS = 1.0
WORK_SECONDS = 0.1
UTILISATION = 0.7
SAMPLE_SECONDS = 0.5
NOWHERE = Endpoint(0x7F000001, 9)


class Scenario(NamedTuple):
    """Targets to play against.

    :param slots: of each target.
    :param slow: how many times longer the first target takes than it should.
    """

    name: str
    slots: tuple[int, ...]
    slow: float


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
    """What a policy did.

    :param imbalance: open flows for each slot, highest over mean, mean over time.
    :param wait_ms: mean time a request waits for a slot.
    :param wait_p99_ms: the same at the 99th percentile.
    :param pins_share: share of flows on another target than the table's.
    """

    imbalance: float
    wait_ms: float
    wait_p99_ms: float
    pins_share: float


class _Target:
    def __init__(self, slots: int, work: float) -> None:
        self.slots = slots
        self.work = work
        self.flows = 0
        self.busy = 0
        self.queue: deque[_Flow] = deque()


class _Flow:
    def __init__(self, home: int, target: str) -> None:
        self.home = home
        self.target = target
        self.left = REQUESTS
        self.asked = 0.0


def play(make: Callable[[str], PlacementPolicy], scenario: Scenario, seed: int) -> Outcome:
    """Return what a policy does in a scenario."""
    return _Play(make, scenario, seed).run()


class _Play:
    def __init__(
        self, make: Callable[[str], PlacementPolicy], scenario: Scenario, seed: int
    ) -> None:
        self._rng = random.Random(seed)
        self._route = _route(scenario)
        self._policies = [make(ZONES[host % len(ZONES)]) for host in range(HOSTS)]
        self._loads = [LoadTracker() for _ in range(HOSTS)]
        self._targets = {
            name: _Target(slots, WORK_SECONDS * (scenario.slow if number == 0 else 1.0))
            for number, (name, slots) in enumerate(
                zip(sorted(self._route.records), scenario.slots, strict=True)
            )
        }
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now = 0.0
        self._rate = UTILISATION * sum(scenario.slots) / WORK_SECONDS / REQUESTS
        self._waits: list[float] = []
        self._imbalances: list[float] = []
        self._placed = 0
        self._pins = 0

    def run(self) -> Outcome:
        self._later(0.0, self._arrive)
        self._later(WARM_UP_SECONDS, self._sample)
        while self._events[0][0] < SECONDS:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return Outcome(
            statistics.fmean(self._imbalances),
            statistics.fmean(self._waits) * 1000,
            statistics.quantiles(self._waits, n=100)[-1] * 1000,
            self._pins / self._placed,
        )

    def _later(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now + seconds, next(self._order), action))

    def _arrive(self) -> None:
        self._later(self._rng.expovariate(self._rate), self._arrive)
        digest = self._rng.getrandbits(64)
        home = pair_hash(digest, 1) % HOSTS
        policy, loads = self._policies[home], self._loads[home]
        name = policy.choose(self._route, digest, 0, loads, self._now)
        assert name is not None
        self._placed += 1
        self._pins += name != self._route.table.choose(digest)
        loads.opened(name)
        self._targets[name].flows += 1
        self._ask(_Flow(home, name))

    def _ask(self, flow: _Flow) -> None:
        loads = self._loads[flow.home]
        loads.became_busy(flow.target)
        loads.answer_times.asked(flow.target, self._now)
        flow.asked = self._now
        self._targets[flow.target].queue.append(flow)
        self._work(self._targets[flow.target])

    def _work(self, target: _Target) -> None:
        while target.queue and target.busy < target.slots:
            flow = target.queue.popleft()
            target.busy += 1
            if self._now > WARM_UP_SECONDS:
                self._waits.append(self._now - flow.asked)
            seconds = self._rng.expovariate(1 / target.work)
            self._later(seconds, lambda flow=flow: self._answer(flow))  # type: ignore[misc]

    def _answer(self, flow: _Flow) -> None:
        target = self._targets[flow.target]
        target.busy -= 1
        loads = self._loads[flow.home]
        loads.became_idle(flow.target)
        loads.answer_times.answered(flow.target, flow.asked, self._now)
        flow.left -= 1
        if flow.left:
            pause = self._rng.expovariate(1 / PAUSE_SECONDS)
            self._later(pause, lambda: self._ask(flow))
        else:
            loads.closed(flow.target)
            target.flows -= 1
        self._work(target)

    def _sample(self) -> None:
        self._later(SAMPLE_SECONDS, self._sample)
        targets = self._targets.values()
        mean = sum(t.flows for t in targets) / sum(t.slots for t in targets)
        if mean:
            self._imbalances.append(max(t.flows / t.slots for t in targets) / mean)


def _route(scenario: Scenario) -> KindRoute:
    kind = Kind("edits", 443, 9, False, 0.5)
    service = Service("proofdesk", 0x0A0A0001, "secret", (kind,))
    members = [
        Member(f"entry-{host}", ZONES[host % len(ZONES)], 1, NOWHERE, NOWHERE)
        for host in range(HOSTS)
    ]
    records = [_record(number, slots) for number, slots in enumerate(scenario.slots)]
    view = build_view(members, Catalogue(1, (service,)), records)
    return view.routes[Endpoint(service.address, kind.port)]


def _record(number: int, slots: int) -> TargetRecord:
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
