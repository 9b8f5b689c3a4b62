"""The entry hosts of each availability zone, and which of them are ready."""

from __future__ import annotations

from ..types import HostName, ZoneName
from .types import ZonePeerCounts

READY_REPORT_VALIDITY_SECONDS = 1.2
"""How long an entry host counts as ready after a renewal that reports it as ready: two
heartbeats."""


class _Zone:
    """Entry hosts of one zone.

    :ivar known: all hosts, including those that may be restarting.
    :ivar ready: time of the last report of each ready host, oldest first.
    """

    def __init__(self) -> None:
        self.known: set[HostName] = set()
        self.ready: dict[HostName, float] = {}


class ZoneMembers:
    """Counts the entry hosts of each zone; recording and counting don't iterate over hosts."""

    def __init__(self) -> None:
        self._zones: dict[ZoneName, _Zone] = {}
        self._zone_by_host: dict[HostName, ZoneName] = {}

    def record(self, host: HostName, zone: ZoneName, is_ready: bool, now: float) -> None:
        """Record that an entry host reported itself."""
        if self._zone_by_host.get(host, zone) != zone:
            self.remove(host)
        self._zone_by_host[host] = zone
        members = self._zones.setdefault(zone, _Zone())
        members.known.add(host)
        members.ready.pop(host, None)
        if is_ready:
            members.ready[host] = now

    def remove(self, host: HostName) -> None:
        """Forget a host."""
        zone = self._zone_by_host.pop(host, None)
        if zone is None:
            return
        members = self._zones[zone]
        members.known.discard(host)
        members.ready.pop(host, None)
        if not members.known:
            del self._zones[zone]

    def count_peers(self, host: HostName, zone: ZoneName, now: float) -> ZonePeerCounts:
        """Return the counts of the entry hosts in a zone other than ``host``."""
        members = self._zones.get(zone)
        if members is None:
            return ZonePeerCounts(0, 0)
        while members.ready:
            oldest, reported_at = next(iter(members.ready.items()))
            if now - reported_at <= READY_REPORT_VALIDITY_SECONDS:
                break
            del members.ready[oldest]
        known = len(members.known) - (host in members.known)
        return ZonePeerCounts(known, len(members.ready) - (host in members.ready))
