import unittest

from lacewingrudder_core._propagation.propagation import (
    LEASE_SECONDS,
    MAX_CHANGES_PER_MESSAGE,
    MAX_KEPT_CHANGES,
    MAX_PARTS_PER_SECOND,
)
from lacewingrudder_core._propagation.snapshots import catalogue_digest
from lacewingrudder_core.messages import (
    Changes,
    SnapshotPart,
    SnapshotPull,
    Subscribe,
    SubscribeReply,
)
from lacewingrudder_core.notes import Change, Note
from lacewingrudder_core.propagation import (
    ChangeApplied,
    PropagationCore,
    SnapshotPulled,
    Subscribed,
)
from lacewingrudder_core.types import Kind, Service
from test_follower import catalogue, change

from standins.nodes import ControlNode, EntryNode, make_members
from standins.stepping import Network

MAX_IN_FORCE_SECONDS = 4.0


def subscribe(revision: int, digest: int = 0) -> Subscribed:
    return Subscribed(Subscribe("entry-1", "adum", revision, digest))


class SubscriptionTest(unittest.TestCase):
    def core_after_changes(self, count: int) -> PropagationCore:
        core = PropagationCore(catalogue(0))
        state = catalogue(0)
        for number in range(1, count + 1):
            state = state.apply(change(number))
            core.handle(ChangeApplied(change(number), state), 0.0)
        return core

    def test_number_of_changes_per_message_is_bounded(self) -> None:
        sends = self.core_after_changes(MAX_KEPT_CHANGES).handle(subscribe(0), 1.0)
        self.assertEqual([type(send.body) for send in sends], [SubscribeReply, Changes])
        self.assertEqual(len(sends[1].body.changes), MAX_CHANGES_PER_MESSAGE)

    def test_changes_with_large_notes_are_bounded_by_size(self) -> None:
        core, state = PropagationCore(catalogue(0)), catalogue(0)
        many = tuple(Service(f"s{n}", n, "key", (Kind("k", 1, 0, True, 0),)) for n in range(200))
        for number in range(1, 21):
            large = Change(number, Note(number, number - 1, many, (), (), "digest"), None)
            state = state.apply(large)
            core.handle(ChangeApplied(large, state), 0.0)
        sends = core.handle(subscribe(0), 1.0)
        self.assertEqual([c.revision for c in sends[1].body.changes], [1, 2])

    def test_subscriber_far_behind_gets_a_snapshot(self) -> None:
        sends = self.core_after_changes(MAX_KEPT_CHANGES + 10).handle(subscribe(3), 1.0)
        self.assertIsInstance(sends[1].body, SnapshotPart)

    def test_parts_of_snapshots_are_sent_at_a_bounded_rate(self) -> None:
        core = self.core_after_changes(3)
        pull = SnapshotPulled(SnapshotPull("entry-1", 3, 0))
        at_once = [send for _ in range(500) for send in core.handle(pull, 1.0)]
        self.assertEqual(len(at_once), MAX_PARTS_PER_SECOND)
        later = [send for _ in range(500) for send in core.handle(pull, 1.5)]
        self.assertEqual(len(later), MAX_PARTS_PER_SECOND / 2)

    def test_other_contents_at_the_same_revision_are_repaired(self) -> None:
        core = self.core_after_changes(3)
        same = core.handle(subscribe(3, catalogue_digest(catalogue(3))), 1.0)
        self.assertEqual([type(send.body) for send in same], [SubscribeReply])
        other = core.handle(subscribe(3, 1), 1.0)
        self.assertEqual([type(send.body) for send in other], [SubscribeReply, SnapshotPart])

    def test_expired_lease_gets_no_changes(self) -> None:
        core = self.core_after_changes(1)
        core.handle(subscribe(1), 0.0)
        state = catalogue(2)
        self.assertEqual(len(core.handle(ChangeApplied(change(2), state), 1.0)), 1)
        late = 1.0 + LEASE_SECONDS
        self.assertEqual(core.handle(ChangeApplied(change(3), catalogue(3)), late), [])
        self.assertEqual([host.revision for host in core.hosts(late)], [1])


