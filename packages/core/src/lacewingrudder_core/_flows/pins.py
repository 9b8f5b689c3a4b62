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
GROUP_OVERHEAD_BYTES = 24  # estimated size of a group without its hashes
_UNPINNED: TargetName = ""


class OutgoingPins(NamedTuple):
    """A message with pins, and the host to send it to."""

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
        """How many pins are queued to be sent, counted once for each receiver."""
        return sum(map(len, self._queues.values()))

    def target(self, flow_hash: int) -> TargetName | None:
        """Return the target that a flow is pinned to, or ``None``."""
        return self._own.get(flow_hash) or self._replicas.get(flow_hash)

    def pin(self, flow_hash: int, target: TargetName, homes: HomeTable) -> None:
        """Pin one of this host's own flows to a target."""
        if self._own.get(flow_hash) == target:
            return
        self._own[flow_hash] = target
        self._replicas.pop(flow_hash, None)
        self._enqueue(flow_hash, target, self._receivers(flow_hash, homes))

    def unpin(self, flow_hash: int, homes: HomeTable) -> None:
        """Remove the pin of a flow that ended, or that is on the placement table's choice again."""
        if self._own.pop(flow_hash, None) or self._replicas.pop(flow_hash, None):
            self._enqueue(flow_hash, _UNPINNED, self._receivers(flow_hash, homes))

    def receive(self, pins: Pins) -> None:
        """Store or remove replicas as another home requests; own pins stay as they are."""
        for group in pins.groups:
            for (flow_hash,) in struct.iter_unpack("!Q", group.hashes):
                if group.target == _UNPINNED:
                    self._replicas.pop(flow_hash, None)
                elif flow_hash not in self._own:
                    self._replicas[flow_hash] = group.target
        while len(self._replicas) > MAX_PIN_REPLICAS:
            del self._replicas[next(iter(self._replicas))]

    def change_homes(self, before: HomeTable, after: HomeTable) -> None:
        """Apply a new ranking of the hosts.

        Pins become own pins or replicas by their new home. Pins whose home or receivers changed,
        or whose receiver restarted, are queued to be sent.
        """
        self._queues = {host: q for host, q in self._queues.items() if host in after.members}
        restarted = after.restarted_since(before)
        for flow_hash, target in list(self._replicas.items()):
            if after.rank(flow_hash).home == self._name:
                self._own[flow_hash] = self._replicas.pop(flow_hash)
                self._enqueue(flow_hash, target, self._receivers(flow_hash, after))
        for flow_hash, target in list(self._own.items()):
            home = after.rank(flow_hash).home
            if home != self._name:
                self._replicas[flow_hash] = self._own.pop(flow_hash)
                self._enqueue(flow_hash, target, [home])
                continue
            known = set(self._receivers(flow_hash, before)) - restarted
            added = [name for name in self._receivers(flow_hash, after) if name not in known]
            self._enqueue(flow_hash, target, added)

    def pop_due(self, now: float) -> list[OutgoingPins]:
        """Remove pins from the queues within the byte budget, and return them to be sent."""
        sent = []
        for host, queue in self._queues.items():
            if not queue:
                continue
            granted = self._budget.take(GROUP_OVERHEAD_BYTES + HASH_BYTES * len(queue), now)
            count = (granted - GROUP_OVERHEAD_BYTES) // HASH_BYTES
            if count <= 0:
                break
            pins = self._dequeue(queue, count)
            self._budget.take(_size(pins) - granted, now)
            sent.append(OutgoingPins(host, pins))
        return sent

    def flush(self) -> list[OutgoingPins]:
        """Remove all pins from the queues, regardless of the budget, and return them to be sent.

        Called when this host is about to stop.
        """
        waiting = [(host, queue) for host, queue in self._queues.items() if queue]
        return [OutgoingPins(host, self._dequeue(queue, len(queue))) for host, queue in waiting]

    def _dequeue(self, queue: dict[int, TargetName], count: int) -> Pins:
        by_target: dict[TargetName, list[int]] = {}
        for flow_hash in list(queue)[:count]:
            by_target.setdefault(queue.pop(flow_hash), []).append(flow_hash)
        groups = tuple(
            PinGroup(target, struct.pack(f"!{len(hashes)}Q", *hashes))
            for target, hashes in by_target.items()
        )
        pins = Pins(self._name, groups)
        self.bytes_sent += _size(pins)
        return pins

    def _enqueue(self, flow_hash: int, target: TargetName, hosts: Iterable[HostName]) -> None:
        for host in hosts:
            self._queues.setdefault(host, {})[flow_hash] = target

    def _receivers(self, flow_hash: int, homes: HomeTable) -> list[HostName]:
        rank = homes.rank(flow_hash)
        names = dict.fromkeys((rank.backup, rank.remote_backup))
        return [name for name in names if name is not None and name != self._name]


def _size(pins: Pins) -> int:
    return sum(GROUP_OVERHEAD_BYTES + len(group.hashes) for group in pins.groups)
