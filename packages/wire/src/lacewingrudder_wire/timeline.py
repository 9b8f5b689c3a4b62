"""Timeline files: events as JSON lines, ordered across processes by a hybrid logical clock."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from lacewingrudder_core.clock import HybridTime

ROTATED_SUFFIX = ".1"


class TimelineEvent(NamedTuple):
    """An event in one process.

    :param process: name of the process.
    :param event: name of the event, such as ``in_force`` or ``flow_opened``.
    :param revision: the revision that the event concerns, or ``None``.
    :param flow: the flow that the event concerns, as text, or empty.
    :param target: the target that the event concerns, or empty.
    :param detail: a short explanation, or empty.
    """

    time: HybridTime
    process: str
    event: str
    revision: int | None = None
    flow: str = ""
    target: str = ""
    detail: str = ""

    def to_line(self) -> str:
        """Format the event as one line of JSON."""
        document = self._asdict() | {"time": list(self.time)}
        fields = {name: value for name, value in document.items() if value not in ("", None)}
        return json.dumps(fields)

    @classmethod
    def from_line(cls, line: str) -> TimelineEvent:
        """Parse a line of a timeline file.

        :raises ValueError: if the line is not a valid event.
        """
        document: Any = json.loads(line)
        try:
            wall, counter = document.pop("time")
            event = cls(time=HybridTime(wall, counter), **document)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise ValueError(f"not a timeline event: {line.strip()}") from error
        if not event._has_valid_types():
            raise ValueError(f"not a timeline event: {line.strip()}")
        return event

    def _has_valid_types(self) -> bool:
        numbers = (*self.time, self.revision or 0)
        texts = (self.process, self.event, self.flow, self.target, self.detail)
        return all(type(number) is int for number in numbers) and all(
            isinstance(text, str) for text in texts
        )


class TimelineFile(NamedTuple):
    """The events in the timeline file of one process.

    :param skipped: number of lines that are not valid events, such as one truncated by a crash.
    """

    events: tuple[TimelineEvent, ...]
    skipped: int


class Filter(NamedTuple):
    """Selects timeline events; an event must match all fields that are not empty.

    :param flow: a substring of the flow's text, such as a caller's address.
    """

    flow: str = ""
    target: str = ""
    revision: int | None = None
    processes: tuple[str, ...] = ()
    events: tuple[str, ...] = ()

    def matches(self, event: TimelineEvent) -> bool:
        """Return whether an event matches the filter."""
        return (
            self.flow in event.flow
            and self.target in ("", event.target)
            and self.revision in (None, event.revision)
            and (not self.processes or event.process in self.processes)
            and (not self.events or event.event in self.events)
        )


def read_file(path: Path) -> TimelineFile:
    """Read a timeline file, preceded by its rotated predecessor if there is one.

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
    """Yield the events of all processes in the order of their timestamps."""
    yield from sorted(events, key=lambda event: (event.time, event.process))
