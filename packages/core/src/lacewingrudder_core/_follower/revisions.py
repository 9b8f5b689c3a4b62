"""An entry host's part in the spread of revisions: it follows, and serves peers that ask."""

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
    PeerSeen,
    ZonesChanged,
)

RevisionEffect = FollowerEffect | SendToPeer


class Revisions:
    """Joins the follower of this host with what it spreads to its peers.

    :param catalogue: what this host last had in force.
    :param controls: names of the control hosts.
    :param keeps: whether a catalogue has to be durable before it comes into force.
    """

    def __init__(
        self,
        me: Member,
        catalogue: Catalogue,
        controls: tuple[HostName, ...],
        keeps: bool,
        rng: random.Random,
    ) -> None:
        self._follower = FollowerCore(me.name, me.zone, catalogue, controls, rng, keeps)
        self._spread = PropagationCore(catalogue)

    @property
    def catalogue(self) -> Catalogue:
        """The catalogue in force."""
        return self._follower.catalogue

    @property
    def followed(self) -> HostName:
        """The control host that this host follows."""
        return self._follower.followed

    def learn_zones(self, zones: Mapping[HostName, ZoneName], now: float) -> None:
        """Take the zones of hosts, for the choice of the control host to follow."""
        self._follower.handle(ZonesChanged(zones), now)

    def control(self, event: ControlMessage, may_begin: bool, now: float) -> list[RevisionEffect]:
        """Take a message of a control host.

        :param may_begin: whether peers had time to tell their revision; without that no catalogue
            is taken as the first.
        """
        is_first = self.catalogue.revision == 0 and not isinstance(event.body, SubscribeReply)
        if is_first and not may_begin:
            return []
        return self.follow(event, now)

    def peer_seen(self, host: HostName, revision: int, now: float) -> list[RevisionEffect]:
        """Take the revision that a peer has in force."""
        return self.follow(PeerSeen(host, revision), now)

    def follow(self, event: FollowerEvent, now: float) -> list[RevisionEffect]:
        """Hand an event to the follower; what comes into force is passed on to peers."""
        effects: list[RevisionEffect] = []
        for effect in self._follower.handle(event, now):
            effects.append(effect)
            if isinstance(effect, CatalogueInForce):
                effects += self._pass_on(effect, now)
        return effects

    def serve(self, request: SubscriberMessage, now: float) -> list[RevisionEffect]:
        """Answer a peer that found this host ahead."""
        if isinstance(request, Subscribe):
            return _to_peers(self._spread.handle(Subscribed(request), now))
        return _to_peers(self._spread.handle(SnapshotPulled(request), now))

    def _pass_on(self, effect: CatalogueInForce, now: float) -> list[RevisionEffect]:
        if not effect.changes:
            self._spread.handle(CatalogueReplaced(effect.catalogue), now)
        sends = []
        for change in effect.changes:
            sends += self._spread.handle(ChangeApplied(change, effect.catalogue), now)
        return _to_peers(sends)


def _to_peers(effects: list[SendToHost]) -> list[RevisionEffect]:
    return [SendToPeer(effect.host, effect.body) for effect in effects]
