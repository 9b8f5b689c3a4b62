"""What the other work keeps while one kind of work floods, in virtual time and with fixed seeds.

The schedule is the brief's: first the least urgent kind floods, then the most urgent, at several
multiples of the service's capacity, steady and in bursts, and once with a target lost and once with
one cold in the middle. The other kinds ask for a part of their guarantee. Goal, stated before the
first run: they keep at least 99% of their demand, and no long flow breaks, at every step.
"""

from __future__ import annotations

import enum
import itertools
import random
import statistics
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from lacewingrudder_core.admission import (
    AdmissionPolicy,
    AdmitAll,
    ShareAdmission,
    SharedLimitAdmission,
)

from standins.firms import FIRMS, GANTS_LAURENTIDE, FirmShape, KindShape, ServiceShape

from .flood_model import FloodModel, FlowPlan, kind_endpoint

POLICIES: dict[str, Callable[[], AdmissionPolicy]] = {
    "": ShareAdmission,
    "baseline_none_": AdmitAll,
    "baseline_shared_": SharedLimitAdmission,
}
MULTIPLES = (2, 5, 20)
FAULT_MULTIPLE = 5
KEPT_GOAL = 0.99
WORK_SECONDS = 0.1
WARM_UP_SECONDS = 15.0
STEP_SECONDS = 5.0
REST_SECONDS = 3.0
BURST_SECONDS = 0.5
PATIENCE_SECONDS = 2.0
DEMAND_OF_GUARANTEE = 0.8
COLD_FACTOR = 10.0
SESSIONS = 10
SESSION_PAUSE_SECONDS = 2.0
FORGED_WINDOWS = 5
FORGED_WINDOW_SECONDS = 2.0
SEED = 1
PROCESSES = 4


class Pace(enum.StrEnum):
    """How a flood arrives."""

    STEADY = "steady"
    BURSTS = "bursts"


class Fault(enum.StrEnum):
    """What happens to one target in the middle of a step."""

    NONE = "none"
    LOST = "lost"
    COLD = "cold"


class Step(NamedTuple):
    """One step of the schedule.

    :param flooding: the kind that floods.
    :param multiple: its demand in multiples of the service's capacity.
    """

    service: ServiceShape
    flooding: KindShape
    multiple: int
    pace: Pace
    fault: Fault

    @property
    def label(self) -> str:
        """Name of the step."""
        return f"{self.flooding.name}-x{self.multiple}-{self.pace}-{self.fault}"


class KeptShare(NamedTuple):
    """What one kind kept in one step.

    :param share: fraction of its demand that was answered.
    :param median: seconds from SYN to answer.
    :param high: 99th percentile of the same.
    """

    kind: str
    step: str
    share: float
    median: float
    high: float


class Report(NamedTuple):
    """The outcome of a step.

    :param broken: long flows that were broken without their own target being lost.
    :param flows: all flows, refused ones included.
    """

    kept: tuple[KeptShare, ...]
    broken: int
    flows: int


def schedule(shape: FirmShape) -> Iterator[Step]:
    """Yield the steps of a firm, for its service with more than one kind."""
    service = next(service for service in shape.services if len(service.kinds) > 1)
    for flooding in sorted(service.kinds, key=lambda kind: kind.urgency):
        for pace, multiple in itertools.product(Pace, MULTIPLES):
            yield Step(service, flooding, multiple, pace, Fault.NONE)
        for fault in (Fault.LOST, Fault.COLD):
            yield Step(service, flooding, FAULT_MULTIPLE, Pace.STEADY, fault)


def run_step(
    shape: FirmShape, step: Step, make_admission: Callable[[], AdmissionPolicy], seed: int
) -> Report:
    """Run one step on a system of its own."""
    model = FloodModel(shape, make_admission, WORK_SECONDS, seed)
    model.run(WARM_UP_SECONDS)
    rng = random.Random(seed)
    for service in shape.services:
        for kind in service.kinds:
            _start_sessions(model, service, kind, rng)
            if kind != step.flooding:
                _start_others(model, service, kind, rng)
    _start_flood(model, step, rng)
    middle = WARM_UP_SECONDS + STEP_SECONDS / 2
    model.at(middle, lambda: _break_target(model, step))
    model.run(WARM_UP_SECONDS + STEP_SECONDS + REST_SECONDS)
    return _report(model, shape, step)


