"""The record of a script: what was sent, answered and run."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any


class Record:
    """A file with one line for each event."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def write(self, who: str, what: str, **details: Any) -> None:
        text = " ".join(f"{name}={value}" for name, value in details.items())
        seconds = time.monotonic() - self._start
        self._file.write(f"{seconds:9.4f} {who}: {what} {text}".rstrip() + "\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line of the result, to the file and to the output."""
        self.write("result", text)
        print(text, flush=True)

    def close(self) -> None:
        self._file.close()
