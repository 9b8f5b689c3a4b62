import unittest

from flow_session import make_view
from lacewingrudder_core._flows.pins import MAX_PIN_REPLICAS, PinStore
from lacewingrudder_core.flows import PIN_BYTES_PER_SECOND
from lacewingrudder_core.messages import PinGroup, Pins

HOMES = make_view(["a:adum", "b:suame", "c:ahodwo"], []).homes
OWN = [n << 50 for n in range(1 << 14) if HOMES.rank(n << 50).home == "a"]


def size(pins: Pins) -> int:
    return sum(len(group.hashes) for group in pins.groups)


class PinStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = PinStore("a")
        self.store.pop_due(0.0)

    def test_bytes_stay_within_the_budget_and_all_pins_arrive(self) -> None:
        for flow_hash in OWN:
            self.store.pin(flow_hash, "t1", HOMES)
        backups = {name: PinStore(name) for name in "bc"}
        seconds = 0.0
        while self.store.queued_count:
            seconds += 0.1
            for due in self.store.pop_due(seconds):
                backups[due.host].receive(due.pins)
            allowed = (seconds + 1.0) * PIN_BYTES_PER_SECOND
            self.assertLessEqual(self.store.bytes_sent, allowed)
        replicas = sum(store.replica_count for store in backups.values())
        self.assertEqual(replicas, len(OWN))
        self.assertLess(seconds, 1.2 * len(OWN) * 8 / PIN_BYTES_PER_SECOND)

    def test_pin_of_an_ended_flow_is_removed_at_the_backup(self) -> None:
        backup = PinStore(HOMES.rank(OWN[0]).backup or "")
        self.store.pin(OWN[0], "t1", HOMES)
        backup.receive(self.store.flush()[0].pins)
        self.assertEqual(backup.target(OWN[0]), "t1")
        self.store.unpin(OWN[0], HOMES)
        backup.receive(self.store.flush()[0].pins)
        self.assertIsNone(backup.target(OWN[0]))

    def test_pin_that_ends_before_it_was_sent_costs_one_entry(self) -> None:
        self.store.pin(OWN[0], "t1", HOMES)
        self.store.unpin(OWN[0], HOMES)
        self.assertEqual([size(due.pins) for due in self.store.flush()], [8])

    def test_flush_ignores_the_budget(self) -> None:
        for flow_hash in OWN:
            self.store.pin(flow_hash, "t1", HOMES)
        self.assertEqual(sum(size(due.pins) for due in self.store.flush()), 8 * len(OWN))

    def test_own_pin_is_not_replaced_by_another_home(self) -> None:
        self.store.pin(OWN[0], "t1", HOMES)
        self.store.receive(Pins("b", (PinGroup("t2", OWN[0].to_bytes(8)),)))
        self.assertEqual(self.store.target(OWN[0]), "t1")

    def test_pin_replicas_are_bounded(self) -> None:
        hashes = b"".join(n.to_bytes(8) for n in range(MAX_PIN_REPLICAS + 10))
        self.store.receive(Pins("b", (PinGroup("t2", hashes),)))
        self.assertEqual(self.store.replica_count, MAX_PIN_REPLICAS)
        self.assertIsNone(self.store.target(0))
