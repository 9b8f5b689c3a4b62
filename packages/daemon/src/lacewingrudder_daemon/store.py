"""Durable state of a control host: a log of changes under the data folder."""

from __future__ import annotations

import os
import struct
import zlib
from pathlib import Path

from lacewingrudder_core.notes import Catalogue, Change
from lacewingrudder_wire.codec import decode_value, encode_value

_FRAME = struct.Struct("!II")
LOG_NAME = "changes.log"


class ChangeStore:
    """An append-only file of changes; a change is durable when :meth:`append` returns.

    :param folder: the data folder; created if missing.
    :raises OSError: if the folder can't be used.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._path = folder / LOG_NAME
        self._file = self._path.open("a+b")

    def recover(self) -> Catalogue:
        """Return the catalogue after all whole records; a torn tail is cut off."""
        data = self._path.read_bytes()
        catalogue = Catalogue()
        offset = 0
        while offset + _FRAME.size <= len(data):
            length, crc = _FRAME.unpack_from(data, offset)
            body = data[offset + _FRAME.size : offset + _FRAME.size + length]
            if len(body) < length or zlib.crc32(body) != crc:
                break
            catalogue = catalogue.apply(decode_value(Change, body))
            offset += _FRAME.size + length
        if offset < len(data):
            os.truncate(self._path, offset)
        return catalogue

    def append(self, change: Change) -> None:
        """Write one change and sync it."""
        body = encode_value(change)
        self._file.write(_FRAME.pack(len(body), zlib.crc32(body)) + body)
        self._file.flush()
        os.fsync(self._file.fileno())

    def close(self) -> None:
        """Close the file."""
        self._file.close()
