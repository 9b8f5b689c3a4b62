"""The copies of a SYN go through several hosts, of which each knows only the targets it chose."""

import random
import unittest

from checkin_fakes import EDITS
from lacewingrudder_core.tagging import Decision, Dropped, DropReason, Forwarded, TagSegment
from lacewingrudder_core.types import FlowKey
from tagged_flow import ENTRIES, PORT, TAGS, Flow, make_forwarder

SYN_TIMES_SECONDS = (0.0, 0.2, 0.6)
SETTLED_SECONDS = 0.7
"""Longer than a packet of a caller may overtake another."""


class SynCopiesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.slow, self.other = make_forwarder(), make_forwarder()
        self.flow = Flow(self.slow)

    def send_syn(self, attempt: int, through: int, now: float) -> int:
        """Send a copy of the SYN through one of the two hosts; return the target it reaches."""
        self.flow.forwarder = (self.slow, self.other)[through]
        return self.flow.send_syn(attempt, now)

    def get_receiver(self, decision: Decision) -> int:
        assert isinstance(decision, Forwarded), decision
        return decision.identity

    def open_through_other_host(self) -> tuple[int, int, int]:
        """Open a flow with its third copy, before the first two reach other targets."""
        self.setUp()
        Flow(self.slow, port=PORT + 1).send_syn(0, 1.0)
        holder = self.send_syn(2, 1, 1.6)
        self.flow.receive_from(holder)
        self.assertEqual(self.get_receiver(self.flow.send_request(0, 1.61)), holder)
        first, second = self.send_syn(0, 0, 2.0), self.send_syn(1, 0, 2.0)
        self.assertEqual({first, second, holder}, {each.identity for each in ENTRIES})
        return first, second, holder

    # Guards against open flows that are reset by the target of the first copy: the tag of the
    # second one was taken to name the target that holds the flow.
    def test_later_packet_with_the_tag_of_another_copy_reaches_no_wrong_target(self) -> None:
        for is_moved in (False, True):
            first, second, holder = self.open_through_other_host()
            self.flow.forwarder = make_forwarder() if is_moved else self.slow
            for late in (first, second):
                with self.subTest(is_moved=is_moved, late=late):
                    self.flow.receive_from(late)
                    dropped = self.flow.send_request(1, 4.5)
                    self.assertEqual(dropped, Dropped(DropReason.UNKNOWN_TAG))
            self.flow.receive_from(holder)
            self.assertEqual(self.get_receiver(self.flow.send_request(1, 4.6)), holder)

    # Guards against the same at the host that sent the copies, if the first packet went through
    # another one.
    def test_host_that_sent_two_copies_takes_neither_target_for_the_one_of_a_later_packet(
        self,
    ) -> None:
        first, second = self.flow.send_syn(0, 1.0), self.flow.send_syn(1, 1.2)
        for late in (first, second):
            self.flow.receive_from(late)
            decision = self.flow.send_request(1, 1.2 + SETTLED_SECONDS)
            self.assertEqual(decision, Dropped(DropReason.UNKNOWN_TAG))

    # Guards against flows without an answer after the host of the first copy was lost: the target
    # of the second one repeats an answer that names nobody.
    def test_target_of_a_second_copy_alone_learns_which_one_holds_the_flow(self) -> None:
        Flow(self.other, port=PORT + 1).send_syn(0, 1.0)
        first, second = self.send_syn(0, 0, 1.0), self.send_syn(1, 1, 1.2)
        self.assertNotEqual(first, second)
        self.flow.receive_from(first)
        self.assertEqual(self.get_receiver(self.flow.send_request(0, 1.25)), first)
        self.assertEqual(self.flow.received[second], TAGS[first])
        self.flow.receive_from(second)
        self.flow.forwarder = make_forwarder()
        self.assertEqual(self.get_receiver(self.flow.send_request(1, 2.0)), first)

    # Guards against an open flow that is reset while its first request waits for an answer: the
    # request is repeated through a host that hasn't seen the flow, after a late answer to the first
    # copy, and seems to belong to the target of that.
    def test_repeated_first_request_that_moves_reaches_no_wrong_target(self) -> None:
        Flow(self.other, port=PORT + 1).send_syn(0, 1.0)
        first, second = self.send_syn(0, 0, 1.0), self.send_syn(1, 1, 1.2)
        self.assertNotEqual(first, second)
        self.flow.receive_from(second)
        self.assertEqual(self.get_receiver(self.flow.send_request(0, 1.25)), second)
        self.flow.receive_from(first)
        self.flow.forwarder = make_forwarder()
        decision = self.flow.send_request(0, 1.45)
        if isinstance(decision, Forwarded):
            self.assertEqual(decision.identity, second)

    # Guards against a copy that arrives seconds late and makes its host forget which target holds
    # the flow.
    def test_late_copy_of_an_open_flow_goes_to_the_target_that_holds_it(self) -> None:
        holder = self.flow.send_syn(0, 1.0)
        self.flow.receive_from(holder)
        self.flow.send_request(0, 1.1)
        self.assertEqual(self.flow.send_syn(1, 9.0), holder)
        self.assertEqual(self.flow.received[holder], TAGS[holder])

    def test_no_later_packet_reaches_a_wrong_target_whenever_the_copies_arrive(self) -> None:
        reached = sum(RandomFlow(random.Random(seed)).play(self) for seed in range(3000))
        self.assertGreater(reached, 7000)


