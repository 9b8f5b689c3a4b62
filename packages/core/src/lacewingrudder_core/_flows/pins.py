"""Pins: flows that are not on the target that the placement table gives.

The home of such a flow replicates the flow's 64-bit hash, grouped by target and within a byte
budget, to the hosts that would become its home next: its backup and its remote backup.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from typing import NamedTuple

from .._propagation.token_bucket import TokenBucket
from .._routing.homes import HomeTable
from ..messages import PinGroup, Pins
from ..types import HostName, TargetName

PIN_BYTES_PER_SECOND = 2048.0
PIN_BURST_BYTES = 2048.0
MAX_PIN_REPLICAS = 100_000
HASH_BYTES = 8
GROUP_BYTES = 24
_UNPINNED: TargetName = ""


class OutgoingPins(NamedTuple):
    """Pins to send to a host now."""

    host: HostName
    pins: Pins


class PinStore:
    """The pins of this host's own flows, and replicas of the pins of other homes.

    :param name: the name of this host.
    """

    def __init__(self, name: HostName) -> None:
        self._name = name
        self._own: dict[int, TargetName] = {}
        self._replicas: dict[int, TargetName] = {}
        self._queues: dict[HostName, dict[int, TargetName]] = {}
        self._budget = TokenBucket(PIN_BYTES_PER_SECOND, PIN_BURST_BYTES)
        self.bytes_sent = 0

    @property
    def own_count(self) -> int:
        """How many of this host's own flows are pinned."""
        return len(self._own)

    @property
    def replica_count(self) -> int:
        """How many replicas of other homes' pins this host has."""
        return len(self._replicas)

    @property
    def queued_count(self) -> int:
        """How many pins wait to be sent, counted once for each receiver."""
        return sum(map(len, self._queues.values()))

    def target(self, digest: int) -> TargetName | None:
        """Return the target that a flow is pinned to, or ``None``."""
        return self._own.get(digest) or self._replicas.get(digest)

    def pin(self, digest: int, target: TargetName, homes: HomeTable) -> None:
        """Pin one of this host's own flows to a target."""
        if self._own.get(digest) == target:
            return
        self._own[digest] = target
        self._replicas.pop(digest, None)
        self._enqueue(digest, target, self._receivers(digest, homes))

    def unpin(self, digest: int, homes: HomeTable) -> None:
        """Remove the pin of a flow that ended, or whose target the table gives again."""
        if self._own.pop(digest, None) or self._replicas.pop(digest, None):
            self._enqueue(digest, _UNPINNED, self._receivers(digest, homes))

    def receive(self, pins: Pins) -> None:
        """Store pins that another home replicated."""
        for group in pins.groups:
            for (digest,) in struct.iter_unpack("!Q", group.hashes):
                if group.target == _UNPINNED:
                    self._replicas.pop(digest, None)
                elif digest not in self._own:
                    self._replicas[digest] = group.target
        while len(self._replicas) > MAX_PIN_REPLICAS:
            del self._replicas[next(iter(self._replicas))]

    def change_homes(self, before: HomeTable, after: HomeTable) -> None:
        """Replicate the pins whose home or receivers changed, or whose receiver restarted."""
        self._queues = {host: q for host, q in self._queues.items() if host in after.members}
        restarted = after.restarted_since(before)
        for digest, target in list(self._replicas.items()):
            if after.rank(digest).home == self._name:
                self._own[digest] = self._replicas.pop(digest)
                self._enqueue(digest, target, self._receivers(digest, after))
        for digest, target in list(self._own.items()):
            home = after.rank(digest).home
            if home != self._name:
                self._replicas[digest] = self._own.pop(digest)
                self._enqueue(digest, target, [home])
                continue
            known = set(self._receivers(digest, before)) - restarted
            added = [name for name in self._receivers(digest, after) if name not in known]
            self._enqueue(digest, target, added)

    def due(self, now: float) -> list[OutgoingPins]:
        """Return the pins that the byte budget allows to send now."""
        sent = []
        for host, queue in self._queues.items():
            if not queue:
                continue
            granted = self._budget.take(GROUP_BYTES + HASH_BYTES * len(queue), now)
            count = (granted - GROUP_BYTES) // HASH_BYTES
            if count <= 0:
                break
            pins = self._dequeue(queue, count)
            self._budget.take(_size(pins) - granted, now)
            sent.append(OutgoingPins(host, pins))
        return sent

    def flush(self) -> list[OutgoingPins]:
        """Return all waiting pins, regardless of the budget; for a host that is about to stop."""
        waiting = [(host, queue) for host, queue in self._queues.items() if queue]
        return [OutgoingPins(host, self._dequeue(queue, len(queue))) for host, queue in waiting]

    def _dequeue(self, queue: dict[int, TargetName], count: int) -> Pins:
        by_target: dict[TargetName, list[int]] = {}
        for digest in list(queue)[:count]:
            by_target.setdefault(queue.pop(digest), []).append(digest)
        groups = tuple(
            PinGroup(target, struct.pack(f"!{len(hashes)}Q", *hashes))
            for target, hashes in by_target.items()
        )
        pins = Pins(self._name, groups)
        self.bytes_sent += _size(pins)
        return pins

    def _enqueue(self, digest: int, target: TargetName, hosts: Iterable[HostName]) -> None:
        for host in hosts:
            self._queues.setdefault(host, {})[digest] = target

    def _receivers(self, digest: int, homes: HomeTable) -> list[HostName]:
        rank = homes.rank(digest)
        names = dict.fromkeys((rank.backup, rank.remote_backup))
        return [name for name in names if name is not None and name != self._name]


def _size(pins: Pins) -> int:
    return sum(GROUP_BYTES + len(group.hashes) for group in pins.groups)
