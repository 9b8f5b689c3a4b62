"""Measures how much of their demand other kinds keep during a flood, in virtual time.

In each step one kind floods: first the least urgent kind, then the most urgent, at several
multiples of the service's capacity, steadily and in bursts, and at one multiple also with a target
that crashes or slows down in the middle of the step. The demand of the other kinds is a fraction of
their guaranteed share. Goal for every step: the other kinds keep at least 99% of their demand, and
no long flow breaks. Seeds are fixed.
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
FLOOD_MULTIPLES = (2, 5, 20)
FAULT_MULTIPLE = 5
MIN_KEPT_SHARE = 0.99
WORK_SECONDS = 0.1
WARM_UP_SECONDS = 15.0
STEP_SECONDS = 5.0
TIME_AFTER_FLOOD_SECONDS = 3.0
"""Simulated time after a flood, in which open flows can finish."""

BURST_SECONDS = 0.5
RESPONSE_TIMEOUT_SECONDS = 2.0
DEMAND_SHARE_OF_GUARANTEE = 0.8
COLD_TARGET_WORK_FACTOR = 10.0
SESSION_COUNT_PER_KIND = 10
SESSION_PAUSE_SECONDS = 2.0
FORGED_WINDOW_COUNT = 5
FORGED_WINDOW_SECONDS = 2.0
SEED = 1
PROCESS_COUNT = 4


class Pace(enum.StrEnum):
    """Arrival pattern of a flood."""

    STEADY = "steady"
    BURSTS = "bursts"


class Fault(enum.StrEnum):
    """Fault of one target in the middle of a step.

    A lost target crashes; a cold one becomes as slow as a target that is warming up.
    """

    NONE = "none"
    LOST = "lost"
    COLD = "cold"


class Step(NamedTuple):
    """A simulated period in which one kind floods a service.

    :param flooding: the kind that floods.
    :param multiple: demand of the flood in multiples of the service's capacity.
    :param pace: arrival pattern of the flood.
    :param fault: fault of one target of the service, in the middle of the period.
    """

    service: ServiceShape
    flooding: KindShape
    multiple: int
    pace: Pace
    fault: Fault

    @property
    def label(self) -> str:
        """Name of the step in the output."""
        return f"{self.flooding.name}-x{self.multiple}-{self.pace}-{self.fault}"


class KindResult(NamedTuple):
    """Answered share and answer times of one kind's flows in one step.

    :param share: share of its flows that were answered.
    :param median_seconds: median time from SYN to answer.
    :param p99_seconds: 99th percentile of the time from SYN to answer.
    """

    kind: str
    step: str
    share: float
    median_seconds: float
    p99_seconds: float


class StepReport(NamedTuple):
    """The result of a step.

    :param kind_results: one entry for each kind that did not flood.
    :param broken_sessions: number of long flows that broke although their target was not lost.
    :param flows: number of all flows, including refused ones.
    """

    kind_results: tuple[KindResult, ...]
    broken_sessions: int
    flows: int


def schedule(shape: FirmShape) -> Iterator[Step]:
    """Yield the steps for the firm's first service with more than one kind."""
    service = next(service for service in shape.services if len(service.kinds) > 1)
    for flooding in sorted(service.kinds, key=lambda kind: kind.urgency):
        for pace, multiple in itertools.product(Pace, FLOOD_MULTIPLES):
            yield Step(service, flooding, multiple, pace, Fault.NONE)
        for fault in (Fault.LOST, Fault.COLD):
            yield Step(service, flooding, FAULT_MULTIPLE, Pace.STEADY, fault)


def run_step(
    shape: FirmShape, step: Step, make_admission: Callable[[], AdmissionPolicy], seed: int
) -> StepReport:
    """Simulate one step in a new model and return its result."""
    model = FloodModel(shape, make_admission, WORK_SECONDS, seed)
    model.run_until(WARM_UP_SECONDS)
    rng = random.Random(seed)
    for service in shape.services:
        for kind in service.kinds:
            _start_sessions(model, service, kind, rng)
            if kind != step.flooding:
                _start_other_kind(model, service, kind, rng)
    _start_flood(model, step, rng)
    middle = WARM_UP_SECONDS + STEP_SECONDS / 2
    model.schedule_at(middle, lambda: _inject_fault(model, step))
    model.run_until(WARM_UP_SECONDS + STEP_SECONDS + TIME_AFTER_FLOOD_SECONDS)
    return _make_report(model, shape, step)


