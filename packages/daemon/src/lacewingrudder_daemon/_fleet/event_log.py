"""Timeline events as JSON lines on standard output, rate-limited and never blocking.

The format is that of timeline files, so that ``lwr timeline`` can read the output.
"""

from __future__ import annotations

import os

from lacewingrudder_wire.timeline import TimelineEvent

from ..event_sink import RateLimitedEvents

MAX_EVENTS_PER_SECOND = 5.0
MAX_BURST_EVENTS = 40.0
STANDARD_OUTPUT = 1


class EventLog(RateLimitedEvents):
    """Writes the events of one process to a file descriptor.

    An event that does not fit into a full pipe is dropped and counted, as is one over the rate
    limit.

    :param process: process name written with each event.
    :param descriptor: file descriptor to write to; set to non-blocking.
    """

    def __init__(self, process: str, descriptor: int = STANDARD_OUTPUT) -> None:
        super().__init__(process, MAX_EVENTS_PER_SECOND, MAX_BURST_EVENTS)
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)

    def _write(self, event: TimelineEvent) -> None:
        try:
            os.write(self._descriptor, f"{event.to_line()}\n".encode())
        except OSError:
            self._suppressed[event.event] += 1
