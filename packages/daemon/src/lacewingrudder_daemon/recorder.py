"""Writes time-line events of this process to its file."""

from __future__ import annotations

import collections
import logging
import time
from collections.abc import Callable
from pathlib import Path
from typing import TextIO

from lacewingrudder_core.clock import HybridClock, HybridTime
from lacewingrudder_core.spread import Budget
from lacewingrudder_wire.timeline import ROTATED_SUFFIX, TimelineEvent

from .event_sink import EventSink

MILLISECONDS_PER_SECOND = 1000
FILE_LIMIT_BYTES = 16 * 1024 * 1024
EVENTS_PER_SECOND = 50.0
EVENT_BURST = 500.0

_log = logging.getLogger(__name__)


class Recorder(EventSink):
    """Owns the hybrid clock of the process and the time-line file.

    Events of one name come at a bounded rate; those left out are counted in an event
    ``suppressed``. A file that has grown to its limit is renamed and a new one begun, so that at
    most two of them exist.

    :param process: the name that events carry.
    :param path: the file to append to; ``None`` writes none.
    :param wall: returns the wall-clock time in seconds.
    :raises OSError: if the file can't be opened.
    """

    def __init__(
        self,
        process: str,
        path: Path | None,
        limit: int = FILE_LIMIT_BYTES,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._process = process
        self._path = path
        self._limit = limit
        self._wall = wall
        self._clock = HybridClock()
        self._budgets: dict[str, Budget] = {}
        self._suppressed: collections.Counter[str] = collections.Counter()
        self._file: TextIO | None = None
        if path is not None:
            path.parent.mkdir(parents=True, exist_ok=True)
            self._file = _open(path)

    def now(self) -> HybridTime:
        """Return a reading for a message that is about to be sent."""
        return self._clock.tick(self._milliseconds())

    def observe(self, other: HybridTime) -> None:
        """Take in the reading of a message that arrived."""
        self._clock.merge(self._milliseconds(), other)

    def record(
        self,
        event: str,
        *,
        revision: int | None = None,
        flow: str = "",
        target: str = "",
        detail: str = "",
    ) -> None:
        """Write one event, unless too many of its name came lately."""
        if self._file is None:
            return
        if not self._budget(event).take(1, time.monotonic()):
            self._suppressed[event] += 1
            return
        count = self._suppressed.pop(event, 0)
        if count:
            self._write(
                TimelineEvent(self.now(), self._process, "suppressed", detail=f"{count} {event}")
            )
        self._write(TimelineEvent(self.now(), self._process, event, revision, flow, target, detail))

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()

    def _budget(self, event: str) -> Budget:
        if event not in self._budgets:
            self._budgets[event] = Budget(EVENTS_PER_SECOND, EVENT_BURST)
        return self._budgets[event]

    def _write(self, event: TimelineEvent) -> None:
        """Append a line; a full disk must not stop the process."""
        assert self._file is not None and self._path is not None
        try:
            self._file.write(event.to_line() + "\n")
            if self._file.tell() > self._limit:
                self._file.close()
                self._path.replace(self._path.with_name(self._path.name + ROTATED_SUFFIX))
                self._file = _open(self._path)
        except OSError as error:
            _log.warning("a time-line event was not written: %s", error)

    def _milliseconds(self) -> int:
        return int(self._wall() * MILLISECONDS_PER_SECOND)


def _open(path: Path) -> TextIO:
    """Open a file to append to, on a new line if a crash tore the last one."""
    file = path.open("a+", encoding="utf-8", buffering=1)
    if file.tell() and not path.read_bytes().endswith(b"\n"):
        file.write("\n")
    return file
