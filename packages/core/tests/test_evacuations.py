"""Zones that operators take out of use: decided in the log, published, obeyed by entry hosts."""

import random
import unittest

from checkin_fakes import check_in, configuration, data, entry, syn, update
from lacewingrudder_core import replica as m
from lacewingrudder_core._replica.log import LogSnapshot, join_snapshot, split_snapshot
from lacewingrudder_core.checkins import (
    CheckedIn,
    CheckInCore,
    EvacuationsCommitted,
    Position,
    Registry,
    SendUpdate,
    Subscribed,
    Subscription,
    Update,
)
from lacewingrudder_core.messages import SubmitZoneOrder
from lacewingrudder_core.notes import (
    Catalogue,
    Evacuations,
    SubmitReply,
    SubmitTag,
    ZoneAction,
    ZoneOrder,
)
from lacewingrudder_core.tagging import (
    Dropped,
    DropReason,
    Forwarded,
    Reset,
    ResetReason,
    TagForwarder,
)
from test_control import NAMES, ControlHosts

EVACUATE = ZoneOrder("suame", ZoneAction.EVACUATE)
RESTORE = ZoneOrder("suame", ZoneAction.RESTORE)


class CatalogueTest(unittest.TestCase):
    def test_repeated_orders_are_accepted_and_change_nothing(self) -> None:
        catalogue = Catalogue()
        for order, zones in ((RESTORE, ()), (EVACUATE, ("suame",)), (RESTORE, ())):
            outcome = catalogue.submit_zone_order(order)
            self.assertIs(outcome.reply.tag, SubmitTag.ACCEPTED)
            catalogue = outcome.catalogue
            self.assertEqual(catalogue.evacuations.zones, zones)
            again = catalogue.submit_zone_order(order)
            self.assertEqual((again.reply.tag, again.change), (SubmitTag.ACCEPTED, None))
            self.assertEqual(again.catalogue, catalogue)

    def test_revision_grows_with_each_change_only(self) -> None:
        catalogue = Catalogue(revision=7)
        catalogue = catalogue.submit_zone_order(EVACUATE).catalogue
        other = ZoneOrder("adum", ZoneAction.EVACUATE)
        catalogue = catalogue.submit_zone_order(other).catalogue
        self.assertEqual(catalogue.evacuations, Evacuations(9, ("adum", "suame")))

    # Guards against evacuations that are lost when a host receives a snapshot instead of the log.
    def test_snapshot_in_parts_holds_the_evacuations(self) -> None:
        catalogue = Catalogue().submit_zone_order(EVACUATE).catalogue
        snapshot = LogSnapshot(4, 2, (), catalogue)
        self.assertEqual(join_snapshot(split_snapshot(snapshot)), snapshot)


class ReplicationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.hosts = ControlHosts()
        self.hosts.run(5.0)
        self.leader = self.find_leader()
        self.follower, self.other = (name for name in NAMES if name != self.leader)

    def find_leader(self) -> str:
        return next(
            name
            for name, core in self.hosts.cores.items()
            if core.replica.leader(self.hosts.now) == name
        )

    def submit(self, name: str, order: ZoneOrder) -> SubmitReply:
        token = self.hosts.request(name, SubmitZoneOrder(order))
        self.hosts.run(1.0)
        return self.hosts.reply(token)

    def zones(self, name: str) -> tuple[str, ...]:
        return self.hosts.cores[name].catalogue.evacuations.zones

    def test_order_at_any_host_reaches_all(self) -> None:
        for number, name in enumerate(NAMES):
            order = EVACUATE if number % 2 == 0 else RESTORE
            self.assertIs(self.submit(name, order).tag, SubmitTag.ACCEPTED)
            expected = ("suame",) if number % 2 == 0 else ()
            self.assertEqual({self.zones(name) for name in NAMES}, {expected})

    # Guards against an order that is confirmed and gone after a restart of all hosts.
    def test_confirmed_order_survives_a_restart_of_all_hosts(self) -> None:
        self.assertIs(self.submit(self.follower, EVACUATE).tag, SubmitTag.ACCEPTED)
        for name in NAMES:
            self.hosts.restart(name)
        self.hosts.run(5.0)
        self.assertEqual({self.zones(name) for name in NAMES}, {("suame",)})

    # Guards against an order that is lost with a disk that was one of those that confirmed it.
    def test_confirmed_order_survives_the_loss_of_the_leaders_disk(self) -> None:
        self.assertIs(self.submit(self.leader, EVACUATE).tag, SubmitTag.ACCEPTED)
        self.hosts.isolated = {self.leader}
        self.hosts.run(5.0)
        self.assertEqual({self.zones(self.follower), self.zones(self.other)}, {("suame",)})

    # Guards against a confirmed order that nobody carries out: the leader stops after its decision.
    def test_order_that_a_leader_replicated_before_it_stopped_is_carried_out(self) -> None:
        self.hosts.delayed_types = (m.AppendReply,)
        self.hosts.request(self.leader, SubmitZoneOrder(EVACUATE))
        self.hosts.settle()
        self.hosts.delayed.clear()
        self.hosts.delayed_types = ()
        self.hosts.isolated = {self.leader}
        self.hosts.run(5.0)
        self.assertEqual({self.zones(self.follower), self.zones(self.other)}, {("suame",)})

    # Guards against a confirmation by the smaller half of a cluster that is cut in two.
    def test_minority_refuses_at_once_and_the_majority_decides(self) -> None:
        self.hosts.isolated = {self.leader}
        self.hosts.run(5.0)
        self.assertIs(self.submit(self.leader, EVACUATE).tag, SubmitTag.REFUSED)
        self.assertIs(self.submit(self.follower, RESTORE).tag, SubmitTag.ACCEPTED)
        self.hosts.isolated = set()
        self.hosts.run(5.0)
        self.assertEqual({self.zones(name) for name in NAMES}, {()})


def subscribe(host: str, zone: str, position: Position, is_poll: bool = False) -> Subscribed:
    return Subscribed(Subscription(host, zone, False, position, -1, is_poll))


class PublicationTest(unittest.TestCase):
    def setUp(self) -> None:
        registry = Registry(7, 1.2)
        self.core = CheckInCore("10.0.0.1:7720", "adum", registry)
        for host, zone in (("10.1.0.1:7720", "adum"), ("10.2.0.1:7720", "suame")):
            self.core.handle(subscribe(host, zone, Position(0, 0)), 0.0)

    def test_commit_is_sent_to_the_hosts_of_the_zone_at_once(self) -> None:
        evacuations = Evacuations(3, ("suame",))
        effects = self.core.handle(EvacuationsCommitted(evacuations), 1.0)
        sent = {row.host: row.body for row in effects if isinstance(row, SendUpdate)}
        self.assertEqual(set(sent), {"10.1.0.1:7720"})
        body = sent["10.1.0.1:7720"]
        assert isinstance(body, Update)
        self.assertEqual(body.evacuations, evacuations)

    # Guards against a host that lost the message of a commit and never learns of it.
    def test_every_answer_to_a_poll_holds_the_evacuations(self) -> None:
        evacuations = Evacuations(3, ("suame",))
        self.core.handle(EvacuationsCommitted(evacuations), 1.0)
        self.core.handle(EvacuationsCommitted(Evacuations(2, ())), 1.1)
        poll = subscribe("10.2.0.1:7720", "suame", Position(7, 0), is_poll=True)
        (sent,) = self.core.handle(poll, 1.5)
        assert isinstance(sent, SendUpdate) and isinstance(sent.body, Update)
        self.assertEqual(sent.body.evacuations, evacuations)

    def test_publication_of_targets_does_not_depend_on_evacuations(self) -> None:
        self.core.handle(EvacuationsCommitted(Evacuations(3, ("adum",))), 1.0)
        effects = self.core.handle(CheckedIn(1, check_in(1)), 2.0)
        self.assertTrue(any(isinstance(row, SendUpdate) for row in effects))


