"""How a control host spreads changes to the entry hosts that subscribe to it."""

from __future__ import annotations

from typing import NamedTuple

from .core import Core
from .messages import Changes, HostStatus, Snapshot, Subscribe
from .notes import Catalogue, Change
from .types import HostName

CHANGES_KEPT = 200


class Subscribed(NamedTuple):
    """An entry host asked for changes."""

    subscribe: Subscribe


class Advanced(NamedTuple):
    """A change was committed and applied.

    :param catalogue: the catalogue after it.
    """

    change: Change
    catalogue: Catalogue


SpreadEvent = Subscribed | Advanced


class SendHost(NamedTuple):
    """Send changes to an entry host."""

    host: HostName
    body: Changes | Snapshot


class SpreadCore(Core[SpreadEvent, SendHost]):
    """Keeps who subscribes and what each has in force.

    :param catalogue: the catalogue recovered from disk.
    """

    def __init__(self, catalogue: Catalogue) -> None:
        self._catalogue = catalogue
        self._recent: list[Change] = []
        self._hosts: dict[HostName, HostStatus] = {}
        self._heard: dict[HostName, float] = {}

    def handle(self, event: SpreadEvent, now: float) -> list[SendHost]:
        """Take one event."""
        if isinstance(event, Subscribed):
            return self._subscribed(event.subscribe, now)
        self._catalogue = event.catalogue
        self._recent = [*self._recent, event.change][-CHANGES_KEPT:]
        return [SendHost(name, Changes((event.change,))) for name in self._hosts]

    def hosts(self, now: float) -> tuple[HostStatus, ...]:
        """Return the entry hosts that subscribed here."""
        return tuple(
            host._replace(age=now - self._heard[host.name]) for host in self._hosts.values()
        )

    def _subscribed(self, subscribe: Subscribe, now: float) -> list[SendHost]:
        host = HostStatus(subscribe.host, subscribe.zone, subscribe.revision, 0.0)
        self._hosts[subscribe.host] = host
        self._heard[subscribe.host] = now
        if subscribe.revision >= self._catalogue.revision:
            return []
        missing = [c for c in self._recent if c.revision > subscribe.revision]
        if missing and missing[0].revision == subscribe.revision + 1:
            return [SendHost(subscribe.host, Changes(tuple(missing)))]
        return [SendHost(subscribe.host, Snapshot(self._catalogue))]
