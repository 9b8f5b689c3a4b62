"""The hosts that subscribe to the updates of one control host."""

from __future__ import annotations

from typing import NamedTuple

from ..types import HostName, ZoneName
from .types import Subscription, ZonePeerCounts

SILENT_SECONDS = 2.5
"""A subscription expires after this long without a renewal, which is five heartbeats. Replies to
targets no longer wait for its acknowledgement then."""

RESTART_SECONDS = 10.0
"""How long an unresponsive entry host still counts as one of its zone: it may be restarting."""

READY_SECONDS = 1.2
"""How long a report of an entry host that it is ready is valid: two heartbeats."""

PUSH_SECONDS = 0.2
"""Minimum interval between updates to a subscriber, except for drains and ends of lifetimes: two
ticks. Otherwise, when all targets register at once, each registration would send every host an
update with all changes that it hasn't acknowledged yet."""


class _Row(NamedTuple):
    """A subscription and the state of its updates.

    :param heard: when the host last renewed it.
    :param sent: number of the last change that was sent to the host.
    :param sent_at: when that change was sent.
    """

    subscription: Subscription
    heard: float
    sent: int = 0
    sent_at: float = float("-inf")


class Subscribers:
    """Subscriptions by host; each is a lease that its host renews."""

    def __init__(self) -> None:
        self._rows: dict[HostName, _Row] = {}
        self._lost: dict[HostName, _Row] = {}

    def renew(self, subscription: Subscription, now: float) -> bool:
        """Add or renew a subscription; return whether it is new."""
        host = subscription.host
        self._lost.pop(host, None)
        known = self._rows.get(host)
        if known is None:
            self._rows[host] = _Row(subscription, now)
        else:
            self._rows[host] = known._replace(subscription=subscription, heard=now)
        return known is None

    def note_sent(self, host: HostName, number: int, now: float) -> None:
        """Record that all changes up to a number were sent to a subscriber."""
        self._rows[host] = self._rows[host]._replace(sent=number, sent_at=now)

    def is_due(self, host: HostName, promised: int, number: int, now: float) -> bool:
        """Return whether to send an update to a subscriber now.

        :param promised: number of the last change that must be sent without delay.
        :param number: number of the last change.
        """
        row = self._rows[host]
        if row.sent < promised:
            return True
        return row.sent < number and now - row.sent_at >= PUSH_SECONDS

    def drop_silent(self, now: float) -> list[HostName]:
        """Remove expired subscriptions; return their hosts."""
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
        """Return the counts of other entry hosts in a zone.

        :param host: entry host that isn't counted.
        """
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
