"""Writes time-line events of this process to its file."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TextIO

from lacewingrudder_core.clock import HybridClock, HybridTime
from lacewingrudder_wire.timeline import TimelineEvent

MILLISECONDS_PER_SECOND = 1000


class Recorder:
    """Owns the hybrid clock of the process and the time-line file.

    :param process: the name that events carry.
    :param path: the file to append to; ``None`` writes none.
    """

    def __init__(self, process: str, path: Path | None) -> None:
        self._process = process
        self._clock = HybridClock()
        self._file: TextIO | None = None
        if path is not None:
            path.parent.mkdir(parents=True, exist_ok=True)
            self._file = path.open("a", encoding="utf-8", buffering=1)

    def now(self) -> HybridTime:
        """Return a reading for a message that is about to be sent."""
        return self._clock.tick(_wall())

    def observe(self, other: HybridTime) -> None:
        """Take in the reading of a message that arrived."""
        self._clock.merge(_wall(), other)

    def record(
        self,
        event: str,
        *,
        revision: int | None = None,
        flow: str = "",
        target: str = "",
        detail: str = "",
    ) -> None:
        """Write one event."""
        time = self.now()
        if self._file is not None:
            line = TimelineEvent(time, self._process, event, revision, flow, target, detail)
            self._file.write(line.to_line() + "\n")

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()


def _wall() -> int:
    return int(time.time() * MILLISECONDS_PER_SECOND)
