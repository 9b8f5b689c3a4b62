"""Flow tags: 32 bits that name one lifetime of a target on every host."""

from __future__ import annotations

from collections.abc import Iterable

from .._checkins.types import Lifetime
from ..hashing import name_hash

NO_TAG = 0
_TAG_MASK = 0xFFFFFFFF


def flow_tag(lifetime: Lifetime) -> int:
    """Return the tag of a lifetime; it follows from the lifetime alone and is never 0."""
    return name_hash(lifetime.target, lifetime.born & 0xFFFFFFFFFFFFFFFF) & _TAG_MASK or 1


def shared_tags(lifetimes: Iterable[Lifetime]) -> frozenset[int]:
    """Return the tags that more than one lifetime has; no new flow may get one of these."""
    seen: set[int] = set()
    shared: set[int] = set()
    for lifetime in lifetimes:
        tag = flow_tag(lifetime)
        (shared if tag in seen else seen).add(tag)
    return frozenset(shared)
