"""An entry host's table of targets: their life cycle, and the gossip that replicates records."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from .._entry.events import SendToPeer, TargetStateChanged
from .._gossip.gossip import SendTargets, TargetGossip
from .._notes.catalogue import Catalogue
from .._targets.core import TargetCore
from .._targets.events import (
    AnnounceReply,
    CatalogueChanged,
    LostTargetsClaimed,
    RecordsReceived,
    TargetEvent,
)
from .._targets.quarantine import CLAIM_INTERVAL_SECONDS
from ..chart import StateChart
from ..messages import TargetsInUse, TargetsPull, TargetUpdates
from ..types import ACCEPTING_STATES, HostName, Member, TargetName, TargetRecord, ZoneName

TableEffect = AnnounceReply | TargetStateChanged | SendToPeer


class TargetTable:
    """Connects the target core with the gossip that replicates target records.

    :param me: this host.
    :param chart: the state machine of a target's life cycle.
    :param catalogue: the catalogue in force.
    """

    def __init__(
        self, me: Member, chart: StateChart, catalogue: Catalogue, rng: random.Random
    ) -> None:
        self._me = me
        self._core = TargetCore(me.name, me.zone, chart)
        self._core.handle(CatalogueChanged(catalogue), 0.0)
        self._gossip = TargetGossip(rng)
        self._claimed_at = float("-inf")
        self._is_changed = False

    @property
    def records(self) -> tuple[TargetRecord, ...]:
        """All records, in no particular order."""
        return self._core.records

    @property
    def digest(self) -> int:
        """The digest of all records."""
        return self._gossip.digest

    @property
    def accepting_count(self) -> int:
        """How many targets accept new flows."""
        return sum(record.state in ACCEPTING_STATES for record in self._core.records)

    def pop_changed(self) -> bool:
        """Return whether a record changed since the last call, and reset this mark."""
        changed, self._is_changed = self._is_changed, False
        return changed

    def handle(self, event: TargetEvent, now: float) -> list[TableEffect]:
        """Pass an event to the target core; queue changed records for gossip."""
        effects: list[TableEffect] = []
        for effect in self._core.handle(event, now):
            if isinstance(effect, AnnounceReply):
                effects.append(effect)
                continue
            self._is_changed = True
            changed_records = self._gossip.update_records(self._core.records, now)
            effects += [
                TargetStateChanged(r.target.name, r.state, r.owner) for r in changed_records
            ]
        return effects

    def receive(
        self, sender: HostName, body: TargetUpdates | TargetsPull | TargetsInUse, now: float
    ) -> list[TableEffect]:
        """Handle another host's message about targets."""
        if isinstance(body, TargetsPull):
            return _to_peers(self._gossip.answer_pull(sender, body.digests, now))
        if isinstance(body, TargetsInUse):
            return self.handle(LostTargetsClaimed(body.targets), now)
        self._gossip.mark_pulled(body)
        return self.handle(RecordsReceived(body.records), now)

    def compare_digest(self, host: HostName, digest: int, now: float) -> list[TableEffect]:
        """Compare another host's digest and request the records that differ."""
        return _to_peers(self._gossip.compare_digest(host, digest, now))

    def tick_gossip(self, neighbours: tuple[HostName, ...], now: float) -> list[TableEffect]:
        """Advance the gossip's timers and return the messages to send now."""
        return _to_peers(self._gossip.tick(neighbours, now))

    def report_lost_in_use(
        self, in_use: Iterable[TargetName], zones: Mapping[HostName, ZoneName], now: float
    ) -> list[TableEffect]:
        """Notify the hosts of each zone of its lost targets that still have flows on this host.

        Does nothing within :data:`CLAIM_INTERVAL_SECONDS` of the last notification.

        :param in_use: the targets of this host's flows.
        :param zones: the live entry hosts and their zones.
        """
        if now - self._claimed_at < CLAIM_INTERVAL_SECONDS:
            return []
        self._claimed_at = now
        by_zone: dict[ZoneName, list[TargetName]] = {}
        for record in self._core.find_lost(in_use):
            by_zone.setdefault(record.target.zone, []).append(record.target.name)
        effects: list[TableEffect] = []
        for zone, names in by_zone.items():
            claim = TargetsInUse(tuple(sorted(names)))
            effects += self.handle(LostTargetsClaimed(claim.targets), now)
            others = [n for n, its_zone in zones.items() if its_zone == zone and n != self._me.name]
            effects += [SendToPeer(name, claim) for name in others]
        return effects


def _to_peers(effects: list[SendTargets]) -> list[TableEffect]:
    return [SendToPeer(effect.host, effect.body) for effect in effects]
