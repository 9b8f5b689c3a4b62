"""Zone orders at entry hosts with homes and pins: propagation, and the effect on new flows."""

import unittest

from lacewingrudder_core._entry.readiness import MAX_WAIT_SECONDS
from lacewingrudder_core._propagation.snapshots import catalogue_digest, snapshot_part
from lacewingrudder_core._propagation.status_queries import StatusQueries
from lacewingrudder_core._targets.events import CatalogueChanged
from lacewingrudder_core.entry import Tick
from lacewingrudder_core.flows import (
    ACK,
    SYN,
    Drop,
    FlowEffect,
    Reset,
    Segment,
    SegmentArrived,
    Stage,
    ToTarget,
    VerdictReached,
)
from lacewingrudder_core.follower import ControlMessage
from lacewingrudder_core.messages import Changes, PeerStatusReply, Subscribe, SubscribeReply
from lacewingrudder_core.notes import Catalogue, Change, Evacuations, ZoneAction, ZoneOrder
from lacewingrudder_core.propagation import ChangeApplied, PropagationCore, Subscribed
from lacewingrudder_core.routing import ViewBuilder
from lacewingrudder_core.targets import Announced
from lacewingrudder_core.types import Endpoint, OrderAction, TargetState
from target_fakes import CATALOGUE, SimulatedHosts, announcement, order, proof_target
from test_control import ControlHosts
from test_follower import FollowerCase
from test_view import EDITS, MEMBERS, RECORDS, SHEETS, names

from standins.nodes import ControlNode, EntryNode, make_member
from standins.stepping import Network

CALLER = 0xC0000201
EVACUATED = CATALOGUE._replace(revision=2, evacuations=Evacuations(2, ("suame",)))
BOTH_EVACUATED = CATALOGUE._replace(revision=3, evacuations=Evacuations(3, ("adum", "suame")))
RESTORED = CATALOGUE._replace(revision=4, evacuations=Evacuations(4))


def zone_change(revision: int, zone: str = "suame", is_restore: bool = False) -> Change:
    action = ZoneAction.RESTORE if is_restore else ZoneAction.EVACUATE
    return Change(revision, None, None, zone_order=ZoneOrder(zone, action))


class FollowerTest(FollowerCase):
    def receive(self, *bodies: object) -> tuple[str, ...]:
        """Pass messages of the control host to a follower of revision 2; return its zones."""
        follower = self.make_follower(2)
        for body in bodies:
            follower.handle(ControlMessage(follower.followed_control, body), 0.1)
        return follower.catalogue.evacuations.zones

    def test_missed_change_arrives_with_the_next_changes(self) -> None:
        follower = self.make_follower(2)
        control = follower.followed_control
        core, state = PropagationCore(follower.catalogue), follower.catalogue
        for change in (zone_change(3), zone_change(4, "adum")):
            state = state.apply(change)
            core.handle(ChangeApplied(change, state), 0.0)
        asked = follower.handle(ControlMessage(control, Changes((change,))), 0.1)
        self.assertEqual(follower.catalogue.evacuations, Evacuations())
        for send in core.handle(Subscribed(asked[0].body), 0.2):
            follower.handle(ControlMessage(control, send.body), 0.2)
        self.assertEqual(follower.catalogue.evacuations, Evacuations(4, ("adum", "suame")))

    def test_missed_change_arrives_with_a_snapshot(self) -> None:
        state = self.make_follower(2).catalogue.apply(zone_change(3))
        self.assertEqual(self.receive(snapshot_part(state, 0)), ("suame",))

    def test_older_change_or_snapshot_takes_nothing_back(self) -> None:
        old = self.make_follower(2).catalogue
        self.assertEqual(
            self.receive(
                Changes((zone_change(3), zone_change(4, "adum"))),
                Changes((zone_change(3, is_restore=True),)),
                snapshot_part(old, 0),
                snapshot_part(old.apply(zone_change(3, is_restore=True)), 0),
            ),
            ("adum", "suame"),
        )

    # Guards against a host that never learns of an evacuation: an earlier release persisted the
    # revision of the change without its effect.
    def test_catalogue_without_its_evacuations_is_repaired(self) -> None:
        behind = self.make_follower(3).catalogue
        true = behind._replace(evacuations=Evacuations(2, ("suame",)))
        core = PropagationCore(true)
        reply, part = core.handle(
            Subscribed(Subscribe("entry-1", "adum", 3, catalogue_digest(behind))), 0.0
        )
        follower = self.make_follower(3)
        follower.handle(ControlMessage(follower.followed_control, part.body), 0.1)
        self.assertEqual(follower.catalogue.evacuations, true.evacuations)
        self.assertTrue(follower.is_caught_up(reply.body))

    # Guards against needless snapshots while hosts of an earlier release take part.
    def test_digest_without_evacuations_is_that_of_earlier_releases(self) -> None:
        self.assertEqual(catalogue_digest(CATALOGUE), 1333427749081275017)
        self.assertNotEqual(catalogue_digest(EVACUATED), catalogue_digest(CATALOGUE))


