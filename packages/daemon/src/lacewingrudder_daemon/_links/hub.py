"""Links between processes: mutually authenticated websockets that carry CBOR messages."""

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
from lacewingrudder_wire.codec import MAX_MESSAGE_BYTES
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

HANDSHAKE_TIMEOUT_SECONDS = 2.0
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
LINK_IDLE_TIMEOUT_SECONDS = 60.0
KEEPALIVE_INTERVAL_SECONDS = 5.0
KEEPALIVE_TIMEOUT_SECONDS = 3.0
CLOSE_TIMEOUT_SECONDS = 1.0
OPERATOR_IDLE_TIMEOUT_SECONDS = 30.0
MAX_OPERATOR_CONNECTIONS = 32
MAX_UNAUTHENTICATED_CONNECTIONS = 64
MAX_LINKS_PER_HOST = 3
MAX_WARNINGS_PER_SECOND = 1.0
MAX_BURST_WARNINGS = 10.0

_log = logging.getLogger(__name__)


class Incoming(NamedTuple):
    """A message from another process.

    :param sender: the host's name; empty for an operator's tool.
    :param token: identifies the operator's connection to :meth:`LinkHub.answer`; 0 for hosts.
    """

    sender: HostName
    token: int
    body: Any


class LinkHub:
    """Opens, accepts and closes all links of a process.

    A link to a host is opened when a message for it is queued, and closed when it is idle.

    :param name: this host.
    :param peer_key: shared secret that authenticates hosts.
    :param hosts: link endpoints of the known hosts.
    :param on_message: called with each received message.
    :param on_operator_gone: called with the token of each connection of an operator that ends.
    """

    def __init__(
        self,
        name: HostName,
        peer_key: str,
        hosts: Mapping[HostName, Endpoint],
        timeline: TimelineWriter,
        on_message: Callable[[Incoming], None],
        on_operator_gone: Callable[[int], None] | None = None,
    ) -> None:
        self._name = name
        self._peer_key = peer_key
        self._hosts = dict(hosts)
        self._timeline = timeline
        self._on_message = on_message
        self._on_operator_gone = on_operator_gone
        self._outboxes: dict[HostName, Outbox] = {}
        self._links: dict[HostName, list[Channel]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._operators: dict[int, Channel] = {}
        self._tokens = itertools.count(1)
        self._unauthenticated_count = 0
        self._server: Server | None = None
        self._warning_limit = TokenBucket(MAX_WARNINGS_PER_SECOND, MAX_BURST_WARNINGS)
        self.counts = LinkCounts()

    @property
    def bytes_sent(self) -> int:
        """Total bytes of the messages sent."""
        return self.counts.all_sent_bytes

    @property
    def linked_host_count(self) -> int:
        """Number of hosts with an open link."""
        return len(self._links)

    @property
    def dropped_message_count(self) -> int:
        """Number of messages dropped because their receiver was too slow."""
        return sum(outbox.dropped_count for outbox in self._outboxes.values())

    async def start(self, listen: Endpoint) -> None:
        """Accept links at an endpoint.

        :raises OSError: if the endpoint cannot be bound.
        """
        host, _, port = str(listen).rpartition(":")
        self._server = await serve(
            self._accept,
            host,
            int(port),
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
            ping_interval=KEEPALIVE_INTERVAL_SECONDS,
            ping_timeout=KEEPALIVE_TIMEOUT_SECONDS,
            close_timeout=CLOSE_TIMEOUT_SECONDS,
        )

    async def stop(self) -> None:
        """Stop accepting links and close all open ones."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def update_endpoint(self, host: HostName, endpoint: Endpoint) -> None:
        """Add or update the link endpoint of a host, as learnt from other hosts."""
        self._hosts[host] = endpoint

    def send(self, host: HostName, body: Any) -> None:
        """Queue a message for a host; a full queue drops its oldest message.

        A message for this host itself is delivered at once.
        """
        if host == self._name:
            self._on_message(Incoming(host, 0, body))
            return
        outbox = self._outboxes.get(host)
        if outbox is None:
            outbox = Outbox()
            self._outboxes[host] = outbox
            self._spawn(self._send_loop(host, outbox))
        outbox.put(body)

    def answer(self, token: int, body: Any) -> None:
        """Answer an operator's request, if its connection is still open."""
        channel = self._operators.get(token)
        if channel is not None:
            self._spawn(self._send_answer(channel, body))

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_answer(self, channel: Channel, body: Any) -> None:
        with contextlib.suppress(ConnectionClosed):
            await channel.send(body)

    async def _send_loop(self, host: HostName, outbox: Outbox) -> None:
        backoff = INITIAL_BACKOFF_SECONDS
        while True:
            body = await outbox.get()
            try:
                channel = await self._get_or_open_link(host)
                await channel.send(body)
                backoff = INITIAL_BACKOFF_SECONDS
            except (OSError, ConnectionClosed, InvalidHandshake, CodecError) as error:
                _log.debug("cannot send to %s, retrying: %s", host, error)
                outbox.put_back(body)
                await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)

    async def _get_or_open_link(self, host: HostName) -> Channel:
        """Return the newest link to a host; open a link if none is open.

        :raises ConnectionRefusedError: if the host's endpoint is not known.
        """
        links = self._links.get(host)
        if links:
            return links[-1]
        endpoint = self._hosts.get(host)
        if endpoint is None:
            raise ConnectionRefusedError(f"no known endpoint for {host}")
        connection = await connect(
            f"ws://{endpoint}",
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
            open_timeout=HANDSHAKE_TIMEOUT_SECONDS,
            ping_interval=KEEPALIVE_INTERVAL_SECONDS,
            ping_timeout=KEEPALIVE_TIMEOUT_SECONDS,
            close_timeout=CLOSE_TIMEOUT_SECONDS,
            proxy=None,
        )
        channel = Channel(connection, self._timeline, self.counts)
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
                await channel.connect_handshake(self._name, host, self._peer_key)
        except BaseException:
            self._spawn(_close_connection(connection))
            raise
        self._add_link(host, channel)
        self._spawn(self._receive_loop(host, channel))
        return channel

    def _add_link(self, host: HostName, channel: Channel) -> None:
        """Register a link.

        Two hosts that connect to each other at the same time keep both links until one is idle. The
        oldest links of a host that has more than :data:`MAX_LINKS_PER_HOST` are closed.
        """
        links = self._links.setdefault(host, [])
        links.append(channel)
        while len(links) > MAX_LINKS_PER_HOST:
            self._spawn(_close_connection(links.pop(0).connection))

    async def _accept(self, connection: ServerConnection) -> None:
        channel = Channel(connection, self._timeline, self.counts)
        try:
            hello, nonce = await self._receive_first_message(channel)
            if isinstance(hello, OperatorHello):
                await self._serve_operator(channel)
            elif isinstance(hello, Hello) and hello.host != self._name:
                await channel.welcome(self._name, self._peer_key, hello, nonce)
                self._add_link(hello.host, channel)
                await self._receive_loop(hello.host, channel)
            else:
                raise UnauthenticatedError("expected a hello")
        except TimeoutError:
            self.counts.rejections[Rejection.SLOW] += 1
        except ConnectionRefusedError:
            self.counts.rejections[Rejection.TOO_MANY] += 1
        except (ConnectionClosed, CodecError) as error:
            self._count_rejection(connection, error)

    async def _receive_first_message(self, channel: Channel) -> tuple[Any, bytes]:
        if self._unauthenticated_count >= MAX_UNAUTHENTICATED_CONNECTIONS:
            raise ConnectionRefusedError("too many unauthenticated connections")
        self._unauthenticated_count += 1
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
                return await channel.challenge()
        finally:
            self._unauthenticated_count -= 1

    async def _serve_operator(self, channel: Channel) -> None:
        if len(self._operators) >= MAX_OPERATOR_CONNECTIONS:
            raise ConnectionRefusedError("too many operator connections")
        token = next(self._tokens)
        self._operators[token] = channel
        try:
            while True:
                async with asyncio.timeout(OPERATOR_IDLE_TIMEOUT_SECONDS):
                    body = await channel.receive()
                self._on_message(Incoming("", token, body))
        finally:
            del self._operators[token]
            if self._on_operator_gone is not None:
                self._on_operator_gone(token)

    async def _receive_loop(self, host: HostName, channel: Channel) -> None:
        try:
            while True:
                async with asyncio.timeout(LINK_IDLE_TIMEOUT_SECONDS):
                    body = await channel.receive()
                self._on_message(Incoming(host, 0, body))
        except TimeoutError:
            _log.debug("closing idle link to %s", host)
        except (ConnectionClosed, CodecError) as error:
            self._count_rejection(channel.connection, error)
            _log.debug("link to %s closed: %s", host, error)
        except Exception:
            self.counts.rejections[Rejection.FAILED] += 1
            _log.exception("failed to handle a message from %s", host)
        finally:
            self._remove_link(host, channel)
            await channel.connection.close()

    def _remove_link(self, host: HostName, channel: Channel) -> None:
        links = self._links.get(host, [])
        if channel in links:
            links.remove(channel)
        if not links:
            self._links.pop(host, None)

    def _count_rejection(
        self, connection: Connection, error: ConnectionClosed | CodecError
    ) -> None:
        rejection = rejection_of(error)
        if rejection is None:
            return
        self.counts.rejections[rejection] += 1
        if self._warning_limit.take(1, asyncio.get_running_loop().time()):
            _log.warning("closed link to %s: %s", connection.remote_address, error)


async def _close_connection(connection: Connection) -> None:
    await connection.close()
