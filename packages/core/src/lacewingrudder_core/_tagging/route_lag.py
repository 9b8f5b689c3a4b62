"""Tells a route that this host does not know yet from one that was dropped.

Another host may open a flow on a new route before this one has the configuration that adds it. The
flow's packets may reach this host next, which must not reset them for the lack of a route.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ..types import Endpoint

MAX_ROUTE_LAG_SECONDS = 4.0
"""How long a host that hears from control hosts may lack a route that other hosts have."""

MAX_MISSING_ROUTES = 1000
"""Maximum number of addresses without a route that are remembered."""


class _Missing(NamedTuple):
    """Packets of open flows arrive for an address without a route.

    :param since: time of the first one.
    :param seen_at: time of the latest one.
    """

    since: float
    seen_at: float


class RouteLag:
    """Remembers which routes this host dropped, and which it may not know yet."""

    def __init__(self) -> None:
        self._dropped_at: dict[Endpoint, float] = {}
        self._missing: dict[Endpoint, _Missing] = {}

    def record_routes(
        self, before: Iterable[Endpoint], after: Iterable[Endpoint], now: float
    ) -> None:
        """Record the routes of a configuration and those of the one that it replaces."""
        kept = set(after)
        self._dropped_at.update((endpoint, now) for endpoint in before if endpoint not in kept)
        self._dropped_at = {
            endpoint: at for endpoint, at in self._dropped_at.items() if endpoint not in kept
        }
        self._missing = {
            endpoint: row for endpoint, row in self._missing.items() if endpoint not in kept
        }

    def may_be_unknown(self, endpoint: Endpoint, confirmed_at: float, now: float) -> bool:
        """Return whether an address without a route may have one that this host does not know yet.

        :param confirmed_at: time when a control host last said that the configuration of this host
            is the newest.
        """
        if endpoint in self._dropped_at:
            return False
        row = self._missing.get(endpoint)
        if row is None and len(self._missing) >= MAX_MISSING_ROUTES:
            return False
        since = now if row is None else row.since
        self._missing[endpoint] = _Missing(since, now)
        return confirmed_at < since + MAX_ROUTE_LAG_SECONDS

    def expire(self, idle_seconds: float, now: float) -> None:
        """Forget the addresses at which no flow can be open any more.

        :param idle_seconds: idle time after which a flow may be discarded.
        """
        self._dropped_at = {
            endpoint: at for endpoint, at in self._dropped_at.items() if now - at <= idle_seconds
        }
        self._missing = {
            endpoint: row
            for endpoint, row in self._missing.items()
            if now - row.seen_at <= idle_seconds
        }
