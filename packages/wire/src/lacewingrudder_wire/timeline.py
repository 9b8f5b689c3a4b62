"""Time-line events: one JSON object a line, ordered over processes by a hybrid logical clock."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from lacewingrudder_core.clock import HybridTime


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
        document: dict[str, Any] = json.loads(line)
        try:
            time = HybridTime(*document.pop("time"))
            return cls(time=time, **document)
        except (KeyError, TypeError) as error:
            raise ValueError(f"not a time-line event: {line.strip()}") from error


def merge(events: Iterable[TimelineEvent]) -> Iterator[TimelineEvent]:
    """Yield events of all processes in the order of their clocks."""
    yield from sorted(events, key=lambda event: (event.time, event.process))