class ControlTest(unittest.TestCase):
    def test_status_shows_the_zones_of_the_newest_revision(self) -> None:
        queries = StatusQueries("c1", ["c1", "c2"])
        own = PeerStatusReply(0, 2, "c1", ())
        number = queries.start(7, own, 0.0).number
        newer = PeerStatusReply(number, 3, "c1", (), Evacuations(3, ("suame",)))
        queries.record_reply("c2", newer)
        self.assertEqual(queries.pop_finished(0.0)[0].status.evacuated_zones, ("suame",))

    def test_control_host_reports_its_committed_evacuations(self) -> None:
        hosts = ControlHosts()
        core = next(iter(hosts.cores.values()))
        core._catalogue = EVACUATED
        self.assertEqual(core._own_status(1, 0.0).evacuations, EVACUATED.evacuations)


class ViewTest(unittest.TestCase):
    def test_targets_of_evacuated_zones_get_no_new_flows_and_keep_open_ones(self) -> None:
        views = ViewBuilder()
        before = views.build(MEMBERS, CATALOGUE, RECORDS)
        view = views.build(MEMBERS, EVACUATED, RECORDS)
        zones = {r.target.zone for r in RECORDS if r.target.name in names(view)}
        self.assertEqual(zones, {"adum", "ahodwo"})
        self.assertEqual(view.routes[EDITS].endpoints, before.routes[EDITS].endpoints)
        self.assertEqual(view.target_routes, before.target_routes)
        restored = views.build(MEMBERS, RESTORED, RECORDS)
        self.assertEqual(names(restored), names(before))

    def test_service_without_targets_in_the_zone_keeps_its_table(self) -> None:
        views = ViewBuilder()
        before = views.build(MEMBERS, CATALOGUE, RECORDS)
        after = views.build(MEMBERS, EVACUATED, RECORDS)
        self.assertIs(after.routes[SHEETS], before.routes[SHEETS])


class SlowStartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.hosts = SimulatedHosts()
        self.target = proof_target(1, zone="suame")
        self.hosts.keep_renewing(self.target, 12, 1)

    def weight_after(self, *catalogues: Catalogue) -> int:
        for catalogue in catalogues:
            self.hosts.send("entry-1", CatalogueChanged(catalogue))
        return self.hosts.record(self.target).weight

    # Guards against a zone that gets its whole share at once with caches that are cold.
    def test_targets_of_a_restored_zone_start_slowly(self) -> None:
        full = self.hosts.record(self.target).weight
        self.assertEqual(self.weight_after(EVACUATED), full)
        self.assertLess(self.weight_after(RESTORED), full)

    def test_restoring_another_zone_does_not_restart_the_slow_start(self) -> None:
        full = self.hosts.record(self.target).weight
        elsewhere = CATALOGUE._replace(revision=2, evacuations=Evacuations(2, ("ahodwo",)))
        self.assertEqual(self.weight_after(elsewhere, RESTORED), full)

    def test_target_order_outlives_the_restoration_of_the_zone(self) -> None:
        drained = order(self.target, OrderAction.DRAIN)
        self.weight_after(drained._replace(evacuations=EVACUATED.evacuations), drained)
        state = self.hosts.cores["entry-1"].state(self.target.name)
        self.assertIs(state, TargetState.DRAINING)


