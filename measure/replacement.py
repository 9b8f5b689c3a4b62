"""Measures how new flows are placed while two targets are replaced by cold ones.

Prints, for each second, the share of requests answered within the objective, by the product's
choice, by it without reports of silent targets, and by one that knows all counts. Also prints the
share of flows that the new targets get in their first second.
"""

from __future__ import annotations

import math

from .replacement_model import (
    REPLACED_AT,
    REPLACED_COUNT,
    REPLACEMENT,
    Conditions,
    ModelSize,
    ReplacementModel,
)

SIZES = (ModelSize(9, 7, 4), ModelSize(70, 60, 4), ModelSize(200, 117, 5))
LOADS = (0.5, 0.7)
SEEDS = (1, 2, 3)
FIRST_SECOND = 3
LAST_SECOND = 10


def shares_in_time(models: list[ReplacementModel]) -> dict[int, float]:
    """Return the share of requests answered within the objective, by second of their start."""
    seconds = {math.floor(row.at) for model in models for row in model.outcomes}
    return {second: share_in_time(models, second, second + 1) for second in sorted(seconds)}


def share_in_time(models: list[ReplacementModel], begins: float, ends: float = math.inf) -> float:
    """Return the share answered within the objective of the requests made in some time."""
    rows = [row.is_in_time for model in models for row in model.outcomes if begins <= row.at < ends]
    return sum(rows) / len(rows)


def share_of_new(models: list[ReplacementModel]) -> float:
    """Return the share of the flows in the new targets' first second that they get."""
    rows = [
        target >= len(model.targets) - REPLACED_COUNT
        for model in models
        for at, target in model.placements
        if REPLACED_AT <= at < REPLACED_AT + 1.0
    ]
    return sum(rows) / len(rows)


def run(
    size: ModelSize, load: float, knows_all: bool, conditions: Conditions = REPLACEMENT
) -> list[ReplacementModel]:
    """Run the model with all seeds."""
    models = [ReplacementModel(size, load, knows_all, seed, conditions) for seed in SEEDS]
    for model in models:
        model.run()
    return models


def main() -> None:
    """Print all measures."""
    for size in SIZES:
        for load in LOADS:
            name = f"{size.hosts}_hosts_{size.targets}_targets_load_{load}"
            own, best = run(size, load, False), run(size, load, True)
            alone = run(size, load, False, Conditions(is_reporting=False))
            print(f"replacement_share_of_new_{name}={share_of_new(own):.3f}")
            print(f"baseline_all_counts_share_of_new_{name}={share_of_new(best):.3f}")
            rows = (("", own), ("baseline_no_reports_", alone), ("baseline_all_counts_", best))
            for label, models in rows:
                shares = shares_in_time(models)
                values = " ".join(
                    f"{shares[second]:.3f}" for second in range(FIRST_SECOND, LAST_SECOND)
                )
                print(f"{label}replacement_in_time_{name}={values}", flush=True)


if __name__ == "__main__":
    main()
