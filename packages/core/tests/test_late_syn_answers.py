"""Two targets answer one flow: a SYN's answer took longer than its caller waited."""

import unittest

from checkin_fakes import EDITS, configuration, data, entry, syn, update
from lacewingrudder_core._tagging.flow_tracker import MAX_OPENING_SECONDS
from lacewingrudder_core.checkins import LifeState
from lacewingrudder_core.tagging import (
    Forwarded,
    Reset,
    ResetReason,
    Route,
    Split,
    TagForwarder,
)

PORT = 40001


class LateSynAnswerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.forwarder = TagForwarder("adum")
        route = Route(EDITS, (Split("proofdesk", 1),), False, 8, 0.5)
        self.forwarder.configure(configuration(1, route))
        self.forwarder.apply_update(update(*(entry(n) for n in (1, 2, 3))), 0.0)

    def send_syn(self, attempt: int, now: float) -> Forwarded:
        decision = self.forwarder.decide(syn(PORT, attempt), now)
        assert isinstance(decision, Forwarded), decision
        return decision

    def send_data(self, tag: int, number: int, now: float) -> Forwarded:
        packet = data(PORT, tag, 2 + 100 * number, 1 + 100 * number)
        decision = self.forwarder.decide(packet, now)
        assert isinstance(decision, Forwarded), decision
        return decision

    # Guards against an open flow that strays: the caller's packets carry the tag of the target
    # that answered last, which doesn't hold the flow and resets it.
    def test_flow_stays_at_its_target_when_the_other_answers_later(self) -> None:
        first, second = self.send_syn(0, 1.0), self.send_syn(1, 1.2)
        self.assertNotEqual(first.tag, second.tag)
        for opened, late in ((second, first), (first, second)):
            with self.subTest(opened=opened):
                self.setUp()
                self.send_syn(0, 1.0)
                self.send_syn(1, 1.2)
                self.assertEqual(self.send_data(opened.tag, 0, 1.21), opened)
                for number in range(1, 5):
                    self.assertEqual(self.send_data(late.tag, number, 1.21 + number), opened)

    # Guards against a retransmission that makes a second target answer a flow that is open.
    def test_retransmission_that_was_overtaken_goes_to_the_target_of_its_flow(self) -> None:
        placed = self.send_syn(0, 1.0)
        self.send_data(placed.tag, 0, 1.19)
        self.assertEqual(self.send_syn(1, 1.21), placed)
        self.assertEqual(self.send_data(placed.tag, 1, 1.3), placed)

    # Guards against a second answer that replaces the echoed tag, though the first target is alive.
    def test_retransmission_goes_to_the_same_target_if_that_answers_others(self) -> None:
        placed = self.send_syn(0, 1.0)
        other = next(
            decision
            for port in range(50000, 50100)
            if (decision := self.forwarder.decide(syn(port), 1.1)) == placed
        )
        port = next(
            port
            for port in range(50000, 50100)
            if self.forwarder._flow_tracker.is_opening(syn(port).flow, other.tag)
        )
        packet = data(port, other.tag)
        self.forwarder.decide(packet, 1.11)
        self.assertEqual(self.send_syn(1, 1.2), placed)

    # Guards against a reset of a flow that another host admitted and that may be open by now.
    def test_retransmission_of_a_flow_from_another_host_is_not_refused(self) -> None:
        self.forwarder._admission._limiter("proofdesk")._limit = 1.0
        self.forwarder.decide(syn(PORT + 1), 0.9)
        refused = self.forwarder.decide(syn(PORT + 2), 1.0)
        self.assertEqual(refused, Reset(ResetReason.OVERLOAD))
        self.send_syn(1, 1.0)

    def test_flow_whose_first_target_ended_follows_its_tag(self) -> None:
        first, second = self.send_syn(0, 1.0), self.send_syn(1, 1.2)
        self.send_data(first.tag, 0, 1.21)
        gone = entry(first.identity, LifeState.GONE, sequence=3)
        self.forwarder.apply_update(update(gone, number=2, since=1), 1.3)
        self.assertEqual(self.send_data(second.tag, 1, 1.4), second)

    def test_port_that_is_used_again_opens_a_new_flow(self) -> None:
        first, second = self.send_syn(0, 1.0), self.send_syn(1, 1.2)
        self.send_data(first.tag, 0, 1.21)
        later = 1.21 + MAX_OPENING_SECONDS + 1
        self.send_syn(0, later)
        self.assertEqual(self.send_data(second.tag, 0, later + 0.1), second)