class EntryHostTest(unittest.TestCase):
    """One entry host and one control host; a service has a target in each of two zones."""

    def setUp(self) -> None:
        self.control = ControlNode(CATALOGUE)
        self.node = EntryNode(make_member(1, "adum"), [], ["control"])
        self.network = Network({"control": self.control, "entry-1": self.node})
        self.network.run(1.0)
        self.targets = {
            zone: proof_target(n, zone=zone) for n, zone in enumerate(("adum", "suame"))
        }
        for target in self.targets.values():
            self.node.core.handle(Announced(1, announcement(target, 1)), self.network.now)
        self.network.run(1.0)

    def commit(self, *changes: Change) -> None:
        for change in changes:
            self.network.send("control", self.control.commit(change, self.network.now))
        self.network.run(0.3)

    def send(self, port: int, flags: int = SYN, seq: int = 1, ack: int = 0) -> list[FlowEffect]:
        return self.handle(Segment(Endpoint(CALLER, port), EDITS, flags, seq, ack, 0))

    def handle(self, segment: Segment) -> list[FlowEffect]:
        arrived = SegmentArrived(segment, Stage.FABRIC, "")
        return self.node.core.handle(arrived, self.network.now)

    def open_flow(self, port: int) -> Endpoint:
        """Open a flow with a whole handshake; return the endpoint of its target."""
        (effect,) = self.send(port)
        self.handle(Segment(effect.endpoint, Endpoint(CALLER, port), SYN | ACK, 1, 2, 0))
        self.assertEqual(self.send(port, ACK, 2, 2), [effect])
        return effect.endpoint

    def zones_of_new_flows(self, first_port: int) -> set[str]:
        effects = [effect for n in range(6) for effect in self.send(first_port + n)]
        by_address = {target.address: zone for zone, target in self.targets.items()}
        return {by_address[e.endpoint.address] for e in effects if isinstance(e, ToTarget)}

    def test_evacuation_and_restoration_take_effect_for_new_flows(self) -> None:
        self.assertEqual(self.zones_of_new_flows(1000), {"adum", "suame"})
        self.commit(zone_change(2))
        self.assertEqual(self.zones_of_new_flows(2000), {"adum"})
        self.commit(zone_change(3, is_restore=True), zone_change(4, "adum"))
        self.assertEqual(self.zones_of_new_flows(3000), {"suame"})

    # Guards against open flows that are reset or moved when their zone is evacuated.
    def test_open_flows_keep_their_targets(self) -> None:
        opened = {port: self.open_flow(port) for port in range(1000, 1006)}
        self.assertEqual(len(set(opened.values())), 2)
        self.commit(zone_change(2), zone_change(3, "adum"))
        for port, endpoint in opened.items():
            self.assertEqual(self.send(port, ACK, 2, 2), [ToTarget(endpoint)])

    def test_new_flow_is_refused_at_once_if_all_zones_are_evacuated(self) -> None:
        self.commit(zone_change(2), zone_change(3, "adum"))
        reset, verdict = self.send(1000)
        self.assertIsInstance(reset, Reset)
        self.assertIsInstance(verdict, VerdictReached)
        self.assertEqual(verdict.reason, "no_target")

    # Guards against a restored zone of which some hosts know and others do not: only the order in
    # which changes were committed counts.
    def test_repeated_and_needless_orders_change_nothing(self) -> None:
        catalogue = CATALOGUE
        for zone_order in (zone_change(2), zone_change(2), zone_change(3, "ahodwo", True)):
            outcome = catalogue.submit_zone_order(zone_order.zone_order)
            catalogue = outcome.catalogue
            if outcome.change is not None:
                self.commit(outcome.change)
        self.assertEqual(self.node.core.evacuations, Evacuations(2, ("suame",)))
        self.assertEqual(self.node.in_force, [1, 2])
        self.assertEqual(self.zones_of_new_flows(1000), {"adum"})


class StartTest(unittest.TestCase):
    """A host that starts with a persisted catalogue from before an evacuation."""

    def setUp(self) -> None:
        self.node = EntryNode(make_member(1, "adum"), [], ["control"], CATALOGUE)
        self.node.handle(Tick(), 0.0)

    def is_ready(self, now: float) -> bool:
        segment = Segment(Endpoint(CALLER, 1), EDITS, SYN, 1, 0, 0)
        arrived = SegmentArrived(segment, Stage.FABRIC, "")
        return self.node.core.handle(arrived, now) != [Drop("not_ready")]

    def receive(self, body: object, sender: str = "control") -> None:
        self.node.handle(ControlMessage(sender, body), 0.2)

    def test_host_places_no_flow_before_it_has_the_evacuations(self) -> None:
        self.receive(SubscribeReply(2, catalogue_digest(EVACUATED)))
        self.assertFalse(self.is_ready(0.3))
        self.receive(Changes((zone_change(2),)))
        self.assertFalse(self.is_ready(0.3))
        self.receive(SubscribeReply(2, catalogue_digest(EVACUATED)))
        self.assertTrue(self.is_ready(0.3))
        self.assertEqual(self.node.core.evacuations.zones, ("suame",))

    # Guards against a host that takes a peer's answer, or contents other than its own, as current.
    def test_only_a_control_host_with_the_same_contents_ends_the_wait(self) -> None:
        self.receive(SubscribeReply(1, catalogue_digest(CATALOGUE)), "entry-2")
        self.receive(SubscribeReply(1, 7))
        self.assertFalse(self.is_ready(0.3))
        self.receive(SubscribeReply(1, catalogue_digest(CATALOGUE)))
        self.assertTrue(self.is_ready(0.3))

    def test_wait_without_control_hosts_is_bounded(self) -> None:
        for step in range(1, 40):
            self.node.handle(Tick(), step * 0.1)
            self.assertEqual(self.is_ready(step * 0.1), step * 0.1 > MAX_WAIT_SECONDS)
