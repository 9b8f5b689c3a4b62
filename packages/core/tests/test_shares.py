import unittest

from lacewingrudder_core._admission.policy import Admitted, RefusalReason, Refused
from lacewingrudder_core._routing.view import ServiceCapacity
from lacewingrudder_core.admission import AdmissionPolicy, ShareAdmission, SharedLimitAdmission
from lacewingrudder_core.routing import KindRoute, LoadTracker, PlacementTable
from lacewingrudder_core.types import Kind

CAPACITY = ServiceCapacity(slots=10, flows=100, shares=0.8, homes=1)
URGENT = Kind("urgent", 443, 9, False, 0.5)
CALM = Kind("calm", 8443, 1, True, 0.3)


def route(kind: Kind, capacity: ServiceCapacity = CAPACITY) -> KindRoute:
    return KindRoute("service", kind, PlacementTable([]), {}, capacity)


class SharesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.policy: AdmissionPolicy = ShareAdmission()

    def _try(self, kind: Kind, now: float) -> object:
        return self.policy.decide(route(kind), LoadTracker(), now)

    def _start(self, kind: Kind, now: float, busy: bool = True) -> bool:
        if not isinstance(self._try(kind, now), Admitted):
            return False
        self.policy.record_opened(route(kind), now)
        self.policy.record_established("service", kind.name, now)
        if busy:
            self.policy.record_busy("service", kind.name, now)
        return True

    def _flood(self, kind: Kind, now: float, flows: int = 60) -> int:
        return sum(self._start(kind, now) for _ in range(flows))

    def test_unused_slots_are_lent(self) -> None:
        self.assertGreater(self._flood(CALM, 0.0), 0.3 * CAPACITY.slots * 2)

    def test_a_lent_slot_does_not_keep_its_owner_out(self) -> None:
        for kind, other in ((CALM, URGENT), (URGENT, CALM)):
            with self.subTest(flooding=kind.name):
                self.policy = ShareAdmission()
                self._flood(kind, 0.0)
                self.assertIsInstance(self._try(kind, 5.0), Refused)
                self.assertIsInstance(self._try(other, 5.0), Admitted)

    def test_the_most_urgent_kind_has_no_more_than_its_share_when_slots_are_short(self) -> None:
        self._flood(URGENT, 0.0)
        started = sum(self._start(CALM, 3.0) for _ in range(4))
        self.assertEqual(started, 4)
        self.assertEqual(self._try(URGENT, 3.0), Refused(RefusalReason.SHARE_USED))

    def test_urgency_decides_who_gets_the_last_free_slots(self) -> None:
        calm, urgent = CALM._replace(share=0.0), URGENT._replace(share=0.0)
        self.assertEqual(self._flood(calm, 0.0), 14)
        self.assertEqual(self._flood(urgent, 0.0), 6)
        self.assertIsInstance(self._try(calm, 0.0), Refused)

    def test_one_burst_cannot_pass_the_bound_before_the_average_moves(self) -> None:
        self.assertLess(self._flood(URGENT, 0.0, 500), 5 * CAPACITY.slots)

    def test_guaranteed_flows_stay_free_because_open_ones_are_never_shed(self) -> None:
        opened = sum(self._start(CALM, 0.0, busy=False) for _ in range(20))
        now = 0.0
        for _ in range(300):
            now += 1.0
            opened += self._start(CALM, now, busy=False)
        self.assertEqual(opened, 50)
        self.assertEqual(self._try(CALM, now), Refused(RefusalReason.OVERLOAD))
        self.assertIsInstance(self._try(URGENT, now), Admitted)

    def test_forged_flows_that_never_complete_soon_count_for_little(self) -> None:
        for _ in range(400):
            self.policy.record_opened(route(URGENT), 0.0)
            self.policy.record_abandoned("service", URGENT.name, 0.0)
        for _ in range(60):
            self.policy.record_opened(route(URGENT), 0.0)
        self.assertIsInstance(self._try(URGENT, 0.0), Admitted)

    def test_use_returns_to_zero_when_all_flows_end(self) -> None:
        started = self._flood(URGENT, 0.0)
        for _ in range(started):
            self.policy.record_idle("service", URGENT.name, 1.0)
            self.policy.record_closed("service", URGENT.name, 1.0)
        self.assertEqual(self._flood(URGENT, 30.0), started)

    def test_shares_above_the_whole_are_scaled_down(self) -> None:
        capacity = CAPACITY._replace(shares=2.0)
        greedy = Kind("greedy", 1, 9, True, 1.0)
        self._flood(CALM, 0.0)
        outcome = self.policy.decide(route(greedy, capacity), LoadTracker(), 1.0)
        self.assertIsInstance(outcome, Admitted)

    def test_the_baseline_gives_no_kind_a_part_of_its_own(self) -> None:
        self.policy = SharedLimitAdmission()
        self._flood(CALM, 0.0)
        self.assertEqual(self._try(URGENT, 5.0), Refused(RefusalReason.OVERLOAD))
