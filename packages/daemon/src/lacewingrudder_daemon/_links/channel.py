"""A message channel on one connection, and the handshake that authenticates it."""

from __future__ import annotations

import asyncio
import secrets
from typing import Any

from lacewingrudder_core.propagation import TokenBucket
from lacewingrudder_core.types import HostName
from lacewingrudder_wire import handshake
from lacewingrudder_wire.codec import MAX_MESSAGE_BYTES, Envelope, decode, encode
from lacewingrudder_wire.exceptions import CodecError, UnauthenticatedError
from websockets.asyncio.connection import Connection

from ..recorder import TimelineWriter
from .counts import LinkCounts, purpose_of

HELLO_LIMIT_BYTES = 1024
MAX_SEND_BYTES_PER_SECOND = 262_144.0
RATE_LIMIT_RETRY_INTERVAL_SECONDS = 0.05


class Channel:
    """Sends and receives messages on one connection; sending is rate-limited.

    Timestamps of the other side advance the hybrid clock only once the handshake has authenticated
    that side.

    :param connection: an open connection.
    :param counts: counters to update.
    """

    def __init__(
        self, connection: Connection, timeline: TimelineWriter, counts: LinkCounts
    ) -> None:
        self._connection = connection
        self._timeline = timeline
        self._counts = counts
        self._rate_limit = TokenBucket(MAX_SEND_BYTES_PER_SECOND, 2.0 * MAX_MESSAGE_BYTES)
        self._is_authenticated = False

    @property
    def connection(self) -> Connection:
        """The underlying connection."""
        return self._connection

    async def send(self, body: Any) -> None:
        """Send one message; waits while the rate limit is exhausted.

        :raises ConnectionClosed: if the connection is closed.
        """
        data = encode(Envelope(self._timeline.next_timestamp(), body))
        await self._wait_for_tokens(len(data))
        self._counts.sent_bytes[purpose_of(body)] += len(data)
        await self._connection.send(data)

    async def receive(self, limit: int = MAX_MESSAGE_BYTES) -> Any:
        """Return the next message.

        :param limit: maximum size of the message in bytes.
        :raises CodecError: if the data is not a valid message or exceeds the limit.
        :raises ConnectionClosed: if the connection is closed.
        """
        data = await self._connection.recv()
        if isinstance(data, str):
            raise CodecError("received a text frame instead of a binary frame")
        if len(data) > limit:
            raise CodecError(f"message of {len(data)} bytes exceeds the limit of {limit} bytes")
        envelope = decode(data)
        self._counts.received_bytes[purpose_of(envelope.body)] += len(data)
        if self._is_authenticated:
            self._timeline.merge_timestamp(envelope.time)
        return envelope.body

    async def connect_handshake(self, me: HostName, host: HostName, key: str) -> None:
        """Perform the handshake as the connecting side.

        :param me: name of this host.
        :param host: name that the accepting side must prove.
        :raises UnauthenticatedError: if the accepting side is another host or lacks the peer key.
        """
        challenge = await self.receive(HELLO_LIMIT_BYTES)
        if not isinstance(challenge, handshake.Challenge):
            raise UnauthenticatedError("expected a challenge")
        nonce = secrets.token_bytes(handshake.NONCE_BYTES)
        proof = handshake.proof(key, "caller", me, challenge.nonce)
        await self.send(handshake.Hello(me, nonce, proof))
        welcome = await self.receive(HELLO_LIMIT_BYTES)
        if not isinstance(welcome, handshake.Welcome) or welcome.host != host:
            raise UnauthenticatedError(f"expected a welcome from {host}")
        expected = handshake.proof(key, "listener", welcome.host, nonce)
        if not handshake.proof_matches(expected, welcome.proof):
            raise UnauthenticatedError("the accepting side does not have the peer key")
        self._is_authenticated = True

    async def challenge(self) -> tuple[Any, bytes]:
        """Challenge the connecting side; return its first message and the challenge's nonce."""
        nonce = secrets.token_bytes(handshake.NONCE_BYTES)
        await self.send(handshake.Challenge(nonce))
        return await self.receive(HELLO_LIMIT_BYTES), nonce

    async def welcome(self, me: HostName, key: str, hello: handshake.Hello, nonce: bytes) -> None:
        """Verify a connecting host's hello, and prove that this side has the peer key too.

        :raises UnauthenticatedError: if the connecting side does not have the peer key.
        """
        expected = handshake.proof(key, "caller", hello.host, nonce)
        if not handshake.proof_matches(expected, hello.proof):
            raise UnauthenticatedError("the connecting side does not have the peer key")
        await self.send(handshake.Welcome(me, handshake.proof(key, "listener", me, hello.nonce)))
        self._is_authenticated = True

    async def _wait_for_tokens(self, size: int) -> None:
        loop = asyncio.get_running_loop()
        remaining = size
        while remaining:
            remaining -= self._rate_limit.take(remaining, loop.time())
            if remaining:
                await asyncio.sleep(RATE_LIMIT_RETRY_INTERVAL_SECONDS)
