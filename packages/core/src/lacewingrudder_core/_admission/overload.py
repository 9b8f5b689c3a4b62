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

MAX_SYNS_PER_SECOND = 5000.0
MIN_SYNS_PER_SECOND = 50.0
WINDOW_SECONDS = 0.1
MAX_BACKLOG_FRACTION = 0.5
"""A load measurement is high if the used fraction of the packet socket's buffer exceeds this."""
MAX_LAG_SECONDS = 0.05
"""A load measurement is also high if the lag of the event loop exceeds this."""
OVERLOAD_MEASUREMENT_COUNT = 2
"""Consecutive high measurements that indicate an overload rather than a pause."""
DECREASE_FACTOR = 0.7
"""Multiplies the limit at each measurement during an overload."""
INCREASE_SYNS_PER_SECOND = 50.0
"""Added to the limit at each measurement without overload."""


def max_min_fair_quotas(demands: Mapping[Endpoint, float], limit: float) -> dict[Endpoint, float]:
    """Divide a limit by max-min fairness: no kind gets more than its demand.

    :return: the part of each kind; their sum is at most the limit.
    """
    quotas: dict[Endpoint, float] = {}
    remaining = limit
    for index, (kind, demand) in enumerate(sorted(demands.items(), key=lambda item: item[1])):
        quotas[kind] = min(demand, remaining / (len(demands) - index))
        remaining -= quotas[kind]
    return quotas


class SynLimiter:
    """Limits the rate of SYNs depending on the load of the host."""

    def __init__(self) -> None:
        self._limit = MAX_SYNS_PER_SECOND
        self._high_measurements = 0
        self._window_start = 0.0
        self._demands: dict[Endpoint, float] = {}
        self._admitted: dict[Endpoint, float] = {}
        self._quotas: dict[Endpoint, float] = {}

    @property
    def limit(self) -> float:
        """The current limit in SYNs per second."""
        return self._limit

    def record_load(self, backlog: float, lag: float) -> None:
        """Adjust the limit to a load measurement; due once every :data:`WINDOW_SECONDS`.

        :param backlog: fraction of the packet socket's buffer that is in use.
        :param lag: delay of the event loop in seconds.
        """
        if backlog <= MAX_BACKLOG_FRACTION and lag <= MAX_LAG_SECONDS:
            self._high_measurements = 0
            self._limit = min(MAX_SYNS_PER_SECOND, self._limit + INCREASE_SYNS_PER_SECOND)
            return
        self._high_measurements += 1
        if self._high_measurements >= OVERLOAD_MEASUREMENT_COUNT:
            admitted_rate = sum(self._admitted.values()) / WINDOW_SECONDS
            self._limit = max(
                MIN_SYNS_PER_SECOND, DECREASE_FACTOR * min(self._limit, admitted_rate)
            )

    def try_admit(self, syn: Segment, now: float) -> bool:
        """Return whether a SYN is within the limit, and count it if so."""
        kind = syn.destination
        if now - self._window_start >= WINDOW_SECONDS:
            self._start_window(now)
        self._demands[kind] = self._demands.get(kind, 0.0) + 1
        used = self._admitted.get(kind, 0.0)
        if used >= self._quotas.get(kind, self._limit * WINDOW_SECONDS / (len(self._quotas) + 1)):
            return False
        self._admitted[kind] = used + 1
        return True

    def _start_window(self, now: float) -> None:
        """Divide the limit according to the demand in the previous window.

        A kind that demanded less than an equal part may grow to that part immediately. The sum may
        then exceed the limit for one window, at most by a factor of two.
        """
        self._window_start = now
        window_limit = self._limit * WINDOW_SECONDS
        quotas = max_min_fair_quotas(self._demands, window_limit)
        equal_quota = window_limit / max(1, len(quotas))
        self._quotas = {kind: max(quota, equal_quota) for kind, quota in quotas.items()}
        self._demands = {}
        self._admitted = {}
