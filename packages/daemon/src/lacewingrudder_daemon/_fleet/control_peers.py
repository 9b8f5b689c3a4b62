"""The other control hosts that a control host knows, and when it last received from them."""

from __future__ import annotations

from collections.abc import Iterable

from lacewingrudder_core.replica import DiscoveredVoters
from lacewingrudder_core.types import HostName

CONTROL_EXPIRY_SECONDS = 20.0
"""How long a control host that sends nothing and is not a voter is still announced to others."""


class ControlPeers:
    """Tracks the known control hosts.

    :param name: this host.
    :param policy: chooses voters among the known hosts; it is notified of each new one.
    """

    def __init__(self, name: HostName, policy: DiscoveredVoters) -> None:
        self._name = name
        self._policy = policy
        self._last_seen: dict[HostName, float] = {}

    @property
    def others(self) -> list[HostName]:
        """The other control hosts, sorted by name; these are polled."""
        return sorted(self._policy.contacts - {self._name})

    def mark_seen(self, host: HostName, now: float) -> None:
        """Record that a control host sent a message."""
        self._last_seen[host] = now
        self._policy.add_contacts((host,))

    def add(self, hosts: Iterable[HostName]) -> None:
        """Add hosts that are seeds or that another control host announced."""
        self._policy.add_contacts(hosts)

    def hosts_to_announce(self, voters: Iterable[HostName], now: float) -> frozenset[HostName]:
        """Return the control hosts to announce: this one, the voters and those seen recently."""
        recent = (host for host, at in self._last_seen.items() if now - at < CONTROL_EXPIRY_SECONDS)
        return frozenset({self._name, *voters, *recent})

    def retain(self, kept: Iterable[HostName]) -> None:
        """Keep only the given hosts; all others are no longer polled or announced."""
        hosts = set(kept)
        self._policy.remove_contacts(self._policy.contacts - hosts)
        self._last_seen = {host: at for host, at in self._last_seen.items() if host in hosts}
