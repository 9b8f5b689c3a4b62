"""Flow tags: 32-bit identifiers of the lifetimes of targets, the same on every host."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from .._checkins.types import Lifetime
from ..hashing import name_hash

NO_TAG = 0
_TAG_MASK = 0xFFFFFFFF


def flow_tag(lifetime: Lifetime) -> int:
    """Return the tag of a lifetime: a hash of its target's name and start time that is never 0."""
    return name_hash(lifetime.target, lifetime.started_ms & 0xFFFFFFFFFFFFFFFF) & _TAG_MASK or 1


def unique_tags(lifetimes: Iterable[Lifetime]) -> dict[Lifetime, int]:
    """Return the tags of lifetimes, leaving out lifetimes whose tags collide.

    A colliding tag doesn't identify a target, so no new flow may carry it.
    """
    tags = {lifetime: flow_tag(lifetime) for lifetime in lifetimes}
    uses = collections.Counter(tags.values())
    return {lifetime: tag for lifetime, tag in tags.items() if uses[tag] == 1}
