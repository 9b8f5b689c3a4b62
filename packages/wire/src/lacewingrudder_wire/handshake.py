"""Mutual authentication of two processes by the peer key of their settings."""

from __future__ import annotations

import hashlib
import hmac
from typing import NamedTuple

NONCE_BYTES = 16


class Challenge(NamedTuple):
    """The first message on a link, from the side that took it."""

    nonce: bytes


class Hello(NamedTuple):
    """The calling side proves that it has the key, and challenges in turn."""

    host: str
    nonce: bytes
    proof: bytes


class Welcome(NamedTuple):
    """The side that took the link proves that it has the key."""

    host: str
    proof: bytes


class OperatorHello(NamedTuple):
    """The calling side is an operator's tool."""


def proof(key: str, role: str, host: str, nonce: bytes) -> bytes:
    """Return the proof of a side for the other's nonce.

    :param role: ``caller`` or ``listener``, so that a proof can't be reflected.
    """
    text = role.encode() + b"|" + host.encode() + b"|" + nonce
    return hmac.new(key.encode(), text, hashlib.sha256).digest()


def proof_matches(expected: bytes, given: bytes) -> bool:
    """Compare two proofs in constant time."""
    return hmac.compare_digest(expected, given)
