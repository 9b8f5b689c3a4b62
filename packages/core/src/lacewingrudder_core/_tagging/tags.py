"""Flow tags: 32-bit identifiers of the lifetimes of targets, the same on every host."""

from __future__ import annotations

from collections.abc import Callable

from .._checkins.types import Lifetime
from ..hashing import name_hash, numbered_name_hash

NO_TAG = 0
_TAG_MASK = 0xFFFFFFFF
_START_MASK = 0xFFFFFFFFFFFFFFFF


def flow_tag(lifetime: Lifetime) -> int:
    """Return the tag of a lifetime: a hash of its target's name and start time that is never 0."""
    return numbered_name_hash(lifetime.target, lifetime.started_ms & _START_MASK) & _TAG_MASK or 1


def former_flow_tag(lifetime: Lifetime) -> int:
    """Return the tag that earlier versions gave to a lifetime, which its open flows may carry.

    Its hash takes the start time as a seed, so that the tags of targets with short names that
    start together collide.
    """
    return name_hash(lifetime.target, lifetime.started_ms & _START_MASK) & _TAG_MASK or 1


class LifetimeTable:
    """Lifetimes by another number than their tag, which several of them may share.

    :param make_tag: returns the number of a lifetime.
    """

    def __init__(self, make_tag: Callable[[Lifetime], int]) -> None:
        self._make_tag = make_tag
        self._lifetimes: dict[int, Lifetime] = {}
        self._others: dict[int, set[Lifetime]] = {}

    def __len__(self) -> int:
        return len(self._lifetimes) + len(self._others)

    def add(self, lifetime: Lifetime) -> None:
        """Add a lifetime; one that is known already has no effect."""
        tag = self._make_tag(lifetime)
        if self._lifetimes.setdefault(tag, lifetime) != lifetime:
            self._others.setdefault(tag, set()).add(lifetime)

    def remove(self, lifetime: Lifetime) -> None:
        """Remove a lifetime that was added."""
        tag = self._make_tag(lifetime)
        others = self._others.get(tag)
        if others is None:
            del self._lifetimes[tag]
            return
        if self._lifetimes[tag] == lifetime:
            self._lifetimes[tag] = others.pop()
        else:
            others.remove(lifetime)
        if not others:
            del self._others[tag]

    def find(self, tag: int) -> Lifetime | None:
        """Return the only lifetime with a number, or ``None``."""
        return None if tag in self._others else self._lifetimes.get(tag)
