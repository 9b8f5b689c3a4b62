"""The targets that a control host knew, for the moment after its next start.

Targets check in again within seconds in any case, so a file that is missing or damaged costs these
seconds and nothing else.
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
    """The file of published entries.

    :param disk: where the file is.
    """

    def __init__(self, disk: Disk) -> None:
        self._disk = disk

    def read(self) -> tuple[TargetEntry, ...]:
        """Return the entries of the last write; nothing if there is no whole file.

        :raises OSError: if the disk fails.
        :raises CodecError: if the file is damaged.
        """
        data = self._disk.read(REGISTRY_NAME)
        if data is None:
            return ()
        body = data[_CRC_BYTES:]
        if zlib.crc32(body).to_bytes(_CRC_BYTES, "big") != data[:_CRC_BYTES]:
            raise CodecError("the file of targets is damaged")
        entries: tuple[TargetEntry, ...] = decode_value(_Entries, body).entries
        return entries

    def write(self, entries: tuple[TargetEntry, ...]) -> None:
        """Replace the file.

        :raises OSError: if the disk is full or fails.
        """
        body = encode_value(_Entries(entries))
        crc = zlib.crc32(body).to_bytes(_CRC_BYTES, "big")
        self._disk.replace(REGISTRY_NAME, crc + body)
