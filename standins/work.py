"""Requests of callers, and answers with bodies that are computed from request and service."""

from __future__ import annotations

import struct

import xxhash

_REQUEST = struct.Struct("!IQ")
_ANSWER = struct.Struct("!IQ16s24s")
REQUEST_BYTES = _REQUEST.size
_DIGEST_BYTES = 8


def make_request(number: int, answer_bytes: int) -> bytes:
    """Return the bytes of a request.

    :param number: unique over all callers.
    :param answer_bytes: requested size of the answer's body.
    """
    return _REQUEST.pack(answer_bytes, number)


def make_answer(request_bytes: bytes, service: str, target: str) -> bytes:
    """Return the bytes of a target's answer to a request."""
    size, number = _REQUEST.unpack(request_bytes)
    head = _ANSWER.pack(size, number, service.encode(), target.encode())
    return head + _answer_body(number, service, size)


def complete_answer_size(stream: bytes | bytearray) -> int | None:
    """Return the size of the first answer in a stream, or ``None`` if it is incomplete."""
    if len(stream) < _ANSWER.size:
        return None
    size = int(_ANSWER.unpack_from(stream)[0]) + _ANSWER.size
    return size if len(stream) >= size else None


def check_answer(data: bytes, number: int, service: str, answer_bytes: int) -> str | None:
    """Return the name of the target that sent an answer, or ``None`` if any byte of it is wrong."""
    size, answered_number, service_name, target = _ANSWER.unpack_from(data)
    expected_head = (answer_bytes, number, service)
    if (size, answered_number, service_name.rstrip(b"\0").decode("latin-1")) != expected_head:
        return None
    if data[_ANSWER.size :] != _answer_body(number, service, answer_bytes):
        return None
    return str(target.rstrip(b"\0").decode("latin-1"))


def _answer_body(number: int, service: str, size: int) -> bytes:
    seed = xxhash.xxh3_64_digest(f"{service}:{number}".encode())
    return (seed * (size // _DIGEST_BYTES + 1))[:size]
