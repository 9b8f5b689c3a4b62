"""The hosts that subscribe to the updates of one control host."""

from __future__ import annotations

from ..types import HostName, ZoneName
from .acknowledgements import Acknowledgements
from .types import Subscription, ZonePeerCounts
from .zone_members import ZoneMembers

LEASE_SECONDS = 2.5
"""A subscription expires after this long without a renewal, which is five heartbeats. From then on,
replies to targets don't wait for acknowledgements of its host."""

RESTART_GRACE_SECONDS = 10.0
"""An entry host counts as one of its zone until this long after its last renewal: it may be
restarting."""

MIN_UPDATE_INTERVAL_SECONDS = 0.2
"""Minimum interval between updates to a subscriber, except for removals of targets: two ticks.
Otherwise, when all targets register at once, each registration would send every host an update with
all changes that it hasn't acknowledged yet."""


class _Lease:
    """A subscription and the state of its updates.

    :ivar renewed_at: when the host last renewed it.
    :ivar sent_number: number of the last change that was sent to the host.
    :ivar sent_at: when that change was sent.
    """

    __slots__ = ("subscription", "renewed_at", "sent_number", "sent_at")

    def __init__(self, subscription: Subscription, now: float) -> None:
        self.subscription = subscription
        self.renewed_at = now
        self.sent_number = 0
        self.sent_at = float("-inf")


class Subscribers:
    """Subscriptions by host; each is a lease that its host renews.

    Leases are kept in the order of their renewal.
    """

    def __init__(self) -> None:
        self._leases: dict[HostName, _Lease] = {}
        self._expired: dict[HostName, float] = {}
        self._acknowledgements = Acknowledgements()
        self._members = ZoneMembers()

    @property
    def lowest_acknowledged(self) -> int | None:
        """The change that all subscribers have acknowledged; ``None`` if there are none."""
        return self._acknowledgements.lowest

    @property
    def controls(self) -> list[HostName]:
        """The subscribed control hosts."""
        return [host for host, lease in self._leases.items() if lease.subscription.is_control]

    @property
    def entry_hosts(self) -> list[HostName]:
        """The subscribed entry hosts."""
        return [host for host, lease in self._leases.items() if not lease.subscription.is_control]

    def entry_hosts_in(self, zone: ZoneName) -> list[HostName]:
        """Return the subscribed entry hosts in a zone."""
        return [row.host for row in self.all() if not row.is_control and row.zone == zone]

    def renew(self, subscription: Subscription, acknowledged: int, now: float) -> bool:
        """Add or renew a subscription; return whether it is new.

        :param acknowledged: number of the last change that the host applied.
        """
        host = subscription.host
        self._expired.pop(host, None)
        lease = self._leases.pop(host, None)
        is_new = lease is None
        if lease is None:
            lease = _Lease(subscription, now)
        lease.subscription, lease.renewed_at = subscription, now
        self._leases[host] = lease
        self._acknowledgements.record(host, acknowledged)
        if not subscription.is_control:
            self._members.record(host, subscription.zone, subscription.is_ready, now)
        return is_new

    def get(self, host: HostName) -> Subscription | None:
        """Return the subscription of a host, or ``None``."""
        lease = self._leases.get(host)
        return None if lease is None else lease.subscription

    def acknowledged(self, host: HostName) -> int:
        """Return the number of the last change that a subscriber acknowledged."""
        return self._acknowledgements.get(host)

    def record_sent(self, host: HostName, number: int, now: float) -> None:
        """Record that all changes up to a number were sent to a subscriber."""
        lease = self._leases[host]
        lease.sent_number, lease.sent_at = number, now

    def seconds_since_sent(self, host: HostName, now: float) -> float:
        """Return the seconds since the last update to a subscriber, infinite if there is none."""
        return now - self._leases[host].sent_at

    def is_due(self, host: HostName, last_removal: int, number: int, now: float) -> bool:
        """Return whether to send an update to a subscriber now.

        :param last_removal: number of the last removal, which is sent without delay.
        :param number: number of the last change.
        """
        lease = self._leases[host]
        if lease.sent_number < last_removal:
            return True
        return lease.sent_number < number and now - lease.sent_at >= MIN_UPDATE_INTERVAL_SECONDS

    def remove_expired(self, now: float) -> list[HostName]:
        """Remove expired subscriptions; return their hosts."""
        expired: list[HostName] = []
        for host, lease in self._leases.items():
            if now - lease.renewed_at <= LEASE_SECONDS:
                break
            expired.append(host)
        for host in expired:
            self._expired[host] = self._leases.pop(host).renewed_at
            self._acknowledgements.remove(host)
        self._forget_former(now)
        return expired

    def all(self) -> list[Subscription]:
        """Return all subscriptions."""
        return [lease.subscription for lease in self._leases.values()]

    def lagging(self, number: int) -> list[HostName]:
        """Return the subscribers that haven't acknowledged a change; empty at once if all have."""
        lowest = self.lowest_acknowledged
        if lowest is None or lowest >= number:
            return []
        return [host for host in self._leases if self._acknowledgements.get(host) < number]

    def count_peers(self, host: HostName, zone: ZoneName, now: float) -> ZonePeerCounts:
        """Return the counts of other entry hosts in a zone.

        :param host: entry host that isn't counted.
        """
        return self._members.count_peers(host, zone, now)

    def _forget_former(self, now: float) -> None:
        former = [
            host
            for host, renewed_at in self._expired.items()
            if now - renewed_at > RESTART_GRACE_SECONDS
        ]
        for host in former:
            del self._expired[host]
            self._members.remove(host)
