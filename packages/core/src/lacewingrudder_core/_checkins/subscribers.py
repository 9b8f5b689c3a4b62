"""The hosts that follow one control host."""

from __future__ import annotations

from typing import NamedTuple

from ..types import HostName, ZoneName
from .types import Subscription, ZonePeerCounts

SILENT_SECONDS = 2.5
"""A subscriber that is silent for this long, five of its heartbeats, need not confirm anything."""

RESTART_SECONDS = 10.0
"""How long a silent entry host counts among those of its zone, since it may be starting again."""

READY_SECONDS = 1.2
"""How long an entry host's word that it is ready counts: two heartbeats."""

PUSH_SECONDS = 0.2
"""How far apart a subscriber gets updates that are no promise: two ticks. When all targets register
at once, an update for each would be sent to each host with everything not yet confirmed."""


class _Row(NamedTuple):
    """A subscription.

    :param sent: number of the last change that was sent.
    :param sent_at: when that was.
    """

    subscription: Subscription
    heard: float
    sent: int = 0
    sent_at: float = float("-inf")


class Subscribers:
    """Subscriptions by host, each a lease."""

    def __init__(self) -> None:
        self._rows: dict[HostName, _Row] = {}
        self._lost: dict[HostName, _Row] = {}

    def renew(self, subscription: Subscription, now: float) -> bool:
        """Take a subscription; return whether its host was not there before."""
        host = subscription.host
        self._lost.pop(host, None)
        known = self._rows.get(host)
        if known is None:
            self._rows[host] = _Row(subscription, now)
        else:
            self._rows[host] = known._replace(subscription=subscription, heard=now)
        return known is None

    def note_sent(self, host: HostName, number: int, now: float) -> None:
        """Take note that a subscriber was sent all changes up to a number."""
        self._rows[host] = self._rows[host]._replace(sent=number, sent_at=now)

    def is_due(self, host: HostName, promised: int, number: int, now: float) -> bool:
        """Return whether a subscriber is to be sent what it was not sent yet.

        :param promised: number of the last change that others must not hear late.
        :param number: of the last change.
        """
        row = self._rows[host]
        if row.sent < promised:
            return True
        return row.sent < number and now - row.sent_at >= PUSH_SECONDS

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

    def peers(self, host: HostName, zone: ZoneName, now: float) -> ZonePeerCounts:
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
        return ZonePeerCounts(len(others), len(ready))