def run_forged(
    shape: FirmShape, make_admission: Callable[[], AdmissionPolicy], seed: int
) -> dict[str, list[float]]:
    """Flood the most urgent kind with forged SYNs.

    :return: for each kind, the answered share of its demand in each time window.
    """
    service = shape.services[0]
    model = FloodModel(shape, make_admission, WORK_SECONDS, seed)
    model.run_until(WARM_UP_SECONDS)
    rng = random.Random(seed)
    endpoint = kind_endpoint(service, max(service.kinds, key=lambda kind: kind.urgency))
    rate = max(FLOOD_MULTIPLES) * _capacity(service)
    for number in range(int(rate * FORGED_WINDOW_COUNT * FORGED_WINDOW_SECONDS)):
        model.schedule_at(WARM_UP_SECONDS + number / rate, lambda: model.forge_syn(endpoint))
    for kind, window in itertools.product(service.kinds, range(FORGED_WINDOW_COUNT)):
        label = f"{kind.name}/{window}"
        plan = FlowPlan(label, kind_endpoint(service, kind), 1, 0.0, RESPONSE_TIMEOUT_SECONDS)
        demand = DEMAND_SHARE_OF_GUARANTEE * kind.share * _capacity(service)
        start = WARM_UP_SECONDS + window * FORGED_WINDOW_SECONDS
        _schedule_arrivals(model, plan, demand, start, FORGED_WINDOW_SECONDS, rng)
    model.run_until(
        WARM_UP_SECONDS + FORGED_WINDOW_COUNT * FORGED_WINDOW_SECONDS + TIME_AFTER_FLOOD_SECONDS
    )
    windows = range(FORGED_WINDOW_COUNT)
    return {
        k.name: [_answered_share(model, f"{k.name}/{w}") for w in windows] for k in service.kinds
    }


def _answered_share(model: FloodModel, label: str) -> float:
    outcomes = [result.outcome for result in model.results if result.label == label]
    return outcomes.count("done") / max(1, len(outcomes))


class _Job(NamedTuple):
    prefix: str
    shape: FirmShape
    step: Step


def _run_job(job: _Job) -> StepReport:
    return run_step(job.shape, job.step, POLICIES[job.prefix], SEED)


def _capacity(service: ServiceShape) -> float:
    return service.targets * service.slots / WORK_SECONDS


def _start_sessions(
    model: FloodModel, service: ServiceShape, kind: KindShape, rng: random.Random
) -> None:
    """Start long flows before the flood; the flood must not break any of them."""
    requests = int((STEP_SECONDS + TIME_AFTER_FLOOD_SECONDS) / SESSION_PAUSE_SECONDS) + 2
    plan = FlowPlan(
        f"session-{kind.name}",
        kind_endpoint(service, kind),
        requests,
        SESSION_PAUSE_SECONDS,
        STEP_SECONDS + TIME_AFTER_FLOOD_SECONDS,
    )
    for _ in range(SESSION_COUNT_PER_KIND):
        when = WARM_UP_SECONDS - SESSION_PAUSE_SECONDS * rng.random()
        model.schedule_at(when, lambda: model.start_flow(plan))


def _start_other_kind(
    model: FloodModel, service: ServiceShape, kind: KindShape, rng: random.Random
) -> None:
    rate = DEMAND_SHARE_OF_GUARANTEE * kind.share * _capacity(service)
    plan = FlowPlan(kind.name, kind_endpoint(service, kind), 1, 0.0, RESPONSE_TIMEOUT_SECONDS)
    _schedule_arrivals(model, plan, rate, WARM_UP_SECONDS, STEP_SECONDS, rng)


def _start_flood(model: FloodModel, step: Step, rng: random.Random) -> None:
    endpoint = kind_endpoint(step.service, step.flooding)
    plan = FlowPlan(step.flooding.name, endpoint, 1, 0.0, RESPONSE_TIMEOUT_SECONDS)
    rate = step.multiple * _capacity(step.service)
    if step.pace is Pace.STEADY:
        _schedule_arrivals(model, plan, rate, WARM_UP_SECONDS, STEP_SECONDS, rng)
        return
    for number in range(int(STEP_SECONDS / BURST_SECONDS / 2)):
        start = WARM_UP_SECONDS + 2 * number * BURST_SECONDS
        _schedule_arrivals(model, plan, 2 * rate, start, BURST_SECONDS, rng)


