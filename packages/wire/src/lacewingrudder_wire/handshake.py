"""Mutual challenge-response authentication of two processes that share a peer key."""

from __future__ import annotations

import hashlib
import hmac
from typing import NamedTuple

NONCE_BYTES = 16


class Challenge(NamedTuple):
    """The first message on a link, sent by the side that accepted the connection."""

    nonce: bytes


class Hello(NamedTuple):
    """The connecting side proves that it has the key, and sends its own challenge."""

    host: str
    nonce: bytes
    proof: bytes


class Welcome(NamedTuple):
    """The accepting side proves that it has the key, which completes the handshake."""

    host: str
    proof: bytes


class OperatorHello(NamedTuple):
    """The connecting side is an operator's tool, which has no key and proves nothing."""


def proof(key: str, role: str, host: str, nonce: bytes) -> bytes:
    """Return the HMAC by which one side answers the challenge of the other.

    :param key: the shared peer key.
    :param role: ``caller`` or ``listener``; prevents reflection of a proof to its sender.
    :param host: name of the host that gives the proof.
    :param nonce: the nonce of the other side's challenge.
    """
    text = role.encode() + b"|" + host.encode() + b"|" + nonce
    return hmac.new(key.encode(), text, hashlib.sha256).digest()


def proof_matches(expected: bytes, given: bytes) -> bool:
    """Compare two proofs in constant time, to prevent timing attacks."""
    return hmac.compare_digest(expected, given)
