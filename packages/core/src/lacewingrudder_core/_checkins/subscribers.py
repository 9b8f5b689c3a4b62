"""The hosts that subscribe to the updates of one control host."""

from __future__ import annotations

from typing import NamedTuple

from ..types import HostName, ZoneName
from .types import Subscription, ZonePeerCounts

LEASE_SECONDS = 2.5
"""A subscription expires after this long without a renewal, which is five heartbeats. From then on,
replies to targets don't wait for acknowledgements of its host."""

RESTART_GRACE_SECONDS = 10.0
"""An entry host counts as one of its zone until this long after its last renewal: it may be
restarting."""

READY_REPORT_VALIDITY_SECONDS = 1.2
"""How long an entry host counts as ready after a renewal that reports it as ready: two
heartbeats."""

MIN_UPDATE_INTERVAL_SECONDS = 0.2
"""Minimum interval between updates to a subscriber, except for removals of targets: two ticks.
Otherwise, when all targets register at once, each registration would send every host an update with
all changes that it hasn't acknowledged yet."""


class _Lease(NamedTuple):
    """A subscription and the state of its updates.

    :param renewed_at: when the host last renewed it.
    :param sent_number: number of the last change that was sent to the host.
    :param sent_at: when that change was sent.
    """

    subscription: Subscription
    renewed_at: float
    sent_number: int = 0
    sent_at: float = float("-inf")


class Subscribers:
    """Subscriptions by host; each is a lease that its host renews."""

    def __init__(self) -> None:
        self._leases: dict[HostName, _Lease] = {}
        self._expired: dict[HostName, _Lease] = {}

    def renew(self, subscription: Subscription, now: float) -> bool:
        """Add or renew a subscription; return whether it is new."""
        host = subscription.host
        self._expired.pop(host, None)
        known = self._leases.get(host)
        if known is None:
            self._leases[host] = _Lease(subscription, now)
        else:
            self._leases[host] = known._replace(subscription=subscription, renewed_at=now)
        return known is None

    def record_sent(self, host: HostName, number: int, now: float) -> None:
        """Record that all changes up to a number were sent to a subscriber."""
        self._leases[host] = self._leases[host]._replace(sent_number=number, sent_at=now)

    def is_due(self, host: HostName, last_removal: int, number: int, now: float) -> bool:
        """Return whether to send an update to a subscriber now.

        :param last_removal: number of the last removal, which is sent without delay.
        :param number: number of the last change.
        """
        row = self._leases[host]
        if row.sent_number < last_removal:
            return True
        return row.sent_number < number and now - row.sent_at >= MIN_UPDATE_INTERVAL_SECONDS

    def remove_expired(self, now: float) -> list[HostName]:
        """Remove expired subscriptions; return their hosts."""
        expired = [
            host for host, row in self._leases.items() if now - row.renewed_at > LEASE_SECONDS
        ]
        for host in expired:
            self._expired[host] = self._leases.pop(host)
        self._expired = {
            host: row
            for host, row in self._expired.items()
            if now - row.renewed_at <= RESTART_GRACE_SECONDS
        }
        return expired

    def all(self) -> list[Subscription]:
        """Return all subscriptions."""
        return [row.subscription for row in self._leases.values()]

    def count_peers(self, host: HostName, zone: ZoneName, now: float) -> ZonePeerCounts:
        """Return the counts of other entry hosts in a zone.

        :param host: entry host that isn't counted.
        """
        rows = [*self._leases.values(), *self._expired.values()]
        others = [
            row
            for row in rows
            if row.subscription.host != host
            and row.subscription.zone == zone
            and not row.subscription.is_control
        ]
        ready = [
            row
            for row in others
            if row.subscription.is_ready and now - row.renewed_at <= READY_REPORT_VALIDITY_SECONDS
        ]
        return ZonePeerCounts(len(others), len(ready))