def _schedule_arrivals(
    model: FloodModel,
    plan: FlowPlan,
    rate: float,
    start: float,
    duration: float,
    rng: random.Random,
) -> None:
    """Schedule the starts of flows as a Poisson process."""
    when = start + rng.expovariate(rate)
    while when < start + duration:
        model.schedule_at(when, lambda: model.start_flow(plan))
        when += rng.expovariate(rate)


def _inject_fault(model: FloodModel, step: Step) -> None:
    target = model.targets(step.service)[0]
    if step.fault is Fault.LOST:
        target.is_lost = True
    elif step.fault is Fault.COLD:
        target.work_seconds *= COLD_TARGET_WORK_FACTOR


def _make_report(model: FloodModel, shape: FirmShape, step: Step) -> StepReport:
    lost = {t.target.address for t in model.targets(step.service) if t.is_lost}
    results = model.results
    broken = sum(
        result.label.startswith("session-")
        and result.outcome != "done"
        and (result.target is None or result.target.address not in lost)
        for result in results
    )
    kinds = [kind.name for service in shape.services for kind in service.kinds]
    others = [name for name in kinds if name != step.flooding.name]
    return StepReport(
        tuple(_make_kind_result(model, name, step) for name in others), broken, len(results)
    )


def _make_kind_result(model: FloodModel, kind: str, step: Step) -> KindResult:
    results = [result for result in model.results if result.label == kind]
    times = sorted(result.first_answer_seconds for result in results if result.outcome == "done")
    share = len(times) / max(1, len(results))
    if not times:
        return KindResult(
            kind, step.label, share, RESPONSE_TIMEOUT_SECONDS, RESPONSE_TIMEOUT_SECONDS
        )
    return KindResult(
        kind, step.label, share, statistics.median(times), times[len(times) * 99 // 100]
    )


def main() -> None:
    """Print each kind's kept share, as the mean over all steps and for the worst step."""
    jobs = [
        _Job(prefix, shape, step)
        for prefix, shape in itertools.product(POLICIES, FIRMS)
        for step in schedule(shape)
    ]
    with ProcessPoolExecutor(PROCESS_COUNT) as executor:
        done = list(zip(jobs, executor.map(_run_job, jobs), strict=True))
    for prefix, shape in itertools.product(POLICIES, FIRMS):
        reports = [report for job, report in done if job[:2] == (prefix, shape)]
        _print_firm(shape, prefix, reports)
    for prefix, make_admission in POLICIES.items():
        for kind, kept in run_forged(GANTS_LAURENTIDE, make_admission, SEED).items():
            shares = ",".join(f"{share:.3f}" for share in kept)
            print(f"{prefix}forged_syns_kept_share_{kind.replace('-', '_')}={shares}", flush=True)


def _print_firm(shape: FirmShape, prefix: str, reports: list[StepReport]) -> None:
    results = [result for report in reports for result in report.kind_results]
    for kind in sorted({result.kind for result in results}):
        _print_kind(prefix, kind, [result for result in results if result.kind == kind])
    firm = shape.name.replace("-", "_")
    below = sum(result.share < MIN_KEPT_SHARE for result in results)
    broken = sum(report.broken_sessions for report in reports)
    flows = sum(report.flows for report in reports)
    print(f"{prefix}flood_results_below_goal_{firm}={below}  # of {len(results)}")
    print(f"{prefix}flood_broken_sessions_{firm}={broken}  # of {flows} flows", flush=True)


def _print_kind(prefix: str, kind: str, kind_results: list[KindResult]) -> None:
    name = kind.replace("-", "_")
    worst = min(kind_results, key=lambda result: result.share)
    median_seconds = statistics.median(result.median_seconds for result in kind_results)
    p99_seconds = max(result.p99_seconds for result in kind_results)
    print(f"{prefix}kept_share_{name}={statistics.mean(e.share for e in kind_results):.4f}")
    print(f"{prefix}kept_share_worst_{name}={worst.share:.4f}  # {worst.step}")
    print(f"{prefix}flood_answer_median_seconds_{name}={median_seconds:.3f}")
    print(f"{prefix}flood_answer_p99_worst_seconds_{name}={p99_seconds:.3f}")


if __name__ == "__main__":
    main()
