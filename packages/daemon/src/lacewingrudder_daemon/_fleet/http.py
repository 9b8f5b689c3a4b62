"""A small HTTP/1.1 server on asyncio streams; h11 implements the protocol.

aiohttp, which is used elsewhere in this package, takes three times as long to import as an entry
host takes to start (see ``docs/design/platform.md``).
"""

from __future__ import annotations

import abc
import asyncio
import contextlib
import fcntl
import struct
import termios
from collections.abc import Callable
from typing import Any, NamedTuple

import h11
from lacewingrudder_core.types import Endpoint

from ..event_sink import EventSink

_QUEUE_SIZE = struct.Struct("i")

BODY_LIMIT_BYTES = 8 << 20
MAX_READ_BYTES = 65_536
READ_TIMEOUT_SECONDS = 60.0

END_READ_ITERATIONS = 2
"""Iterations of the event loop in which it reads the end of a connection that has already come."""

MAX_PENDING_CONNECTIONS = 256

RECEIPT_TIMEOUT_SECONDS = 1.0
"""How long a connection that ends with its response waits until the client has received it."""

FIRST_REQUEST_SECONDS = 0.5
"""How long a server that stops waits for the first request on a connection that it accepted."""


class HttpRequest(NamedTuple):
    """A complete request.

    :param path: request target, including the query string.
    """

    method: str
    path: str
    body: bytes


class HttpResponse(NamedTuple):
    """A complete response.

    :param headers: all headers except ``Content-Length``, which the server adds.
    :param on_received: called once the client has shown that it received the response: it closes
        the connection or uses it again. Never called if the client gave up before.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    on_received: Callable[[], None] | None = None


class HttpHandler(abc.ABC):
    """Interface of an application that answers HTTP requests."""

    @abc.abstractmethod
    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request; cancelled if the client closes the connection."""


class HttpServer:
    """Listens on a socket and serves its connections with a handler."""

    def __init__(self, handler: HttpHandler, events: EventSink) -> None:
        self._handler = handler
        self._events = events
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], _Connection] = {}

    async def start(self, endpoint: Endpoint) -> None:
        """Start listening.

        :raises OSError: if the endpoint cannot be bound.
        """
        host, _, port = str(endpoint).rpartition(":")
        self._server = await asyncio.start_server(
            self._accept, host, int(port), backlog=MAX_PENDING_CONNECTIONS, reuse_address=True
        )

    async def drain(self, timeout_seconds: float) -> None:
        """Stop accepting connections, and wait until the requests on the open ones are answered.

        Each of these responses closes its connection. Idle connections are left to :meth:`stop`.
        """
        if self._server is not None:
            # Lets the event loop accept the connections that the kernel already established.
            await asyncio.sleep(0)
            self._server.close()
        for connection in self._connections.values():
            connection.close_after_response()
        began_at = asyncio.get_running_loop().time()
        first_seconds = min(FIRST_REQUEST_SECONDS, timeout_seconds)
        await self._wait_for_end(lambda row: row.is_unused, first_seconds)
        elapsed = asyncio.get_running_loop().time() - began_at
        await self._wait_for_end(lambda row: row.is_busy, timeout_seconds - elapsed)

    async def _wait_for_end(
        self, is_awaited: Callable[[_Connection], bool], timeout_seconds: float
    ) -> None:
        tasks = {task for task, row in self._connections.items() if is_awaited(row)}
        if tasks:
            await asyncio.wait(tasks, timeout=max(0.0, timeout_seconds))

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._connections):
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        connection = _Connection(reader, writer, self._handler, self._events)
        self._connections[task] = connection
        try:
            await connection.serve()
        except asyncio.CancelledError:
            self._events.record("http_connection_ended", detail="the server is shutting down")
        except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
            self._events.record("http_connection_failed", detail=repr(error))
        finally:
            del self._connections[task]
            writer.close()


