"""Loopback proxies that inject network faults: for datagrams between hosts and for calls."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Mapping
from typing import NamedTuple

from standins.sockets import open_socket
from standins.wire import Address

from .http_client import reset_connection

_READ_BYTES = 65_536


class Impairment(NamedTuple):
    """A fault of one direction of a link between two hosts.

    :param loss: probability that a datagram is dropped; 1 for a partition.
    :param delay_seconds: delay added to each datagram.
    """

    loss: float = 0.0
    delay_seconds: float = 0.0


class DatagramProxy:
    """Forwards datagrams between hosts, which only know each other's addresses on this proxy.

    :param hosts: by name, the address that other hosts send to and the one the host binds.
    """

    def __init__(self, hosts: Mapping[str, tuple[Address, Address]], seed: int) -> None:
        self._bound = {name: bound for name, (_, bound) in hosts.items()}
        self._names = {bound: name for name, bound in self._bound.items()}
        self._impairments: dict[tuple[str, str], list[Impairment]] = {}
        self._random = random.Random(seed)
        self._send: dict[str, Callable[[bytes, Address], bool]] = {}
        for name, (public, _) in hosts.items():
            self._send[name] = open_socket(public, self._make_receiver(name))

    def add_impairment(self, source: str, destination: str, impairment: Impairment) -> None:
        """Add an impairment to one direction of a link; several add up."""
        self._impairments.setdefault((source, destination), []).append(impairment)

    def remove_impairment(self, source: str, destination: str, impairment: Impairment) -> None:
        """Remove an impairment from one direction of a link."""
        self._impairments[source, destination].remove(impairment)

    def _make_receiver(self, destination: str) -> Callable[[bytes, Address], None]:
        def receive(data: bytes, sender: Address) -> None:
            source = self._names.get(sender)
            if source is not None:
                self._forward(source, destination, data)

        return receive

    def _forward(self, source: str, destination: str, data: bytes) -> None:
        impairments = self._impairments.get((source, destination), ())
        if any(self._random.random() < impairment.loss for impairment in impairments):
            return
        delay = sum(impairment.delay_seconds for impairment in impairments)
        send, to = self._send[source], self._bound[destination]
        if delay:
            asyncio.get_running_loop().call_later(delay, send, data, to)
        else:
            send(data, to)


class CallProxy:
    """Forwards connections of targets and operators to one control host.

    :param public: where targets and operators connect.
    :param bound: where the control host listens.
    """

    def __init__(self, public: Address, bound: Address) -> None:
        self._public = public
        self._bound = bound
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._connections: set[asyncio.Task[None]] = set()
        self.is_unresponsive = False
        self.drops_responses = False

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._accept, *self._public)

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for connection in self._connections:
            connection.cancel()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            reset_connection(writer)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = asyncio.create_task(self._relay(reader, writer))
        self._connections.add(connection)
        connection.add_done_callback(self._connections.discard)

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            host_reader, host_writer = await asyncio.open_connection(*self._bound)
            copies = (
                self._copy(reader, host_writer, lambda: self.is_unresponsive),
                self._copy(
                    host_reader, writer, lambda: self.is_unresponsive or self.drops_responses
                ),
            )
            copy_tasks = [asyncio.ensure_future(copy) for copy in copies]
            try:
                await asyncio.wait(copy_tasks, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for copy_task in copy_tasks:
                    copy_task.cancel()
                is_lost = reader.exception() is not None
                if is_lost or self.is_unresponsive or self.drops_responses:
                    # A close would tell the host that the client has all of its response.
                    reset_connection(host_writer)
                host_writer.close()
        except OSError:
            pass  # The host is down: the client sees a closed connection.
        finally:
            self._writers.discard(writer)
            writer.close()

    @staticmethod
    async def _copy(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, should_drop: Callable[[], bool]
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                if not should_drop():
                    writer.write(data)
                    await writer.drain()