class RandomFlow(Flow):
    """A flow whose copies and packets go through random hosts.

    Copies are late because the hosts were paused or slow, or because the network was. The
    first request is sent once; later ones may be sent while further copies arrive.
    """

    def __init__(self, rng: random.Random) -> None:
        hosts = [make_forwarder() for _ in range(3)]
        super().__init__(hosts[0], rng.getrandbits(32))
        self._rng = rng
        self._hosts = hosts
        self._is_network_late = rng.random() < 0.5
        self._copies = sorted(
            (sent_at + rng.choice((0.0, 3.0 * rng.random())), attempt, sent_at)
            for attempt, sent_at in enumerate(SYN_TIMES_SECONDS[: rng.randint(1, 3)])
        )

    def play(self, case: unittest.TestCase) -> int:
        """Play the flow; return the number of later packets that reached their target."""
        rng = self._rng
        opened_at = self._copies[0][0] + 0.3 * rng.random()
        self._deliver_copies(opened_at)
        if not self.received:
            return 0
        holder = rng.choice(sorted(self.received))
        self.receive_from(holder)
        self.forwarder = home = rng.choice(self._hosts)
        opened = self.send_request(0, 1.0 + opened_at)
        if not isinstance(opened, Forwarded):
            return 0
        case.assertEqual(opened.identity, holder)
        reached = 0
        for number in range(1, 6):
            now = opened_at + SETTLED_SECONDS * (number + rng.random())
            self._deliver_copies(now - SETTLED_SECONDS)
            self.receive_from(rng.choice(sorted(self.received)))
            self.forwarder = rng.choice((home, *self._hosts))
            decision = self.send_request(number, 1.0 + now)
            if isinstance(decision, Forwarded):
                case.assertEqual(decision.identity, holder)
                reached += 1
        return reached

    def _deliver_copies(self, until: float) -> None:
        while self._copies and self._copies[0][0] <= until:
            at, attempt, sent_at = self._copies.pop(0)
            waited_seconds = 0.0 if self._is_network_late else at - sent_at
            forwarder = self._rng.choice(self._hosts)
            flow = FlowKey(0x64400007, self.port, EDITS.address, EDITS.port)
            segment = TagSegment(flow, 0, True, False, attempt, 0, self.isn, 0)
            decision = forwarder.decide(segment, 1.0 + at, waited_seconds)
            if isinstance(decision, Forwarded):
                tag = forwarder.record_syn(segment, decision, b"the caller's SYN")
                self.received[decision.identity] = tag
