"""The hosts that follow one control host."""

from __future__ import annotations

from typing import NamedTuple

from ..types import HostName, ZoneName
from .types import Peers, Subscription

SILENT_SECONDS = 2.5
"""A subscriber that is silent for this long, five of its heartbeats, need not confirm anything."""

RESTART_SECONDS = 10.0
"""How long a silent entry host counts among those of its zone, since it may be starting again."""

READY_SECONDS = 1.2
"""How long an entry host's word that it is ready counts: two heartbeats."""


class _Row(NamedTuple):
    subscription: Subscription
    heard: float


class Subscribers:
    """Subscriptions by host, each a lease."""

    def __init__(self) -> None:
        self._rows: dict[HostName, _Row] = {}
        self._lost: dict[HostName, _Row] = {}

    def renew(self, subscription: Subscription, now: float) -> bool:
        """Take a subscription; return whether its host was not there before."""
        host = subscription.host
        is_new = host not in self._rows
        self._lost.pop(host, None)
        self._rows[host] = _Row(subscription, now)
        return is_new

    def drop_silent(self, now: float) -> list[HostName]:
        """End the leases of silent hosts; return these."""
        silent = [host for host, row in self._rows.items() if now - row.heard > SILENT_SECONDS]
        for host in silent:
            self._lost[host] = self._rows.pop(host)
        self._lost = {
            host: row for host, row in self._lost.items() if now - row.heard <= RESTART_SECONDS
        }
        return silent

    def all(self) -> list[Subscription]:
        """Return all subscriptions."""
        return [row.subscription for row in self._rows.values()]

    def peers(self, host: HostName, zone: ZoneName, now: float) -> Peers:
        """Return the other entry hosts of a zone."""
        rows = [*self._rows.values(), *self._lost.values()]
        others = [
            row
            for row in rows
            if row.subscription.host != host
            and row.subscription.zone == zone
            and not row.subscription.is_control
        ]
        ready = [
            row for row in others if row.subscription.is_ready and now - row.heard <= READY_SECONDS
        ]
        return Peers(len(others), len(ready))
