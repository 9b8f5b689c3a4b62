"""Messages between hosts over a UDP socket. A host's name is the endpoint of its socket."""

from __future__ import annotations

import asyncio
import collections
import itertools
from collections.abc import Callable, Collection, Mapping
from typing import Any

from lacewingrudder_core.types import Endpoint, HostName
from lacewingrudder_wire.datagram_codec import MessageCodec
from lacewingrudder_wire.exceptions import CodecError

from .._packets.datagrams import (
    MAX_BACKLOG_DATAGRAMS,
    MAX_BATCH_DATAGRAMS,
    Address,
    BacklogSocket,
)
from ..event_sink import EventSink


class MessageSocket:
    """Sends and receives messages on one UDP socket.

    A host that was paused or is overloaded finds many messages at once. Those that only repeat what
    their sender said before are handled last, and only the newest of each sender.

    :param tags: message classes by the number that identifies them on the wire.
    :param events: receives an event for each datagram that cannot be decoded.
    :param on_message: called with the sender's name and the message.
    :param repeated: classes of messages that make earlier ones of their sender obsolete.
    """

    def __init__(
        self,
        tags: Mapping[int, type[Any]],
        events: EventSink,
        on_message: Callable[[HostName, Any], None],
        repeated: Collection[type[Any]] = (),
    ) -> None:
        self._codec = MessageCodec(tags)
        self._events = events
        self._on_message = on_message
        self._repeated = frozenset(repeated)
        self._waiting: collections.deque[tuple[bytes, Address]]
        self._waiting = collections.deque(maxlen=MAX_BACKLOG_DATAGRAMS)
        self._newest: dict[tuple[Address, type[Any]], bytes] = {}
        self._continuation: asyncio.Handle | None = None
        self._socket = BacklogSocket(self._receive_backlog)
        self._addresses: dict[HostName, Address] = {}
        self.sent_bytes = 0
        self.rejected_message_count = 0

    def open(self, endpoint: Endpoint) -> None:
        """Bind the socket.

        :raises OSError: if the endpoint cannot be bound.
        """
        self._socket.open(address_of(str(endpoint)))

    def accept(self, tags: Mapping[int, type[Any]]) -> None:
        """Accept and send further types of messages."""
        self._codec.add_types(tags)

    def close(self) -> None:
        """Close the socket; what waits is not handled any more."""
        self._socket.close()
        self._waiting.clear()
        self._newest.clear()
        if self._continuation is not None:
            self._continuation.cancel()

    def send(self, host: HostName, body: Any) -> None:
        """Send a message without acknowledgement; a lost one is not sent again from here.

        Receivers of updates poll for what they miss. A message to a host whose name is not an
        endpoint is dropped: another host may have announced it.
        """
        try:
            address = self._get_or_parse_address(host)
        except ValueError as error:
            self._events.record("message_undeliverable", target=host, detail=str(error))
            return
        for datagram in self._codec.encode(body):
            self.sent_bytes += len(datagram)
            self._socket.send(datagram, address)

    def _get_or_parse_address(self, host: HostName) -> Address:
        address = self._addresses.get(host)
        if address is None:
            address = self._addresses[host] = address_of(host)
        return address

    def _receive_backlog(self, backlog: list[tuple[bytes, Address]]) -> None:
        for data, sender in backlog:
            message_type = self._codec.peek(data)
            if message_type is None or message_type not in self._repeated:
                self._waiting.append((data, sender))
            else:
                self._newest[sender, message_type] = data
        if self._continuation is None:
            self._handle_some()

    def _handle_some(self) -> None:
        """Handle a part of what waits, and let the event loop do other work before the rest."""
        self._continuation = None
        for _ in range(min(len(self._waiting), MAX_BATCH_DATAGRAMS)):
            self._handle_datagram(*self._waiting.popleft())
        for key in list(itertools.islice(self._newest, MAX_BATCH_DATAGRAMS)):
            self._handle_datagram(self._newest.pop(key), key[0])
        if self._waiting or self._newest:
            self._continuation = asyncio.get_running_loop().call_soon(self._handle_some)

    def _handle_datagram(self, data: bytes, sender: Address) -> None:
        host = f"{sender[0]}:{sender[1]}"
        try:
            body = self._codec.decode(data, sender)
        except CodecError as error:
            self.rejected_message_count += 1
            self._events.record("message_rejected", target=host, detail=str(error))
            return
        if body is not None:
            self._deliver(host, body)

    def _deliver(self, host: HostName, body: Any) -> None:
        """Pass a message on; one that can't be handled must not affect those that follow."""
        try:
            self._on_message(host, body)
        except Exception as error:
            self.rejected_message_count += 1
            detail = f"{type(body).__name__}: {error!r}"
            self._events.record("message_failed", target=host, detail=detail)


def address_of(host: HostName) -> Address:
    """Return the socket address that a host name stands for.

    :raises ValueError: if the name is not an IPv4 address and a port.
    """
    endpoint = Endpoint.parse(host)
    return host.rpartition(":")[0], endpoint.port
