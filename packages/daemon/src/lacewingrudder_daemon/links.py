"""Links between processes: websockets that carry CBOR messages, authenticated on both sides."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import random
import secrets
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from lacewingrudder_core.types import Endpoint, HostName
from lacewingrudder_wire import handshake
from lacewingrudder_wire.codec import MESSAGE_LIMIT_BYTES, Envelope, decode, encode
from lacewingrudder_wire.exceptions import CodecError
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from .recorder import Recorder

HANDSHAKE_SECONDS = 2.0
BACKOFF_FIRST_SECONDS = 0.1
BACKOFF_LAST_SECONDS = 2.0
OUTBOX_MESSAGES = 256

_log = logging.getLogger(__name__)


class Incoming(NamedTuple):
    """A message from another process.

    :param sender: the host's name; empty for an operator's tool.
    :param token: names the operator's connection for :meth:`LinkHub.answer`; 0 for hosts.
    """

    sender: HostName
    token: int
    body: Any


class LinkHub:
    """Owns all links of a process.

    :param name: this host.
    :param hosts: where each host that may be called takes links.
    :param deliver: called with each message that arrives.
    """

    def __init__(
        self,
        name: HostName,
        peer_key: str,
        hosts: Mapping[HostName, Endpoint],
        recorder: Recorder,
        deliver: Callable[[Incoming], None],
    ) -> None:
        self._name = name
        self._peer_key = peer_key
        self._hosts = dict(hosts)
        self._recorder = recorder
        self._deliver = deliver
        self._outboxes: dict[HostName, asyncio.Queue[Any]] = {}
        self._writers: set[asyncio.Task[None]] = set()
        self._accepted: dict[HostName, ServerConnection] = {}
        self._operators: dict[int, ServerConnection] = {}
        self._tokens = itertools.count(1)
        self._server: Server | None = None
        self.bytes_sent = 0

    async def start(self, listen: Endpoint) -> None:
        """Take links at an endpoint.

        :raises OSError: if the endpoint can't be used.
        """
        host, _, port = str(listen).rpartition(":")
        self._server = await serve(
            self._accept, host, int(port), max_size=MESSAGE_LIMIT_BYTES, compression=None
        )

    async def stop(self) -> None:
        """Close all links."""
        for task in self._writers:
            task.cancel()
        await asyncio.gather(*self._writers, return_exceptions=True)
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def send(self, host: HostName, body: Any) -> None:
        """Queue a message for a host; the oldest gives way if the host is too slow."""
        if host == self._name:
            self._deliver(Incoming(host, 0, body))
            return
        outbox = self._outboxes.get(host)
        if outbox is None:
            outbox = asyncio.Queue(OUTBOX_MESSAGES)
            self._outboxes[host] = outbox
            task = asyncio.create_task(self._write(host, outbox))
            self._writers.add(task)
        if outbox.full():
            outbox.get_nowait()
        outbox.put_nowait(body)

    def answer(self, token: int, body: Any) -> None:
        """Answer an operator's request, if its connection is still there."""
        connection = self._operators.get(token)
        if connection is not None:
            task = asyncio.create_task(self._send_quietly(connection, body))
            self._writers.add(task)
            task.add_done_callback(self._writers.discard)

    async def _send_quietly(self, connection: Connection, body: Any) -> None:
        with contextlib.suppress(ConnectionClosed):
            await self._send(connection, body)

    async def _send(self, connection: Connection, body: Any) -> None:
        data = encode(Envelope(self._recorder.now(), body))
        self.bytes_sent += len(data)
        await connection.send(data)

    async def _receive(self, connection: Connection) -> Any:
        data = await connection.recv()
        if isinstance(data, str):
            raise CodecError("text instead of bytes")
        envelope = decode(data)
        self._recorder.observe(envelope.time)
        return envelope.body

    async def _write(self, host: HostName, outbox: asyncio.Queue[Any]) -> None:
        backoff = BACKOFF_FIRST_SECONDS
        while True:
            body = await outbox.get()
            try:
                connection = await self._connection(host)
                await self._send(connection, body)
                backoff = BACKOFF_FIRST_SECONDS
            except (OSError, ConnectionClosed, CodecError, TimeoutError):
                await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
                backoff = min(2 * backoff, BACKOFF_LAST_SECONDS)

    async def _connection(self, host: HostName) -> Connection:
        accepted = self._accepted.get(host)
        if accepted is not None:
            return accepted
        endpoint = self._hosts.get(host)
        if endpoint is None:
            raise ConnectionRefusedError(f"no endpoint for {host}")
        connection = await connect(
            f"ws://{endpoint}",
            max_size=MESSAGE_LIMIT_BYTES,
            compression=None,
            open_timeout=HANDSHAKE_SECONDS,
            proxy=None,
        )
        await asyncio.wait_for(self._greet(connection), HANDSHAKE_SECONDS)
        self._accepted[host] = connection  # type: ignore[assignment]
        task = asyncio.create_task(self._read(host, connection))
        self._writers.add(task)
        task.add_done_callback(self._writers.discard)
        return connection

    async def _greet(self, connection: Connection) -> None:
        challenge = await self._receive(connection)
        if not isinstance(challenge, handshake.Challenge):
            raise CodecError("a challenge is missing")
        nonce = secrets.token_bytes(handshake.NONCE_BYTES)
        proof = handshake.proof(self._peer_key, "caller", self._name, challenge.nonce)
        await self._send(connection, handshake.Hello(self._name, nonce, proof))
        welcome = await self._receive(connection)
        if not isinstance(welcome, handshake.Welcome):
            raise CodecError("a welcome is missing")
        expected = handshake.proof(self._peer_key, "listener", welcome.host, nonce)
        if not handshake.proof_matches(expected, welcome.proof):
            raise CodecError("the other side does not have the peer key")

    async def _accept(self, connection: ServerConnection) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_SECONDS):
                nonce = secrets.token_bytes(handshake.NONCE_BYTES)
                await self._send(connection, handshake.Challenge(nonce))
                hello = await self._receive(connection)
            if isinstance(hello, handshake.OperatorHello):
                await self._serve_operator(connection)
            elif isinstance(hello, handshake.Hello):
                await self._serve_host(connection, hello, nonce)
        except (ConnectionClosed, CodecError, TimeoutError) as error:
            _log.debug("link closed: %s", error)

    async def _serve_host(
        self, connection: ServerConnection, hello: handshake.Hello, nonce: bytes
    ) -> None:
        expected = handshake.proof(self._peer_key, "caller", hello.host, nonce)
        if not handshake.proof_matches(expected, hello.proof):
            raise CodecError("the caller does not have the peer key")
        proof = handshake.proof(self._peer_key, "listener", self._name, hello.nonce)
        await self._send(connection, handshake.Welcome(self._name, proof))
        self._accepted[hello.host] = connection
        await self._read(hello.host, connection)

    async def _serve_operator(self, connection: ServerConnection) -> None:
        token = next(self._tokens)
        self._operators[token] = connection
        try:
            while True:
                body = await self._receive(connection)
                self._deliver(Incoming("", token, body))
        finally:
            del self._operators[token]

    async def _read(self, host: HostName, connection: Connection) -> None:
        try:
            while True:
                body = await self._receive(connection)
                self._deliver(Incoming(host, 0, body))
        except (ConnectionClosed, CodecError) as error:
            _log.debug("link with %s closed: %s", host, error)
        finally:
            if self._accepted.get(host) is connection:
                del self._accepted[host]
            await connection.close()
