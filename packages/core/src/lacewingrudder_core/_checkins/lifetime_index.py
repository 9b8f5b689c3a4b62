"""Lifetimes by what two of them may share: the target's name and its address."""

from __future__ import annotations

from ..types import Endpoint, TargetName
from .types import Lifetime, TargetEntry


class LifetimeIndex:
    """Finds the lifetimes that share a name or an address, ended ones included."""

    def __init__(self) -> None:
        self._by_name: dict[TargetName, set[Lifetime]] = {}
        self._by_endpoint: dict[Endpoint, set[Lifetime]] = {}

    def add(self, entry: TargetEntry) -> None:
        """Add a lifetime; one that is known already has no effect."""
        self._by_name.setdefault(entry.lifetime.target, set()).add(entry.lifetime)
        self._by_endpoint.setdefault(entry.endpoint, set()).add(entry.lifetime)

    def remove(self, entry: TargetEntry) -> None:
        """Remove a lifetime that was added."""
        named = self._by_name[entry.lifetime.target]
        named.discard(entry.lifetime)
        if not named:
            del self._by_name[entry.lifetime.target]
        located = self._by_endpoint[entry.endpoint]
        located.discard(entry.lifetime)
        if not located:
            del self._by_endpoint[entry.endpoint]

    def newest_start(self, target: TargetName) -> int | None:
        """Return the latest start time of a name in milliseconds, or ``None`` if it is unknown."""
        starts = (lifetime.started_ms for lifetime in self._by_name.get(target, ()))
        return max(starts, default=None)

    def rivals(self, lifetime: Lifetime, endpoint: Endpoint) -> set[Lifetime]:
        """Return the other lifetimes with the name of a lifetime or at its address."""
        named = self._by_name.get(lifetime.target, set())
        return (named | self._by_endpoint.get(endpoint, set())) - {lifetime}
