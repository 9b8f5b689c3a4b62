"""Flow tags: 32-bit identifiers of the lifetimes of targets, the same on every host."""

from __future__ import annotations

from .._checkins.types import Lifetime
from ..hashing import name_hash

NO_TAG = 0
_TAG_MASK = 0xFFFFFFFF


def flow_tag(lifetime: Lifetime) -> int:
    """Return the tag of a lifetime: a hash of its target's name and start time that is never 0."""
    return name_hash(lifetime.target, lifetime.started_ms & 0xFFFFFFFFFFFFFFFF) & _TAG_MASK or 1