class FleetPropagationTest(unittest.TestCase):
    """Seven entry hosts in three zones, with one control host per zone."""

    def setUp(self) -> None:
        self.members = make_members(7)
        self.names = [member.name for member in self.members]
        self.controls = {f"control-{zone}": ControlNode() for zone in range(3)}
        self.entries = {m.name: self.make_entry(m.name) for m in self.members}
        self.network = Network(self.controls | self.entries)
        self.network.run(3.0)

    def make_entry(self, name: str, **changes: object) -> EntryNode:
        member = next(member for member in self.members if member.name == name)
        return EntryNode(member, self.names, list(self.controls), **changes)

    def commit(self, revision: int, at: list[str] | None = None) -> None:
        for name in at or list(self.controls):
            sends = self.controls[name].commit(change(revision), self.network.now)
            self.network.send(name, sends)

    def run_until_in_force(self, revision: int) -> float:
        live = [node for node in self.network.nodes.values() if isinstance(node, EntryNode)]
        passed = self.network.run_until(
            lambda: all(node.core.revision >= revision for node in live), 30.0
        )
        self.assertIsNotNone(passed)
        return passed or 0.0

    def assert_revisions_only_grow(self) -> None:
        for node in self.entries.values():
            self.assertEqual(node.in_force, sorted(set(node.in_force)))

    def test_change_is_in_force_on_all_hosts_in_time(self) -> None:
        self.commit(1)
        self.assertLess(self.run_until_in_force(1), MAX_IN_FORCE_SECONDS)

    def test_change_reaches_subscribers_of_a_killed_control_host_in_time(self) -> None:
        self.network.kill("control-1")
        del self.controls["control-1"]
        self.commit(1)
        self.assertLess(self.run_until_in_force(1), MAX_IN_FORCE_SECONDS)

    def test_change_reaches_subscribers_of_an_isolated_control_host_in_time(self) -> None:
        self.commit(1)
        self.run_until_in_force(1)
        self.commit(2, ["control-0", "control-2"])
        self.assertLess(self.run_until_in_force(2), MAX_IN_FORCE_SECONDS)

    def test_partitioned_zone_without_control_host_catches_up_from_a_peer(self) -> None:
        self.commit(1)
        self.run_until_in_force(1)
        zone_hosts = {m.name for m in self.members if m.zone == "zone-1"}
        ahead = min(zone_hosts)
        blocked = zone_hosts - {ahead}
        self.network.block(lambda s, r: s.startswith("control") and r in blocked)
        self.commit(2)
        self.assertLess(self.run_until_in_force(2), MAX_IN_FORCE_SECONDS)

    def test_partitioned_zone_serves_on_and_catches_up_after_it_heals(self) -> None:
        zone_hosts = {m.name for m in self.members if m.zone == "zone-1"} | {"control-1"}
        self.network.block(lambda s, r: (s in zone_hosts) != (r in zone_hosts))
        self.network.run(5.0)
        for number in range(1, 4):
            self.commit(number, ["control-0", "control-2"])
        self.network.run(5.0)
        for name in zone_hosts - {"control-1"}:
            self.assertEqual(self.entries[name].core.revision, 0)
        self.network.unblock()
        self.assertLess(self.run_until_in_force(3), 10.0)
        self.assert_revisions_only_grow()

    def test_restart_after_hundreds_of_changes_catches_up(self) -> None:
        self.commit(1)
        self.run_until_in_force(1)
        kept = self.entries["entry-2"].core
        self.network.kill("entry-2")
        for number in range(2, 502):
            self.commit(number)
        self.network.run(1.0)
        self.assertEqual(kept.revision, 1)
        self.entries["entry-2"] = self.make_entry("entry-2", catalogue=catalogue(1), persists=True)
        self.network.add("entry-2", self.entries["entry-2"])
        self.assertLess(self.run_until_in_force(501), MAX_IN_FORCE_SECONDS)
        self.assert_revisions_only_grow()
        self.assertEqual(self.entries["entry-2"].persisted_catalogue.revision, 501)

    def test_host_without_a_disk_gets_no_older_revision_from_a_control_host_behind(self) -> None:
        self.commit(1)
        self.commit(2, ["control-0", "control-2"])
        self.run_until_in_force(2)
        restarted = [m.name for m in self.members if m.zone == "zone-1"][0]
        self.network.kill(restarted)
        self.network.run(3.0)
        self.entries[restarted] = self.make_entry(restarted)
        self.network.add(restarted, self.entries[restarted])
        self.run_until_in_force(2)
        self.assertEqual(self.entries[restarted].in_force, [2])
