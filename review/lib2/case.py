"""Runs the scenario of a script, and turns its outcome into the exit code."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .platform import Deployment, Routers
from .record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_SECONDS = 110.0

Scenario = Callable[[Deployment, Routers, bool], Awaitable[list[str]]]


class CannotRun(Exception):
    """The scenario didn't get as far as its check."""


def run(folder: Path, scenario: Scenario, frontends: tuple[int, ...] = (3, 2, 2)) -> None:
    """Run a scenario, which returns the breaks of its rule, and exit."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"TROUBLE={int(trouble)}")
    code = NOT_RUN
    deployment = None
    try:
        deployment = Deployment(record, frontends)
        breaks = asyncio.run(_run(deployment, scenario, trouble))
        for text in breaks[:20]:
            record.say(f"broken: {text}")
        record.say(f"{len(breaks)} breaks of the rule")
        code = BROKEN if breaks else HELD
    except CannotRun as error:
        record.say(f"could not run: {error}")
    except Exception as error:
        record.say(f"could not run: {error!r}")
        record.write("result", traceback.format_exc())
    finally:
        if deployment is not None:
            if os.environ.get("KEEP_LOGS"):
                for machine in deployment.machines:
                    log = deployment.folder / f"{machine.name}.log"
                    Path(os.environ["KEEP_LOGS"], log.name).write_bytes(log.read_bytes())
            deployment.close()
        record.close()
    sys.exit(code)


async def _run(deployment: Deployment, scenario: Scenario, trouble: bool) -> list[str]:
    routers = Routers(deployment)
    deployment.start_all()
    routers.start()
    try:
        async with asyncio.timeout(LIMIT_SECONDS):
            breaks = await scenario(deployment, routers, trouble)
        ended = deployment.ended()
        if ended:
            raise CannotRun(f"processes ended: {ended}")
        return breaks
    finally:
        routers.stop()
