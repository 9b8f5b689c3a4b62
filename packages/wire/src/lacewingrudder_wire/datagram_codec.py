"""Codec for messages sent as datagrams: CBOR, compressed if large, and split into fragments.

Datagrams suit a fleet whose hosts come and go: there is no connection that can stall, and lost
messages are requested again with the next heartbeat.
"""

from __future__ import annotations

import collections
import secrets
import struct
import zlib
from collections.abc import Mapping
from typing import Any, NamedTuple

import cbor2

from .exceptions import CodecError
from .values import from_builtins, to_builtins

MAX_FRAGMENT_BYTES = 8_000
"""Maximum size of a fragment without its header; large, so that a message needs few fragments."""

MAX_MESSAGE_BYTES = 4 << 20
"""Maximum size of a compressed message after decompression."""
COMPRESSION_THRESHOLD_BYTES = 300
"""Messages of at least this size are compressed."""
COMPRESSION_LEVEL = 1
MAX_PARTIAL_MESSAGES = 64
"""Maximum number of incomplete messages that are kept for reassembly."""

MESSAGE_ID_BITS = 32

_HEADER = struct.Struct("!4sIHH")
_MAGIC = b"lwd1"
_COMPRESSED = b"z"
_UNCOMPRESSED = b"c"

_SMALL_MESSAGE = _UNCOMPRESSED + b"\x82"
"""Start of an uncompressed message: a CBOR array of two items, of which the tag is the first."""
_MAX_SMALL_TAG = 23
"""CBOR encodes integers up to this one as a single byte with their value."""


class _FragmentKey(NamedTuple):
    sender: Any
    message_id: int
    total: int


class MessageCodec:
    """Encodes messages as datagrams and decodes them.

    :param tags: the message types by their tags; other types are rejected.
    """

    def __init__(self, tags: Mapping[int, type[Any]]) -> None:
        self._types: dict[int, type[Any]] = {}
        self._tags: dict[type[Any], int] = {}
        self.add_types(tags)
        # A sender that restarts must not reuse the identifiers of fragments that may still arrive.
        self._last_message_id = secrets.randbits(MESSAGE_ID_BITS)
        self._partial_messages: collections.OrderedDict[_FragmentKey, dict[int, bytes]]
        self._partial_messages = collections.OrderedDict()

    def add_types(self, tags: Mapping[int, type[Any]]) -> None:
        """Add message types by their tags."""
        self._types |= tags
        self._tags |= {cls: tag for tag, cls in tags.items()}

    def encode(self, body: Any) -> list[bytes]:
        """Encode a message as one or more datagrams."""
        data = cbor2.dumps([self._tags[type(body)], to_builtins(body)])
        if len(data) >= COMPRESSION_THRESHOLD_BYTES:
            data = _COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)
        else:
            data = _UNCOMPRESSED + data
        self._last_message_id = (self._last_message_id + 1) % (1 << MESSAGE_ID_BITS)
        parts = [
            data[offset : offset + MAX_FRAGMENT_BYTES]
            for offset in range(0, len(data), MAX_FRAGMENT_BYTES)
        ]
        return [
            _HEADER.pack(_MAGIC, self._last_message_id, index, len(parts)) + part
            for index, part in enumerate(parts)
        ]

    def peek(self, datagram: bytes) -> type[Any] | None:
        """Return the type of a message without decoding it, if it is small and has a small tag.

        It is ``None`` for any other message, and for a datagram that may be malformed.
        """
        start = _HEADER.size
        tag_start = start + len(_SMALL_MESSAGE)
        if len(datagram) <= tag_start or datagram[start:tag_start] != _SMALL_MESSAGE:
            return None
        _, _, _, total = _HEADER.unpack_from(datagram)
        if total != 1:
            return None
        tag = datagram[tag_start]
        return self._types.get(tag) if tag <= _MAX_SMALL_TAG else None

    def decode(self, datagram: bytes, sender: Any) -> Any | None:
        """Return the message that a datagram completes, or ``None`` if fragments are missing.

        :param sender: identifies the sender; fragments of different senders are not combined.
        :raises CodecError: if the datagram or the completed message is malformed.
        """
        try:
            magic, message_id, index, total = _HEADER.unpack_from(datagram)
        except struct.error as error:
            raise CodecError("datagram is shorter than its header") from error
        if magic != _MAGIC or not index < total:
            raise CodecError("datagram has an invalid header")
        data = datagram[_HEADER.size :]
        if total > 1:
            reassembled = self._reassemble(_FragmentKey(sender, message_id, total), index, data)
            if reassembled is None:
                return None
            data = reassembled
        return self._decode_message(data)

    def _reassemble(self, key: _FragmentKey, index: int, data: bytes) -> bytes | None:
        parts = self._partial_messages.setdefault(key, {})
        parts[index] = data
        if len(parts) < key.total:
            if len(self._partial_messages) > MAX_PARTIAL_MESSAGES:
                self._partial_messages.popitem(last=False)
            return None
        del self._partial_messages[key]
        return b"".join(parts[position] for position in sorted(parts))

    def _decode_message(self, data: bytes) -> Any:
        try:
            body = _decompress(data[1:]) if data[:1] == _COMPRESSED else data[1:]
            tag, fields = cbor2.loads(body)
            return from_builtins(self._types[tag], fields)
        except CodecError:
            raise
        except Exception as error:
            raise CodecError(f"malformed message: {type(error).__name__}") from error


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    if not decompressor.eof:
        raise CodecError("compressed message is incomplete or exceeds the maximum size")
    return body
