"""Keeps the targets of a control host on disk, for its next start."""

from __future__ import annotations

import asyncio
import concurrent.futures
import time
from collections.abc import Callable, Sequence

from lacewingrudder_core.checkins import (
    RESTART_GRACE_SECONDS,
    VIEW_VALIDITY_SECONDS,
    CheckInCore,
    FormerTargets,
    KnownTarget,
    Lifetime,
    Registry,
    TargetEntry,
)
from lacewingrudder_core.types import HostName
from lacewingrudder_wire.exceptions import CodecError

from .._storage.registry_store import (
    MILLISECONDS_PER_SECOND,
    REWRITE_INTERVAL_SECONDS,
    RegistryStore,
    StoredRegistry,
)
from ..event_sink import EventSink

WRITE_INTERVAL_SECONDS = 0.3
"""Interval at which the whole registry is written to disk if it has changed."""

PEER_WRITE_INTERVAL_SECONDS = 3.0
"""Minimum interval between writes because of targets that check in with other control hosts."""


class RegistryKeeper:
    """Reads what a control host knew before its start, and writes what it knows.

    :param store: the file.
    :param events: receives an event if the file can't be read or written.
    """

    def __init__(self, store: RegistryStore, events: EventSink) -> None:
        self._store = store
        self._events = events
        self._stored = self._read()
        is_outdated = self._stored.is_outdated(_wall_milliseconds())
        self._former_targets = FormerTargets(() if is_outdated else self._stored.peer_entries)
        self._former_valid_until = time.monotonic() + VIEW_VALIDITY_SECONDS
        self._former_entry_hosts = frozenset(self._stored.entry_hosts)
        self._peer_change_count = 0
        self._executor = concurrent.futures.ThreadPoolExecutor(1, "registry")

    @property
    def former_entry_hosts(self) -> frozenset[HostName]:
        """The entry hosts that subscribed before the start; none after a while."""
        return self._former_entry_hosts

    @property
    def former_targets(self) -> FormerTargets:
        """Reachable targets of other control hosts before the start; none after a while."""
        is_valid = time.monotonic() < self._former_valid_until
        return self._former_targets if is_valid else FormerTargets(())

    def restore(
        self,
        heartbeat_seconds: float,
        find_elsewhere: Callable[[Lifetime], Sequence[KnownTarget]],
    ) -> Registry:
        """Return the registry with the targets that were known before the start.

        :param find_elsewhere: returns what other control hosts publish of a lifetime.
        """
        epoch = _wall_milliseconds()
        registry = Registry(epoch, heartbeat_seconds, find_elsewhere)
        entries = self._stored.current_entries(epoch)
        registry.restore(entries, self._stored.is_outdated(epoch), time.monotonic())
        return registry

    def record_peer_change(self) -> None:
        """Record that the targets of another control host have changed."""
        self._peer_change_count += 1

    async def run(
        self, checkins: CheckInCore, find_peer_entries: Callable[[], tuple[TargetEntry, ...]]
    ) -> None:
        """Write the registry whenever it changed; a slow disk delays only the next write.

        Changes at other control hosts are written together, since there are many.

        :param find_peer_entries: returns the reachable targets of other control hosts.
        """
        loop = asyncio.get_running_loop()
        written: object = None
        forget_former_at = loop.time() + RESTART_GRACE_SECONDS
        rewrite_at = peers_written_at = loop.time()
        peer_change_count = 0
        peer_entries = self._former_targets.entries
        while True:
            await asyncio.sleep(WRITE_INTERVAL_SECONDS)
            if loop.time() >= forget_former_at:
                self._former_entry_hosts = frozenset()
            entry_hosts = tuple(sorted(self._former_entry_hosts.union(checkins.entry_hosts)))
            is_due = loop.time() >= peers_written_at + PEER_WRITE_INTERVAL_SECONDS
            if self._peer_change_count != peer_change_count and is_due:
                peer_change_count = self._peer_change_count
                peers_written_at = loop.time()
                peer_entries = find_peer_entries()
            content = checkins.registry.position, entry_hosts, peer_entries
            if content == written and loop.time() < rewrite_at:
                continue
            entries = tuple(checkins.registry.current_entries(loop.time()))
            stored = StoredRegistry(entries, _wall_milliseconds(), entry_hosts, peer_entries)
            try:
                await loop.run_in_executor(self._executor, self._store.write, stored)
                written = content
                rewrite_at = loop.time() + REWRITE_INTERVAL_SECONDS
            except OSError as error:
                self._events.record("registry_not_kept", detail=str(error))

    def close(self) -> None:
        """Stop writing, without a wait for the disk."""
        self._executor.shutdown(wait=False)

    def _read(self) -> StoredRegistry:
        try:
            return self._store.read()
        except (OSError, CodecError) as error:
            self._events.record("registry_unreadable", detail=str(error))
            return StoredRegistry(())


def _wall_milliseconds() -> int:
    return int(time.time() * MILLISECONDS_PER_SECOND)
