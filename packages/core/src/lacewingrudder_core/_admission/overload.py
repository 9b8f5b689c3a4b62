"""Limits the rate of SYNs that a host accepts from the fabric, before any relaying or placement.

Refusing a SYN here costs a single lookup. The limit follows the host's own load, measured as the
backlog of its packet socket and the lag of its event loop, by additive increase and multiplicative
decrease. A single high measurement does not reduce the limit: after a pause of the process, the
timer is late and the socket is full once, however few SYNs are sent. The limit is divided between
kinds by max-min fairness, so that a kind that demands less than an equal part is never refused.
Packets of existing flows are never refused.
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
"""Consecutive high measurements that indicate an overload rather than a pause."""
CUT_FACTOR = 0.7
RECOVERY_SYNS_PER_SECOND = 50.0


def fair_parts(demands: Mapping[Endpoint, float], limit: float) -> dict[Endpoint, float]:
    """Divide a limit by max-min fairness: no kind gets more than its demand.

    :return: the part of each kind; their sum is at most the limit.
    """
    parts: dict[Endpoint, float] = {}
    left = limit
    for number, (kind, demand) in enumerate(sorted(demands.items(), key=lambda item: item[1])):
        parts[kind] = min(demand, left / (len(demands) - number))
        left -= parts[kind]
    return parts


class SynLimiter:
    """Limits the rate of SYNs depending on the load of the host."""

    def __init__(self) -> None:
        self._limit = MOST_SYNS_PER_SECOND
        self._overloaded = 0
        self._window = 0.0
        self._demands: dict[Endpoint, float] = {}
        self._admitted: dict[Endpoint, float] = {}
        self._parts: dict[Endpoint, float] = {}

    @property
    def limit(self) -> float:
        """The current limit in SYNs per second."""
        return self._limit

    def record_load(self, backlog: float, lag: float) -> None:
        """Adjust the limit to a load measurement; due once every :data:`WINDOW_SECONDS`.

        :param backlog: fraction of the packet socket's buffer that is in use.
        :param lag: delay of the event loop in seconds.
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
        """Return whether a SYN is within the limit, and count it if so."""
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
        """Divide the limit according to the demand in the previous window.

        A kind that demanded less than an equal part may grow to that part immediately. The sum may
        then exceed the limit for one window, at most by a factor of two.
        """
        self._window = now
        whole = self._limit * WINDOW_SECONDS
        parts = fair_parts(self._demands, whole)
        equal = whole / max(1, len(parts))
        self._parts = {kind: max(part, equal) for kind, part in parts.items()}
        self._demands = {}
        self._admitted = {}
