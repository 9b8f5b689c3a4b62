"""Durable state of a control host: one file of frames, begun anew at each snapshot.

The first frame holds the whole state; each later one holds the writes of one sync. A frame is
written only after the one before it is synced, so a bad frame with a good one after it is no torn
write: what was acknowledged has been damaged.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Sequence
from typing import NamedTuple

from lacewingrudder_core.replica import DurableState, Write
from lacewingrudder_wire.exceptions import LacewingrudderError
from lacewingrudder_wire.values import decode_value, encode_value

from .disk import Disk

LOG_NAME = "replica.log"
_MAGIC = b"lwr1"
_FRAME = struct.Struct("!4sII")


class CorruptLogError(LacewingrudderError):
    """What this host had acknowledged can't be read any more.

    :param offset: of the first bad byte.
    """

    def __init__(self, offset: int) -> None:
        super().__init__(
            f"{LOG_NAME} in the data folder is damaged at byte {offset}; move the data folder away"
            " and start again: the host then joins as a new one and catches up"
        )


class Batch(NamedTuple):
    """The writes of one sync."""

    writes: tuple[Write, ...]


class ReplicaStore:
    """The file of one replica.

    :param disk: where the file is.
    """

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._state = DurableState("")
        self._size = 0
        self._is_dirty = False

    def recover(self, identity: str) -> DurableState:
        """Return what the disk holds; a torn last frame is cut off.

        :param identity: for a disk that has none yet.
        :raises CorruptLogError: if a frame is damaged that had been synced.
        :raises OSError: if the disk fails.
        """
        data = self._disk.read(LOG_NAME)
        if data is None:
            self._begin(DurableState(identity))
            return self._state
        first = _read_frame(data, 0)
        if first is None:
            raise CorruptLogError(0)
        self._state = decode_value(DurableState, first)
        self._size = _FRAME.size + len(first)
        self._replay(data)
        return self._state

    def write(self, writes: Sequence[Write]) -> None:
        """Make writes durable in one sync; after an error, call it again with the same writes.

        :raises OSError: if the disk is full or fails.
        """
        state = self._state
        for write in writes:
            state = state.after(write)
        if any(write.snapshot is not None for write in writes):
            self._begin(state)
            return
        if self._is_dirty:
            self._disk.truncate(LOG_NAME, self._size)
        self._is_dirty = True
        frame = _frame(encode_value(Batch(tuple(writes))))
        self._disk.append(LOG_NAME, frame)
        self._disk.sync(LOG_NAME)
        self._is_dirty = False
        self._size += len(frame)
        self._state = state

    def close(self) -> None:
        """Close the file."""
        self._disk.close()

    def _begin(self, state: DurableState) -> None:
        frame = _frame(encode_value(state))
        self._disk.replace(LOG_NAME, frame)
        self._is_dirty = False
        self._size = len(frame)
        self._state = state

    def _replay(self, data: bytes) -> None:
        while (body := _read_frame(data, self._size)) is not None:
            for write in decode_value(Batch, body).writes:
                self._state = self._state.after(write)
            self._size += _FRAME.size + len(body)
        if self._size == len(data):
            return
        if _holds_frame(data, self._size + 1):
            raise CorruptLogError(self._size)
        self._disk.truncate(LOG_NAME, self._size)


def _frame(body: bytes) -> bytes:
    return _FRAME.pack(_MAGIC, len(body), zlib.crc32(body)) + body


def _read_frame(data: bytes, offset: int) -> bytes | None:
    """Return the body of the frame at an offset, or ``None`` if there is no whole one."""
    if offset + _FRAME.size > len(data):
        return None
    magic, length, crc = _FRAME.unpack_from(data, offset)
    start = offset + _FRAME.size
    body = data[start : start + length]
    if magic != _MAGIC or len(body) != length or zlib.crc32(body) != crc:
        return None
    return body


def _holds_frame(data: bytes, offset: int) -> bool:
    while (offset := data.find(_MAGIC, offset)) >= 0:
        if _read_frame(data, offset) is not None:
            return True
        offset += 1
    return False
