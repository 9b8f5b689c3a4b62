"""Measures how evenly flows are distributed over targets, and how many move on a change.

The first part compares hash methods alone; the second simulates flows with requests against targets
with slots. Each figure is the median over several seeds.
"""

from __future__ import annotations

import abc
import math
import random
import statistics
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeVar

from lacewingrudder_core.hashing import name_hash, pair_hash
from lacewingrudder_core.routing import PlacementTable, WeightedTarget

from .placement_model import POLICIES, SCENARIOS, Outcome, simulate

SEEDS = range(5)
TARGET_COUNTS = (3, 7, 11)
FLOW_COUNT = 20_000
SLOT_COUNTS = (2, 3, 4, 6)
SERVICE_COUNT = 390
DESIGN_TARGET_COUNT = 5500
_JUMP_FACTOR = 2862933555777941757
_MASK = (1 << 64) - 1


OutcomeT = TypeVar("OutcomeT", "HashingFigures", Outcome)


class HashMethod(abc.ABC):
    """Chooses a target from a flow's hash and the weighted targets alone."""

    def __init__(self, targets: Sequence[WeightedTarget]) -> None:
        self._targets = sorted(targets)

    @abc.abstractmethod
    def choose(self, digest: int) -> str:
        """Return the name of the target for a flow's hash."""


class Maglev(HashMethod):
    """The placement table of the product (Maglev hashing)."""

    def __init__(self, targets: Sequence[WeightedTarget]) -> None:
        super().__init__(targets)
        self._table = PlacementTable(targets)

    def choose(self, digest: int) -> str:
        """Return the name of the target at the hash's slot of the table."""
        return self._table.choose(digest) or ""


class Rendezvous(HashMethod):
    """Weighted rendezvous hashing (Schindelhauer, Schomaker, 2005)."""

    def __init__(self, targets: Sequence[WeightedTarget]) -> None:
        super().__init__(targets)
        self._hashed_targets = [(name_hash(target.name), target) for target in self._targets]

    def choose(self, digest: int) -> str:
        """Return the name of the target with the highest score for the hash."""
        return max(self._hashed_targets, key=lambda pair: _score(digest, *pair))[1].name


class Jump(HashMethod):
    """Jump consistent hash (Lamping, Veach, 2014) over one bucket for each slot of each target."""

    def __init__(self, targets: Sequence[WeightedTarget]) -> None:
        super().__init__(targets)
        self._buckets = [e.name for e in self._targets for _ in range(round(e.weight))]

    def choose(self, digest: int) -> str:
        """Return the name of the target that owns the hash's bucket."""
        bucket, next_bucket = 0, 0
        while next_bucket < len(self._buckets):
            bucket = next_bucket
            digest = (digest * _JUMP_FACTOR + 1) & _MASK
            next_bucket = int((bucket + 1) * ((1 << 31) / ((digest >> 33) + 1)))
        return self._buckets[bucket]


class PlainHash(HashMethod):
    """The hash modulo the number of targets; ignores weights."""

    def choose(self, digest: int) -> str:
        """Return the name of the target at the index given by the remainder."""
        return self._targets[digest % len(self._targets)].name


HASH_METHODS: dict[str, Callable[[Sequence[WeightedTarget]], HashMethod]] = {
    "": Maglev,
    "baseline_rendezvous_": Rendezvous,
    "baseline_jump_": Jump,
    "baseline_plain_hash_": PlainHash,
}


class HashingFigures(NamedTuple):
    """Distribution and stability of one hash method on one set of targets.

    :param imbalance: highest ratio of flows to weight of a target, divided by the mean ratio.
    :param needless_moves_leave: when a target leaves, share of flows that move although their own
        target stays.
    :param needless_moves_join: when a target joins, share of flows that move to a target other than
        the new one.
    """

    imbalance: float
    needless_moves_leave: float
    needless_moves_join: float


