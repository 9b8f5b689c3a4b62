"""Persists the targets that a control host knows, so that it can serve them after a restart.

Targets check in again within seconds anyway, so a missing or corrupt file costs no more than that
delay.
"""

from __future__ import annotations

import zlib
from typing import NamedTuple

from lacewingrudder_core.checkins import TargetEntry
from lacewingrudder_wire.exceptions import CodecError
from lacewingrudder_wire.values import decode_value, encode_value

from .disk import Disk

REGISTRY_NAME = "registry"
_CRC_BYTES = 4


class _Entries(NamedTuple):
    entries: tuple[TargetEntry, ...]


class RegistryStore:
    """A file with the target entries of a control host and a checksum.

    :param disk: the data folder.
    """

    def __init__(self, disk: Disk) -> None:
        self._disk = disk

    def read(self) -> tuple[TargetEntry, ...]:
        """Return the entries of the last write; empty if there is no file.

        :raises OSError: if the disk fails.
        :raises CodecError: if the file is corrupt.
        """
        data = self._disk.read(REGISTRY_NAME)
        if data is None:
            return ()
        body = data[_CRC_BYTES:]
        if zlib.crc32(body).to_bytes(_CRC_BYTES, "big") != data[:_CRC_BYTES]:
            raise CodecError("checksum mismatch in the registry file")
        entries: tuple[TargetEntry, ...] = decode_value(_Entries, body).entries
        return entries

    def write(self, entries: tuple[TargetEntry, ...]) -> None:
        """Replace the file; the entries are durable when this returns.

        :raises OSError: if the disk is full or fails.
        """
        body = encode_value(_Entries(entries))
        crc = zlib.crc32(body).to_bytes(_CRC_BYTES, "big")
        self._disk.replace(REGISTRY_NAME, crc + body)
