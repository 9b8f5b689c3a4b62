"""Replicates the catalogue to an entry host; its revision never decreases.

The host subscribes to one control host, preferably in its own zone, and switches to the next one if
that host is unresponsive or falls behind other entry hosts. While it is behind, it also asks an
entry host that is ahead.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import NamedTuple

from .._notes.catalogue import Catalogue, Change
from .._propagation.snapshots import DigestCache, SnapshotBuilder
from ..core import Core
from ..hashing import name_hash, pair_hash
from ..messages import (
    Changes,
    PropagationMessage,
    SnapshotPart,
    SnapshotPull,
    Subscribe,
    SubscribeReply,
)
from ..types import HostName, ZoneName

MAX_SUBSCRIBE_INTERVAL_SECONDS = 1.0
CONTROL_TIMEOUT_SECONDS = 1.5
MAX_BEHIND_SECONDS = 1.0
MIN_PEER_REQUEST_INTERVAL_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 2.0


class ControlMessage(NamedTuple):
    """A control host, or an entry host in its place, sent a message."""

    sender: HostName
    body: PropagationMessage


class PeerRevisionReceived(NamedTuple):
    """Another entry host reported its revision in force."""

    host: HostName
    revision: int


class ZonesChanged(NamedTuple):
    """The zones of hosts, including control hosts, became known."""

    zones: Mapping[HostName, ZoneName]


class CataloguePersisted(NamedTuple):
    """The catalogue of this revision was persisted on this host."""

    revision: int


class Tick(NamedTuple):
    """Periodic timer: renews a due subscription, and switches the control host after a timeout."""


FollowerEvent = ControlMessage | PeerRevisionReceived | ZonesChanged | CataloguePersisted | Tick


class SendToControl(NamedTuple):
    """Send a message to a host that serves changes."""

    host: HostName
    body: Subscribe | SnapshotPull


class PersistCatalogue(NamedTuple):
    """Persist a catalogue, then report :class:`CataloguePersisted`."""

    catalogue: Catalogue


class CatalogueInForce(NamedTuple):
    """A catalogue came into force on this host.

    :param changes: changes since the revision that was in force before; empty after a snapshot.
    """

    catalogue: Catalogue
    changes: tuple[Change, ...]


FollowerEffect = SendToControl | PersistCatalogue | CatalogueInForce


class FollowerCore(Core[FollowerEvent, FollowerEffect]):
    """Replicates the catalogue of the control hosts to one entry host.

    :param catalogue: catalogue that this host last had in force.
    :param controls: names of the control hosts.
    :param rng: source of jitter.
    :param persists: whether to persist a catalogue before it comes into force.
    """

    def __init__(
        self,
        name: HostName,
        zone: ZoneName,
        catalogue: Catalogue,
        controls: tuple[HostName, ...],
        rng: random.Random,
        persists: bool = False,
    ) -> None:
        self._name = name
        self._zone = zone
        self._catalogue = catalogue._replace(receipts=())
        self._digests = DigestCache()
        self._controls = sorted(controls, key=self._rank)
        self._rng = rng
        self._persists = persists
        self._persisting: Catalogue | None = None
        self._newest = self._catalogue
        self._pending_changes: tuple[Change, ...] = ()
        self._snapshot_builder = SnapshotBuilder()
        self._followed_index = 0
        self._last_received_at: float | None = None
        self._timeout_count = 0
        self._next_subscribe_at = float("-inf")
        self._next_peer_request_at = float("-inf")
        self._behind_since: float | None = None
        self._min_revision = 0

    @property
    def catalogue(self) -> Catalogue:
        """The catalogue in force."""
        return self._catalogue

    @property
    def followed_control(self) -> HostName:
        """The control host that this host subscribes to, empty if there is none."""
        return self._controls[self._followed_index] if self._controls else ""

    def is_caught_up(self, reply: SubscribeReply) -> bool:
        """Return whether the catalogue in force is the replying host's, or newer."""
        if reply.revision != self._catalogue.revision:
            return reply.revision < self._catalogue.revision
        return reply.digest == self._digests.of(self._catalogue)

    def handle(self, event: FollowerEvent, now: float) -> list[FollowerEffect]:
        """Handle an event and return its effects."""
        if isinstance(event, Tick):
            return self._handle_tick(now)
        if isinstance(event, PeerRevisionReceived):
            return self._handle_peer_revision(event, now)
        if isinstance(event, CataloguePersisted):
            return self._handle_persisted(event.revision)
        if isinstance(event, ZonesChanged):
            self._sort_controls(event.zones)
            return []
        return self._handle_message(event.sender, event.body, now)

    def _handle_tick(self, now: float) -> list[FollowerEffect]:
        if not self._controls:
            return []
        if self._last_received_at is None:
            self._last_received_at = now
        if now - self._last_received_at > CONTROL_TIMEOUT_SECONDS:
            self._timeout_count += 1
            self._switch_control(now)
        if now < self._next_subscribe_at:
            return []
        self._next_subscribe_at = now + MAX_SUBSCRIBE_INTERVAL_SECONDS * self._rng.uniform(0.8, 1.0)
        return [SendToControl(self.followed_control, self._make_subscription())]

    def _switch_control(self, now: float) -> None:
        """Switch to the next control host: at once in the first round, then with backoff."""
        rounds = self._timeout_count // len(self._controls)
        pause = min(MAX_BACKOFF_SECONDS, 0.2 * 2.0 ** min(rounds, 8) - 0.2)
        self._followed_index = (self._followed_index + 1) % len(self._controls)
        self._last_received_at = now + pause
        self._next_subscribe_at = now + pause * self._rng.uniform(0.5, 1.0)

    def _handle_peer_revision(
        self, event: PeerRevisionReceived, now: float
    ) -> list[FollowerEffect]:
        self._min_revision = max(self._min_revision, event.revision)
        if self._newest.revision >= self._min_revision:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        if self._behind_since is None or now - self._behind_since < MAX_BEHIND_SECONDS:
            return []
        if event.revision <= self._newest.revision or now < self._next_peer_request_at:
            return []
        self._next_peer_request_at = now + MIN_PEER_REQUEST_INTERVAL_SECONDS
        if self._controls:
            self._switch_control(now)
        return [SendToControl(event.host, self._make_subscription())]

    def _handle_message(
        self, sender: HostName, body: PropagationMessage, now: float
    ) -> list[FollowerEffect]:
        if sender == self.followed_control:
            self._last_received_at = now
            self._timeout_count = 0
        if isinstance(body, SubscribeReply):
            return []
        if isinstance(body, SnapshotPart):
            return self._handle_part(sender, body)
        return self._handle_changes(sender, body)

    def _handle_changes(self, sender: HostName, body: Changes) -> list[FollowerEffect]:
        newest: Catalogue | None = self._newest
        applied = []
        for change in body.changes:
            if newest is not None and change.revision == newest.revision + 1:
                newest = _try_apply(newest, change)
                applied.append(change)
        if newest is None:
            return [SendToControl(sender, SnapshotPull(self._name, 0, 0))]
        if body.changes and body.changes[-1].revision > newest.revision:
            return [SendToControl(sender, self._make_subscription())]
        return self._accept(newest, tuple(applied))

    def _handle_part(self, sender: HostName, part: SnapshotPart) -> list[FollowerEffect]:
        is_repair = part.revision == self._newest.revision and sender in self._controls
        if part.revision <= self._newest.revision and not is_repair:
            return []
        catalogue = self._snapshot_builder.add(part)
        if catalogue is not None:
            return self._accept(catalogue, ())
        if self._snapshot_builder.next_index < part.parts:
            pull = SnapshotPull(self._name, part.revision, self._snapshot_builder.next_index)
            return [SendToControl(sender, pull)]
        return []

    def _accept(self, catalogue: Catalogue, changes: tuple[Change, ...]) -> list[FollowerEffect]:
        if catalogue == self._newest or self._is_too_old(catalogue):
            return []
        self._newest = catalogue
        self._pending_changes = self._pending_changes + changes if changes else ()
        if not self._persists:
            return self._put_in_force(catalogue)
        return self._persist_newest()

    def _is_too_old(self, catalogue: Catalogue) -> bool:
        """Return whether this host has no catalogue and this one is older than that of a peer."""
        return self._catalogue.revision == 0 and catalogue.revision < self._min_revision

    def _persist_newest(self) -> list[FollowerEffect]:
        if self._persisting is not None:
            return []
        self._persisting = self._newest
        return [PersistCatalogue(self._newest)]

    def _handle_persisted(self, revision: int) -> list[FollowerEffect]:
        persisted, self._persisting = self._persisting, None
        if persisted is None or persisted.revision != revision:
            return []
        effects = self._put_in_force(persisted)
        if self._newest != persisted:
            effects += self._persist_newest()
        return effects

    def _put_in_force(self, catalogue: Catalogue) -> list[FollowerEffect]:
        before = self._catalogue.revision
        self._catalogue = catalogue
        changes = tuple(
            c for c in self._pending_changes if before < c.revision <= catalogue.revision
        )
        self._pending_changes = tuple(
            c for c in self._pending_changes if c.revision > catalogue.revision
        )
        effect = CatalogueInForce(
            catalogue, changes if len(changes) == catalogue.revision - before else ()
        )
        if not self._controls:
            return [effect]
        return [effect, SendToControl(self.followed_control, self._make_subscription())]

    def _make_subscription(self) -> Subscribe:
        digest = self._digests.of(self._catalogue)
        return Subscribe(self._name, self._zone, self._catalogue.revision, digest)

    def _rank(self, control: HostName) -> int:
        return pair_hash(name_hash(self._name), name_hash(control))

    def _sort_controls(self, zones: Mapping[HostName, ZoneName]) -> None:
        """Sort control hosts of the local zone first, and switch to the first of them.

        A host that already subscribes to one of the local zone stays with it.
        """
        if not self._controls:
            return
        followed = self.followed_control
        local_controls = {name for name in self._controls if zones.get(name) == self._zone}
        self._controls.sort(key=lambda name: (name not in local_controls, self._rank(name)))
        if self._controls[0] in local_controls and followed not in local_controls:
            followed = self._controls[0]
        self._followed_index = self._controls.index(followed)


def _try_apply(catalogue: Catalogue, change: Change) -> Catalogue | None:
    """Return the catalogue after a change, or ``None`` if the change doesn't apply to it."""
    try:
        return catalogue.apply(change)._replace(receipts=())
    except KeyError:
        return None
