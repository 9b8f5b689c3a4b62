"""Forwards the packets of callers as the forwarder decides, and reports the decisions."""

from __future__ import annotations

from lacewingrudder_core.tagging import Dropped, Forwarded, ResetReason, TagForwarder, TagSegment
from lacewingrudder_core.types import Endpoint

from .._packets.datagrams import Address, DatagramSocket
from .adapters import PacketAdapter
from .entry_events import EntryEvents
from .message_socket import address_of


class PacketForwarding:
    """Decodes packets of callers, and sends what the forwarder decides."""

    def __init__(
        self,
        forwarder: TagForwarder,
        adapter: PacketAdapter,
        socket: DatagramSocket,
        events: EntryEvents,
    ) -> None:
        self._forwarder = forwarder
        self._adapter = adapter
        self._socket = socket
        self._events = events
        self._addresses: dict[Endpoint, Address] = {}
        self._last_packet_at = float("-inf")

    @property
    def last_packet_at(self) -> float:
        """When the last valid packet arrived."""
        return self._last_packet_at

    def handle(self, data: bytes, sender: Address, now: float, waited_seconds: float) -> bool:
        """Handle a caller's packet; return whether it was a SYN that went to a target.

        :param waited_seconds: longest time for which the packet may have waited on this host.
        """
        segment = self._adapter.decode(data)
        if segment is None:
            self._events.record_rejected_packet(len(data), sender[0])
            return False
        self._last_packet_at = now
        decision = self._forwarder.decide(segment, now, waited_seconds)
        if isinstance(decision, Forwarded):
            self._forward(data, segment, decision)
            return segment.is_syn
        if isinstance(decision, Dropped):
            event = "dropped"
        else:
            packet = self._adapter.encode_reset(segment)
            self._socket.send(packet.data, packet.destination)
            event = "refused" if decision.reason is ResetReason.OVERLOAD else "reset"
        version = self._forwarder.version
        self._events.record_drop_or_reset(event, decision.reason, segment, version)
        return False

    def _forward(self, data: bytes, segment: TagSegment, decision: Forwarded) -> None:
        tag = decision.tag
        if segment.is_syn:
            tag = self._forwarder.record_syn(segment, decision, data)
        self._send_to_target(data, decision.endpoint, decision.identity, tag)
        if segment.is_syn:
            self._events.record_placement(segment, decision, self._forwarder.version)
        for syn in decision.repeated_syns:
            self._send_to_target(syn.packet, syn.endpoint, syn.identity, syn.tag)
            self._events.record_repeated_syn(segment, syn)

    def _send_to_target(self, data: bytes, endpoint: Endpoint, identity: int, tag: int) -> None:
        datagram = self._adapter.encode_for_target(data, identity, tag)
        self._socket.send(datagram, self._get_or_parse_address(endpoint))

    def _get_or_parse_address(self, endpoint: Endpoint) -> Address:
        address = self._addresses.get(endpoint)
        if address is None:
            address = self._addresses[endpoint] = address_of(str(endpoint))
        return address
