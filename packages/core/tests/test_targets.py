import random
import unittest

from lacewingrudder_core._targets.announcements import KEY_OVERLAP_SECONDS
from lacewingrudder_core._targets.core import ORPHAN_TIMEOUT_SECONDS
from lacewingrudder_core._targets.events import (
    CatalogueChanged,
    HostsChanged,
    LostTargetsClaimed,
    RecordsReceived,
    Tick,
)
from lacewingrudder_core._targets.lease import LEASE_SECONDS
from lacewingrudder_core._targets.quarantine import QUARANTINE_SECONDS
from lacewingrudder_core._targets.records import records_digest, supersedes
from lacewingrudder_core.notes import Catalogue
from lacewingrudder_core.targets import Announced
from lacewingrudder_core.types import KindPort, OrderAction, TargetState
from target_fakes import (
    CATALOGUE,
    PROOFDESK,
    SHEETROOM,
    SimulatedHosts,
    announcement,
    order,
    proof_target,
    sheet_target,
)

TWO_HOSTS = {"entry-1": "adum", "entry-2": "adum"}
TWO_ZONES = {"entry-1": "adum", "entry-2": "adum", "entry-3": "suame"}


class AnnouncementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.hosts = SimulatedHosts()
        self.target = proof_target()

    def assert_rejected(self, reason: str, sent: object) -> None:
        before = self.hosts.cores["entry-1"].records
        self.assertRegex(self.hosts.announce(sent), reason)  # type: ignore[arg-type]
        self.assertEqual(self.hosts.cores["entry-1"].records, before)

    def test_wrong_key_changes_nothing(self) -> None:
        self.assert_rejected("mac does not match", announcement(self.target, 1, key="wrong"))
        self.hosts.keep_renewing(self.target, 2, 1)
        forged = announcement(self.target, 9, TargetState.DRAINING, key="sheetroom-secret")
        self.assert_rejected("mac does not match", forged)

    def test_changed_field_does_not_match_the_mac(self) -> None:
        sent = announcement(self.target, 1)
        self.assert_rejected("mac does not match", sent._replace(sequence=2))
        self.assert_rejected("mac does not match", sent._replace(load=0.9))
        self.assert_rejected("mac does not match", sent._replace(mac="\u00e9"))

    def test_unknown_service_wrong_zone_and_state(self) -> None:
        self.assert_rejected(
            "no service", announcement(proof_target(service="gone"), 1, key="proofdesk-secret")
        )
        self.hosts.send("entry-1", HostsChanged({"entry-1": "adum", "entry-9": "suame"}))
        self.assert_rejected("zone suame", announcement(proof_target(zone="suame"), 1))
        self.assert_rejected("state lost", announcement(self.target, 1, TargetState.LOST))

    def test_zone_without_hosts_announces_elsewhere_until_it_has_one(self) -> None:
        far = proof_target(zone="suame")
        self.assertEqual(self.hosts.announce(announcement(far, 1)), "")
        self.hosts.send("entry-1", HostsChanged({"entry-1": "adum", "entry-9": "suame"}))
        self.assert_rejected("zone suame", announcement(far, 2))

    def test_ports_are_checked(self) -> None:
        twice = proof_target(ports=(KindPort("edits", 9000), KindPort("screens", 9000)))
        self.assert_rejected("share a port", announcement(twice, 1))
        other = proof_target(ports=(KindPort("sheets", 9000),))
        self.assert_rejected("has no port for any kind", announcement(other, 1))
        front = proof_target(address=0x0A0A0001, ports=(KindPort("edits", 443),))
        self.assert_rejected("address of a service", announcement(front, 1))

    def test_old_incarnation_is_rejected(self) -> None:
        self.hosts.keep_renewing(proof_target(incarnation=5), 2, 1)
        self.assert_rejected("older", announcement(proof_target(incarnation=4), 99))

    def test_replay_renews_no_lease(self) -> None:
        sent = announcement(self.target, 1)
        self.hosts.announce(sent)
        for _ in range(5):
            self.hosts.run(1)
            self.assert_rejected("not above", sent)
        self.assertIs(self.hosts.state(self.target), TargetState.LOST)
        self.assert_rejected("not above", sent)

    def test_description_changes_with_an_incarnation_only(self) -> None:
        self.hosts.keep_renewing(self.target, 2, 1)
        self.assert_rejected("description", announcement(proof_target(slots=300), 9))
        self.assertEqual(self.hosts.announce(announcement(proof_target(1, 2, slots=300), 1)), "")


