"""Runs whole entry hosts in simulated time: target states reach all of them by gossip."""

import itertools
import unittest
from collections.abc import Iterable

from lacewingrudder_core import flows
from lacewingrudder_core._targets.quarantine import QUARANTINE_SECONDS
from lacewingrudder_core.notes import Change
from lacewingrudder_core.targets import Announced, AnnounceReply, Rejected
from lacewingrudder_core.types import (
    Endpoint,
    OrderAction,
    Target,
    TargetOrder,
    TargetState,
)
from target_fakes import CATALOGUE, announcement, proof_target, sheet_target
from test_view import EDITS

from standins.nodes import ControlNode, EntryNode, make_members
from standins.stepping import Network

MAX_ORDER_PROPAGATION_SECONDS = 3.0
ZONES = ("zone-0", "zone-1", "zone-2")
PLACED_FLOW_COUNT = 60


class Fleet:
    """Entry hosts in three zones, with targets that renew their leases every second."""

    def __init__(self, hosts: int = 7, targets: int = 6) -> None:
        members = make_members(hosts)
        names = [member.name for member in members]
        self.zones = {member.name: member.zone for member in members}
        self.control = ControlNode(CATALOGUE)
        self.entries = {m.name: EntryNode(m, names, ["control"], CATALOGUE) for m in members}
        self.network = Network(self.entries | {"control": self.control})
        self.targets = [
            proof_target(number, zone=ZONES[number % 3]) for number in range(1, targets + 1)
        ]
        self.unresponsive: set[Target] = set()
        self._sequences = itertools.count(1)
        self._ports = itertools.count(20_000)
        self.network.run(3.0)
        self.run(12)

    def run(self, seconds: int) -> None:
        for _ in range(seconds):
            for target in self.targets:
                if target not in self.unresponsive:
                    self.renew(target)
            self.network.run(1.0)

    def renew(self, target: Target, state: TargetState = TargetState.SERVING) -> str:
        """Announce a target to the first host that accepts it, its own zone's hosts first."""
        live = [name for name in self.entries if name in self.network.nodes]
        reason = ""
        for name in sorted(live, key=lambda name: self.zones[name] != target.zone):
            sent = announcement(target, next(self._sequences), state)
            reason = self.announce(name, sent)
            if not reason.startswith("zone"):
                break
        return reason

    def announce(self, name: str, sent: object) -> str:
        core = self.entries[name].core
        effects = core.handle(Announced(1, sent), self.network.now)  # type: ignore[arg-type]
        outcome = next(e.outcome for e in effects if isinstance(e, AnnounceReply))
        return outcome.reason if isinstance(outcome, Rejected) else ""

    def order(self, action: OrderAction, target: Target) -> None:
        order = TargetOrder(target.name, action)
        change = Change(self.control.catalogue.revision + 1, None, order)
        self.network.send("control", self.control.commit(change, self.network.now))

    def find_used_addresses(self, name: str) -> set[int]:
        """Return the addresses of the targets on which a host places new flows."""
        found = []
        while len(found) < PLACED_FLOW_COUNT:
            port = next(self._ports)
            caller = Endpoint(0xC0000201 + (port >> 16), port & 0xFFFF)
            syn = flows.Segment(caller, EDITS, flows.SYN, 1, 0, 0)
            for effect in self.receive(name, syn):
                if isinstance(effect, flows.ToTarget):
                    found.append(effect.endpoint.address)
            self.receive(name, flows.Segment(caller, EDITS, flows.RST, 2, 0, 0))
        return set(found)

    def receive(self, name: str, segment: flows.Segment) -> list[object]:
        """Deliver a segment to a host as if another host had relayed it to the flow's home."""
        event = flows.SegmentArrived(segment, flows.Stage.HOME, "entry-9", b"packet")
        return list(self.entries[name].core.handle(event, self.network.now))

    def addresses(self, zones: Iterable[str] = ZONES) -> set[int]:
        return {t.address for t in self.targets if t.zone in zones}


