"""Events as JSON lines on standard output, bounded for each event and never blocking."""

from __future__ import annotations

import collections
import json
import os
import time

from lacewingrudder_core.budget import Budget

from ..event_sink import EventSink

EVENTS_PER_SECOND = 5.0
EVENT_BURST = 40.0
STANDARD_OUTPUT = 1


class EventLog(EventSink):
    """Writes events of one process.

    Events of one name come at a bounded rate; how many were left out stands on the next line of
    that name. A full pipe drops lines, which are counted too.

    :param process: the name that lines carry.
    :param descriptor: where lines go.
    """

    def __init__(self, process: str, descriptor: int = STANDARD_OUTPUT) -> None:
        self._process = process
        self._descriptor = descriptor
        self._budgets: dict[str, Budget] = {}
        self._omitted: collections.Counter[str] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()
        os.set_blocking(descriptor, False)

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
        self.counts[event] += 1
        budget = self._budgets.get(event)
        if budget is None:
            budget = self._budgets[event] = Budget(EVENTS_PER_SECOND, EVENT_BURST)
        if not budget.take(1, time.monotonic()):
            self._omitted[event] += 1
            return
        line: dict[str, object] = {
            "time": round(time.time(), 3),
            "process": self._process,
            "event": event,
        }
        fields = {"revision": revision, "flow": flow, "target": target, "detail": detail}
        line.update({name: value for name, value in fields.items() if value not in ("", None)})
        omitted = self._omitted.pop(event, 0)
        if omitted:
            line["omitted"] = omitted
        self._write(json.dumps(line) + "\n", event)

    def _write(self, line: str, event: str) -> None:
        data = line.encode()
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            self._omitted[event] += 1
            return
        if written < len(data):
            self._omitted["torn_line"] += 1
