"""Links between processes: websockets that carry CBOR messages, authenticated on both sides."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import random
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from lacewingrudder_core.propagation import TokenBucket
from lacewingrudder_core.types import Endpoint, HostName
from lacewingrudder_wire.codec import MESSAGE_LIMIT_BYTES
from lacewingrudder_wire.exceptions import CodecError, UnauthenticatedError
from lacewingrudder_wire.handshake import Hello, OperatorHello
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from ..recorder import TimelineWriter
from .channel import Channel
from .counts import LinkCounts, Rejection, rejection_of
from .outbox import Outbox

HANDSHAKE_SECONDS = 2.0
BACKOFF_FIRST_SECONDS = 0.1
BACKOFF_LAST_SECONDS = 2.0
IDLE_SECONDS = 60.0
KEEPALIVE_SECONDS = 5.0
KEEPALIVE_TIMEOUT_SECONDS = 3.0
CLOSE_SECONDS = 1.0
OPERATOR_IDLE_SECONDS = 30.0
OPERATORS_LIMIT = 32
STRANGERS_LIMIT = 64
LINKS_PER_HOST = 3
WARNINGS_PER_SECOND = 1.0
WARNING_BURST = 10.0

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
        recorder: TimelineWriter,
        deliver: Callable[[Incoming], None],
    ) -> None:
        self._name = name
        self._peer_key = peer_key
        self._hosts = dict(hosts)
        self._recorder = recorder
        self._deliver = deliver
        self._outboxes: dict[HostName, Outbox] = {}
        self._links: dict[HostName, list[Channel]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._operators: dict[int, Channel] = {}
        self._tokens = itertools.count(1)
        self._strangers = 0
        self._server: Server | None = None
        self._warnings = TokenBucket(WARNINGS_PER_SECOND, WARNING_BURST)
        self.counts = LinkCounts()

    @property
    def bytes_sent(self) -> int:
        """Bytes of messages sent so far."""
        return self.counts.all_sent_bytes

    @property
    def linked_hosts(self) -> int:
        """How many hosts have a link now."""
        return len(self._links)

    @property
    def dropped_messages(self) -> int:
        """Messages that gave way because their receiver was too slow."""
        return sum(outbox.dropped for outbox in self._outboxes.values())

    async def start(self, listen: Endpoint) -> None:
        """Take links at an endpoint.

        :raises OSError: if the endpoint can't be used.
        """
        host, _, port = str(listen).rpartition(":")
        self._server = await serve(
            self._accept,
            host,
            int(port),
            max_size=MESSAGE_LIMIT_BYTES,
            compression=None,
            ping_interval=KEEPALIVE_SECONDS,
            ping_timeout=KEEPALIVE_TIMEOUT_SECONDS,
            close_timeout=CLOSE_SECONDS,
        )

    async def stop(self) -> None:
        """Close all links."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def learn(self, host: HostName, endpoint: Endpoint) -> None:
        """Take where a host takes links, as other hosts tell it."""
        self._hosts[host] = endpoint

    def send(self, host: HostName, body: Any) -> None:
        """Queue a message for a host; the oldest gives way if the host is too slow."""
        if host == self._name:
            self._deliver(Incoming(host, 0, body))
            return
        outbox = self._outboxes.get(host)
        if outbox is None:
            outbox = Outbox()
            self._outboxes[host] = outbox
            self._spawn(self._write(host, outbox))
        outbox.put(body)

    def answer(self, token: int, body: Any) -> None:
        """Answer an operator's request, if its connection is still there."""
        channel = self._operators.get(token)
        if channel is not None:
            self._spawn(self._send_quietly(channel, body))

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_quietly(self, channel: Channel, body: Any) -> None:
        with contextlib.suppress(ConnectionClosed):
            await channel.send(body)

    async def _write(self, host: HostName, outbox: Outbox) -> None:
        backoff = BACKOFF_FIRST_SECONDS
        while True:
            body = await outbox.get()
            try:
                channel = await self._channel(host)
                await channel.send(body)
                backoff = BACKOFF_FIRST_SECONDS
            except (OSError, ConnectionClosed, InvalidHandshake, CodecError) as error:
                _log.debug("no link to %s: %s", host, error)
                outbox.put_back(body)
                await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
                backoff = min(2 * backoff, BACKOFF_LAST_SECONDS)

    async def _channel(self, host: HostName) -> Channel:
        """Return the newest link with a host, or call it."""
        links = self._links.get(host)
        if links:
            return links[-1]
        endpoint = self._hosts.get(host)
        if endpoint is None:
            raise ConnectionRefusedError(f"no endpoint for {host}")
        connection = await connect(
            f"ws://{endpoint}",
            max_size=MESSAGE_LIMIT_BYTES,
            compression=None,
            open_timeout=HANDSHAKE_SECONDS,
            ping_interval=KEEPALIVE_SECONDS,
            ping_timeout=KEEPALIVE_TIMEOUT_SECONDS,
            close_timeout=CLOSE_SECONDS,
            proxy=None,
        )
        channel = Channel(connection, self._recorder, self.counts)
        try:
            async with asyncio.timeout(HANDSHAKE_SECONDS):
                await channel.call(self._name, host, self._peer_key)
        except BaseException:
            self._spawn(_close(connection))
            raise
        self._add(host, channel)
        self._spawn(self._read(host, channel))
        return channel

    def _add(self, host: HostName, channel: Channel) -> None:
        """Keep a link; two hosts that call each other at once keep both until one is idle."""
        links = self._links.setdefault(host, [])
        links.append(channel)
        while len(links) > LINKS_PER_HOST:
            self._spawn(_close(links.pop(0).connection))

    async def _accept(self, connection: ServerConnection) -> None:
        channel = Channel(connection, self._recorder, self.counts)
        try:
            hello, nonce = await self._first_message(channel)
            if isinstance(hello, OperatorHello):
                await self._serve_operator(channel)
            elif isinstance(hello, Hello) and hello.host != self._name:
                await channel.welcome(self._name, self._peer_key, hello, nonce)
                self._add(hello.host, channel)
                await self._read(hello.host, channel)
            else:
                raise UnauthenticatedError("a greeting is missing")
        except TimeoutError:
            self.counts.rejections[Rejection.SLOW] += 1
        except ConnectionRefusedError:
            self.counts.rejections[Rejection.TOO_MANY] += 1
        except (ConnectionClosed, CodecError) as error:
            self._count(connection, error)

    async def _first_message(self, channel: Channel) -> tuple[Any, bytes]:
        if self._strangers >= STRANGERS_LIMIT:
            raise ConnectionRefusedError("too many connections that have not greeted")
        self._strangers += 1
        try:
            async with asyncio.timeout(HANDSHAKE_SECONDS):
                return await channel.challenge()
        finally:
            self._strangers -= 1

    async def _serve_operator(self, channel: Channel) -> None:
        if len(self._operators) >= OPERATORS_LIMIT:
            raise ConnectionRefusedError("too many operators")
        token = next(self._tokens)
        self._operators[token] = channel
        try:
            while True:
                async with asyncio.timeout(OPERATOR_IDLE_SECONDS):
                    body = await channel.receive()
                self._deliver(Incoming("", token, body))
        finally:
            del self._operators[token]

    async def _read(self, host: HostName, channel: Channel) -> None:
        try:
            while True:
                async with asyncio.timeout(IDLE_SECONDS):
                    body = await channel.receive()
                self._deliver(Incoming(host, 0, body))
        except TimeoutError:
            _log.debug("link with %s is idle", host)
        except (ConnectionClosed, CodecError) as error:
            self._count(channel.connection, error)
            _log.debug("link with %s closed: %s", host, error)
        except Exception:
            self.counts.rejections[Rejection.FAILED] += 1
            _log.exception("a message from %s could not be handled", host)
        finally:
            self._remove(host, channel)
            await channel.connection.close()

    def _remove(self, host: HostName, channel: Channel) -> None:
        links = self._links.get(host, [])
        if channel in links:
            links.remove(channel)
        if not links:
            self._links.pop(host, None)

    def _count(self, connection: Connection, error: ConnectionClosed | CodecError) -> None:
        rejection = rejection_of(error)
        if rejection is None:
            return
        self.counts.rejections[rejection] += 1
        if self._warnings.take(1, asyncio.get_running_loop().time()):
            _log.warning("link with %s closed: %s", connection.remote_address, error)


async def _close(connection: Connection) -> None:
    await connection.close()
