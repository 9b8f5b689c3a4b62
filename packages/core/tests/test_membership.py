import random
import unittest
from collections.abc import Callable

from lacewingrudder_core._membership.core import SUSPICION_TIMEOUT_SECONDS, Leave
from lacewingrudder_core.membership import MemberMessage, MembershipCore, Tick
from lacewingrudder_core.messages import LeaveNotice, MemberStatus, MemberUpdate, MemberUpdates

from standins.nodes import MemberNode, make_member, make_members
from standins.stepping import Network, Sent

HOSTS = 7


class MembershipCase(unittest.TestCase):
    def make_network(
        self, hosts: int = HOSTS, loss: float = 0.0, seed: int = 1, seeds: int | None = None
    ) -> Network:
        members = make_members(hosts)
        names = [member.name for member in members[:seeds]]
        nodes = {member.name: MemberNode(member, names, seed) for member in members}
        network = Network(nodes, seed, loss)
        self.assertIsNotNone(network.run_until(self.all_hosts_know(network, nodes), 10.0))
        network.run(2.0)
        return network

    def all_hosts_know(self, network: Network, names: object) -> Callable[[], bool]:
        wanted = frozenset(names)  # type: ignore[call-overload]
        return lambda: all(node.names == wanted for node in network.nodes.values())

    def kill(self, network: Network, name: str) -> float:
        network.kill(name)
        elapsed = network.run_until(self.all_hosts_know(network, list(network.nodes)), 10.0)
        self.assertIsNotNone(elapsed)
        return elapsed or 0.0


class DetectionTest(MembershipCase):
    def test_killed_host_is_dead_everywhere_within_two_seconds(self) -> None:
        for seed in range(1, 21):
            with self.subTest(seed):
                network = self.make_network(seed=seed)
                self.assertLessEqual(self.kill(network, "entry-3"), 2.0)

    def test_one_percent_packet_loss_causes_no_false_positive(self) -> None:
        for seed in range(1, 6):
            with self.subTest(seed):
                network = self.make_network(loss=0.01, seed=seed)
                before = [node.change_count for node in network.nodes.values()]
                network.run(60.0)
                self.assertEqual([node.change_count for node in network.nodes.values()], before)

    def test_graceful_shutdown_is_known_without_failure_detection(self) -> None:
        network = self.make_network()
        leaving = network.nodes.pop("entry-2")
        notice = LeaveNotice(leaving.core.local_member)
        network.send("entry-2", [Sent(name, notice) for name in leaving.core.neighbours])
        elapsed = network.run_until(self.all_hosts_know(network, list(network.nodes)), 5.0)
        self.assertLess(elapsed or 9.0, 0.2)

    def test_leaving_host_that_still_answers_is_not_readmitted(self) -> None:
        network = self.make_network()
        leaving = network.nodes["entry-2"]
        leaving.core.handle(Leave(), network.now)
        notice = LeaveNotice(leaving.core.local_member)
        network.send("entry-2", [Sent(name, notice) for name in leaving.core.neighbours])
        network.run(0.5)
        others = [node for name, node in network.nodes.items() if name != "entry-2"]
        for _ in range(30):
            network.run(0.1)
            self.assertTrue(all("entry-2" not in node.names for node in others))

    def test_all_members_are_discovered_from_two_seeds(self) -> None:
        network = self.make_network(hosts=30, seeds=2)
        links = {m.link for m in network.nodes["entry-30"].core.members}
        self.assertEqual(len(links), 30)

    def test_joining_host_becomes_known_to_all_members(self) -> None:
        network = self.make_network(hosts=20)
        network.add("entry-99", MemberNode(make_member(99, "zone-1"), ["entry-1"]))
        elapsed = network.run_until(self.all_hosts_know(network, list(network.nodes)), 10.0)
        self.assertLess(elapsed or 99.0, 4.0)

    def test_each_host_is_probed_by_a_bounded_number_of_others(self) -> None:
        network = self.make_network(hosts=60)
        prober_counts = dict.fromkeys(network.nodes, 0)
        for node in network.nodes.values():
            self.assertLessEqual(len(node.core.neighbours), 8)
            for name in node.core.neighbours:
                prober_counts[name] += 1
        self.assertGreaterEqual(min(prober_counts.values()), 2)
        self.assertLessEqual(max(prober_counts.values()), 8)


class PartitionTest(MembershipCase):
    def test_views_converge_after_a_zone_partition_heals(self) -> None:
        network = self.make_network()
        isolated = {
            name for name, node in network.nodes.items() if node.core.local_member.zone == "zone-0"
        }
        network.block(lambda sender, receiver: (sender in isolated) != (receiver in isolated))
        network.run(5.0)
        for name, node in network.nodes.items():
            side = isolated if name in isolated else network.nodes.keys() - isolated
            self.assertEqual(node.names, side)
        network.unblock()
        elapsed = network.run_until(self.all_hosts_know(network, list(network.nodes)), 20.0)
        self.assertLessEqual(elapsed or 99.0, 4.0)

    def test_one_way_loss_between_two_hosts_declares_neither_dead(self) -> None:
        network = self.make_network()
        network.block(lambda sender, receiver: (sender, receiver) == ("entry-1", "entry-2"))
        before = [node.change_count for node in network.nodes.values()]
        network.run(30.0)
        self.assertEqual([node.change_count for node in network.nodes.values()], before)

    def test_only_the_host_that_receives_nothing_is_declared_dead(self) -> None:
        network = self.make_network()
        network.block(lambda sender, receiver: receiver == "entry-1")
        network.run(10.0)
        others = network.nodes.keys() - {"entry-1"}
        for name in others:
            self.assertEqual(network.nodes[name].names, others)
        before = [network.nodes[name].core.local_member.incarnation for name in sorted(others)]
        network.run(10.0)
        after = [network.nodes[name].core.local_member.incarnation for name in sorted(others)]
        self.assertEqual(after, before)
        network.unblock()
        elapsed = network.run_until(self.all_hosts_know(network, list(network.nodes)), 20.0)
        self.assertLessEqual(elapsed or 99.0, 4.0)