def run_forged(
    shape: FirmShape, make_admission: Callable[[], AdmissionPolicy], seed: int
) -> dict[str, list[float]]:
    """Flood the most urgent kind with forged SYNs and return what each kind keeps, by window."""
    service = shape.services[0]
    model = FloodModel(shape, make_admission, WORK_SECONDS, seed)
    model.run(WARM_UP_SECONDS)
    rng = random.Random(seed)
    front = kind_endpoint(service, max(service.kinds, key=lambda kind: kind.urgency))
    rate = max(MULTIPLES) * _capacity(service)
    for number in range(int(rate * FORGED_WINDOWS * FORGED_WINDOW_SECONDS)):
        model.at(WARM_UP_SECONDS + number / rate, lambda: model.forge_syn(front))
    for kind, window in itertools.product(service.kinds, range(FORGED_WINDOWS)):
        label = f"{kind.name}/{window}"
        plan = FlowPlan(label, kind_endpoint(service, kind), 1, 0.0, PATIENCE_SECONDS)
        demand = DEMAND_OF_GUARANTEE * kind.share * _capacity(service)
        start = WARM_UP_SECONDS + window * FORGED_WINDOW_SECONDS
        _arrivals(model, plan, demand, start, FORGED_WINDOW_SECONDS, rng)
    model.run(WARM_UP_SECONDS + FORGED_WINDOWS * FORGED_WINDOW_SECONDS + REST_SECONDS)
    windows = range(FORGED_WINDOWS)
    return {k.name: [_served(model, f"{k.name}/{w}") for w in windows] for k in service.kinds}


def _served(model: FloodModel, label: str) -> float:
    outcomes = [end.outcome for end in model.ends if end.label == label]
    return outcomes.count("done") / max(1, len(outcomes))


class _Job(NamedTuple):
    prefix: str
    shape: FirmShape
    step: Step


def _run_job(job: _Job) -> Report:
    return run_step(job.shape, job.step, POLICIES[job.prefix], SEED)


def _capacity(service: ServiceShape) -> float:
    return service.targets * service.slots / WORK_SECONDS


def _start_sessions(
    model: FloodModel, service: ServiceShape, kind: KindShape, rng: random.Random
) -> None:
    """Start long flows before the flood, which none of it may break."""
    requests = int((STEP_SECONDS + REST_SECONDS) / SESSION_PAUSE_SECONDS) + 2
    plan = FlowPlan(
        f"session-{kind.name}",
        kind_endpoint(service, kind),
        requests,
        SESSION_PAUSE_SECONDS,
        STEP_SECONDS + REST_SECONDS,
    )
    for _ in range(SESSIONS):
        when = WARM_UP_SECONDS - SESSION_PAUSE_SECONDS * rng.random()
        model.at(when, lambda: model.start_flow(plan))


def _start_others(
    model: FloodModel, service: ServiceShape, kind: KindShape, rng: random.Random
) -> None:
    rate = DEMAND_OF_GUARANTEE * kind.share * _capacity(service)
    plan = FlowPlan(kind.name, kind_endpoint(service, kind), 1, 0.0, PATIENCE_SECONDS)
    _arrivals(model, plan, rate, WARM_UP_SECONDS, STEP_SECONDS, rng)


def _start_flood(model: FloodModel, step: Step, rng: random.Random) -> None:
    endpoint = kind_endpoint(step.service, step.flooding)
    plan = FlowPlan(step.flooding.name, endpoint, 1, 0.0, PATIENCE_SECONDS)
    rate = step.multiple * _capacity(step.service)
    if step.pace is Pace.STEADY:
        _arrivals(model, plan, rate, WARM_UP_SECONDS, STEP_SECONDS, rng)
        return
    for number in range(int(STEP_SECONDS / BURST_SECONDS / 2)):
        start = WARM_UP_SECONDS + 2 * number * BURST_SECONDS
        _arrivals(model, plan, 2 * rate, start, BURST_SECONDS, rng)


