"""``python -m soak``: soaks from given or fresh seeds; exits 1 if a promise was broken."""

from __future__ import annotations

import asyncio
import collections
import random
import signal
import sys
import time
from pathlib import Path

import click

from .hosts import MAX_HOSTS
from .run import Outcome, run_soak

CONTROL_HOST_COUNT = 3


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, help="Seed of a soak; may be repeated.")
@click.option("--count", type=click.IntRange(1), default=1, help="Soaks with successive seeds.")
@click.option("--minutes", type=float, default=0.0, help="Fresh seeds for this long instead.")
@click.option("--seconds", type=float, default=22.0, help="For how long faults begin in a soak.")
@click.option(
    "--entries",
    type=click.IntRange(1, MAX_HOSTS - CONTROL_HOST_COUNT),
    default=4,
    help="Number of entry hosts.",
)
@click.option(
    "--keep",
    type=click.Path(path_type=Path, file_okay=False),
    default=Path("target/soak"),
    help="Where logs of soaks with findings are kept.",
)
def main(
    seeds: tuple[int, ...], count: int, minutes: float, seconds: float, entries: int, keep: Path
) -> None:
    """Run the system's processes under random faults and check what users were promised.

    The schedule of faults follows from the seed alone. One line a promise is printed for each soak.
    """
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    first_seeds = list(seeds) or [random.SystemRandom().getrandbits(31)]
    deadline = time.monotonic() + 60 * minutes
    outcomes: list[Outcome] = []
    for seed in _iter_seeds(first_seeds, count, deadline if minutes else None):
        outcomes.append(asyncio.run(run_soak(seed, seconds, entries, keep)))
        _print_outcome(outcomes[-1])
    failed_seeds = [outcome.seed for outcome in outcomes if outcome.findings]
    click.echo(
        f"{len(outcomes)} soaks, {len(failed_seeds)} with a broken promise {failed_seeds or ''}"
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
    click.echo(f"seed {outcome.seed}: {len(outcome.findings)} broken {outcome.log_folder}")
    for line in outcome.lines:
        click.echo(f"  {line}")


if __name__ == "__main__":
    main()
