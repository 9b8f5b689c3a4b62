"""Persists the catalogue in force on an entry host in its data folder."""

from __future__ import annotations

import logging
import os
import struct
import zlib
from pathlib import Path

from lacewingrudder_core.notes import Catalogue
from lacewingrudder_wire.exceptions import CodecError
from lacewingrudder_wire.values import decode_value, encode_value

FILE_NAME = "in-force.catalogue"
_CRC = struct.Struct("!I")
_log = logging.getLogger(__name__)


class CatalogueStore:
    """A file with one catalogue and its checksum; each write replaces it atomically.

    :param folder: the data folder; created if missing.
    :raises OSError: if the folder cannot be created.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._path = folder / FILE_NAME

    def read(self) -> Catalogue | None:
        """Return the catalogue, or ``None`` if the file does not exist or is corrupt."""
        try:
            data = self._path.read_bytes()
        except FileNotFoundError:
            return None
        body = data[_CRC.size :]
        try:
            if data[: _CRC.size] != _CRC.pack(zlib.crc32(body)):
                raise CodecError("checksum mismatch")
            catalogue: Catalogue = decode_value(Catalogue, body)
        except CodecError as error:
            _log.warning("ignoring corrupt file %s: %s", self._path.name, error)
            return None
        return catalogue

    def write(self, catalogue: Catalogue) -> None:
        """Replace the catalogue; it is durable when this returns.

        :raises OSError: if the file cannot be written.
        """
        body = encode_value(catalogue)
        temporary = self._path.with_suffix(".new")
        with temporary.open("wb") as file:
            file.write(_CRC.pack(zlib.crc32(body)) + body)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._path)
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
