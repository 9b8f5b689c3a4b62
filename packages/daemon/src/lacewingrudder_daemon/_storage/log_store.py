"""Durable state of a control host: a log file of frames that is rewritten at each snapshot.

The first frame holds the whole state, each later one the writes of one sync. A frame is written
only after the previous one is synced. A bad last frame is therefore a torn write, which is
discarded. A bad frame that is followed by a good one means that acknowledged data is corrupt.
"""

from __future__ import annotations

import logging
import struct
import zlib
from collections.abc import Callable, Sequence
from typing import NamedTuple

from lacewingrudder_core.replica import DurableState, Write
from lacewingrudder_wire.exceptions import LacewingrudderError
from lacewingrudder_wire.values import decode_value, encode_value

from .disk import Disk

_log = logging.getLogger(__name__)

LOG_NAME = "replica.log"
_MAGIC = b"lwr1"
_FRAME = struct.Struct("!4sII")


class CorruptLogError(LacewingrudderError):
    """Data that this host has acknowledged is corrupt.

    :param offset: offset of the bad frame in bytes.
    """

    def __init__(self, offset: int) -> None:
        super().__init__(
            f"{LOG_NAME} in the data folder is damaged at byte {offset}; move the data folder away"
            " and start again: the host then joins as a new one and catches up"
        )


class Batch(NamedTuple):
    """The writes that share one sync; the content of a frame."""

    writes: tuple[Write, ...]


class ReplicaStore:
    """The log file of one replica.

    :param disk: the data folder.
    """

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._state = DurableState("")
        self._synced_size = 0
        self._is_dirty = False
        self._has_file = True

    def recover(self, initial: DurableState) -> DurableState:
        """Return the state on disk; a torn last frame is truncated.

        If the disk refuses writes now, the next :meth:`write` makes up for it. Until that succeeds,
        nothing new is acknowledged.

        :param initial: the state if the disk is empty.
        :raises CorruptLogError: if a synced frame is corrupt.
        :raises OSError: if the disk cannot be read.
        """
        data = self._disk.read(LOG_NAME)
        if data is None:
            self._has_file = False
            self._state = initial
            self._try_to_prepare(lambda: self._rewrite(self._state))
            return self._state
        first = _read_frame(data, 0)
        if first is None:
            raise CorruptLogError(0)
        self._state = decode_value(DurableState, first)
        self._synced_size = _FRAME.size + len(first)
        self._replay(data)
        return self._state

    def write(self, writes: Sequence[Write]) -> None:
        """Make writes durable with one sync.

        :raises OSError: if the disk is full or fails; call it again with the same writes.
        """
        state = self._state
        for write in writes:
            state = state.after(write)
        if not self._has_file or any(write.snapshot is not None for write in writes):
            self._rewrite(state)
            return
        if self._is_dirty:
            self._disk.truncate(LOG_NAME, self._synced_size)
        self._is_dirty = True
        frame = _encode_frame(encode_value(Batch(tuple(writes))))
        self._disk.append(LOG_NAME, frame)
        self._disk.sync(LOG_NAME)
        self._is_dirty = False
        self._synced_size += len(frame)
        self._state = state

    def close(self) -> None:
        """Close the file."""
        self._disk.close()

    def _rewrite(self, state: DurableState) -> None:
        frame = _encode_frame(encode_value(state))
        self._disk.replace(LOG_NAME, frame)
        self._has_file = True
        self._is_dirty = False
        self._synced_size = len(frame)
        self._state = state

    def _replay(self, data: bytes) -> None:
        while (body := _read_frame(data, self._synced_size)) is not None:
            for write in decode_value(Batch, body).writes:
                self._state = self._state.after(write)
            self._synced_size += _FRAME.size + len(body)
        if self._synced_size == len(data):
            return
        if _contains_frame(data, self._synced_size + 1):
            raise CorruptLogError(self._synced_size)
        self._is_dirty = True
        self._try_to_prepare(self._truncate)

    def _truncate(self) -> None:
        self._disk.truncate(LOG_NAME, self._synced_size)
        self._is_dirty = False

    @staticmethod
    def _try_to_prepare(prepare: Callable[[], None]) -> None:
        try:
            prepare()
        except OSError as error:
            reason = error.strerror or str(error)
            _log.error("cannot prepare the replicated log, trying again later: %s", reason)


def _encode_frame(body: bytes) -> bytes:
    return _FRAME.pack(_MAGIC, len(body), zlib.crc32(body)) + body


def _read_frame(data: bytes, offset: int) -> bytes | None:
    """Return the body of the frame at an offset, or ``None`` if it is incomplete or corrupt."""
    if offset + _FRAME.size > len(data):
        return None
    magic, length, crc = _FRAME.unpack_from(data, offset)
    start = offset + _FRAME.size
    body = data[start : start + length]
    if magic != _MAGIC or len(body) != length or zlib.crc32(body) != crc:
        return None
    return body


def _contains_frame(data: bytes, offset: int) -> bool:
    while (offset := data.find(_MAGIC, offset)) >= 0:
        if _read_frame(data, offset) is not None:
            return True
        offset += 1
    return False
