"""A small HTTP/1.1 server on asyncio streams; h11 implements the protocol.

aiohttp, which is used elsewhere in this package, takes three times as long to import as an entry
host takes to start (see ``docs/design/platform.md``).
"""

from __future__ import annotations

import abc
import asyncio
from typing import NamedTuple

import h11
from lacewingrudder_core.types import Endpoint

from ..event_sink import EventSink

BODY_LIMIT_BYTES = 8 << 20
MAX_READ_BYTES = 65_536
READ_TIMEOUT_SECONDS = 60.0
MAX_PENDING_CONNECTIONS = 256


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
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class HttpHandler(abc.ABC):
    """Interface of an application that answers HTTP requests."""

    @abc.abstractmethod
    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request."""


class HttpServer:
    """Listens on a socket and serves its connections with a handler."""

    def __init__(self, handler: HttpHandler, events: EventSink) -> None:
        self._handler = handler
        self._events = events
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, endpoint: Endpoint) -> None:
        """Start listening.

        :raises OSError: if the endpoint cannot be bound.
        """
        host, _, port = str(endpoint).rpartition(":")
        self._server = await asyncio.start_server(
            self._accept, host, int(port), backlog=MAX_PENDING_CONNECTIONS, reuse_address=True
        )

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await _Connection(reader, writer, self._handler).serve()
        except asyncio.CancelledError:
            self._events.record("http_connection_ended", detail="the server is shutting down")
        except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
            self._events.record("http_connection_failed", detail=repr(error))
        finally:
            self._tasks.discard(task)
            writer.close()


class _Connection:
    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handler: HttpHandler
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._protocol = h11.Connection(h11.SERVER)

    async def serve(self) -> None:
        while True:
            request = await self._read_request()
            if request is None:
                return
            await self._respond(await self._handler.answer(request))
            if self._protocol.our_state is not h11.DONE:
                return
            if self._protocol.their_state is not h11.DONE:
                return
            self._protocol.start_next_cycle()

    async def _read_request(self) -> HttpRequest | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                    data = await self._reader.read(MAX_READ_BYTES)
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

    async def _respond(self, response: HttpResponse) -> None:
        headers = [*response.headers, ("Content-Length", str(len(response.body)))]
        head = h11.Response(status_code=response.status, headers=headers)
        data = self._protocol.send(head) or b""
        if response.body:
            data += self._protocol.send(h11.Data(data=response.body)) or b""
        data += self._protocol.send(h11.EndOfMessage()) or b""
        self._writer.write(data)
        await self._writer.drain()
