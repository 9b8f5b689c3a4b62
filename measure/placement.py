"""Measures how evenly flows fall on targets, and how many move when targets change.

The first part looks at hash functions alone, the second plays flows with requests against targets
with slots. Figures are medians over seeds.
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

from .placement_model import POLICIES, SCENARIOS, Outcome, play

SEEDS = range(5)
SIZES = (3, 7, 11)
FLOWS = 20_000
SLOTS = (2, 3, 4, 6)
SERVICES = 390
TARGETS = 5500
_JUMP_FACTOR = 2862933555777941757
_MASK = (1 << 64) - 1


OutcomeT = TypeVar("OutcomeT", "Spread", Outcome)


class Method(abc.ABC):
    """A way to choose a target from a flow's hash and the entries alone."""

    def __init__(self, entries: Sequence[WeightedTarget]) -> None:
        self._entries = sorted(entries)

    @abc.abstractmethod
    def choose(self, digest: int) -> str:
        """Return the name of the target."""


class Maglev(Method):
    """The table that the product uses."""

    def __init__(self, entries: Sequence[WeightedTarget]) -> None:
        super().__init__(entries)
        self._table = PlacementTable(entries)

    def choose(self, digest: int) -> str:
        """Look up the table."""
        return self._table.choose(digest) or ""


class Rendezvous(Method):
    """Weighted rendezvous hashing (Schindelhauer, Schomaker, 2005)."""

    def __init__(self, entries: Sequence[WeightedTarget]) -> None:
        super().__init__(entries)
        self._seeds = [(name_hash(entry.name), entry) for entry in self._entries]

    def choose(self, digest: int) -> str:
        """Return the highest score."""
        return max(self._seeds, key=lambda seed: _score(digest, *seed))[1].name


class Jump(Method):
    """Jump consistent hash (Lamping, Veach, 2014) over one bucket for each slot of each target."""

    def __init__(self, entries: Sequence[WeightedTarget]) -> None:
        super().__init__(entries)
        self._buckets = [e.name for e in self._entries for _ in range(round(e.weight))]

    def choose(self, digest: int) -> str:
        """Jump to a bucket."""
        bucket, following = 0, 0
        while following < len(self._buckets):
            bucket = following
            digest = (digest * _JUMP_FACTOR + 1) & _MASK
            following = int((bucket + 1) * ((1 << 31) / ((digest >> 33) + 1)))
        return self._buckets[bucket]


class PlainHash(Method):
    """The hash modulo the number of targets; knows no weights."""

    def choose(self, digest: int) -> str:
        """Take the remainder."""
        return self._entries[digest % len(self._entries)].name


METHODS: dict[str, Callable[[Sequence[WeightedTarget]], Method]] = {
    "": Maglev,
    "baseline_rendezvous_": Rendezvous,
    "baseline_jump_": Jump,
    "baseline_plain_hash_": PlainHash,
}


class Spread(NamedTuple):
    """What one method does with one set of targets.

    :param imbalance: highest load over weight, divided by the mean.
    :param leave: share of flows that move although their own target stays when one leaves.
    :param join: share of flows that move to another target than the new one when one joins.
    """

    imbalance: float
    leave: float
    join: float


def main() -> None:
    """Print all figures."""
    for prefix, method in METHODS.items():
        for size in SIZES:
            spread = _median([_spread(method, size, seed) for seed in SEEDS], Spread)
            _print(f"{prefix}placement_imbalance_max_over_mean_{size}", spread.imbalance)
            _print(f"{prefix}placement_needless_moves_leave_{size}", spread.leave)
            _print(f"{prefix}placement_needless_moves_join_{size}", spread.join)
    _print_design_size()
    for scenario in SCENARIOS:
        for prefix, policy in POLICIES.items():
            outcome = _median([play(policy, scenario, seed) for seed in SEEDS], Outcome)
            for field in Outcome._fields:
                _print(f"{prefix}placement_{scenario.name}_{field}", getattr(outcome, field))


def _print_design_size() -> None:
    """Print figures for all targets behind all addresses at the size to design for."""
    rng = random.Random(1)
    sizes = Counter(rng.randrange(SERVICES) for _ in range(TARGETS))
    started = time.perf_counter()
    worst = [_slot_imbalance(_entries(size, service)) for service, size in sizes.items()]
    milliseconds = (time.perf_counter() - started) * 1000 / len(sizes)
    _print(f"placement_imbalance_max_over_mean_{TARGETS}", max(worst))
    _print(f"placement_table_build_ms_{TARGETS}", milliseconds)
    started = time.perf_counter()
    PlacementTable(_entries(TARGETS, 0))
    _print("placement_one_table_of_all_build_ms", (time.perf_counter() - started) * 1000)


def _slot_imbalance(entries: list[WeightedTarget]) -> float:
    table = PlacementTable(entries)
    counts = Counter(table.slot_owners())
    return _imbalance(counts, entries)


def _spread(method: Callable[[Sequence[WeightedTarget]], Method], size: int, seed: int) -> Spread:
    rng = random.Random(seed)
    entries = _entries(size, seed)
    digests = [rng.getrandbits(64) for _ in range(FLOWS)]
    whole = method(entries)
    before = [whole.choose(digest) for digest in digests]
    gone, new = rng.choice(entries), WeightedTarget(f"10.9.{seed}.1:9000", float(rng.choice(SLOTS)))
    without = method([entry for entry in entries if entry != gone])
    joined = method([*entries, new])
    left = [(a, without.choose(d)) for a, d in zip(before, digests, strict=True)]
    came = [(a, joined.choose(d)) for a, d in zip(before, digests, strict=True)]
    return Spread(
        _imbalance(Counter(before), entries),
        sum(a not in (b, gone.name) for a, b in left) / FLOWS,
        sum(b not in (a, new.name) for a, b in came) / FLOWS,
    )


def _entries(size: int, seed: int) -> list[WeightedTarget]:
    rng = random.Random(seed)
    return [
        WeightedTarget(
            f"10.{seed % 256}.{number // 250}.{number % 250}:9000", float(rng.choice(SLOTS))
        )
        for number in range(size)
    ]


def _imbalance(counts: Counter[str], entries: Sequence[WeightedTarget]) -> float:
    mean = sum(counts.values()) / sum(entry.weight for entry in entries)
    return max(counts[entry.name] / entry.weight for entry in entries) / mean


def _score(digest: int, seed: int, entry: WeightedTarget) -> float:
    return -entry.weight / math.log((pair_hash(digest, seed) + 1) / (_MASK + 2))


def _median(outcomes: list[OutcomeT], cls: type[OutcomeT]) -> OutcomeT:
    return cls(*(statistics.median(values) for values in zip(*outcomes, strict=True)))


def _print(name: str, value: float) -> None:
    print(f"{name}={value:.4g}", flush=True)


if __name__ == "__main__":
    main()