class KeyTest(unittest.TestCase):
    def test_former_key_is_accepted_during_the_overlap(self) -> None:
        hosts, target = SimulatedHosts(), proof_target()
        hosts.keep_renewing(target, 2, 1)
        services = (PROOFDESK._replace(key="second-secret"), SHEETROOM)
        hosts.send("entry-1", CatalogueChanged(Catalogue(2, services)))
        hosts.send("entry-1", CatalogueChanged(Catalogue(3, services)))
        self.assertEqual(hosts.announce(announcement(target, 10)), "")
        self.assertEqual(hosts.announce(announcement(target, 11, key="second-secret")), "")
        self.assertIn("key", hosts.announce(announcement(target, 12, key="third-secret")))
        hosts.now += KEY_OVERLAP_SECONDS
        self.assertIn("key", hosts.announce(announcement(target, 13)))


class LifeCycleTest(unittest.TestCase):
    def setUp(self) -> None:
        self.hosts = SimulatedHosts()
        self.target = proof_target()

    def test_slow_start_has_few_steps(self) -> None:
        weights = []
        for sequence in range(1, 15):
            self.hosts.keep_renewing(self.target, 1, sequence)
            weights.append((self.hosts.state(self.target), self.hosts.record(self.target).weight))
        warming, serving = TargetState.WARMING, TargetState.SERVING
        self.assertEqual(list(dict.fromkeys(weights)), [(warming, 2), (warming, 4), (serving, 8)])
        self.assertEqual(self.hosts.written_count, 3)

    def test_target_that_announces_warming_stays_at_the_first_step(self) -> None:
        self.hosts.keep_renewing(self.target, 20, 1, state=TargetState.WARMING)
        self.assertEqual(self.hosts.record(self.target).weight, 2)

    def test_drained_incarnation_never_returns(self) -> None:
        sequence = self.hosts.keep_renewing(self.target, 12, 1)
        stale = announcement(self.target, sequence)
        sequence = self.hosts.keep_renewing(
            self.target, 2, sequence + 1, state=TargetState.DRAINING
        )
        self.assertIs(self.hosts.state(self.target), TargetState.DRAINING)
        self.assertIn("not above", self.hosts.announce(stale))
        self.assertIn("has drained", self.hosts.announce(announcement(self.target, sequence)))
        self.hosts.run(LEASE_SECONDS + 1)
        self.assertIs(self.hosts.state(self.target), TargetState.LOST)
        self.assertIn("has drained", self.hosts.announce(announcement(self.target, sequence)))
        self.hosts.keep_renewing(proof_target(incarnation=2), 3, 1)
        self.assertIs(self.hosts.state(self.target), TargetState.WARMING)

    def test_orders_take_precedence_over_any_incarnation(self) -> None:
        core = self.hosts.cores["entry-1"]
        for action, state, incarnations in (
            (OrderAction.DRAIN, TargetState.DRAINING, (1, 2)),
            (OrderAction.WITHDRAW, TargetState.WITHDRAWN, (3, 4)),
        ):
            self.hosts.send("entry-1", CatalogueChanged(order(self.target, action)))
            for incarnation in incarnations:
                self.hosts.keep_renewing(proof_target(incarnation=incarnation), 12, 1)
                self.assertIs(core.state(self.target.name), state)

    def test_restored_target_starts_slowly(self) -> None:
        sequence = self.hosts.keep_renewing(self.target, 12, 1)
        self.hosts.send("entry-1", CatalogueChanged(order(self.target, OrderAction.WITHDRAW)))
        self.hosts.send("entry-1", CatalogueChanged(CATALOGUE))
        self.assertEqual(self.hosts.record(self.target).weight, 2)
        self.hosts.keep_renewing(self.target, 12, sequence)
        self.assertIs(self.hosts.state(self.target), TargetState.SERVING)

    def test_flapping_target_waits_longer_each_time(self) -> None:
        other = proof_target(2)
        other_sequence, sequence, waits = 1, 1, []
        for _ in range(5):
            returned = None
            for second in range(40):
                self.hosts.announce(announcement(other, other_sequence))
                other_sequence += 1
                sequence = self.hosts.keep_renewing(self.target, 1, sequence)
                if returned is None and self.hosts.state(self.target) is TargetState.WARMING:
                    returned = second
                    break
            waits.append(returned)
            for _ in range(5):
                other_sequence = self.hosts.keep_renewing(other, 1, other_sequence)
            self.assertIs(self.hosts.state(self.target), TargetState.LOST)
        self.assertEqual(waits, sorted(waits))
        self.assertEqual((waits[0], waits[-1]), (0, 8))

    def test_only_target_of_a_service_never_waits(self) -> None:
        sequence = 1
        for _ in range(6):
            sequence = self.hosts.keep_renewing(self.target, 1, sequence)
            self.assertIs(self.hosts.state(self.target), TargetState.WARMING)
            self.hosts.run(LEASE_SECONDS + 1)

    def test_flaps_of_a_stable_target_are_reset(self) -> None:
        sequence = self.hosts.keep_renewing(self.target, 1, 1)
        self.hosts.run(LEASE_SECONDS + 1)
        sequence = self.hosts.keep_renewing(self.target, 20, sequence)
        self.assertEqual(self.hosts.record(self.target).flaps, 1)
        self.hosts.keep_renewing(self.target, 80, sequence)
        self.assertEqual(self.hosts.record(self.target).flaps, 0)

    def test_jumping_load_rarely_changes_the_record(self) -> None:
        sequence = self.hosts.keep_renewing(self.target, 12, 1)
        written_before = self.hosts.written_count
        for second in range(240):
            load = float(second // 15 % 2)
            self.hosts.announce(announcement(self.target, sequence + second, load=load))
            self.hosts.run(1)
        self.assertLessEqual(self.hosts.written_count - written_before, 4)

    def test_sustained_load_changes_the_level(self) -> None:
        sequence = self.hosts.keep_renewing(self.target, 12, 1)
        self.hosts.keep_renewing(self.target, 80, sequence, load=0.97)
        self.assertEqual(self.hosts.record(self.target).load, 1.0)


class QuarantineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.hosts = SimulatedHosts()
        self.proof = proof_target()
        self.sheet = sheet_target(incarnation=2)

    def test_address_is_rejected_for_another_service_until_its_flows_are_gone(self) -> None:
        sequence = self.hosts.keep_renewing(self.proof, 2, 1)
        self.assertIn("may still have its flows", self.announce(sequence))
        self.hosts.run(LEASE_SECONDS + 1)
        self.assertIs(self.hosts.state(self.proof), TargetState.LOST)
        for _ in range(30):
            self.hosts.send("entry-1", LostTargetsClaimed((self.proof.name,)))
            self.hosts.run(1)
            self.assertIn("may still have its flows", self.announce(sequence))
        self.hosts.run(QUARANTINE_SECONDS + 1)
        self.assertEqual(self.announce(sequence), "")
        self.assertEqual(self.hosts.record(self.sheet).target.service, "sheetroom")

    def test_second_name_on_a_port_in_use_is_rejected(self) -> None:
        self.hosts.keep_renewing(self.proof, 2, 1)
        ports = (KindPort("sheets", 9001),)
        other = self.sheet._replace(name="10.10.0.101:9001", ports=ports)
        self.assertIn("may still have its flows", self.hosts.announce(announcement(other, 1)))

    def test_ports_that_swap_kinds_are_rejected(self) -> None:
        self.hosts.keep_renewing(self.proof, 2, 1)
        ports = (KindPort("screens", 9000), KindPort("edits", 9001))
        swapped = proof_target(incarnation=2, ports=ports)
        self.assertIn("may still have its flows", self.hosts.announce(announcement(swapped, 1)))

    def announce(self, sequence: int) -> str:
        return self.hosts.announce(announcement(self.sheet, sequence))


class OwnerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.hosts = SimulatedHosts(TWO_ZONES)
        self.target = proof_target()

    def assert_converged(self) -> None:
        self.assertEqual(
            len({records_digest(core.records) for core in self.hosts.cores.values()}), 1
        )

    def test_zone_declares_the_target_of_a_dead_owner_lost(self) -> None:
        self.hosts.keep_renewing(self.target, 12, 1)
        self.hosts.kill("entry-1")
        self.hosts.run(ORPHAN_TIMEOUT_SECONDS - 1)
        self.assertIs(self.hosts.state(self.target, "entry-2"), TargetState.SERVING)
        self.hosts.run(3)
        self.assertIs(self.hosts.state(self.target, "entry-3"), TargetState.LOST)
        self.assertEqual(self.hosts.record(self.target, "entry-3").owner, "entry-2")

    def test_target_of_a_dead_owner_moves_without_being_lost(self) -> None:
        sequence = self.hosts.keep_renewing(self.target, 12, 1)
        written_before = self.hosts.written_count
        self.hosts.kill("entry-1")
        self.hosts.keep_renewing(self.target, 20, sequence, host="entry-2")
        record = self.hosts.record(self.target, "entry-3")
        self.assertEqual((record.owner, record.state), ("entry-2", TargetState.SERVING))
        self.assertEqual(self.hosts.written_count, written_before + 1)

    def test_owner_that_restarts_without_the_lease_lets_it_expire(self) -> None:
        self.hosts.keep_renewing(self.target, 2, 1)
        restarted = SimulatedHosts(TWO_ZONES).cores["entry-1"]
        self.hosts.cores["entry-1"] = restarted
        self.hosts.heal()
        self.hosts.run(ORPHAN_TIMEOUT_SECONDS + 2)
        self.assertIs(self.hosts.state(self.target, "entry-3"), TargetState.LOST)

    def test_target_may_announce_to_hosts_in_turn(self) -> None:
        sequence = self.hosts.keep_renewing(self.target, 12, 1)
        written_before = self.hosts.written_count
        for turn in range(20):
            host = f"entry-{1 + turn % 2}"
            sequence = self.hosts.keep_renewing(self.target, 1, sequence, host=host)
        self.assertEqual(self.hosts.written_count, written_before)

    def test_replay_at_another_host_does_not_keep_a_target_alive(self) -> None:
        recorded = [announcement(self.target, sequence) for sequence in range(1, 40)]
        for sent in recorded:
            self.hosts.announce(sent)
            self.hosts.run(1)
        for sent in recorded[10:]:
            self.hosts.announce(sent, "entry-2")
            self.hosts.run(1)
        for host in self.hosts.cores:
            self.assertIs(self.hosts.state(self.target, host), TargetState.LOST)
        self.assertIn("not above", self.hosts.announce(recorded[-1], "entry-2"))

    def test_replay_at_another_host_does_not_move_the_lease_permanently(self) -> None:
        recorded = [announcement(self.target, sequence) for sequence in range(1, 80)]
        for index, sent in enumerate(recorded):
            self.hosts.announce(sent)
            if index >= 50:
                self.hosts.announce(recorded[index - 30], "entry-2")
            self.hosts.run(1)
        self.assertEqual(self.hosts.record(self.target, "entry-3").owner, "entry-1")

    def test_drain_announced_to_another_host_takes_effect_at_once(self) -> None:
        sequence = self.hosts.keep_renewing(self.target, 12, 1)
        drain = announcement(self.target, sequence, TargetState.DRAINING)
        self.hosts.announce(drain, "entry-2")
        self.assertIs(self.hosts.state(self.target, "entry-3"), TargetState.DRAINING)

    def test_wrong_loss_is_refuted_where_the_target_announces(self) -> None:
        sequence = self.hosts.keep_renewing(self.target, 12, 1)
        written_before = self.hosts.written_count
        self.hosts.send("entry-2", HostsChanged({"entry-2": "adum", "entry-3": "suame"}))
        self.hosts.keep_renewing(self.target, 12, sequence)
        self.assertEqual(self.hosts.written_count, written_before + 2)
        for host in self.hosts.cores:
            self.assertIs(self.hosts.state(self.target, host), TargetState.SERVING)
        self.assert_converged()

    def test_loss_of_a_later_incarnation_is_not_refuted_by_an_older_lease(self) -> None:
        self.hosts.keep_renewing(self.target, 12, 1)
        known = self.hosts.record(self.target)
        lost = known._replace(
            target=proof_target(incarnation=2), state=TargetState.LOST, owner="entry-2"
        )
        self.hosts.send("entry-1", RecordsReceived((lost,)))
        self.assertIs(self.hosts.state(self.target), TargetState.LOST)

    def test_host_that_was_paused_does_not_expire_old_leases(self) -> None:
        sequence = self.hosts.keep_renewing(self.target, 12, 1)
        self.hosts.run(30, stopped=("entry-1",))
        written_before = self.hosts.written_count
        self.hosts.send("entry-1", Tick())
        self.hosts.run(1)
        self.assertIs(self.hosts.state(self.target), TargetState.SERVING)
        self.hosts.keep_renewing(self.target, 2, sequence)
        self.assertEqual(self.hosts.written_count, written_before)

    def test_host_that_was_paused_accepts_the_loss_that_others_declared(self) -> None:
        self.hosts.keep_renewing(self.target, 12, 1)
        self.hosts.send("entry-2", HostsChanged({"entry-2": "adum", "entry-3": "suame"}))
        self.hosts.partitioned = {"entry-1"}
        self.hosts.run(30, stopped=("entry-1",))
        self.hosts.send("entry-1", Tick())
        self.hosts.heal()
        for host in self.hosts.cores:
            self.assertIs(self.hosts.state(self.target, host), TargetState.LOST)

    def test_host_that_was_paused_still_expires_an_unresponsive_target_later(self) -> None:
        self.hosts.keep_renewing(self.target, 12, 1)
        self.hosts.run(30, stopped=("entry-1",))
        self.hosts.run(LEASE_SECONDS + 1)
        self.assertIs(self.hosts.state(self.target), TargetState.LOST)

    def test_both_sides_of_a_partition_agree_after_it_heals(self) -> None:
        sequence = self.hosts.keep_renewing(self.target, 12, 1)
        self.hosts.partitioned = {"entry-2"}
        self.hosts.send("entry-2", HostsChanged({"entry-2": "adum"}))
        self.hosts.keep_renewing(self.target, 12, sequence)
        self.assertIs(self.hosts.state(self.target, "entry-2"), TargetState.LOST)
        self.hosts.heal()
        self.assert_converged()
        self.assertIs(self.hosts.state(self.target, "entry-3"), TargetState.SERVING)

    def test_any_order_of_arrival_leaves_the_same_records(self) -> None:
        rng = random.Random(7)
        base = SimulatedHosts().cores["entry-1"]
        base.handle(Announced(1, announcement(self.target, 1)), 1.0)
        record = base.records[0]
        records = [
            record._replace(state=state, version=version, owner=owner, weight=weight)
            for state in TargetState
            for version in (1, 2)
            for owner in TWO_HOSTS
            for weight in (2, 8)
        ]
        outcomes = set()
        for _ in range(50):
            rng.shuffle(records)
            core = SimulatedHosts({"entry-9": "suame"}).cores["entry-9"]
            for received in records:
                core.handle(RecordsReceived((received,)), 1.0)
            outcomes.add(core.records)
        self.assertEqual(len(outcomes), 1)

    def test_nothing_of_an_old_incarnation_supersedes(self) -> None:
        self.hosts.keep_renewing(proof_target(incarnation=2), 2, 1)
        known = self.hosts.record(self.target)
        old = known._replace(target=proof_target(incarnation=1), version=99)
        self.assertFalse(supersedes(old, known))

    def test_targets_of_a_withdrawn_service_are_lost(self) -> None:
        self.hosts.keep_renewing(self.target, 2, 1)
        self.hosts.send("entry-1", CatalogueChanged(Catalogue(2)))
        self.hosts.keep_renewing(self.target, 5, 10)
        self.assertIs(self.hosts.state(self.target), TargetState.LOST)
