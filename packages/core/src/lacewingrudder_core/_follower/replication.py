"""Catalogue replication of an entry host: it follows the control hosts and serves its peers."""

from __future__ import annotations

import random
from collections.abc import Mapping

from .._entry.events import SendToPeer
from .._notes.catalogue import Catalogue
from .._propagation.propagation import (
    CatalogueReplaced,
    ChangeApplied,
    PropagationCore,
    SendToHost,
    SnapshotPulled,
    Subscribed,
)
from ..messages import Subscribe, SubscribeReply, SubscriberMessage
from ..types import HostName, Member, ZoneName
from .follower import (
    CatalogueInForce,
    ControlMessage,
    FollowerCore,
    FollowerEffect,
    FollowerEvent,
    PeerRevisionReceived,
    ZonesChanged,
)

RevisionEffect = FollowerEffect | SendToPeer


class CatalogueReplication:
    """Connects the follower of this host to the core that serves its peers.

    :param catalogue: catalogue that this host last had in force.
    :param controls: names of the control hosts.
    :param persists: whether to persist a catalogue before it comes into force.
    """

    def __init__(
        self,
        me: Member,
        catalogue: Catalogue,
        controls: tuple[HostName, ...],
        persists: bool,
        rng: random.Random,
    ) -> None:
        self._follower = FollowerCore(me.name, me.zone, catalogue, controls, rng, persists)
        self._propagation = PropagationCore(catalogue)

    @property
    def catalogue(self) -> Catalogue:
        """The catalogue in force."""
        return self._follower.catalogue

    @property
    def followed_control(self) -> HostName:
        """The control host that this host subscribes to, empty if there is none."""
        return self._follower.followed_control

    def is_caught_up(self, reply: SubscribeReply) -> bool:
        """Return whether the catalogue in force is the replying host's, or newer."""
        return self._follower.is_caught_up(reply)

    def update_zones(self, zones: Mapping[HostName, ZoneName], now: float) -> None:
        """Update the zones of hosts, which determine the preferred control host."""
        self._follower.handle(ZonesChanged(zones), now)

    def handle_control_message(
        self, event: ControlMessage, may_adopt: bool, now: float
    ) -> list[RevisionEffect]:
        """Handle a message of a control host.

        :param may_adopt: whether peers had time to report their revisions. Before that, a host
            without a catalogue ignores the message, since the sender's may be older than theirs.
        """
        is_first = self.catalogue.revision == 0 and not isinstance(event.body, SubscribeReply)
        if is_first and not may_adopt:
            return []
        return self.handle(event, now)

    def handle_peer_revision(
        self, host: HostName, revision: int, now: float
    ) -> list[RevisionEffect]:
        """Handle a peer's report of its revision in force."""
        return self.handle(PeerRevisionReceived(host, revision), now)

    def handle(self, event: FollowerEvent, now: float) -> list[RevisionEffect]:
        """Pass an event to the follower, and send catalogues that come into force to peers."""
        effects: list[RevisionEffect] = []
        for effect in self._follower.handle(event, now):
            effects.append(effect)
            if isinstance(effect, CatalogueInForce):
                effects += self._propagate(effect, now)
        return effects

    def serve_peer(self, request: SubscriberMessage, now: float) -> list[RevisionEffect]:
        """Answer the request of a peer that is behind this host."""
        if isinstance(request, Subscribe):
            return _to_peers(self._propagation.handle(Subscribed(request), now))
        return _to_peers(self._propagation.handle(SnapshotPulled(request), now))

    def _propagate(self, effect: CatalogueInForce, now: float) -> list[RevisionEffect]:
        if not effect.changes:
            self._propagation.handle(CatalogueReplaced(effect.catalogue), now)
        sends = []
        for change in effect.changes:
            sends += self._propagation.handle(ChangeApplied(change, effect.catalogue), now)
        return _to_peers(sends)


def _to_peers(effects: list[SendToHost]) -> list[RevisionEffect]:
    return [SendToPeer(effect.host, effect.body) for effect in effects]