class ForwardingTest(unittest.TestCase):
    """An entry host in adum, with two targets in each of two zones."""

    def setUp(self) -> None:
        self.entries = [entry(n, zone="adum" if n <= 2 else "suame") for n in (1, 2, 3, 4)]
        self.forwarder = TagForwarder("adum")
        self.forwarder.configure(configuration())
        self.forwarder.apply_update(update(*self.entries), 0.0)

    def evacuate(self, revision: int, *zones: str, now: float = 1.0) -> None:
        message = update()._replace(evacuations=Evacuations(revision, zones))
        self.forwarder.apply_update(message, now)

    def place(self, count: int, now: float = 1.0) -> set[int]:
        decisions = [self.forwarder.decide(syn(40000 + port), now) for port in range(count)]
        return {row.identity for row in decisions if isinstance(row, Forwarded)}

    def test_evacuated_zone_gets_no_new_flow_and_keeps_its_open_ones(self) -> None:
        placed = self.forwarder.decide(syn(39999), 0.5)
        assert isinstance(placed, Forwarded) and placed.identity in (1, 2)
        self.evacuate(5, "adum")
        self.assertEqual(self.place(50), {3, 4})
        self.assertEqual(self.forwarder.decide(data(39999, placed.tag), 1.0), placed)
        self.evacuate(6)
        self.assertLessEqual({1, 2}, self.place(50, 2.0))

    def test_new_targets_of_an_evacuated_zone_get_no_flow(self) -> None:
        self.evacuate(5, "adum")
        self.forwarder.apply_update(update(entry(9), number=2, since=1), 1.5)
        self.assertEqual(self.place(50, 2.0), {3, 4})

    # Guards against a control host that lags and takes an evacuation back.
    def test_older_revision_changes_nothing(self) -> None:
        self.evacuate(5, "adum")
        self.evacuate(4)
        self.assertEqual(self.place(50), {3, 4})

    def test_flow_is_refused_at_once_if_all_zones_are_evacuated(self) -> None:
        self.evacuate(5, "adum", "suame")
        self.assertEqual(self.forwarder.decide(syn(40001), 1.0), Reset(ResetReason.NO_TARGET))

    # Guards against a host that places flows before it knows which zones are evacuated.
    def test_host_without_an_update_places_no_flow(self) -> None:
        forwarder = TagForwarder("adum")
        forwarder.configure(configuration())
        self.assertEqual(forwarder.decide(syn(40001), 9.0), Dropped(DropReason.NOT_READY))

    def test_retransmitted_syn_does_not_go_to_an_evacuated_zone(self) -> None:
        self.forwarder.decide(syn(40001), 0.9)
        self.evacuate(5, "adum")
        again = self.forwarder.decide(syn(40001, 1), 1.1)
        assert isinstance(again, Forwarded)
        self.assertIn(again.identity, {3, 4})

    # Guards against an index that differs from one built anew after any order of changes.
    def test_random_orders_and_changes_leave_out_just_the_evacuated_zones(self) -> None:
        rng = random.Random(32)
        for revision in range(10, 200):
            now = float(revision)
            number = rng.randrange(1, 9)
            zone = "adum" if number % 2 else "suame"
            changed = entry(number, zone=zone, sequence=revision)
            message = update(changed, number=revision, since=revision - 1 if revision > 10 else 0)
            zones = tuple(name for name in ("adum", "suame") if rng.random() < 0.4)
            self.forwarder.apply_update(
                message._replace(evacuations=Evacuations(revision, zones)), now
            )
            index = self.forwarder._target_index
            running = {
                target.entry.identity
                for target in index._targets.values()
                if target.entry.zone not in zones
            }
            found = {row.entry.identity for row in index.candidates("proofdesk", now).targets}
            self.assertEqual(found, running)
