"""SYNs that waited on a host that was paused or is slow."""

import unittest

from checkin_fakes import configuration, entry, syn, update
from lacewingrudder_core.tagging import Dropped, DropReason, Forwarded, TagForwarder

PORT = 40001
EXPIRED = Dropped(DropReason.EXPIRED_SYN)


class ExpiredSynTest(unittest.TestCase):
    def setUp(self) -> None:
        self.forwarder = TagForwarder("adum")
        self.forwarder.configure(configuration())
        self.forwarder.apply_update(update(entry(1), entry(2)), 0.0)

    # Guards against targets that answer SYNs of a flow which another host opened seconds ago.
    def test_syns_that_waited_while_the_host_was_paused_reach_no_target(self) -> None:
        for attempt, waited in ((0, 3.4), (1, 3.2), (2, 2.8)):
            self.assertEqual(self.forwarder.decide(syn(PORT, attempt), 5.0, waited), EXPIRED)

    # Guards against the same at a host that is slow for as long as its callers wait.
    def test_syn_is_placed_until_its_caller_may_have_sent_the_next(self) -> None:
        for attempt, timeout in ((0, 0.2), (1, 0.4), (2, 0.8), (3, 0.8)):
            with self.subTest(attempt=attempt):
                late, in_time = syn(PORT, attempt), syn(PORT + 1, attempt)
                self.assertEqual(self.forwarder.decide(late, 5.0, timeout), EXPIRED)
                decision = self.forwarder.decide(in_time, 5.0, timeout - 0.01)
                self.assertIsInstance(decision, Forwarded)

    # Guards against a reset of a flow that is open: this host doesn't know a route that another had
    # in force before it opened the flow.
    def test_expired_syn_without_a_route_is_not_reset(self) -> None:
        forwarder = TagForwarder("adum")
        forwarder.configure(configuration()._replace(routes={}))
        forwarder.apply_update(update(entry(1)), 0.0)
        self.assertEqual(forwarder.decide(syn(PORT), 5.0, 3.0), EXPIRED)

    def test_expired_syn_counts_as_no_load_and_no_attempt(self) -> None:
        self.forwarder.decide(syn(PORT), 5.0, 3.0)
        self.assertIsNone(self.forwarder.flow_tracker.get_opening(syn(PORT).flow))
        self.assertIsNone(self.forwarder.next_silence_check)
