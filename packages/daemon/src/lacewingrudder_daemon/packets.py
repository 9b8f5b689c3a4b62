"""Packet I/O: UDP sockets, encapsulation, and IPv4 and TCP headers."""

from ._packets.datagrams import DatagramSocket as DatagramSocket
from ._packets.encapsulation import decapsulate as decapsulate
from ._packets.encapsulation import encapsulate as encapsulate
from ._packets.encapsulation import encapsulate_relay as encapsulate_relay
from ._packets.segments import PacketFault as PacketFault
from ._packets.segments import ParsedPacket as ParsedPacket
from ._packets.segments import are_checksums_correct as are_checksums_correct
from ._packets.segments import build as build
from ._packets.segments import parse as parse
from ._packets.segments import rewrite_destination as rewrite_destination
from ._packets.segments import rewrite_source as rewrite_source