def _arrivals(
    model: FloodModel,
    plan: FlowPlan,
    rate: float,
    start: float,
    duration: float,
    rng: random.Random,
) -> None:
    """Start flows as a Poisson process."""
    when = start + rng.expovariate(rate)
    while when < start + duration:
        model.at(when, lambda: model.start_flow(plan))
        when += rng.expovariate(rate)


def _break_target(model: FloodModel, step: Step) -> None:
    target = model.targets(step.service)[0]
    if step.fault is Fault.LOST:
        target.is_lost = True
    elif step.fault is Fault.COLD:
        target.work_seconds *= COLD_FACTOR


def _report(model: FloodModel, shape: FirmShape, step: Step) -> Report:
    lost = {t.target.address for t in model.targets(step.service) if t.is_lost}
    ends = model.ends
    broken = sum(
        end.label.startswith("session-")
        and end.outcome != "done"
        and (end.target is None or end.target.address not in lost)
        for end in ends
    )
    kinds = [kind.name for service in shape.services for kind in service.kinds]
    others = [name for name in kinds if name != step.flooding.name]
    return Report(tuple(_kept(model, name, step) for name in others), broken, len(ends))


def _kept(model: FloodModel, kind: str, step: Step) -> KeptShare:
    ends = [end for end in model.ends if end.label == kind]
    times = sorted(end.seconds for end in ends if end.outcome == "done")
    share = len(times) / max(1, len(ends))
    if not times:
        return KeptShare(kind, step.label, share, PATIENCE_SECONDS, PATIENCE_SECONDS)
    return KeptShare(
        kind, step.label, share, statistics.median(times), times[len(times) * 99 // 100]
    )


def main() -> None:
    """Print what each kind keeps over all steps and at its worst one."""
    jobs = [
        _Job(prefix, shape, step)
        for prefix, shape in itertools.product(POLICIES, FIRMS)
        for step in schedule(shape)
    ]
    with ProcessPoolExecutor(PROCESSES) as executor:
        done = list(zip(jobs, executor.map(_run_job, jobs), strict=True))
    for prefix, shape in itertools.product(POLICIES, FIRMS):
        reports = [report for job, report in done if job[:2] == (prefix, shape)]
        _print(shape, prefix, reports)
    for prefix, make_admission in POLICIES.items():
        for kind, kept in run_forged(GANTS_LAURENTIDE, make_admission, SEED).items():
            shares = ",".join(f"{share:.3f}" for share in kept)
            print(f"{prefix}forged_syns_kept_share_{kind.replace('-', '_')}={shares}", flush=True)


def _print(shape: FirmShape, prefix: str, reports: list[Report]) -> None:
    kept = [entry for report in reports for entry in report.kept]
    for kind in sorted({entry.kind for entry in kept}):
        _print_kind(prefix, kind, [entry for entry in kept if entry.kind == kind])
    firm = shape.name.replace("-", "_")
    below = sum(entry.share < KEPT_GOAL for entry in kept)
    broken = sum(report.broken for report in reports)
    flows = sum(report.flows for report in reports)
    print(f"{prefix}flood_results_below_goal_{firm}={below}  # of {len(kept)}")
    print(f"{prefix}flood_broken_sessions_{firm}={broken}  # of {flows} flows", flush=True)


def _print_kind(prefix: str, kind: str, entries: list[KeptShare]) -> None:
    name = kind.replace("-", "_")
    worst = min(entries, key=lambda entry: entry.share)
    median = statistics.median(entry.median for entry in entries)
    high = max(entry.high for entry in entries)
    print(f"{prefix}kept_share_{name}={statistics.mean(e.share for e in entries):.4f}")
    print(f"{prefix}kept_share_worst_{name}={worst.share:.4f}  # {worst.step}")
    print(f"{prefix}flood_answer_median_seconds_{name}={median:.3f}")
    print(f"{prefix}flood_answer_p99_worst_seconds_{name}={high:.3f}")


if __name__ == "__main__":
    main()
