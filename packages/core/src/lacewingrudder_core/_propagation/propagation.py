"""Propagation of changes from a host that has them to its subscribers.

A subscription is a lease. The subscriber renews it, and each renewal acknowledges the revision that
the subscriber has in force. Control hosts serve entry hosts; an entry host serves its peers where
no control host can be reached.
"""

from __future__ import annotations

from typing import NamedTuple

from .._notes.catalogue import Catalogue, Change
from .._replica.log import note_weight
from ..core import Core
from ..messages import (
    Changes,
    HostStatus,
    PropagationMessage,
    SnapshotPart,
    SnapshotPull,
    Subscribe,
    SubscribeReply,
)
from ..types import HostName
from .snapshots import DigestCache, snapshot_part
from .token_bucket import TokenBucket

MAX_KEPT_CHANGES = 200
MAX_CHANGES_PER_MESSAGE = 50
MAX_WEIGHT_PER_MESSAGE = 1000
LEASE_SECONDS = 5.0
MAX_KEPT_HOSTS = 2_000
MAX_PARTS_PER_SECOND = 64.0


class Subscribed(NamedTuple):
    """An entry host subscribed, or renewed its subscription."""

    subscribe: Subscribe


class SnapshotPulled(NamedTuple):
    """An entry host requested a part of a snapshot."""

    pull: SnapshotPull


class ChangeApplied(NamedTuple):
    """A change was committed and applied.

    :param catalogue: the catalogue after the change.
    """

    change: Change
    catalogue: Catalogue


class CatalogueReplaced(NamedTuple):
    """The whole catalogue was replaced, for example by a snapshot."""

    catalogue: Catalogue


PropagationEvent = Subscribed | SnapshotPulled | ChangeApplied | CatalogueReplaced


class SendToHost(NamedTuple):
    """Send a message to a subscriber."""

    host: HostName
    body: PropagationMessage


class PropagationCore(Core[PropagationEvent, SendToHost]):
    """Serves changes and snapshots to subscribers, and records the revision each has in force.

    :param catalogue: the initial catalogue.
    """

    def __init__(self, catalogue: Catalogue) -> None:
        self._catalogue = catalogue
        self._digests = DigestCache()
        self._recent_changes: list[Change] = []
        self._hosts: dict[HostName, HostStatus] = {}
        self._last_contact: dict[HostName, float] = {}
        self._part_budget = TokenBucket(MAX_PARTS_PER_SECOND, MAX_PARTS_PER_SECOND)

    def handle(self, event: PropagationEvent, now: float) -> list[SendToHost]:
        """Handle one event and return the messages to send."""
        if isinstance(event, Subscribed):
            return self._handle_subscribe(event.subscribe, now)
        if isinstance(event, SnapshotPulled):
            return self._send_snapshot_part(event.pull.host, event.pull.part, now)
        if isinstance(event, CatalogueReplaced):
            self._catalogue = event.catalogue
            self._recent_changes = []
            return []
        self._catalogue = event.catalogue
        self._recent_changes = [*self._recent_changes, event.change][-MAX_KEPT_CHANGES:]
        leased = [name for name, at in self._last_contact.items() if now - at <= LEASE_SECONDS]
        return [SendToHost(name, Changes((event.change,))) for name in leased]

    def hosts(self, now: float) -> tuple[HostStatus, ...]:
        """Return the entry hosts that subscribed here, including those whose lease expired."""
        return tuple(
            host._replace(age=now - self._last_contact[host.name]) for host in self._hosts.values()
        )

    def _handle_subscribe(self, subscribe: Subscribe, now: float) -> list[SendToHost]:
        host = HostStatus(subscribe.host, subscribe.zone, subscribe.revision, 0.0)
        self._hosts[subscribe.host] = host
        self._last_contact.pop(subscribe.host, None)
        self._last_contact[subscribe.host] = now
        self._drop_oldest_host()
        digest = self._digests.of(self._catalogue)
        reply = SendToHost(subscribe.host, SubscribeReply(self._catalogue.revision, digest))
        if subscribe.revision > self._catalogue.revision:
            return [reply]
        if subscribe.revision == self._catalogue.revision:
            same = subscribe.digest == digest
            return [reply] if same else [reply, *self._send_snapshot_part(subscribe.host, 0, now)]
        return [reply, *self._catch_up(subscribe, now)]

    def _catch_up(self, subscribe: Subscribe, now: float) -> list[SendToHost]:
        missing = [c for c in self._recent_changes if c.revision > subscribe.revision]
        if missing and missing[0].revision == subscribe.revision + 1:
            return [SendToHost(subscribe.host, Changes(_fitting_changes(missing)))]
        return self._send_snapshot_part(subscribe.host, 0, now)

    def _send_snapshot_part(self, host: HostName, index: int, now: float) -> list[SendToHost]:
        if not self._part_budget.take(1, now):
            return []
        part: SnapshotPart = snapshot_part(self._catalogue, index)
        return [SendToHost(host, part)]

    def _drop_oldest_host(self) -> None:
        if len(self._last_contact) > MAX_KEPT_HOSTS:
            oldest = next(iter(self._last_contact))
            del self._last_contact[oldest]
            del self._hosts[oldest]


def _fitting_changes(changes: list[Change]) -> tuple[Change, ...]:
    """Return as many of the first changes as fit into one message, but at least one."""
    total = 0
    kept: list[Change] = []
    for change in changes[:MAX_CHANGES_PER_MESSAGE]:
        total += 1 if change.note is None else note_weight(change.note)
        if kept and total > MAX_WEIGHT_PER_MESSAGE:
            break
        kept.append(change)
    return tuple(kept)
