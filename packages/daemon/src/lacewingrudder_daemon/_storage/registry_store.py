"""Persists the targets that a control host knows, so that it can serve them after a restart.

Targets check in again within seconds anyway, so a missing or corrupt file costs no more than that
delay.
"""

from __future__ import annotations

import zlib
from typing import NamedTuple

from lacewingrudder_core.checkins import ENDED_RETENTION_SECONDS, TargetEntry
from lacewingrudder_core.types import HostName
from lacewingrudder_wire.exceptions import CodecError
from lacewingrudder_wire.values import decode_value, encode_value

from .disk import Disk

REGISTRY_NAME = "registry"
MILLISECONDS_PER_SECOND = 1000

REWRITE_INTERVAL_SECONDS = 30.0
"""A file is written again after this long even if nothing changed, so that its age tells how long
its host was down."""

MAX_AGE_SECONDS = ENDED_RETENTION_SECONDS - REWRITE_INTERVAL_SECONDS
"""Up to this age of the file, other control hosts still publish all lifetimes that ended since."""
_CRC_BYTES = 4


class StoredRegistry(NamedTuple):
    """The content of the file.

    :param written_ms: wall-clock time of the write in milliseconds, 0 if it is not known.
    :param entry_hosts: the entry hosts that subscribed to the control host.
    :param peer_entries: reachable targets that checked in with other control hosts only.
    """

    entries: tuple[TargetEntry, ...]
    written_ms: int = 0
    entry_hosts: tuple[HostName, ...] = ()
    peer_entries: tuple[TargetEntry, ...] = ()

    def is_outdated(self, now_ms: int) -> bool:
        """Return whether other hosts may have forgotten lifetimes that ended after the write."""
        age_seconds = abs(now_ms - self.written_ms) / MILLISECONDS_PER_SECOND
        return bool(self.written_ms) and age_seconds > MAX_AGE_SECONDS

    def current_entries(self, now_ms: int) -> tuple[TargetEntry, ...]:
        """Return the entries with the warm-up that remains now."""
        age_ms = max(0, now_ms - self.written_ms)
        return tuple(
            (
                entry._replace(warmup_remaining_ms=max(0, entry.warmup_remaining_ms - age_ms))
                if entry.warmup_remaining_ms
                else entry
            )
            for entry in self.entries
        )


class RegistryStore:
    """A file with what a control host restores at its start, and a checksum.

    :param disk: the data folder.
    """

    def __init__(self, disk: Disk) -> None:
        self._disk = disk

    def read(self) -> StoredRegistry:
        """Return what was written last; without entries if there is no file.

        :raises OSError: if the disk fails.
        :raises CodecError: if the file is corrupt.
        """
        data = self._disk.read(REGISTRY_NAME)
        if data is None:
            return StoredRegistry(())
        body = data[_CRC_BYTES:]
        if zlib.crc32(body).to_bytes(_CRC_BYTES, "big") != data[:_CRC_BYTES]:
            raise CodecError("checksum mismatch in the registry file")
        stored: StoredRegistry = decode_value(StoredRegistry, body)
        return stored

    def write(self, stored: StoredRegistry) -> None:
        """Replace the file; the content is durable when this returns.

        :raises OSError: if the disk is full or fails.
        """
        body = encode_value(stored)
        crc = zlib.crc32(body).to_bytes(_CRC_BYTES, "big")
        self._disk.replace(REGISTRY_NAME, crc + body)
