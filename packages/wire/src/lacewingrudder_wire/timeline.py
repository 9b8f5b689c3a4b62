"""Time-line events: one JSON object a line, ordered over processes by a hybrid logical clock."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from lacewingrudder_core.clock import HybridTime

ROTATED_SUFFIX = ".1"


class TimelineEvent(NamedTuple):
    """Something that happened in one process.

    :param event: a name such as ``in_force`` or ``flow_opened``.
    :param revision: the revision it concerns, or ``None``.
    :param flow: the flow it concerns as text, or empty.
    :param target: the target it concerns, or empty.
    :param detail: a short sentence, or empty.
    """

    time: HybridTime
    process: str
    event: str
    revision: int | None = None
    flow: str = ""
    target: str = ""
    detail: str = ""

    def to_line(self) -> str:
        """Return the event as one line of JSON."""
        document = self._asdict() | {"time": list(self.time)}
        kept = {name: value for name, value in document.items() if value not in ("", None)}
        return json.dumps(kept)

    @classmethod
    def from_line(cls, line: str) -> TimelineEvent:
        """Return the event that a line holds.

        :raises ValueError: if the line holds none.
        """
        document: Any = json.loads(line)
        try:
            wall, counter = document.pop("time")
            event = cls(time=HybridTime(wall, counter), **document)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise ValueError(f"not a time-line event: {line.strip()}") from error
        if not event._has_valid_types():
            raise ValueError(f"not a time-line event: {line.strip()}")
        return event

    def _has_valid_types(self) -> bool:
        numbers = (*self.time, self.revision or 0)
        texts = (self.process, self.event, self.flow, self.target, self.detail)
        return all(type(number) is int for number in numbers) and all(
            isinstance(text, str) for text in texts
        )


class TimelineFile(NamedTuple):
    """The events of one process's file.

    :param skipped: lines that hold no event, such as one torn by a crash.
    """

    events: tuple[TimelineEvent, ...]
    skipped: int


class Filter(NamedTuple):
    """What to keep of a time line; an empty field keeps all.

    :param flow: part of a flow's text, such as a caller's address.
    """

    flow: str = ""
    target: str = ""
    revision: int | None = None
    processes: tuple[str, ...] = ()
    events: tuple[str, ...] = ()

    def matches(self, event: TimelineEvent) -> bool:
        """Whether an event passes."""
        return (
            self.flow in event.flow
            and self.target in ("", event.target)
            and self.revision in (None, event.revision)
            and (not self.processes or event.process in self.processes)
            and (not self.events or event.event in self.events)
        )


def read_file(path: Path) -> TimelineFile:
    """Return the events in a file, and in the one that it replaced.

    :raises OSError: if the file can't be read.
    """
    rotated = path.with_name(path.name + ROTATED_SUFFIX)
    text = rotated.read_text("utf-8", "replace") if rotated.exists() else ""
    text += path.read_text("utf-8", "replace")
    events = []
    skipped = 0
    for line in text.splitlines():
        try:
            events.append(TimelineEvent.from_line(line))
        except ValueError:
            skipped += 1
    return TimelineFile(tuple(events), skipped)


def merge(events: Iterable[TimelineEvent]) -> Iterator[TimelineEvent]:
    """Yield events of all processes in the order of their clocks."""
    yield from sorted(events, key=lambda event: (event.time, event.process))
