"""A caller's flow whose SYN and its retransmissions may reach several hosts and targets."""

from __future__ import annotations

from checkin_fakes import EDITS, configuration, entry, update
from lacewingrudder_core.tagging import (
    Decision,
    Forwarded,
    Route,
    Split,
    TagForwarder,
    TagSegment,
    flow_tag,
)
from lacewingrudder_core.types import FlowKey

PORT = 40001
ISN = 0x11223344
SYN_PACKET = b"the caller's SYN"
ENTRIES = [entry(n) for n in (1, 2, 3)]
TAGS = {each.identity: flow_tag(each.lifetime) for each in ENTRIES}


def make_forwarder() -> TagForwarder:
    forwarder = TagForwarder("adum")
    route = Route(EDITS, (Split("proofdesk", 1),), False, 8, 0.5)
    forwarder.configure(configuration(1, route))
    forwarder.apply_update(update(*ENTRIES), 0.0)
    return forwarder


class Flow:
    """A caller's flow, its packets, and the tag that each target received last.

    A target that gets its SYN again repeats its answer with the tag that came with that.

    :ivar echo: the tag that the caller received last.
    """

    def __init__(
        self,
        forwarder: TagForwarder,
        isn: int = ISN,
        has_syn_number: bool = True,
        port: int = PORT,
    ) -> None:
        self.forwarder = forwarder
        self.port = port
        self.isn = isn
        self.first_sequence = isn + has_syn_number
        self.echo = 0
        self.received: dict[int, int] = {}

    def send_syn(self, attempt: int, now: float) -> int:
        """Send a SYN and return the identity of the target that receives it."""
        segment = self._make_segment(True, attempt, self.isn, 0)
        decision = self.forwarder.decide(segment, now)
        assert isinstance(decision, Forwarded), decision
        self.received[decision.identity] = self.forwarder.record_syn(segment, decision, SYN_PACKET)
        return decision.identity

    def receive_from(self, identity: int) -> None:
        """Receive a packet of a target, with the tag that it received last."""
        self.echo = self.received[identity]

    def send_request(self, number: int, now: float) -> Decision:
        sequence = (self.first_sequence + 900 * number) & 0xFFFFFFFF
        segment = self._make_segment(False, 0, sequence, 900)
        decision = self.forwarder.decide(segment, now)
        if isinstance(decision, Forwarded):
            self.received[decision.identity] = decision.tag
            for syn in decision.repeated_syns:
                assert syn.packet == SYN_PACKET, "another packet than the caller's SYN"
                self.received[syn.identity] = syn.tag
        return decision

    def _make_segment(self, is_syn: bool, attempt: int, sequence: int, payload: int) -> TagSegment:
        flow = FlowKey(0x64400007, self.port, EDITS.address, EDITS.port)
        tag = 0 if is_syn else self.echo
        return TagSegment(flow, tag, is_syn, False, attempt, payload, sequence, 1)
