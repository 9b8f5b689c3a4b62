"""How an entry host follows the catalogue: revisions only grow.

The host follows one control host, of its own zone if there is one, and turns to the next when that
one falls silent or behind. While no control host helps, it asks a peer that is ahead.
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

SUBSCRIBE_SECONDS = 1.0
SILENCE_SECONDS = 1.5
BEHIND_SECONDS = 1.0
PEER_SECONDS = 1.0
BACKOFF_LAST_SECONDS = 2.0


class ControlMessage(NamedTuple):
    """A control host, or a peer in its place, sent a message."""

    sender: HostName
    body: PropagationMessage


class PeerSeen(NamedTuple):
    """Another entry host told its revision in force."""

    host: HostName
    revision: int


class ZonesChanged(NamedTuple):
    """The zones of hosts, control hosts among them, became known."""

    zones: Mapping[HostName, ZoneName]


class CataloguePersisted(NamedTuple):
    """A catalogue of this revision is durable on this host."""

    revision: int


class Tick(NamedTuple):
    """Time passed."""


FollowerEvent = ControlMessage | PeerSeen | ZonesChanged | CataloguePersisted | Tick


class SendToControl(NamedTuple):
    """Send a message to a host that serves changes."""

    host: HostName
    body: Subscribe | SnapshotPull


class PersistCatalogue(NamedTuple):
    """Make a catalogue durable, then report :class:`CataloguePersisted`."""

    catalogue: Catalogue


class CatalogueInForce(NamedTuple):
    """A revision came into force on this host.

    :param changes: what led to it from the revision before; empty if a snapshot did.
    """

    catalogue: Catalogue
    changes: tuple[Change, ...]


FollowerEffect = SendToControl | PersistCatalogue | CatalogueInForce


class FollowerCore(Core[FollowerEvent, FollowerEffect]):
    """Follows the catalogue of the control hosts.

    :param catalogue: what this host last had in force.
    :param controls: names of the control hosts.
    :param rng: source of jitter.
    :param keeps: whether a catalogue has to be durable before it comes into force.
    """

    def __init__(
        self,
        name: HostName,
        zone: ZoneName,
        catalogue: Catalogue,
        controls: tuple[HostName, ...],
        rng: random.Random,
        keeps: bool = False,
    ) -> None:
        self._name = name
        self._zone = zone
        self._catalogue = catalogue._replace(receipts=())
        self._digests = DigestCache()
        self._controls = sorted(controls, key=self._rank)
        self._rng = rng
        self._keeps = keeps
        self._keeping: Catalogue | None = None
        self._newest = self._catalogue
        self._unforced: tuple[Change, ...] = ()
        self._builder = SnapshotBuilder()
        self._followed = 0
        self._heard: float | None = None
        self._silences = 0
        self._next_subscribe = float("-inf")
        self._next_peer = float("-inf")
        self._behind_since: float | None = None
        self._floor = 0

    @property
    def catalogue(self) -> Catalogue:
        """The catalogue in force."""
        return self._catalogue

    @property
    def followed(self) -> HostName:
        """The control host that this host follows, empty if there is none."""
        return self._controls[self._followed] if self._controls else ""

    def handle(self, event: FollowerEvent, now: float) -> list[FollowerEffect]:
        """Take one event."""
        if isinstance(event, Tick):
            return self._tick(now)
        if isinstance(event, PeerSeen):
            return self._peer_seen(event, now)
        if isinstance(event, CataloguePersisted):
            return self._kept(event.revision)
        if isinstance(event, ZonesChanged):
            self._sort_controls(event.zones)
            return []
        return self._message(event.sender, event.body, now)

    def _tick(self, now: float) -> list[FollowerEffect]:
        if not self._controls:
            return []
        if self._heard is None:
            self._heard = now
        if now - self._heard > SILENCE_SECONDS:
            self._silences += 1
            self._switch(now)
        if now < self._next_subscribe:
            return []
        self._next_subscribe = now + SUBSCRIBE_SECONDS * self._rng.uniform(0.8, 1.0)
        return [SendToControl(self.followed, self._subscription())]

    def _switch(self, now: float) -> None:
        """Follow the next control host, at once the first times and then ever more slowly."""
        rounds = self._silences // len(self._controls)
        pause = min(BACKOFF_LAST_SECONDS, 0.2 * 2.0 ** min(rounds, 8) - 0.2)
        self._followed = (self._followed + 1) % len(self._controls)
        self._heard = now + pause
        self._next_subscribe = now + pause * self._rng.uniform(0.5, 1.0)

    def _peer_seen(self, event: PeerSeen, now: float) -> list[FollowerEffect]:
        self._floor = max(self._floor, event.revision)
        if self._newest.revision >= self._floor:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        if self._behind_since is None or now - self._behind_since < BEHIND_SECONDS:
            return []
        if event.revision <= self._newest.revision or now < self._next_peer:
            return []
        self._next_peer = now + PEER_SECONDS
        if self._controls:
            self._switch(now)
        return [SendToControl(event.host, self._subscription())]

    def _message(
        self, sender: HostName, body: PropagationMessage, now: float
    ) -> list[FollowerEffect]:
        if sender == self.followed:
            self._heard = now
            self._silences = 0
        if isinstance(body, SubscribeReply):
            return []
        if isinstance(body, SnapshotPart):
            return self._part(sender, body)
        return self._changes(sender, body)

    def _changes(self, sender: HostName, body: Changes) -> list[FollowerEffect]:
        newest: Catalogue | None = self._newest
        applied = []
        for change in body.changes:
            if newest is not None and change.revision == newest.revision + 1:
                newest = _applied(newest, change)
                applied.append(change)
        if newest is None:
            return [SendToControl(sender, SnapshotPull(self._name, 0, 0))]
        if body.changes and body.changes[-1].revision > newest.revision:
            return [SendToControl(sender, self._subscription())]
        return self._take(newest, tuple(applied))

    def _part(self, sender: HostName, part: SnapshotPart) -> list[FollowerEffect]:
        is_repair = part.revision == self._newest.revision and sender in self._controls
        if part.revision <= self._newest.revision and not is_repair:
            return []
        catalogue = self._builder.add(part)
        if catalogue is not None:
            return self._take(catalogue, ())
        if self._builder.next_index < part.parts:
            pull = SnapshotPull(self._name, part.revision, self._builder.next_index)
            return [SendToControl(sender, pull)]
        return []

    def _take(self, catalogue: Catalogue, changes: tuple[Change, ...]) -> list[FollowerEffect]:
        if catalogue == self._newest or self._is_too_old(catalogue):
            return []
        self._newest = catalogue
        self._unforced = self._unforced + changes if changes else ()
        if not self._keeps:
            return self._put_in_force(catalogue)
        return self._keep_newest()

    def _is_too_old(self, catalogue: Catalogue) -> bool:
        """Whether a host that has nothing yet would begin below what it heard of."""
        return self._catalogue.revision == 0 and catalogue.revision < self._floor

    def _keep_newest(self) -> list[FollowerEffect]:
        if self._keeping is not None:
            return []
        self._keeping = self._newest
        return [PersistCatalogue(self._newest)]

    def _kept(self, revision: int) -> list[FollowerEffect]:
        kept, self._keeping = self._keeping, None
        if kept is None or kept.revision != revision:
            return []
        effects = self._put_in_force(kept)
        if self._newest != kept:
            effects += self._keep_newest()
        return effects

    def _put_in_force(self, catalogue: Catalogue) -> list[FollowerEffect]:
        before = self._catalogue.revision
        self._catalogue = catalogue
        changes = tuple(c for c in self._unforced if before < c.revision <= catalogue.revision)
        self._unforced = tuple(c for c in self._unforced if c.revision > catalogue.revision)
        effect = CatalogueInForce(
            catalogue, changes if len(changes) == catalogue.revision - before else ()
        )
        if not self._controls:
            return [effect]
        return [effect, SendToControl(self.followed, self._subscription())]

    def _subscription(self) -> Subscribe:
        digest = self._digests.of(self._catalogue)
        return Subscribe(self._name, self._zone, self._catalogue.revision, digest)

    def _rank(self, control: HostName) -> int:
        return pair_hash(name_hash(self._name), name_hash(control))

    def _sort_controls(self, zones: Mapping[HostName, ZoneName]) -> None:
        """Put control hosts of the own zone first, and follow the first if it is one of these."""
        if not self._controls:
            return
        followed = self.followed
        near = {name for name in self._controls if zones.get(name) == self._zone}
        self._controls.sort(key=lambda name: (name not in near, self._rank(name)))
        if self._controls[0] in near and followed not in near:
            followed = self._controls[0]
        self._followed = self._controls.index(followed)


def _applied(catalogue: Catalogue, change: Change) -> Catalogue | None:
    """Return the catalogue after a change, or ``None`` if the two do not fit together."""
    try:
        return catalogue.apply(change)._replace(receipts=())
    except KeyError:
        return None
