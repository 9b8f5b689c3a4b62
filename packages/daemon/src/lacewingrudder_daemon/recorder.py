"""Writes time-line events of this process to its file."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from pathlib import Path
from typing import TextIO

from lacewingrudder_wire.timeline import ROTATED_SUFFIX, TimelineEvent

from .event_sink import BoundedEvents

FILE_LIMIT_BYTES = 16 * 1024 * 1024
EVENTS_PER_SECOND = 50.0
EVENT_BURST = 500.0

_log = logging.getLogger(__name__)


class TimelineWriter(BoundedEvents):
    """Owns the hybrid clock of the process and the time-line file.

    A file that has grown to its limit is renamed and a new one begun, so that at most two of them
    exist.

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
        super().__init__(process, EVENTS_PER_SECOND, EVENT_BURST, wall)
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
        """Write one event, unless there is no file or too many of its name came lately."""
        if self._file is not None:
            super().record(event, revision=revision, flow=flow, target=target, detail=detail)

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()

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


def _open(path: Path) -> TextIO:
    """Open a file to append to, on a new line if a crash tore the last one."""
    file = path.open("a+", encoding="utf-8", buffering=1)
    if file.tell() and not path.read_bytes().endswith(b"\n"):
        file.write("\n")
    return file
