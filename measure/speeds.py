"""Measures how hosts that know only their own samples avoid slow targets.

Prints, for each second, the share of requests answered within their objective, by the current rule,
by learned speeds, and by complete knowledge. The slow targets change at the beginning of a second;
the gap is the greatest difference between learned speeds and complete knowledge in any second from
the second one after this.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from .speeds_model import CHANGED_AT, END_SECONDS, Outcome, SpeedsModel

HOST_COUNTS = (13, 69, 400)
LOADS = (0.5, 0.7)
SEEDS = (1,)
RULES = ("current", "learned", "all")


def shares_in_time(outcomes: Sequence[Outcome]) -> list[float]:
    """Return the share of requests answered within the objective, by second of their start."""
    counts = [[0, 0] for _ in range(math.ceil(END_SECONDS))]
    for row in outcomes:
        counts[math.floor(row.at)][row.is_in_time] += 1
    return [in_time / max(1, late + in_time) for late, in_time in counts]


def run(hosts: int, load: float, rule: str, seeds: Sequence[int] = SEEDS) -> list[float]:
    """Run the model with some seeds and return the share in time of each second."""
    outcomes: list[Outcome] = []
    for seed in seeds:
        model = SpeedsModel(hosts, load, rule, seed)
        model.run()
        outcomes += model.outcomes
    return shares_in_time(outcomes)


def main() -> None:
    """Print all measures."""
    settled = math.floor(CHANGED_AT) + 1
    for load in LOADS:
        for hosts in HOST_COUNTS:
            name = f"{hosts}_hosts_load_{load}"
            shares = {rule: run(hosts, load, rule) for rule in RULES}
            for rule, values in shares.items():
                text = " ".join(f"{value:.3f}" for value in values)
                print(f"speeds_in_time_{rule}_{name}={text}", flush=True)
            for rule in ("current", "learned"):
                pairs = zip(shares["all"], shares[rule], strict=True)
                gap = max(best - own for best, own in list(pairs)[settled:])
                print(f"speeds_gap_{rule}_{name}={gap:.3f}", flush=True)


if __name__ == "__main__":
    main()
