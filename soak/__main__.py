"""``python -m soak``: runs soaks from given or random seeds; exits 1 if a guarantee was broken."""

from __future__ import annotations

import asyncio
import collections
import random
import signal
import sys
import time
from pathlib import Path

import click

from .hosts import MAX_HOST_COUNT
from .profiles import PROFILES
from .run import Outcome, run_soak

MAX_CONTROL_COUNT = max(profile.control_count for profile in PROFILES.values())


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, help="Seed of a soak; repeatable.")
@click.option(
    "--count",
    type=click.IntRange(1),
    default=1,
    help="Number of soaks per seed, with consecutive seeds.",
)
@click.option(
    "--minutes",
    type=float,
    default=0.0,
    help="Run for this long instead, with random seeds after the first.",
)
@click.option("--seconds", type=float, default=22.0, help="How long a soak starts new faults.")
@click.option(
    "--entries",
    type=click.IntRange(1, MAX_HOST_COUNT - MAX_CONTROL_COUNT),
    help="Number of entry hosts, instead of the profile's.",
)
@click.option(
    "--profile",
    "profile_name",
    type=click.Choice(list(PROFILES)),
    default="default",
    help="Size of the deployment, with its plan of faults.",
)
@click.option(
    "--keep",
    type=click.Path(path_type=Path, file_okay=False),
    default=Path("target/soak"),
    help="Folder for the logs of soaks with findings.",
)
def main(
    seeds: tuple[int, ...],
    count: int,
    minutes: float,
    seconds: float,
    entries: int | None,
    profile_name: str,
    keep: Path,
) -> None:
    """Run the system's processes under random faults and check its guarantees to users.

    The seed alone determines the schedule of faults. Each soak prints one line per guarantee.
    """
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    profile = PROFILES[profile_name]
    if entries is not None:
        profile = profile._replace(entry_count=entries)
    first_seeds = list(seeds) or [random.SystemRandom().getrandbits(31)]
    deadline = time.monotonic() + 60 * minutes
    outcomes: list[Outcome] = []
    for seed in _iter_seeds(first_seeds, count, deadline if minutes else None):
        outcomes.append(asyncio.run(run_soak(seed, seconds, profile, keep)))
        _print_outcome(outcomes[-1])
    failed_seeds = [outcome.seed for outcome in outcomes if outcome.findings]
    click.echo(
        f"{len(outcomes)} soaks, {len(failed_seeds)} with a broken guarantee {failed_seeds or ''}"
    )
    sys.exit(1 if failed_seeds else 0)


def _iter_seeds(
    first_seeds: list[int], count: int, deadline: float | None
) -> collections.abc.Iterator[int]:
    if deadline is None:
        for seed in first_seeds:
            yield from range(seed, seed + count)
        return
    yield first_seeds[0]
    while time.monotonic() < deadline:
        yield random.SystemRandom().getrandbits(31)


def _print_outcome(outcome: Outcome) -> None:
    click.echo(
        f"seed {outcome.seed}: {len(outcome.findings)} failed checks, "
        f"log folder (if any failed): {outcome.log_folder}"
    )
    for line in outcome.lines:
        click.echo(f"  {line}")


if __name__ == "__main__":
    main()
