"""Two targets answer the SYNs of one flow, and one of them repeats its answer for seconds."""

import itertools
import random
import unittest

from checkin_fakes import entry, update
from lacewingrudder_core._tagging import syn_tags
from lacewingrudder_core.checkins import LifeState
from lacewingrudder_core.tagging import Decision, Dropped, DropReason, Forwarded, flow_tag
from tagged_flow import ENTRIES, ISN, TAGS, Flow, make_forwarder


class SynTagTest(unittest.TestCase):
    def setUp(self) -> None:
        self.flow = Flow(make_forwarder())

    def move(self) -> None:
        """Let routers move the flow to a host that has seen none of its packets."""
        self.flow.forwarder = make_forwarder()

    def get_receiver(self, decision: Decision) -> int:
        assert isinstance(decision, Forwarded), decision
        return decision.identity

    # Guards against a flow that is reset by a target that answered its SYN, too: its repeated
    # answers change the tag that the caller returns, and the flow moves to another host.
    def test_moved_flow_stays_at_the_first_target_though_the_second_repeats_its_answer(
        self,
    ) -> None:
        first, second = self.flow.send_syn(0, 1.0), self.flow.send_syn(1, 1.2)
        self.assertNotEqual(first, second)
        self.flow.receive_from(first)
        self.assertEqual(self.get_receiver(self.flow.send_request(0, 1.21)), first)
        self.flow.receive_from(first)
        self.flow.receive_from(second)
        self.move()
        decision = self.flow.send_request(1, 2.0)
        self.assertEqual(decision, Forwarded(ENTRIES[first - 1].endpoint, first, TAGS[first]))

    # Guards against the same the other way round, with an answer that the first target sent before
    # it got its SYN again. Nothing tells the second target then, so that the packet waits for an
    # answer of it; the first target would reset the flow.
    def test_moved_flow_of_the_second_target_never_reaches_the_first(self) -> None:
        first, second = self.flow.send_syn(0, 1.0), self.flow.send_syn(1, 1.2)
        early = self.flow.received[first]
        self.flow.receive_from(second)
        self.assertEqual(self.get_receiver(self.flow.send_request(0, 1.21)), second)
        self.flow.echo = early
        self.move()
        self.assertEqual(self.flow.send_request(1, 2.0), Dropped(DropReason.UNKNOWN_TAG))
        self.flow.receive_from(second)
        self.assertEqual(self.get_receiver(self.flow.send_request(1, 2.2)), second)

    # Guards against the same while the first request waits for its answer and is repeated: its
    # sequence number follows the SYN, so that it seems to belong to the first target.
    def test_repeated_first_request_of_the_second_target_never_reaches_the_first(self) -> None:
        first, second = self.flow.send_syn(0, 1.0), self.flow.send_syn(1, 1.2)
        self.flow.receive_from(second)
        self.assertEqual(self.get_receiver(self.flow.send_request(0, 1.21)), second)
        self.flow.receive_from(first)
        self.move()
        decision = self.flow.send_request(0, 1.41)
        if isinstance(decision, Forwarded):
            self.assertEqual(decision.identity, second)

    # Guards against a flow that waits for an answer of its target, which has nothing to answer: the
    # repeated answers of the other one have to name the target, too, also on hosts without its SYN.
    def test_moved_flow_reaches_its_target_whichever_target_repeats_its_answer(self) -> None:
        for holder, other in ((0, 1), (1, 0), (0, 2), (2, 1)):
            with self.subTest(holder=holder, other=other):
                self.flow = Flow(make_forwarder())
                tried = [self.flow.send_syn(n, 1.0 + 0.2 * n) for n in range(3)]
                self.assertEqual(len(set(tried)), 3)
                self.flow.receive_from(tried[holder])
                self.assertEqual(self.get_receiver(self.flow.send_request(0, 1.7)), tried[holder])
                for number in (0, 1, 2):
                    self.flow.receive_from(tried[other])
                    self.move()
                    decision = self.flow.send_request(number, 2.0 + number)
                    self.assertEqual(self.get_receiver(decision), tried[holder])

    # Guards against a SYN that reaches a target which has ended, so that its address may be used
    # again, or which drains, so that nothing new may reach it.
    def test_target_that_may_get_no_new_flows_gets_no_syn_again(self) -> None:
        for state in (LifeState.GONE, LifeState.DRAINING):
            with self.subTest(state=state):
                self.flow = Flow(make_forwarder())
                first, second = self.flow.send_syn(0, 1.0), self.flow.send_syn(1, 1.2)
                changed = ENTRIES[first - 1]._replace(state=state, sequence=99)
                self.flow.forwarder.apply_update(update(changed, number=9, since=0), 1.21)
                self.flow.receive_from(second)
                decision = self.flow.send_request(0, 1.22)
                self.assertEqual(self.get_receiver(decision), second)
                assert isinstance(decision, Forwarded)
                self.assertEqual(decision.repeated_syns, ())

    # Guards against further connections at targets of flows that nobody else has answered.
    def test_syn_of_a_flow_with_one_target_is_not_sent_again(self) -> None:
        first = self.flow.send_syn(0, 1.0)
        self.flow.receive_from(first)
        decision = self.flow.send_request(0, 1.1)
        assert isinstance(decision, Forwarded)
        self.assertEqual(decision.repeated_syns, ())

    def test_first_packet_reaches_the_target_whose_answer_it_follows(self) -> None:
        for has_syn_number, attempts in itertools.product((True, False), (1, 2, 3)):
            with self.subTest(has_syn_number=has_syn_number, attempts=attempts):
                self.flow = Flow(make_forwarder(), has_syn_number=has_syn_number)
                tried = [self.flow.send_syn(n, 1.0 + 0.2 * n) for n in range(attempts)]
                self.flow.receive_from(tried[-1])
                self.assertEqual(self.get_receiver(self.flow.send_request(0, 1.7)), tried[-1])

    # Guards against a request of two packets that waits for a retransmission because the second
    # packet arrives first, which then is not the one that follows the SYN.
    def test_packet_that_overtakes_the_first_reaches_the_target(self) -> None:
        for attempts in (1, 2):
            with self.subTest(attempts=attempts):
                self.flow = Flow(make_forwarder())
                tried = [self.flow.send_syn(n, 1.0 + 0.2 * n) for n in range(attempts)]
                self.flow.receive_from(tried[-1])
                for number in (1, 0):
                    decision = self.flow.send_request(number, 1.3)
                    self.assertEqual(self.get_receiver(decision), tried[-1])

    def test_first_packet_of_a_flow_that_moved_reaches_the_only_target(self) -> None:
        only = self.flow.send_syn(0, 1.0)
        self.flow.receive_from(only)
        self.move()
        self.assertEqual(self.get_receiver(self.flow.send_request(0, 1.1)), only)

    # Guards against the same if another host sent the first SYN: nothing tells its target here.
    def test_retransmission_through_another_host_names_no_target(self) -> None:
        second = self.flow.send_syn(1, 1.2)
        self.assertEqual(syn_tags.read_syn_tag(self.flow.received[second]).name, 0)
        self.flow.receive_from(second)
        self.move()
        for number in (0, 1):
            decision = self.flow.send_request(number, 1.5)
            self.assertEqual(decision, Dropped(DropReason.UNKNOWN_TAG))

    # Guards against an open flow whose target gets the tag of a SYN again.
    def test_repeated_syn_of_an_open_flow_carries_the_flow_tag(self) -> None:
        first = self.flow.send_syn(0, 1.0)
        self.flow.receive_from(first)
        self.flow.send_request(0, 1.1)
        self.assertEqual(self.flow.send_syn(1, 1.2), first)
        self.assertEqual(self.flow.received[first], TAGS[first])

    def test_packets_after_the_first_carry_the_flow_tag(self) -> None:
        first = self.flow.send_syn(0, 1.0)
        self.assertNotEqual(self.flow.received[first], TAGS[first])
        self.flow.receive_from(first)
        self.flow.send_request(0, 1.1)
        self.assertEqual(self.flow.received[first], TAGS[first])

    def test_no_packet_of_random_flows_that_move_reaches_a_wrong_target(self) -> None:
        lost = 0
        for seed in range(2000):
            rng = random.Random(seed)
            self.flow = Flow(make_forwarder(), rng.getrandbits(32), rng.random() < 0.5)
            attempts = rng.randint(1, 2)
            tried = [self.flow.send_syn(n, 1.0 + 0.2 * n) for n in range(attempts)]
            holder = rng.choice(tried)
            self.flow.receive_from(holder)
            self.assertEqual(self.get_receiver(self.flow.send_request(0, 1.3)), holder)
            self.flow.receive_from(holder)
            for number in range(1, 6):
                late = rng.choice(tried)
                if rng.random() < 0.5:
                    self.flow.receive_from(late)
                if rng.random() < 0.5:
                    self.move()
                decision = self.flow.send_request(number, 1.3 + number)
                if isinstance(decision, Forwarded):
                    self.assertEqual(decision.identity, holder, seed)
                    self.flow.receive_from(holder)
                else:
                    self.assertEqual(decision, Dropped(DropReason.UNKNOWN_TAG))
                    lost += 1
        self.assertLess(lost, 2000)


