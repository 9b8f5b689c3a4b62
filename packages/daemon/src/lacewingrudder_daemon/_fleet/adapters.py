"""What a platform has to translate, so that the product needs no name of it."""

from __future__ import annotations

import abc
from typing import NamedTuple

from lacewingrudder_core.tagging import Configuration, TagSegment

from .._packets.datagrams import Address


class OutgoingPacket(NamedTuple):
    """A datagram and where it goes."""

    data: bytes
    destination: Address


class PacketAdapter(abc.ABC):
    """Reads callers' packets and writes what goes to targets and callers."""

    @abc.abstractmethod
    def read(self, data: bytes) -> TagSegment | None:
        """Return what a packet says, or ``None`` if it is none."""

    @abc.abstractmethod
    def to_target(self, data: bytes, identity: int, tag: int) -> bytes:
        """Return the datagram that hands a packet to a target, with its flow tag in it."""

    @abc.abstractmethod
    def reset(self, segment: TagSegment) -> OutgoingPacket:
        """Return the reset that ends a flow at its caller."""


class ConfigurationReader(abc.ABC):
    """Reads the operator's document."""

    @abc.abstractmethod
    def read(self, document: bytes) -> Configuration:
        """Return the configuration in a packed document.

        :raises ValueError: if the document is not valid.
        """
