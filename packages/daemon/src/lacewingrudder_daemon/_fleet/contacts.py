"""The control hosts that one of them knows: who votes, and who was heard of late."""

from __future__ import annotations

from collections.abc import Iterable

from lacewingrudder_core.replica import DiscoveredVoters
from lacewingrudder_core.types import HostName

CONTROL_KEPT_SECONDS = 20.0
"""How long a silent control host that does not vote is still told to others."""


class ControlContacts:
    """Control hosts by their names.

    :param name: this host.
    :param policy: decides on voters by who is known; it is told of each host.
    """

    def __init__(self, name: HostName, policy: DiscoveredVoters) -> None:
        self._name = name
        self._policy = policy
        self._heard: dict[HostName, float] = {}

    @property
    def others(self) -> list[HostName]:
        """The hosts to poll, in order."""
        return sorted(self._policy.contacts - {self._name})

    def hear(self, host: HostName, now: float) -> None:
        """Take note that a control host sent something."""
        self._heard[host] = now
        self._policy.add_contacts((host,))

    def learn(self, hosts: Iterable[HostName]) -> None:
        """Take note of hosts that seeds or other control hosts name."""
        self._policy.add_contacts(hosts)

    def known(self, voters: Iterable[HostName], now: float) -> frozenset[HostName]:
        """Return the control hosts to tell others of."""
        heard = (host for host, at in self._heard.items() if now - at < CONTROL_KEPT_SECONDS)
        return frozenset({self._name, *voters, *heard})

    def forget(self, kept: Iterable[HostName]) -> None:
        """Poll no host any longer but some, nor count others as heard."""
        hosts = set(kept)
        self._policy.remove_contacts(self._policy.contacts - hosts)
        self._heard = {host: at for host, at in self._heard.items() if host in hosts}
