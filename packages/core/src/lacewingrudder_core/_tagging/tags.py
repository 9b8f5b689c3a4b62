"""Flow tags: 32 bits that name one lifetime of a target on every host."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from .._checkins.types import Lifetime
from ..hashing import name_hash

NO_TAG = 0
_TAG_MASK = 0xFFFFFFFF


def flow_tag(lifetime: Lifetime) -> int:
    """Return the tag of a lifetime; it follows from the lifetime alone and is never 0."""
    return name_hash(lifetime.target, lifetime.started_ms & 0xFFFFFFFFFFFFFFFF) & _TAG_MASK or 1


def unshared_tags(lifetimes: Iterable[Lifetime]) -> dict[Lifetime, int]:
    """Return the tags of lifetimes, without those that share theirs.

    No new flow may get a tag that more than one lifetime has.
    """
    tags = {lifetime: flow_tag(lifetime) for lifetime in lifetimes}
    uses = collections.Counter(tags.values())
    return {lifetime: tag for lifetime, tag in tags.items() if uses[tag] == 1}
