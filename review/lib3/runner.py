"""Runs a case: starts a fleet, ends everything it started, and maps the outcome to an exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from fleet import CannotRun, Fleet, Record

HELD, BROKEN, CANNOT_RUN = 0, 10, 2
"""Statuses of this program; an error of Python itself ends with 1, so ``run.sh`` maps them."""
MAX_SECONDS = 115.0
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def run(
    folder: Path,
    make_fleet: Callable[[], Fleet],
    play: Callable[[Fleet, Record], Awaitable[bool]],
    starts: bool = True,
) -> None:
    """Play a case and exit.

    :param starts: whether all machines are started first; otherwise ``play`` does so.
    :param play: returns whether the rule held; raises :class:`CannotRun` if that can't be told.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    record = Record(folder / "record.txt")
    record.write("with the disruption" if HAS_TROUBLE else "without the disruption (TROUBLE=0)")
    fleet = None
    status = CANNOT_RUN
    try:
        fleet = make_fleet()
        if starts:
            fleet.start()

        async def limited() -> bool:
            async with asyncio.timeout(MAX_SECONDS):
                return await play(fleet, record)

        status = HELD if asyncio.run(limited()) else BROKEN
        record.write("the rule held" if status == HELD else "THE RULE WAS BROKEN")
    except CannotRun as error:
        record.write("could not run:", error)
    except Exception:
        record.write("could not run:", traceback.format_exc())
    finally:
        if fleet is not None:
            fleet.close()
    sys.exit(status)
