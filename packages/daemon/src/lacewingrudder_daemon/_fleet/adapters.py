"""Interfaces that a platform implements; they keep its formats and names out of this package."""

from __future__ import annotations

import abc
from collections.abc import Generator
from typing import TYPE_CHECKING, NamedTuple, TypeVar

from .._packets.datagrams import Address

if TYPE_CHECKING:
    from lacewingrudder_core.routes import Configuration
    from lacewingrudder_core.tagging import TagSegment

T = TypeVar("T")


class OutgoingPacket(NamedTuple):
    """A datagram and the address to send it to."""

    data: bytes
    destination: Address


class PacketAdapter(abc.ABC):
    """Decodes packets from callers and encodes packets to targets and callers."""

    @abc.abstractmethod
    def decode(self, data: bytes) -> TagSegment | None:
        """Decode a packet; return ``None`` if it is malformed."""

    @abc.abstractmethod
    def encode_for_target(self, data: bytes, identity: int, tag: int) -> bytes:
        """Return the datagram that forwards a caller's packet to a target.

        :param identity: number that identifies the target.
        :param tag: flow tag to write into the packet.
        """

    @abc.abstractmethod
    def encode_reset(self, segment: TagSegment) -> OutgoingPacket:
        """Return the reset that closes a flow on the caller's side.

        :param segment: packet of the flow that the reset responds to.
        """


class ConfigurationReader(abc.ABC):
    """Decodes the operator's configuration document."""

    @abc.abstractmethod
    def read_in_steps(self, document: bytes) -> Generator[None, None, Configuration]:
        """Return the configuration in a compressed document.

        Each step takes a few milliseconds, so that packets can be forwarded in between.

        :raises ValueError: if the document is damaged or invalid.
        """

    def read(self, document: bytes) -> Configuration:
        """Return the configuration in a compressed document, in one step.

        :raises ValueError: if the document is damaged or invalid.
        """
        return finish(self.read_in_steps(document))


def finish(steps: Generator[None, None, T]) -> T:
    """Run all steps and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: T = end.value
            return result