class OrderTest(unittest.TestCase):
    def test_order_stops_new_flows_on_every_host_in_time_until_restored(self) -> None:
        for hosts in (7, 12):
            fleet = Fleet(hosts)
            target = fleet.targets[0]
            for action in (OrderAction.DRAIN, OrderAction.WITHDRAW):
                with self.subTest(hosts=hosts, action=action):
                    fleet.order(action, target)
                    fleet.run(round(MAX_ORDER_PROPAGATION_SECONDS))
                    for name in fleet.entries:
                        self.assertNotIn(target.address, fleet.find_used_addresses(name))
            fleet.order(OrderAction.RESTORE, target)
            fleet.run(12)
            for name in fleet.entries:
                self.assertEqual(fleet.find_used_addresses(name), fleet.addresses())

    def test_order_holds_against_a_new_incarnation_and_its_owners_death(self) -> None:
        fleet = Fleet()
        target = fleet.targets[0]
        fleet.order(OrderAction.WITHDRAW, target)
        fleet.run(2)
        fleet.targets[0] = target._replace(incarnation=2)
        fleet.run(12)
        fleet.network.kill(next(n for n, zone in fleet.zones.items() if zone == target.zone))
        fleet.run(12)
        for name in fleet.network.nodes.keys() - {"control"}:
            self.assertEqual(fleet.find_used_addresses(name), fleet.addresses() - {target.address})


class PropagationTest(unittest.TestCase):
    def test_target_that_drains_gets_no_new_flow_anywhere(self) -> None:
        fleet = Fleet()
        target = fleet.targets[0]
        fleet.unresponsive.add(target)
        fleet.renew(target, TargetState.DRAINING)
        fleet.run(round(MAX_ORDER_PROPAGATION_SECONDS))
        for name in fleet.entries:
            self.assertEqual(fleet.find_used_addresses(name), fleet.addresses() - {target.address})

    def test_unresponsive_target_whose_owner_also_dies_gets_no_new_flow_anywhere(self) -> None:
        fleet = Fleet()
        target = fleet.targets[0]
        fleet.unresponsive.add(target)
        fleet.network.kill(next(n for n, zone in fleet.zones.items() if zone == target.zone))
        fleet.run(15)
        for name in fleet.network.nodes.keys() - {"control"}:
            self.assertEqual(fleet.find_used_addresses(name), fleet.addresses() - {target.address})

    def test_targets_of_a_dead_owner_move_and_keep_accepting_flows(self) -> None:
        fleet = Fleet()
        fleet.network.kill("entry-1")
        for _ in range(15):
            fleet.run(1)
            self.assertEqual(fleet.find_used_addresses("entry-2"), fleet.addresses())

    def test_targets_of_a_zone_without_hosts_accept_flows_through_other_zones(self) -> None:
        fleet = Fleet(3)
        fleet.network.kill("entry-1")
        fleet.run(4)
        for name in ("entry-2", "entry-3"):
            self.assertEqual(fleet.find_used_addresses(name), fleet.addresses())

    def test_partitioned_zone_uses_its_own_targets_and_all_after_the_partition(self) -> None:
        fleet = Fleet()
        inside = {name for name, zone in fleet.zones.items() if zone == "zone-1"}
        fleet.network.block(lambda sender, receiver: (sender in inside) != (receiver in inside))
        fleet.run(12)
        for name, zone in fleet.zones.items():
            reachable = {"zone-1"} if zone == "zone-1" else {"zone-0", "zone-2"}
            self.assertEqual(fleet.find_used_addresses(name), fleet.addresses(reachable))
        fleet.network.unblock()
        fleet.run(15)
        for name in fleet.entries:
            self.assertEqual(fleet.find_used_addresses(name), fleet.addresses())

    def test_address_is_rejected_while_another_host_still_has_its_flows(self) -> None:
        fleet = Fleet()
        proof = fleet.targets[2]
        fleet.unresponsive.add(proof)
        self.open_flow(fleet, "entry-1", proof)
        fleet.run(round(3 * QUARANTINE_SECONDS))
        sheet = sheet_target(3, 2)._replace(zone=proof.zone)
        self.assertIn("may still have its flows", fleet.renew(sheet))
        fleet.network.kill("entry-1")
        fleet.run(round(2 * QUARANTINE_SECONDS))
        self.assertEqual(fleet.renew(sheet), "")

    def open_flow(self, fleet: Fleet, name: str, target: Target) -> None:
        end = Endpoint(target.address, 9000)
        for port in range(5001, 5100):
            caller = Endpoint(0xC0000202, port)
            placed = fleet.receive(name, flows.Segment(caller, EDITS, flows.SYN, 100, 0, 0))
            if flows.ToTarget(end) in placed:
                answer = flows.Segment(end, caller, flows.SYN | flows.ACK, 900, 101, 0)
                fleet.receive(name, answer)
                fleet.receive(name, flows.Segment(caller, EDITS, flows.ACK, 101, 901, 0))
                return
            fleet.receive(name, flows.Segment(caller, EDITS, flows.RST, 101, 0, 0))
        self.fail("no flow was placed on the target")
