"""Bounds the SYNs that a host takes from the fabric, before it relays or places any of them.

A refusal here costs one look-up. The bound follows the host's own load, measured as the backlog of
its packet socket and the lag of its loop: it is cut while the overload lasts and recovers slowly
(additive increase, multiplicative decrease). One high measurement alone cuts nothing: a process
that was paused finds its timer late and its socket full once, however few SYNs are sent. Under the
bound, the kinds of work share it by max-min fairness, so that a kind that asks for less than an
equal part is never refused. Packets of flows are never refused.
"""

from __future__ import annotations

from collections.abc import Mapping

from .._flows.types import Segment
from ..types import Endpoint

MOST_SYNS_PER_SECOND = 5000.0
LEAST_SYNS_PER_SECOND = 50.0
WINDOW_SECONDS = 0.1
BACKLOG_LIMIT = 0.5
LAG_LIMIT_SECONDS = 0.05
OVERLOADED_MEASUREMENTS = 2
"""Measurements in a row above a limit that show an overload rather than a pause."""
CUT_FACTOR = 0.7
RECOVERY_SYNS_PER_SECOND = 50.0


def fair_parts(demands: Mapping[Endpoint, float], limit: float) -> dict[Endpoint, float]:
    """Divide a limit by max-min fairness: no one gets more than it asks for.

    :return: the part of each; the sum is at most the limit.
    """
    parts: dict[Endpoint, float] = {}
    left = limit
    for number, (kind, demand) in enumerate(sorted(demands.items(), key=lambda item: item[1])):
        parts[kind] = min(demand, left / (len(demands) - number))
        left -= parts[kind]
    return parts


class SynLimiter:
    """Admits SYNs up to a bound that follows the host's load."""

    def __init__(self) -> None:
        self._limit = MOST_SYNS_PER_SECOND
        self._overloaded = 0
        self._window = 0.0
        self._demands: dict[Endpoint, float] = {}
        self._admitted: dict[Endpoint, float] = {}
        self._parts: dict[Endpoint, float] = {}

    @property
    def limit(self) -> float:
        """SYNs a second that this host takes now."""
        return self._limit

    def record_load(self, backlog: float, lag: float) -> None:
        """Take a measurement of the host's load; due once in :data:`WINDOW_SECONDS`.

        :param backlog: filled fraction of the packet socket's buffer.
        :param lag: seconds by which the loop is late.
        """
        if backlog <= BACKLOG_LIMIT and lag <= LAG_LIMIT_SECONDS:
            self._overloaded = 0
            self._limit = min(MOST_SYNS_PER_SECOND, self._limit + RECOVERY_SYNS_PER_SECOND)
            return
        self._overloaded += 1
        if self._overloaded >= OVERLOADED_MEASUREMENTS:
            taken = sum(self._admitted.values()) / WINDOW_SECONDS
            self._limit = max(LEAST_SYNS_PER_SECOND, CUT_FACTOR * min(self._limit, taken))

    def admits(self, syn: Segment, now: float) -> bool:
        """Return whether a SYN may be looked at now."""
        kind = syn.destination
        if now - self._window >= WINDOW_SECONDS:
            self._start_window(now)
        self._demands[kind] = self._demands.get(kind, 0.0) + 1
        used = self._admitted.get(kind, 0.0)
        if used >= self._parts.get(kind, self._limit * WINDOW_SECONDS / (len(self._parts) + 1)):
            return False
        self._admitted[kind] = used + 1
        return True

    def _start_window(self, now: float) -> None:
        """Divide the bound by the demands of the last window.

        A kind that asked for less than an equal part may grow to that part at once; for one window
        the sum may then pass the bound, at most to twice the bound.
        """
        self._window = now
        whole = self._limit * WINDOW_SECONDS
        parts = fair_parts(self._demands, whole)
        equal = whole / max(1, len(parts))
        self._parts = {kind: max(part, equal) for kind, part in parts.items()}
        self._demands = {}
        self._admitted = {}
