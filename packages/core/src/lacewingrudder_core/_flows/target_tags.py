"""Tags: numbers that identify targets in relayed packets."""

from __future__ import annotations

from collections.abc import Iterable

from ..hashing import name_hash
from ..types import TargetName

TAG_BITS = 28
NO_TAG = 0
_TAG_MASK = (1 << TAG_BITS) - 1


class TargetTags:
    """Assigns each target a tag derived from a hash of its name.

    If two targets have the same hash, neither gets a tag on a host that knows both.
    """

    def __init__(self) -> None:
        self._tags: dict[TargetName, int] = {}
        self._targets: dict[int, TargetName | None] = {}

    def add(self, targets: Iterable[TargetName]) -> None:
        """Assign tags to targets that have none yet."""
        for target in targets:
            if target not in self._tags:
                self._add(target, name_hash(target) & _TAG_MASK)

    def remove(self, target: TargetName) -> None:
        """Remove a target; a tag on which two targets collided stays unused."""
        tag = self._tags.pop(target, NO_TAG)
        if self._targets.get(tag) == target:
            del self._targets[tag]

    def tag(self, target: TargetName) -> int:
        """Return the tag of a target, or :data:`NO_TAG`."""
        return self._tags.get(target, NO_TAG)

    def target(self, tag: int) -> TargetName | None:
        """Return the target with a tag, or ``None`` if there is none or more than one."""
        return self._targets.get(tag)

    def _add(self, target: TargetName, tag: int) -> None:
        if tag != NO_TAG and tag not in self._targets:
            self._tags[target] = tag
            self._targets[tag] = target
            return
        other = self._targets.get(tag)
        self._targets[tag] = None
        self._tags[target] = NO_TAG
        if other is not None:
            self._tags[other] = NO_TAG
