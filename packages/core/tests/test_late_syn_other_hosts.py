"""Two targets answer one flow, and its packets reach a host that has not seen all of its SYNs."""

import unittest

from checkin_fakes import EDITS, configuration, data, entry, syn, update
from lacewingrudder_core._tagging.tags import flow_tag
from lacewingrudder_core.tagging import Forwarded, Route, Split, TagForwarder

PORT = 40001


class OtherHostTest(unittest.TestCase):
    def setUp(self) -> None:
        self.forwarder = TagForwarder("adum")
        route = Route(EDITS, (Split("proofdesk", 1),), False, 8, 0.5)
        self.forwarder.configure(configuration(1, route))
        self.entries = [entry(n) for n in (1, 2, 3)]
        self.forwarder.apply_update(update(*self.entries), 0.0)

    def send_data(self, tag: int, number: int, now: float) -> Forwarded:
        decision = self.forwarder.decide(data(PORT, tag, 2 + 100 * number, 1 + 100 * number), now)
        assert isinstance(decision, Forwarded), decision
        return decision

    # Guards against an open flow that strays after routers moved it to a host without its SYNs.
    def test_host_without_the_syns_keeps_the_tag_of_the_first_packet(self) -> None:
        first_tag, late_tag = (flow_tag(each.lifetime) for each in self.entries[:2])
        opened = self.send_data(first_tag, 0, 1.25)
        self.assertEqual(self.send_data(late_tag, 1, 1.3), opened)

    # Guards against an open flow that strays because another host placed its first SYN.
    def test_host_with_the_second_syn_alone_keeps_the_tag_of_the_first_packet(self) -> None:
        placed = self.forwarder.decide(syn(PORT, 1), 1.2)
        assert isinstance(placed, Forwarded), placed
        tags = (flow_tag(each.lifetime) for each in self.entries)
        late_tag = next(tag for tag in tags if tag != placed.tag)
        self.assertEqual(self.send_data(placed.tag, 0, 1.25), placed)
        self.assertEqual(self.send_data(late_tag, 1, 1.3), placed)