class IncarnationTest(MembershipCase):
    def test_paused_host_is_declared_dead_and_rejoins_with_a_higher_incarnation(self) -> None:
        network = self.make_network()
        node = network.nodes["entry-4"]
        network.pause("entry-4", 5.0)
        network.run(4.0)
        self.assertNotIn("entry-4", network.nodes["entry-1"].names)
        elapsed = network.run_until(self.all_hosts_know(network, list(network.nodes)), 10.0)
        self.assertLessEqual(elapsed or 99.0, 5.0)
        self.assertGreater(node.core.local_member.incarnation, 1)

    def test_paused_host_declares_no_other_host_dead_when_it_resumes(self) -> None:
        network = self.make_network()
        before = network.nodes["entry-4"].change_count
        network.pause("entry-4", 5.0)
        network.run(15.0)
        self.assertEqual(network.nodes["entry-4"].change_count, before)

    def test_suspicion_timeout_restarts_after_this_host_was_paused(self) -> None:
        core = MembershipCore(make_member(1, "zone-0"), [], random.Random(1))
        update = MemberUpdate(make_member(2, "zone-1"), MemberStatus.SUSPECT)
        core.handle(Tick(), 0.0)
        core.handle(MemberMessage("entry-3", MemberUpdates((update,))), 0.05)
        core.handle(Tick(), 10.0)
        self.assertEqual(len(core.members), 2)
        for step in range(1, 11):
            core.handle(Tick(), 10.0 + step * SUSPICION_TIMEOUT_SECONDS / 9)
        self.assertEqual(len(core.members), 1)

    def test_ack_due_while_this_host_was_paused_causes_no_suspicion(self) -> None:
        core = MembershipCore(make_member(1, "zone-0"), [], random.Random(1))
        update = MemberUpdate(make_member(2, "zone-1"), MemberStatus.ALIVE)
        core.handle(MemberMessage("entry-3", MemberUpdates((update,))), 0.0)
        core.handle(Tick(), 0.0)
        effects = core.handle(Tick(), 10.0)
        updates = [item for effect in effects for item in effect.body.updates]
        self.assertNotIn(MemberStatus.SUSPECT, [item.status for item in updates])

    def test_delayed_host_does_not_suspect_others_for_its_own_delay(self) -> None:
        core = MembershipCore(make_member(1, "zone-0"), [], random.Random(1))
        update = MemberUpdate(make_member(2, "zone-1"), MemberStatus.ALIVE)
        core.handle(MemberMessage("entry-3", MemberUpdates((update,))), 0.0)
        core.handle(Tick(), 0.0)
        self.assertNotIn(MemberStatus.SUSPECT, self.statuses_sent(core, 0.7))
        statuses_sent = [
            status for step in range(8, 20) for status in self.statuses_sent(core, step * 0.1)
        ]
        self.assertIn(MemberStatus.SUSPECT, statuses_sent)

    def test_constantly_delayed_host_still_detects_dead_hosts(self) -> None:
        core = MembershipCore(make_member(1, "zone-0"), [], random.Random(1))
        update = MemberUpdate(make_member(2, "zone-1"), MemberStatus.ALIVE)
        core.handle(MemberMessage("entry-3", MemberUpdates((update,))), 0.0)
        for step in range(20):
            core.handle(Tick(), step * 0.4)
        self.assertEqual(len(core.members), 1)

    def statuses_sent(self, core: MembershipCore, now: float) -> list[MemberStatus]:
        bodies = [getattr(effect, "body", None) for effect in core.handle(Tick(), now)]
        return [item.status for body in bodies for item in getattr(body, "updates", ())]

    def test_restart_with_a_lower_incarnation_overrides_the_remembered_one(self) -> None:
        network = self.make_network()
        self.kill(network, "entry-5")
        older = make_member(5, "zone-2", incarnation=0)
        network.add("entry-5", MemberNode(older, ["entry-1"]))
        elapsed = network.run_until(self.all_hosts_know(network, list(network.nodes)), 10.0)
        self.assertLessEqual(elapsed or 99.0, 4.0)

    def test_quick_restart_with_a_lower_incarnation_replaces_the_old_one(self) -> None:
        network = self.make_network()
        older = make_member(5, "zone-2", incarnation=0)
        network.nodes["entry-5"] = MemberNode(older, ["entry-1"])
        network.run(8.0)
        incarnation = network.nodes["entry-5"].core.local_member.incarnation
        for node in network.nodes.values():
            self.assertIn(
                incarnation, [m.incarnation for m in node.core.members if m.name == "entry-5"]
            )

    def test_stale_update_does_not_revive_a_dead_host(self) -> None:
        network = self.make_network()
        self.kill(network, "entry-6")
        stale = MemberUpdate(make_member(6, "zone-0"), MemberStatus.ALIVE)
        network.send("entry-2", [Sent("entry-1", MemberUpdates((stale,)))])
        network.run(1.0)
        self.assertNotIn("entry-6", network.nodes["entry-1"].names)
