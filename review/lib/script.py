"""The frame of a script: set-up, time limit, clean end and exit code."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .platform import Platform, Record

TIME_LIMIT_SECONDS = 112
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case couldn't be set up."""


def run_case(
    folder: Path,
    zones: list[str],
    entries: dict[str, int],
    case: Callable[[Platform, bool], Awaitable[bool]],
) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

    :param case: gets the platform and whether to cause the disruption; returns whether the rule
        was broken.
    """
    record = Record(folder / "record.txt")
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {'yes' if with_trouble else 'no'}")
    code = NOT_RUN
    platform = None
    try:
        platform = Platform(record, zones, entries)
        platform.start()
        timed = asyncio.wait_for(case(platform, with_trouble), TIME_LIMIT_SECONDS)
        code = BROKEN if asyncio.run(timed) else HELD
    except Exception:
        record.write(traceback.format_exc())
    finally:
        if platform is not None:
            platform.close()
    record.write({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "not run"}[code])
    print((folder / "record.txt").read_text().splitlines()[-1])
    sys.exit(code)
