"""An entry host's part in the knowledge of targets: their life cycle, joined with their gossip."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from .._entry.events import SendToPeer, TargetStateChanged
from .._gossip.gossip import SendTargets, TargetGossip
from .._notes.catalogue import Catalogue
from .._targets.core import TargetCore
from .._targets.events import AnnounceReply, CatalogueChanged, InUse, RecordsHeard, TargetEvent
from .._targets.quarantine import CLAIM_SECONDS
from ..chart import StateChart
from ..messages import TargetsInUse, TargetsPull, TargetUpdates
from ..types import ACCEPTING_STATES, HostName, Member, TargetName, TargetRecord, ZoneName

TableEffect = AnnounceReply | TargetStateChanged | SendToPeer


class TargetTable:
    """Joins the core of targets with the gossip about them.

    :param me: this host.
    :param chart: the life cycle of targets.
    :param catalogue: the catalogue in force.
    """

    def __init__(
        self, me: Member, chart: StateChart, catalogue: Catalogue, rng: random.Random
    ) -> None:
        self._me = me
        self._core = TargetCore(me.name, me.zone, chart)
        self._core.handle(CatalogueChanged(catalogue), 0.0)
        self._gossip = TargetGossip(rng)
        self._claimed = float("-inf")
        self._is_changed = False

    @property
    def records(self) -> tuple[TargetRecord, ...]:
        """All records, in no particular order."""
        return self._core.records

    @property
    def digest(self) -> int:
        """Digest of all records."""
        return self._gossip.digest

    @property
    def accepting_count(self) -> int:
        """How many targets take new flows."""
        return sum(record.state in ACCEPTING_STATES for record in self._core.records)

    def pop_changed(self) -> bool:
        """Whether a record changed since the last call."""
        changed, self._is_changed = self._is_changed, False
        return changed

    def handle(self, event: TargetEvent, now: float) -> list[TableEffect]:
        """Hand an event to the core of targets; what changed becomes gossip."""
        done: list[TableEffect] = []
        for effect in self._core.handle(event, now):
            if isinstance(effect, AnnounceReply):
                done.append(effect)
                continue
            self._is_changed = True
            moved = self._gossip.update_records(self._core.records, now)
            done += [TargetStateChanged(r.target.name, r.state, r.owner) for r in moved]
        return done

    def receive(
        self, sender: HostName, body: TargetUpdates | TargetsPull | TargetsInUse, now: float
    ) -> list[TableEffect]:
        """Take another host's message about targets."""
        if isinstance(body, TargetsPull):
            return _to_peers(self._gossip.answer_pull(sender, body.digests, now))
        if isinstance(body, TargetsInUse):
            return self.handle(InUse(body.targets), now)
        self._gossip.receive(body)
        return self.handle(RecordsHeard(body.records), now)

    def compare(self, host: HostName, digest: int, now: float) -> list[TableEffect]:
        """Take another host's digest and ask for what differs."""
        return _to_peers(self._gossip.compare_digest(host, digest, now))

    def due_gossip(self, neighbours: tuple[HostName, ...], now: float) -> list[TableEffect]:
        """Return the gossip that is due."""
        return _to_peers(self._gossip.tick(neighbours, now))

    def claim(
        self, in_use: Iterable[TargetName], zones: Mapping[HostName, ZoneName], now: float
    ) -> list[TableEffect]:
        """Claim the lost targets that still have flows here, at the hosts of their zones.

        :param in_use: the targets of this host's flows.
        :param zones: the live entry hosts and their zones.
        """
        if now - self._claimed < CLAIM_SECONDS:
            return []
        self._claimed = now
        by_zone: dict[ZoneName, list[TargetName]] = {}
        for record in self._core.lost(in_use):
            by_zone.setdefault(record.target.zone, []).append(record.target.name)
        effects: list[TableEffect] = []
        for zone, names in by_zone.items():
            claim = TargetsInUse(tuple(sorted(names)))
            effects += self.handle(InUse(claim.targets), now)
            others = [n for n, at in zones.items() if at == zone and n != self._me.name]
            effects += [SendToPeer(name, claim) for name in others]
        return effects


def _to_peers(effects: list[SendTargets]) -> list[TableEffect]:
    return [SendToPeer(effect.host, effect.body) for effect in effects]
