"""The work that callers and targets do: requests, and answers that depend on every byte."""

from __future__ import annotations

import struct

import xxhash

_REQUEST = struct.Struct("!IQ")
_ANSWER = struct.Struct("!IQ16s24s")
REQUEST_BYTES = _REQUEST.size
_BLOCK_BYTES = 8


def request(number: int, answer_bytes: int) -> bytes:
    """Return a request; its number is unique over all callers.

    :param answer_bytes: size of the body that the answer shall have.
    """
    return _REQUEST.pack(answer_bytes, number)


def answer(request_bytes: bytes, service: str, target: str) -> bytes:
    """Return the answer of a target to a request."""
    size, number = _REQUEST.unpack(request_bytes)
    head = _ANSWER.pack(size, number, service.encode(), target.encode())
    return head + _body(number, service, size)


def complete_answer(stream: bytes | bytearray) -> int | None:
    """Return the size of the first answer in a stream, or ``None`` if it is not whole."""
    if len(stream) < _ANSWER.size:
        return None
    size = int(_ANSWER.unpack_from(stream)[0]) + _ANSWER.size
    return size if len(stream) >= size else None


def check_answer(data: bytes, number: int, service: str, answer_bytes: int) -> str | None:
    """Return the target that gave an answer, or ``None`` if any byte of it is wrong."""
    size, given, name, target = _ANSWER.unpack_from(data)
    expected_head = (answer_bytes, number, service)
    if (size, given, name.rstrip(b"\0").decode("latin-1")) != expected_head:
        return None
    if data[_ANSWER.size :] != _body(number, service, answer_bytes):
        return None
    return str(target.rstrip(b"\0").decode("latin-1"))


def _body(number: int, service: str, size: int) -> bytes:
    seed = xxhash.xxh3_64_digest(f"{service}:{number}".encode())
    return (seed * (size // _BLOCK_BYTES + 1))[:size]
