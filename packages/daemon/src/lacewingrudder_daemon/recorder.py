"""Writes the timeline events of a process to a file."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from pathlib import Path
from typing import TextIO

from lacewingrudder_wire.timeline import ROTATED_SUFFIX, TimelineEvent

from .event_sink import RateLimitedEvents

FILE_LIMIT_BYTES = 16 * 1024 * 1024
MAX_EVENTS_PER_SECOND = 50.0
MAX_BURST_EVENTS = 500.0

_log = logging.getLogger(__name__)


class TimelineWriter(RateLimitedEvents):
    """Writes timeline events to a file, and owns the hybrid clock of the process.

    A file that exceeds its size limit is rotated; at most the current and one rotated file exist.

    :param process: process name written with each event.
    :param path: file to append to; ``None`` writes no events.
    :param limit: file size in bytes above which the file is rotated.
    :param wall: returns the wall-clock time in seconds.
    :raises OSError: if the file cannot be opened.
    """

    def __init__(
        self,
        process: str,
        path: Path | None,
        limit: int = FILE_LIMIT_BYTES,
        wall: Callable[[], float] = time.time,
    ) -> None:
        super().__init__(process, MAX_EVENTS_PER_SECOND, MAX_BURST_EVENTS, wall)
        self._path = path
        self._limit = limit
        self._file: TextIO | None = None
        if path is not None:
            path.parent.mkdir(parents=True, exist_ok=True)
            self._file = _open(path)

    def record(
        self,
        event: str,
        *,
        revision: int | None = None,
        flow: str = "",
        target: str = "",
        detail: str = "",
    ) -> None:
        """Write one event, unless there is no file or the event's name exceeds the rate limit."""
        if self._file is not None:
            super().record(event, revision=revision, flow=flow, target=target, detail=detail)

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()

    def _write(self, event: TimelineEvent) -> None:
        """Append an event; errors are only logged, as a full disk must not stop the process."""
        assert self._file is not None and self._path is not None
        try:
            if self._file.closed:
                self._file = _open(self._path)
            self._file.write(event.to_line() + "\n")
            if self._file.tell() > self._limit:
                self._rotate(self._path)
        except OSError as error:
            _log.warning("cannot write a timeline event, or rotate the file: %s", error)

    def _rotate(self, path: Path) -> None:
        """Begin a new file; if that fails, the file stays closed until the next event."""
        assert self._file is not None
        self._file.close()
        path.replace(path.with_name(path.name + ROTATED_SUFFIX))
        self._file = _open(path)


def _open(path: Path) -> TextIO:
    """Open a file for appending; ends a last line that a crash left incomplete."""
    file = path.open("a+", encoding="utf-8", buffering=1)
    if file.tell() and not path.read_bytes().endswith(b"\n"):
        file.write("\n")
    return file
