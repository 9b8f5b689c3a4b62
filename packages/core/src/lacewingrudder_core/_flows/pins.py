"""Flows whose target the table does not give, replicated to other hosts within a byte budget.

The home of such a flow sends its 64-bit hash, grouped by target, to the hosts that would become
its home next: its second, and its heir in another zone.
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
HELD_PINS_MAX = 100_000
HASH_BYTES = 8
GROUP_BYTES = 24
_ENDED: TargetName = ""


class DuePins(NamedTuple):
    """Pins that are due to a host."""

    host: HostName
    pins: Pins


class PinBook:
    """The pins of this host's flows and those that other homes replicated to it.

    :param name: this host.
    """

    def __init__(self, name: HostName) -> None:
        self._name = name
        self._own: dict[int, TargetName] = {}
        self._held: dict[int, TargetName] = {}
        self._queues: dict[HostName, dict[int, TargetName]] = {}
        self._budget = TokenBucket(PIN_BYTES_PER_SECOND, PIN_BURST_BYTES)
        self.bytes_sent = 0

    @property
    def own_count(self) -> int:
        """How many flows of this host are pinned."""
        return len(self._own)

    @property
    def held_count(self) -> int:
        """How many pins this host holds for other homes."""
        return len(self._held)

    @property
    def queued_count(self) -> int:
        """How many pins wait for the byte budget, one for each receiver."""
        return sum(map(len, self._queues.values()))

    def target(self, digest: int) -> TargetName | None:
        """Return the target that a flow is pinned to, or ``None``."""
        return self._own.get(digest) or self._held.get(digest)

    def pin(self, digest: int, target: TargetName, homes: HomeTable) -> None:
        """Pin a flow of this host."""
        if self._own.get(digest) == target:
            return
        self._own[digest] = target
        self._held.pop(digest, None)
        self._queue(digest, target, self._receivers(digest, homes))

    def unpin(self, digest: int, homes: HomeTable) -> None:
        """Forget the pin of a flow that ended, or whose target the table gives again."""
        if self._own.pop(digest, None) or self._held.pop(digest, None):
            self._queue(digest, _ENDED, self._receivers(digest, homes))

    def heard(self, pins: Pins) -> None:
        """Take pins from another home."""
        for group in pins.groups:
            for (digest,) in struct.iter_unpack("!Q", group.hashes):
                if group.target == _ENDED:
                    self._held.pop(digest, None)
                elif digest not in self._own:
                    self._held[digest] = group.target
        while len(self._held) > HELD_PINS_MAX:
            del self._held[next(iter(self._held))]

    def rehome(self, before: HomeTable, after: HomeTable) -> None:
        """Replicate again where pins have another home, another receiver, or one that restarted."""
        self._queues = {host: q for host, q in self._queues.items() if host in after.members}
        restarted = after.restarted_since(before)
        for digest, target in list(self._held.items()):
            if after.rank(digest).home == self._name:
                self._own[digest] = self._held.pop(digest)
                self._queue(digest, target, self._receivers(digest, after))
        for digest, target in list(self._own.items()):
            home = after.rank(digest).home
            if home != self._name:
                self._held[digest] = self._own.pop(digest)
                self._queue(digest, target, [home])
                continue
            known = set(self._receivers(digest, before)) - restarted
            fresh = [name for name in self._receivers(digest, after) if name not in known]
            self._queue(digest, target, fresh)

    def due(self, now: float) -> list[DuePins]:
        """Return what may be sent now within the byte budget."""
        sent = []
        for host, queue in self._queues.items():
            if not queue:
                continue
            granted = self._budget.take(GROUP_BYTES + HASH_BYTES * len(queue), now)
            count = (granted - GROUP_BYTES) // HASH_BYTES
            if count <= 0:
                break
            pins = self._take(queue, count)
            self._budget.take(_size(pins) - granted, now)
            sent.append(DuePins(host, pins))
        return sent

    def flush(self) -> list[DuePins]:
        """Return all that waits, whatever the budget; for a host that is going to stop."""
        waiting = [(host, queue) for host, queue in self._queues.items() if queue]
        return [DuePins(host, self._take(queue, len(queue))) for host, queue in waiting]

    def _take(self, queue: dict[int, TargetName], count: int) -> Pins:
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

    def _queue(self, digest: int, target: TargetName, hosts: Iterable[HostName]) -> None:
        for host in hosts:
            self._queues.setdefault(host, {})[digest] = target

    def _receivers(self, digest: int, homes: HomeTable) -> list[HostName]:
        rank = homes.rank(digest)
        names = dict.fromkeys((rank.second, rank.heir))
        return [name for name in names if name is not None and name != self._name]


def _size(pins: Pins) -> int:
    return sum(GROUP_BYTES + len(group.hashes) for group in pins.groups)