def main() -> None:
    """Print the figures of all hash methods and of all simulated policies."""
    for prefix, make_method in HASH_METHODS.items():
        for size in TARGET_COUNTS:
            figures = _median(
                [_measure_method(make_method, size, seed) for seed in SEEDS], HashingFigures
            )
            _print_measure(f"{prefix}placement_imbalance_max_over_mean_{size}", figures.imbalance)
            _print_measure(
                f"{prefix}placement_needless_moves_leave_{size}", figures.needless_moves_leave
            )
            _print_measure(
                f"{prefix}placement_needless_moves_join_{size}", figures.needless_moves_join
            )
    _print_design_figures()
    for scenario in SCENARIOS:
        for prefix, policy in POLICIES.items():
            outcome = _median([simulate(policy, scenario, seed) for seed in SEEDS], Outcome)
            for field in Outcome._fields:
                _print_measure(
                    f"{prefix}placement_{scenario.name}_{field}", getattr(outcome, field)
                )


def _print_design_figures() -> None:
    """Print imbalance and table build times for the planned numbers of services and targets."""
    rng = random.Random(1)
    sizes = Counter(rng.randrange(SERVICE_COUNT) for _ in range(DESIGN_TARGET_COUNT))
    started = time.perf_counter()
    imbalances = [_slot_imbalance(_make_targets(size, service)) for service, size in sizes.items()]
    milliseconds = (time.perf_counter() - started) * 1000 / len(sizes)
    _print_measure(f"placement_imbalance_max_over_mean_{DESIGN_TARGET_COUNT}", max(imbalances))
    _print_measure(f"placement_table_build_ms_{DESIGN_TARGET_COUNT}", milliseconds)
    started = time.perf_counter()
    PlacementTable(_make_targets(DESIGN_TARGET_COUNT, 0))
    _print_measure("placement_one_table_of_all_build_ms", (time.perf_counter() - started) * 1000)


def _slot_imbalance(targets: list[WeightedTarget]) -> float:
    table = PlacementTable(targets)
    counts = Counter(table.slot_owners())
    return _imbalance(counts, targets)


def _measure_method(
    make_method: Callable[[Sequence[WeightedTarget]], HashMethod], size: int, seed: int
) -> HashingFigures:
    rng = random.Random(seed)
    targets = _make_targets(size, seed)
    digests = [rng.getrandbits(64) for _ in range(FLOW_COUNT)]
    unchanged = make_method(targets)
    before = [unchanged.choose(digest) for digest in digests]
    removed, added = rng.choice(targets), WeightedTarget(
        f"10.9.{seed}.1:9000", float(rng.choice(SLOT_COUNTS))
    )
    after_leave = make_method([target for target in targets if target != removed])
    after_join = make_method([*targets, added])
    leave_choices = [(a, after_leave.choose(d)) for a, d in zip(before, digests, strict=True)]
    join_choices = [(a, after_join.choose(d)) for a, d in zip(before, digests, strict=True)]
    return HashingFigures(
        _imbalance(Counter(before), targets),
        sum(a not in (b, removed.name) for a, b in leave_choices) / FLOW_COUNT,
        sum(b not in (a, added.name) for a, b in join_choices) / FLOW_COUNT,
    )


def _make_targets(size: int, seed: int) -> list[WeightedTarget]:
    rng = random.Random(seed)
    return [
        WeightedTarget(
            f"10.{seed % 256}.{number // 250}.{number % 250}:9000", float(rng.choice(SLOT_COUNTS))
        )
        for number in range(size)
    ]


def _imbalance(counts: Counter[str], targets: Sequence[WeightedTarget]) -> float:
    mean = sum(counts.values()) / sum(target.weight for target in targets)
    return max(counts[target.name] / target.weight for target in targets) / mean


def _score(digest: int, seed: int, target: WeightedTarget) -> float:
    return -target.weight / math.log((pair_hash(digest, seed) + 1) / (_MASK + 2))


def _median(outcomes: list[OutcomeT], cls: type[OutcomeT]) -> OutcomeT:
    return cls(*(statistics.median(values) for values in zip(*outcomes, strict=True)))


def _print_measure(name: str, value: float) -> None:
    print(f"{name}={value:.4g}", flush=True)


if __name__ == "__main__":
    main()
