"""Codec for messages sent as datagrams: CBOR, compressed, and split into fragments.

Datagrams suit a fleet whose hosts come and go: there is no connection that can stall, and lost
messages are requested again with the next heartbeat.
"""

from __future__ import annotations

import collections
import struct
import zlib
from collections.abc import Mapping
from typing import Any, NamedTuple

import cbor2

from .exceptions import CodecError
from .values import from_plain, plain

FRAGMENT_BYTES = 8_000
"""Maximum payload of a datagram; large, so that a message needs few fragments."""

MESSAGE_LIMIT_BYTES = 4 << 20
PACK_FROM_BYTES = 300
PACK_LEVEL = 1
PARTIAL_LIMIT = 64
"""Maximum number of incomplete messages that are kept for reassembly."""

_HEADER = struct.Struct("!4sIHH")
_MAGIC = b"lwd1"
_PACKED = b"z"
_BARE = b"c"


class _FragmentKey(NamedTuple):
    sender: Any
    number: int


class MessageCodec:
    """Encodes messages as datagrams and decodes them.

    :param tags: the message types by their tags; other types are rejected.
    """

    def __init__(self, tags: Mapping[int, type[Any]]) -> None:
        self._types = dict(tags)
        self._tags = {cls: tag for tag, cls in tags.items()}
        self._number = 0
        self._partial: collections.OrderedDict[_FragmentKey, dict[int, bytes]]
        self._partial = collections.OrderedDict()

    def encode(self, body: Any) -> list[bytes]:
        """Encode a message as one or more datagrams."""
        data = cbor2.dumps([self._tags[type(body)], plain(body)])
        if len(data) >= PACK_FROM_BYTES:
            data = _PACKED + zlib.compress(data, PACK_LEVEL)
        else:
            data = _BARE + data
        self._number = (self._number + 1) & 0xFFFFFFFF
        parts = [data[at : at + FRAGMENT_BYTES] for at in range(0, len(data), FRAGMENT_BYTES)]
        return [
            _HEADER.pack(_MAGIC, self._number, index, len(parts)) + part
            for index, part in enumerate(parts)
        ]

    def decode(self, datagram: bytes, sender: Any) -> Any | None:
        """Return the message that a datagram completes, or ``None`` if fragments are missing.

        :param sender: identifies the sender; fragments of different senders are not combined.
        :raises CodecError: if the datagram or the completed message is malformed.
        """
        try:
            magic, number, index, total = _HEADER.unpack_from(datagram)
        except struct.error as error:
            raise CodecError("datagram is shorter than its header") from error
        if magic != _MAGIC or not index < total:
            raise CodecError("datagram has an invalid header")
        data = datagram[_HEADER.size :]
        if total > 1:
            joined = self._join(_FragmentKey(sender, number), index, total, data)
            if joined is None:
                return None
            data = joined
        return self._read(data)

    def _join(self, key: _FragmentKey, index: int, total: int, data: bytes) -> bytes | None:
        parts = self._partial.setdefault(key, {})
        parts[index] = data
        if len(parts) < total:
            if len(self._partial) > PARTIAL_LIMIT:
                self._partial.popitem(last=False)
            return None
        del self._partial[key]
        return b"".join(parts[at] for at in sorted(parts))

    def _read(self, data: bytes) -> Any:
        try:
            body = _unpack(data[1:]) if data[:1] == _PACKED else data[1:]
            tag, fields = cbor2.loads(body)
            return from_plain(self._types[tag], fields)
        except CodecError:
            raise
        except Exception as error:
            raise CodecError(f"malformed message: {type(error).__name__}") from error


def _unpack(data: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    body = unpacker.decompress(data, MESSAGE_LIMIT_BYTES)
    if not unpacker.eof:
        raise CodecError("message is incomplete or too large")
    return body
