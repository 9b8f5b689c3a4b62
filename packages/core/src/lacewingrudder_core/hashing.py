"""Hashes that every host computes alike; none depends on the process or its start."""

from __future__ import annotations

import struct

import xxhash

from .types import FlowKey

_FLOW = struct.Struct("!IHIH")
_PAIR = struct.Struct("!QQ")


def flow_hash(key: FlowKey) -> int:
    """Return the 64-bit hash that stands for a flow between hosts."""
    return xxhash.xxh3_64_intdigest(_FLOW.pack(*key))


def name_hash(name: str, seed: int = 0) -> int:
    """Return a 64-bit hash of a name under a seed."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed)


def pair_hash(left: int, right: int) -> int:
    """Return a 64-bit hash of two 64-bit numbers, for scores in rendezvous hashing."""
    return xxhash.xxh3_64_intdigest(_PAIR.pack(left, right))
