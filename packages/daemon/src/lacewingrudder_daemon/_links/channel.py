"""One connection that carries messages, and the handshake that opens it."""

from __future__ import annotations

import asyncio
import secrets
from typing import Any

from lacewingrudder_core.propagation import TokenBucket
from lacewingrudder_core.types import HostName
from lacewingrudder_wire import handshake
from lacewingrudder_wire.codec import MESSAGE_LIMIT_BYTES, Envelope, decode, encode
from lacewingrudder_wire.exceptions import CodecError, UnauthenticatedError
from websockets.asyncio.connection import Connection

from ..recorder import TimelineWriter
from .counts import LinkCounts, purpose_of

GREETING_LIMIT_BYTES = 1024
SEND_BYTES_PER_SECOND = 262_144.0
BUDGET_WAIT_SECONDS = 0.05


class Channel:
    """Sends and receives messages on one connection, within a byte budget.

    :param connection: an open connection.
    :param counts: where bytes are counted.
    """

    def __init__(
        self, connection: Connection, recorder: TimelineWriter, counts: LinkCounts
    ) -> None:
        self._connection = connection
        self._recorder = recorder
        self._counts = counts
        self._budget = TokenBucket(SEND_BYTES_PER_SECOND, 2.0 * MESSAGE_LIMIT_BYTES)
        self._is_trusted = False

    @property
    def connection(self) -> Connection:
        """The connection that carries the messages."""
        return self._connection

    async def send(self, body: Any) -> None:
        """Send one message; waits while the byte budget is used up.

        :raises ConnectionClosed: if the connection is gone.
        """
        data = encode(Envelope(self._recorder.now(), body))
        await self._wait_for_budget(len(data))
        self._counts.sent_bytes[purpose_of(body)] += len(data)
        await self._connection.send(data)

    async def receive(self, limit: int = MESSAGE_LIMIT_BYTES) -> Any:
        """Return the next message.

        :param limit: bytes that the message may have.
        :raises CodecError: if what comes is no message.
        :raises ConnectionClosed: if the connection is gone.
        """
        data = await self._connection.recv()
        if isinstance(data, str):
            raise CodecError("text instead of bytes")
        if len(data) > limit:
            raise CodecError(f"{len(data)} bytes where {limit} are allowed")
        envelope = decode(data)
        self._counts.received_bytes[purpose_of(envelope.body)] += len(data)
        if self._is_trusted:
            self._recorder.observe(envelope.time)
        return envelope.body

    async def call(self, me: HostName, host: HostName, key: str) -> None:
        """Go through the handshake as the calling side.

        :param host: the host that has to answer.
        :raises UnauthenticatedError: if the other side is not that host or lacks the key.
        """
        challenge = await self.receive(GREETING_LIMIT_BYTES)
        if not isinstance(challenge, handshake.Challenge):
            raise UnauthenticatedError("a challenge is missing")
        nonce = secrets.token_bytes(handshake.NONCE_BYTES)
        proof = handshake.proof(key, "caller", me, challenge.nonce)
        await self.send(handshake.Hello(me, nonce, proof))
        welcome = await self.receive(GREETING_LIMIT_BYTES)
        if not isinstance(welcome, handshake.Welcome) or welcome.host != host:
            raise UnauthenticatedError(f"a welcome from {host} is missing")
        expected = handshake.proof(key, "listener", welcome.host, nonce)
        if not handshake.proof_matches(expected, welcome.proof):
            raise UnauthenticatedError("the other side does not have the peer key")
        self._is_trusted = True

    async def challenge(self) -> tuple[Any, bytes]:
        """Challenge the calling side; return its greeting and the nonce it had to use."""
        nonce = secrets.token_bytes(handshake.NONCE_BYTES)
        await self.send(handshake.Challenge(nonce))
        return await self.receive(GREETING_LIMIT_BYTES), nonce

    async def welcome(self, me: HostName, key: str, hello: handshake.Hello, nonce: bytes) -> None:
        """Check a calling host's greeting and prove that this side has the key too.

        :raises UnauthenticatedError: if the calling side does not have the peer key.
        """
        expected = handshake.proof(key, "caller", hello.host, nonce)
        if not handshake.proof_matches(expected, hello.proof):
            raise UnauthenticatedError("the caller does not have the peer key")
        await self.send(handshake.Welcome(me, handshake.proof(key, "listener", me, hello.nonce)))
        self._is_trusted = True

    async def _wait_for_budget(self, size: int) -> None:
        loop = asyncio.get_running_loop()
        owed = size
        while owed:
            owed -= self._budget.take(owed, loop.time())
            if owed:
                await asyncio.sleep(BUDGET_WAIT_SECONDS)
