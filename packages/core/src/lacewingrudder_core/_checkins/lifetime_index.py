"""Entries by what two of them may share: the lifetime, the target's name and its address."""

from __future__ import annotations

from ..types import Endpoint, TargetName
from .types import EntryKey, Lifetime, TargetEntry


class LifetimeIndex:
    """Finds the entries that share a lifetime, a name or an address, ended ones included."""

    def __init__(self) -> None:
        # The values of these are ordered sets: the order in which entries are looked at must not
        # depend on the hashes of strings.
        self._by_name: dict[TargetName, dict[EntryKey, None]] = {}
        self._by_endpoint: dict[Endpoint, dict[EntryKey, None]] = {}

    def add(self, entry: TargetEntry) -> None:
        """Add an entry; one that is known already has no effect."""
        self._by_name.setdefault(entry.lifetime.target, {}).setdefault(entry.key)
        self._by_endpoint.setdefault(entry.endpoint, {}).setdefault(entry.key)

    def remove(self, entry: TargetEntry) -> None:
        """Remove an entry that was added."""
        named = self._by_name[entry.lifetime.target]
        named.pop(entry.key, None)
        if not named:
            del self._by_name[entry.lifetime.target]
        located = self._by_endpoint[entry.endpoint]
        located.pop(entry.key, None)
        if not located:
            del self._by_endpoint[entry.endpoint]

    def newest_start(self, target: TargetName) -> int | None:
        """Return the latest start time of a name in milliseconds, or ``None`` if it is unknown."""
        starts = (key.lifetime.started_ms for key in self._by_name.get(target, ()))
        return max(starts, default=None)

    def of_lifetime(self, lifetime: Lifetime) -> list[EntryKey]:
        """Return the entries of a lifetime, the first known one first."""
        return [key for key in self._by_name.get(lifetime.target, ()) if key.lifetime == lifetime]

    def rivals(self, lifetime: Lifetime, endpoint: Endpoint) -> list[EntryKey]:
        """Return the entries of other lifetimes with the name of a lifetime or at its address."""
        found = self._by_name.get(lifetime.target, {}) | self._by_endpoint.get(endpoint, {})
        return [key for key in found if key.lifetime != lifetime]