class EncodingTest(unittest.TestCase):
    def test_parts_are_read_back(self) -> None:
        for sequence in (0, 1, ISN, 0xFFFFFFFF):
            first = syn_tags.make_syn_tag(0xDEADBEEF, sequence)
            again = [syn_tags.make_retransmission_tag(number, sequence) for number in range(3)]
            self.assertEqual(len({first, *again}), 4)
            for value in (first, *again):
                self.assertLess(value, 1 << 32)
                parts = syn_tags.read_syn_tag(value)
                self.assertEqual(parts.may_name(0xDEADBEEF), value == first)
                self.assertFalse(parts.may_name(0xDEADBEEE))
                self.assertFalse(parts.may_name(0))
                self.assertEqual(parts.is_retransmission, value != first)
                self.assertTrue(parts.is_followed_by((sequence + 1) & 0xFFFFFFFF))
                self.assertTrue(parts.is_followed_by(sequence))

    def test_later_packets_rarely_look_like_the_first(self) -> None:
        for is_retransmission, bound in ((False, 4 / 8192), (True, 3 / 128)):
            rng = random.Random(1)
            found = 0
            for _ in range(20_000):
                sequence = rng.getrandbits(32)
                value = (
                    syn_tags.make_retransmission_tag(1, sequence)
                    if is_retransmission
                    else syn_tags.make_syn_tag(5, sequence)
                )
                later = sequence + rng.randint(2, 100_000)
                found += syn_tags.read_syn_tag(value).is_followed_by(later)
            self.assertLess(found / 20_000, bound)

    # Guards against packets of targets that a host doesn't know yet, which reached another one.
    def test_unknown_flow_tags_are_rarely_taken_for_tags_of_syns(self) -> None:
        known = [flow_tag(entry(n).lifetime) for n in range(1, 148)]
        rng = random.Random(2)
        found = 0
        for _ in range(20_000):
            parts = syn_tags.read_syn_tag(rng.getrandbits(32))
            if parts.is_followed_by(rng.getrandbits(32)) != parts.is_retransmission:
                found += any(parts.may_name(tag) for tag in known)
        self.assertLessEqual(found, 1)
