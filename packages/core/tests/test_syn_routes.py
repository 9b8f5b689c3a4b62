"""Which configuration the retransmissions of a SYN follow."""

import unittest

from checkin_fakes import EDITS, SHEETS, configuration, data, entry, syn, update
from lacewingrudder_core.tagging import Forwarded, Route, Split, TagForwarder

PORT = 40001
OLD, NEW = "proofdesk", "sheetroom"
OLD_TARGETS, NEW_TARGETS = (1, 2, 3), (11, 12, 13)


def route(*splits: Split) -> Route:
    return Route(EDITS, splits, False, 8, 0.5)


class SynRouteTest(unittest.TestCase):
    """A configuration moves a route to another service while a SYN waits for its answer."""

    def setUp(self) -> None:
        self.forwarder = TagForwarder("adum")
        self.forwarder.configure(configuration(1, route(Split(OLD, 1))))
        entries = [entry(n) for n in OLD_TARGETS] + [entry(n, service=NEW) for n in NEW_TARGETS]
        self.forwarder.apply_update(update(*entries), 0.0)

    def send_syn(self, attempt: int, now: float, port: int = PORT) -> int:
        """Send a SYN and return the identity of the target that it is forwarded to."""
        decision = self.forwarder.decide(syn(port, attempt), now)
        assert isinstance(decision, Forwarded), decision
        return decision.identity

    # Guards against a request that runs at the former service of its route: the retransmissions of
    # its SYN, sent after the change was in force, stayed with the service of the first one.
    def test_retransmissions_follow_a_route_that_moved(self) -> None:
        self.assertIn(self.send_syn(0, 1.0), OLD_TARGETS)
        self.forwarder.configure(configuration(2, route(Split(NEW, 1))), 1.1)
        self.assertIn(self.send_syn(1, 1.2), NEW_TARGETS)
        self.assertIn(self.send_syn(2, 1.6), NEW_TARGETS)

    # Guards against the same for a service that a split leaves out or gives no weight.
    def test_retransmissions_follow_a_split_that_lost_a_service(self) -> None:
        for splits in ((Split(NEW, 3),), (Split(OLD, 0), Split(NEW, 3))):
            with self.subTest(splits=splits):
                self.setUp()
                self.forwarder.configure(configuration(2, route(Split(OLD, 1), Split(NEW, 0))), 0.5)
                self.assertIn(self.send_syn(0, 1.0), OLD_TARGETS)
                self.forwarder.configure(configuration(3, route(*splits)), 1.1)
                self.assertIn(self.send_syn(1, 1.2), NEW_TARGETS)

    # Guards against the same if the first target answers others, so that its answer may be late.
    def test_retransmission_leaves_a_target_of_the_former_service_that_answers_others(self) -> None:
        placed = self.send_syn(0, 1.0)
        ports = range(50_000, 50_100)
        other = next(port for port in ports if self.send_syn(0, 1.05, port) == placed)
        tags = self.forwarder._flow_tracker.get_opening(syn(other).flow).tried_tags
        self.forwarder.decide(data(other, tags[0]), 1.07)
        self.assertEqual(self.send_syn(1, 1.08), placed)
        self.forwarder.configure(configuration(2, route(Split(NEW, 1))), 1.1)
        self.assertIn(self.send_syn(1, 1.2), NEW_TARGETS)

    # Guards against the same if the route was gone in between, and other SYNs were sent meanwhile.
    def test_retransmissions_follow_a_route_that_was_dropped_and_added_again(self) -> None:
        self.assertIn(self.send_syn(0, 1.0), OLD_TARGETS)
        other = Route(SHEETS, (Split(NEW, 1),), True, 7)
        self.forwarder.configure(configuration(2, other), 1.05)
        self.forwarder.configure(configuration(3, route(Split(NEW, 1)), other), 1.1)
        self.assertIn(self.send_syn(1, 1.2), NEW_TARGETS)

    def test_retransmissions_stay_with_a_service_that_the_route_keeps(self) -> None:
        for splits in ((Split(OLD, 1),), (Split(OLD, 1), Split(NEW, 99))):
            with self.subTest(splits=splits):
                self.setUp()
                self.send_syn(0, 1.0)
                self.forwarder.configure(configuration(2, route(*splits)), 1.1)
                self.assertIn(self.send_syn(1, 1.2), OLD_TARGETS)

    def test_flow_that_opened_before_the_change_stays_at_its_target(self) -> None:
        placed = self.send_syn(0, 1.0)
        tag = self.forwarder._flow_tracker.get_opening(syn(PORT).flow).tried_tags[-1]
        self.forwarder.decide(data(PORT, tag), 1.05)
        self.forwarder.configure(configuration(2, route(Split(NEW, 1))), 1.1)
        self.assertEqual(self.send_syn(1, 1.2), placed)
        decision = self.forwarder.decide(data(PORT, tag, 102), 1.3)
        assert isinstance(decision, Forwarded)
        self.assertEqual(decision.identity, placed)

    # Guards against a flow that counts as load of a target that it was never offered to again.
    def test_target_of_the_former_service_no_longer_counts_the_flow(self) -> None:
        self.send_syn(0, 1.0)
        tag = self.forwarder._flow_tracker.get_opening(syn(PORT).flow).tried_tags[-1]
        self.assertEqual(self.forwarder.flow_tracker.load(tag).opening, 1)
        self.forwarder.configure(configuration(2, route(Split(NEW, 1))), 1.1)
        self.send_syn(1, 1.2)
        self.assertEqual(self.forwarder.flow_tracker.load(tag).opening, 0)
