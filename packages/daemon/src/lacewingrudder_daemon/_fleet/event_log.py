"""Events as JSON lines on standard output, bounded for each event and never blocking.

The lines are those of the time line, so that ``lwr timeline`` reads them.
"""

from __future__ import annotations

import os

from lacewingrudder_wire.timeline import TimelineEvent

from ..event_sink import BoundedEvents

EVENTS_PER_SECOND = 5.0
EVENT_BURST = 40.0
STANDARD_OUTPUT = 1


class EventLog(BoundedEvents):
    """Writes events of one process.

    A full pipe drops lines; they are counted like those beyond the budget.

    :param process: the name that lines carry.
    :param descriptor: where lines go.
    """

    def __init__(self, process: str, descriptor: int = STANDARD_OUTPUT) -> None:
        super().__init__(process, EVENTS_PER_SECOND, EVENT_BURST)
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)

    def _write(self, event: TimelineEvent) -> None:
        try:
            os.write(self._descriptor, f"{event.to_line()}\n".encode())
        except OSError:
            self._suppressed[event.event] += 1
