"""The neighbours of a host: its successors on several hash rings.

Every host has the same number of predecessors on each ring, so that the number of hosts that
monitor it is bounded regardless of the size of the fleet (Suresh et al., "Stable and Consistent
Membership at Scale with Rapid", 2018).
"""

from __future__ import annotations

from collections.abc import Iterable

from ..hashing import name_hash
from ..types import HostName

RING_COUNT = 4
SUCCESSORS_PER_RING = 2


def neighbours(host: HostName, names: Iterable[HostName]) -> tuple[HostName, ...]:
    """Return the hosts that a host probes.

    :param host: the host.
    :param names: all live hosts, with or without ``host``.
    """
    all_hosts = {host, *names}
    successors: dict[HostName, None] = {}
    for seed in range(RING_COUNT):
        ring = sorted(all_hosts, key=lambda name: (name_hash(name, seed), name))
        position = ring.index(host)
        for step in range(1, min(SUCCESSORS_PER_RING, len(ring) - 1) + 1):
            successors[ring[(position + step) % len(ring)]] = None
    return tuple(successors)
