"""How an entry host follows the catalogue: revisions only grow."""

from __future__ import annotations

from typing import NamedTuple

from .core import Core
from .messages import Changes, Snapshot, Subscribe
from .notes import Catalogue
from .types import HostName, ZoneName

SUBSCRIBE_SECONDS = 1.0

ControlBody = Changes | Snapshot


class ControlMessage(NamedTuple):
    """A control host sent a message."""

    sender: HostName
    body: ControlBody


class Tick(NamedTuple):
    """Time passed."""


FollowerEvent = ControlMessage | Tick


class SendControl(NamedTuple):
    """Send a message to the control host that this host follows."""

    body: Subscribe


class InForce(NamedTuple):
    """A revision came into force on this host."""

    catalogue: Catalogue


FollowerEffect = SendControl | InForce


class FollowerCore(Core[FollowerEvent, FollowerEffect]):
    """Follows the catalogue of the control hosts.

    :param catalogue: what this host last had in force.
    """

    def __init__(self, name: HostName, zone: ZoneName, catalogue: Catalogue) -> None:
        self._name = name
        self._zone = zone
        self._catalogue = catalogue
        self._subscribed = float("-inf")

    @property
    def catalogue(self) -> Catalogue:
        """The catalogue in force."""
        return self._catalogue

    def handle(self, event: FollowerEvent, now: float) -> list[FollowerEffect]:
        """Take one event."""
        if isinstance(event, Tick):
            return self._tick(now)
        before = self._catalogue.revision
        self._take(event.body)
        if self._catalogue.revision == before:
            return []
        return [InForce(self._catalogue), SendControl(self._subscription())]

    def _tick(self, now: float) -> list[FollowerEffect]:
        if now - self._subscribed < SUBSCRIBE_SECONDS:
            return []
        self._subscribed = now
        return [SendControl(self._subscription())]

    def _subscription(self) -> Subscribe:
        return Subscribe(self._name, self._zone, self._catalogue.revision)

    def _take(self, body: ControlBody) -> None:
        if isinstance(body, Snapshot):
            if body.catalogue.revision > self._catalogue.revision:
                self._catalogue = body.catalogue
            return
        for change in body.changes:
            if change.revision == self._catalogue.revision + 1:
                self._catalogue = self._catalogue.apply(change)