class _Connection:
    """One connection of a server.

    :ivar is_unused: whether no byte of a request has arrived yet.
    :ivar is_busy: whether a request is being received or answered.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: HttpHandler,
        events: EventSink,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._events = events
        self._protocol = h11.Connection(h11.SERVER)
        self._closes_after_response = False
        self._on_received: Callable[[], None] | None = None
        self.is_unused = True
        self.is_busy = False

    def close_after_response(self) -> None:
        """Close the connection after the response to the current or next request."""
        self._closes_after_response = True

    async def serve(self) -> None:
        while True:
            request = await self._read_request()
            if request is None:
                return
            response = await self._answer_unless_abandoned(request)
            if response is None:
                return
            has_given_up = self._reader.at_eof()
            await self._respond(response, request.method == "HEAD")
            self._on_received = None if has_given_up else response.on_received
            self.is_busy = False
            if (self._protocol.our_state, self._protocol.their_state) != (h11.DONE, h11.DONE):
                await self._wait_for_receipt()
                return
            self._protocol.start_next_cycle()

    async def _wait_for_receipt(self) -> None:
        """Wait until the client closes a connection that ends with its last response.

        This side of the connection is closed first, as clients may read up to its end.
        """
        if self._on_received is None or self._closes_after_response:
            return
        self._writer.write_eof()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECEIPT_TIMEOUT_SECONDS):
                await self._read()

    async def _read(self) -> bytes:
        """Return the next bytes, empty at the end; both show that the last response arrived."""
        data = await self._reader.read(MAX_READ_BYTES)
        on_received, self._on_received = self._on_received, None
        if on_received is not None and (data or not self._has_unacknowledged_bytes()):
            on_received()
        return data

    def _has_unacknowledged_bytes(self) -> bool:
        """Return whether the system still holds bytes that the client has not acknowledged.

        A client may close a connection on which the response was lost.
        """
        connection = self._writer.get_extra_info("socket")
        try:
            held = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(_QUEUE_SIZE.size))
        except OSError:
            return False  # The system can't tell.
        byte_count: int = _QUEUE_SIZE.unpack(held)[0]
        return byte_count > 0

    async def _answer_unless_abandoned(self, request: HttpRequest) -> HttpResponse | None:
        """Return the response, or ``None`` if the client closes the connection before it is ready.

        Clients that get no response in time send their request to another host. This one may have
        been paused, and find the request together with the end of the connection: such a request is
        not handled. A client that closes only its own direction counts as gone, too.
        """
        reading = asyncio.create_task(self._read())
        answering: asyncio.Task[HttpResponse] | None = None
        try:
            for _ in range(END_READ_ITERATIONS):
                await asyncio.sleep(0)
            if not reading.done():
                answering = asyncio.create_task(self._answer(request))
                await asyncio.wait({reading, answering}, return_when=asyncio.FIRST_COMPLETED)
            if reading.done() and not self._receive(reading.result()):
                detail = f"{request.method} {request.path}"
                self._events.record("http_call_abandoned", detail=detail)
                return None
            return await (answering or self._answer(request))
        finally:
            await _cancel(reading, answering)

    def _receive(self, data: bytes) -> bool:
        """Pass on bytes of the next request; return whether there are any, so not the end."""
        if data:
            self._protocol.receive_data(data)
        return bool(data)

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self._handler.answer(request)
        except Exception as error:
            detail = f"{request.method} {request.path}: {error!r}"
            self._events.record("http_call_failed", detail=detail)
            return HttpResponse(500)

    async def _read_request(self) -> HttpRequest | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                    data = await self._read()
                self.is_unused = False
                self.is_busy = self.is_busy or bool(data)
                self._protocol.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > BODY_LIMIT_BYTES:
                    await self._respond(HttpResponse(413))
                    return None
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                return HttpRequest(head.method.decode(), head.target.decode(), bytes(body))
            else:
                return None

    async def _respond(self, response: HttpResponse, is_head: bool = False) -> None:
        """Send a response; one to a HEAD request has no body."""
        headers = [*response.headers, ("Content-Length", str(len(response.body)))]
        if self._closes_after_response:
            headers.append(("Connection", "close"))
        head = h11.Response(status_code=response.status, headers=headers)
        data = self._protocol.send(head) or b""
        if response.body and not is_head:
            data += self._protocol.send(h11.Data(data=response.body)) or b""
        data += self._protocol.send(h11.EndOfMessage()) or b""
        self._writer.write(data)
        await self._writer.drain()


async def _cancel(*tasks: asyncio.Task[Any] | None) -> None:
    """Cancel the tasks that still run, and wait until they have ended."""
    running = [task for task in tasks if task is not None and not task.done()]
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
