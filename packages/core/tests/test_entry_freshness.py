import unittest

from lacewingrudder_core._entry.readiness import MAX_TICK_GAP_SECONDS, MAX_WAIT_SECONDS, Readiness
from lacewingrudder_core.entry import PeerMessage, SendToPeer, Tick
from lacewingrudder_core.flows import Drop, Segment, SegmentArrived, Stage
from lacewingrudder_core.follower import ControlMessage
from lacewingrudder_core.messages import Ack, Changes, Ping
from lacewingrudder_core.types import Endpoint
from test_follower import catalogue, change

from standins.nodes import ControlNode, EntryNode, make_member, make_members
from standins.stepping import Network

SYN = 0x02
ACK = 0x10


def arrived(flags: int) -> SegmentArrived:
    segment = Segment(Endpoint(1, 1024), Endpoint(2, 443), flags, 1, 0, 0)
    return SegmentArrived(segment, Stage.FABRIC, "")


class EntryReadinessTest(unittest.TestCase):
    def setUp(self) -> None:
        members = make_members(3)
        self.names = [member.name for member in members]
        self.control = ControlNode()
        self.entries = {m.name: EntryNode(m, self.names, ["control"]) for m in members}
        self.network = Network(self.entries | {"control": self.control})
        self.network.run(4.0)
        self.core = self.entries["entry-1"].core

    def rejects_new_flow(self, flags: int = SYN) -> bool:
        effects = self.core.handle(arrived(flags), self.network.now)
        return effects == [Drop("not_ready")]

    def test_running_host_opens_flows(self) -> None:
        self.assertFalse(self.rejects_new_flow())

    def test_paused_host_opens_no_flow_even_before_its_next_tick(self) -> None:
        self.network.pause("entry-1", 10.0)
        self.network.run(9.9)
        self.assertTrue(self.rejects_new_flow())
        self.assertFalse(self.rejects_new_flow(ACK))

    def test_paused_host_opens_flows_once_its_state_matches_that_of_its_peers(self) -> None:
        self.network.pause("entry-1", 10.0)
        self.network.run(9.0)
        self.network.send("control", self.control.commit(change(1), self.network.now))
        self.network.run_until(lambda: not self.rejects_new_flow(), 5.0)
        self.assertFalse(self.rejects_new_flow())
        self.assertEqual(self.core.revision, 1)
        self.assertEqual(len(self.core.zones), 3)

    def test_paused_and_partitioned_host_serves_after_a_bounded_wait(self) -> None:
        self.network.block(lambda sender, receiver: "entry-1" in (sender, receiver))
        self.network.pause("entry-1", 10.0)
        self.network.run(10.0 + MAX_WAIT_SECONDS - 0.3)
        self.assertTrue(self.rejects_new_flow())
        self.network.run(0.6)
        self.assertFalse(self.rejects_new_flow())

    def test_answer_to_a_ping_from_before_the_gap_does_not_count(self) -> None:
        other = self.entries["entry-2"].core
        now = self.network.now
        pings = [
            effect
            for step in range(1, 12)
            for effect in self.core.handle(Tick(), now + step * 0.1)
            if isinstance(effect, SendToPeer) and isinstance(effect.body, Ping)
        ]
        answers = [
            effect.body
            for ping in pings
            for effect in other.handle(PeerMessage("entry-1", ping.body), now + 1.2)
            if isinstance(effect, SendToPeer) and isinstance(effect.body, Ack)
        ]
        self.network.now = now + 10.0
        for answer in answers:
            self.core.handle(PeerMessage("entry-2", answer), self.network.now)
        self.assertGreater(len(answers), 0)
        self.assertTrue(self.rejects_new_flow())

    def test_lone_host_never_waits(self) -> None:
        lone = EntryNode(make_members(1)[0], ["entry-1"], [])
        lone.handle(Tick(), 0.0)
        effects = lone.core.handle(arrived(SYN), 30.0)
        self.assertNotEqual(effects, [Drop("not_ready")])

    def test_host_without_a_catalogue_waits_for_the_revisions_of_its_peers(
        self,
    ) -> None:
        node = EntryNode(make_members(1)[0], self.names, ["control"])
        first = ControlMessage("control", Changes((change(1),)))
        node.handle(Tick(), 0.0)
        node.handle(first, 0.1)
        self.assertEqual(node.in_force, [])
        node.handle(Tick(), 1.0)
        node.handle(Tick(), 2.0)
        node.handle(Tick(), 0.2 + MAX_WAIT_SECONDS)
        node.handle(first, 0.2 + MAX_WAIT_SECONDS)
        self.assertEqual(node.in_force, [1])

    def test_host_without_seeds_waits_too_after_a_pause(self) -> None:
        seedless = EntryNode(make_member(9, "zone-0"), [], ["control"])
        self.network.add("entry-9", seedless)
        joining = EntryNode(make_member(8, "zone-1"), ["entry-1", "entry-9"], ["control"])
        self.network.add("entry-8", joining)
        self.network.run(5.0)
        self.assertEqual(len(seedless.core.zones), 5)
        self.core = seedless.core
        self.network.pause("entry-9", 10.0)
        self.network.run(9.9)
        self.assertTrue(self.rejects_new_flow())

    def test_rejoining_host_with_an_old_catalogue_waits_for_the_new_one(self) -> None:
        self.network.send("control", self.control.commit(change(1), self.network.now))
        self.network.run(1.0)
        self.network.kill("entry-1")
        self.network.run(3.0)
        node = EntryNode(make_members(1)[0], self.names, ["control"], catalogue(0), persists=True)
        self.network.add("entry-1", node)
        self.core = node.core
        self.network.run_until(lambda: not self.rejects_new_flow(), 5.0)
        self.assertEqual(self.core.revision, 1)


class ReadinessTest(unittest.TestCase):
    def test_matching_state_does_not_count_without_a_new_answer(self) -> None:
        readiness = Readiness()
        readiness.reset_after_gap(0.0, is_alone=False)
        readiness.record_comparison(is_caught_up=True)
        self.assertFalse(readiness.is_ready(0.1))
        readiness.record_answer()
        readiness.record_comparison(is_caught_up=True)
        self.assertTrue(readiness.is_ready(0.2))
        self.assertTrue(readiness.reset_after_gap(0.2 + MAX_TICK_GAP_SECONDS + 0.1, is_alone=False))
        readiness.record_comparison(is_caught_up=True)
        self.assertFalse(readiness.is_ready(2.0))
