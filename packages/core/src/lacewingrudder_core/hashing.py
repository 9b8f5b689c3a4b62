"""Hash functions with the same result on every host and in every process.

Python's built-in ``hash`` of a string differs between processes and can't be used for this.
"""

from __future__ import annotations

import struct

import xxhash

from .types import FlowKey

_FLOW_STRUCT = struct.Struct("!IHIH")
_PAIR_STRUCT = struct.Struct("!QQ")
_NUMBER_STRUCT = struct.Struct("!Q")


def flow_hash(key: FlowKey) -> int:
    """Return the 64-bit hash that identifies a flow in messages between hosts."""
    return xxhash.xxh3_64_intdigest(_FLOW_STRUCT.pack(*key))


def name_hash(name: str, seed: int = 0) -> int:
    """Return a 64-bit hash of a name.

    Different seeds give independent hashes only if the names are longer than a few bytes or the
    seeds are not similar: of short input, xxh3 mixes little more than the sum with the seed.
    """
    return xxhash.xxh3_64_intdigest(name.encode(), seed)


def numbered_name_hash(name: str, number: int) -> int:
    """Return a 64-bit hash of a name and a 64-bit number, which may both be similar to others."""
    return xxhash.xxh3_64_intdigest(name.encode() + _NUMBER_STRUCT.pack(number))


def pair_hash(left: int, right: int) -> int:
    """Return a 64-bit hash of two 64-bit numbers, used as a score in rendezvous hashing."""
    return xxhash.xxh3_64_intdigest(_PAIR_STRUCT.pack(left, right))
