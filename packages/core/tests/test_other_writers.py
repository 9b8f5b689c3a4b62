"""Check-ins of writers that are no targets of a service in use, beside living targets."""

import unittest

from checkin_fakes import SHEETS, check_in, configuration, data, entry, syn, update
from lacewingrudder_core.checkins import (
    CheckInOutcome,
    KnownTarget,
    LifeState,
    Lifetime,
    Registry,
)
from lacewingrudder_core.tagging import (
    Forwarded,
    Reset,
    ResetReason,
    Route,
    Split,
    TagForwarder,
    flow_tag,
)
from lacewingrudder_core.types import Endpoint

HEARTBEAT_SECONDS = 1.2
LONG_SILENCE_SECONDS = 3 * HEARTBEAT_SECONDS + 120.0
METRICS = "host-metrics"


class RegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = Registry(7, HEARTBEAT_SECONDS)

    def get_state(self, number: int, started_ms: int = 1000) -> LifeState | None:
        found = self.registry.get(Lifetime(f"i-{number:x}", started_ms))
        return None if found is None else found.state

    # Guards against the end of a living target by a later entry at its address.
    def test_later_check_in_at_the_address_of_a_target_ends_nothing(self) -> None:
        self.registry.check_in(check_in(1, 1), 0.0)
        self.registry.check_in(check_in(2, 1, 2000, service=METRICS, address=1), 0.5)
        self.assertEqual(self.get_state(1), LifeState.READY)
        self.assertEqual(self.registry.check_in(check_in(1, 2), 1.2), CheckInOutcome.RENEWED)

    # Guards against the same by an entry under the target's identifier.
    def test_later_check_in_of_another_service_under_the_identifier_ends_nothing(self) -> None:
        self.registry.check_in(check_in(1, 1), 0.0)
        self.registry.check_in(check_in(1, 1, 2000, service=METRICS, address=9), 0.5)
        self.assertEqual(self.get_state(1), LifeState.READY)
        self.assertEqual(self.registry.check_in(check_in(1, 2), 1.2), CheckInOutcome.RENEWED)
        self.assertEqual(self.registry.deregister("i-1", 1000, 2.0), CheckInOutcome.ENDED)

    # Guards against a drain that is confirmed without effect: another writer's check-in under the
    # target's identifier and start time had a higher sequence number.
    def test_drain_counts_though_another_writer_used_higher_sequence_numbers(self) -> None:
        self.registry.check_in(check_in(1, 1), 0.0)
        self.registry.check_in(check_in(1, 900), 0.5)
        outcome = self.registry.check_in(check_in(1, 2, state=LifeState.DRAINING), 1.2)
        self.assertEqual(outcome, CheckInOutcome.DRAINING)
        self.assertEqual(self.get_state(1), LifeState.DRAINING)
        self.registry.check_in(check_in(1, 901), 1.3)
        self.assertEqual(self.get_state(1), LifeState.DRAINING)

    def test_late_check_in_that_is_no_drain_changes_nothing(self) -> None:
        self.registry.check_in(check_in(1, 5), 0.0)
        self.assertEqual(self.registry.check_in(check_in(1, 4), 0.5), CheckInOutcome.OUTDATED)
        self.assertEqual(self.get_state(1), LifeState.READY)

    # Guards against a target that stays out of use at a control host that heard the other first.
    def test_target_that_goes_on_checking_in_is_used_though_another_has_its_address(self) -> None:
        self.registry.check_in(check_in(2, 1, 2000, service=METRICS, address=1), 0.0)
        first = self.registry.check_in(check_in(1, 1), 0.5)
        again = self.registry.check_in(check_in(1, 2), 0.5 + HEARTBEAT_SECONDS)
        self.assertEqual((first, again), (CheckInOutcome.OUTDATED, CheckInOutcome.REGISTERED))

    # Guards against a target that ended and is used again because of its delayed check-ins.
    def test_delayed_check_ins_that_arrive_together_change_nothing(self) -> None:
        self.registry.check_in(check_in(2, 1, 2000, address=1), 0.0)
        for sequence in (5, 6, 7):
            outcome = self.registry.check_in(check_in(1, sequence), 0.1 + sequence / 100)
            self.assertEqual(outcome, CheckInOutcome.OUTDATED)
        self.registry.expire(10.0)
        self.assertEqual(self.registry.check_in(check_in(1, 8), 10.0), CheckInOutcome.OUTDATED)

    # Guards against a drain that is confirmed but not published.
    def test_drain_counts_though_another_has_the_address(self) -> None:
        self.registry.check_in(check_in(2, 1, 2000, service=METRICS, address=1), 0.0)
        self.registry.check_in(check_in(1, 1, state=LifeState.DRAINING), 0.5)
        self.assertEqual(self.get_state(1), LifeState.DRAINING)

    # Guards against entries that are kept for good when targets crash and addresses are reused.
    def test_silent_target_whose_address_another_has_ends_after_long(self) -> None:
        self.registry.check_in(check_in(1, 1), 0.0)
        for step in range(200):
            now = 1.0 + step
            self.registry.check_in(check_in(2, step, 2000, address=1), now)
            self.registry.expire(now)
            if abs(now - LONG_SILENCE_SECONDS) > 1.0:
                is_over = now > LONG_SILENCE_SECONDS
                expected = LifeState.GONE if is_over else LifeState.READY
                self.assertEqual(self.get_state(1), expected, now)

    # Guards against the end of a target that another control host hears.
    def test_silent_target_that_another_control_host_hears_does_not_end(self) -> None:
        heard = [KnownTarget(entry(1), True)]
        registry = Registry(7, HEARTBEAT_SECONDS, lambda _: heard)
        registry.check_in(check_in(1, 1), 0.0)
        for step in range(400):
            registry.check_in(check_in(2, step, 2000, address=1), 1.0 + step)
            registry.expire(1.0 + step)
        found = registry.get(Lifetime("i-1", 1000))
        assert found is not None
        self.assertEqual(found.state, LifeState.READY)

    # Guards against a silent target that ends without reason: it may be cut off.
    def test_silent_target_alone_does_not_end(self) -> None:
        self.registry.check_in(check_in(1, 1), 0.0)
        for step in range(400):
            self.registry.expire(1.0 + step)
        self.assertEqual(self.get_state(1), LifeState.READY)

    # Guards against a drain or an end of a living target by the removal of a copy of its entry.
    def test_removal_of_a_copy_that_another_control_host_publishes_changes_nothing(self) -> None:
        self.registry.check_in(check_in(1, 1), 0.0)
        for state in (LifeState.DRAINING, LifeState.GONE):
            self.registry.merge_remote([entry(1, state, service=METRICS, sequence=9)], 0.5)
            self.assertEqual(self.get_state(1), LifeState.READY)
        self.assertEqual(self.registry.check_in(check_in(1, 2), 1.2), CheckInOutcome.RENEWED)

    # Guards against a target that stays out of use at a control host that heard a copy first.
    def test_target_that_goes_on_checking_in_is_published_beside_a_copy(self) -> None:
        self.registry.check_in(check_in(1, 1 << 40, service=METRICS), 0.0)
        outcomes = [
            self.registry.check_in(check_in(1, sequence), at)
            for sequence, at in ((1, 0.5), (2, 0.6), (3, 0.5 + HEARTBEAT_SECONDS))
        ]
        refused = CheckInOutcome.CONFLICTING
        self.assertEqual(outcomes, [refused, refused, CheckInOutcome.REGISTERED])
        services = {row.service for row in self.registry.entries()}
        self.assertEqual(services, {METRICS, "proofdesk"})

    # Guards against a confirmed removal that drains a copy in place of the target.
    def test_deregistration_drains_all_entries_of_its_lifetime(self) -> None:
        elsewhere = [KnownTarget(entry(1), True), KnownTarget(entry(1, zone="suame"), True)]
        registry = Registry(7, HEARTBEAT_SECONDS, lambda _: elsewhere)
        registry.check_in(check_in(1, 1, service=METRICS), 0.0)
        self.assertEqual(registry.deregister("i-1", 1000, 0.5), CheckInOutcome.ENDED)
        states = {row.key: row.state for row in registry.entries()}
        keys = [check_in(1, service=METRICS).key, *(row.entry.key for row in elsewhere)]
        self.assertEqual(states, dict.fromkeys(keys, LifeState.DRAINING))


class ForwarderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.forwarder = TagForwarder("adum")
        self.forwarder.configure(configuration())
        self.forwarder.apply_update(update(entry(1, address=9)), 0.0)
        self.tag = flow_tag(Lifetime("i-1", 1000))
        self.number = 1

    def apply(self, *entries, now: float = 1.0) -> None:
        since, self.number = self.number, self.number + 1
        self.forwarder.apply_update(update(*entries, number=self.number, since=since), now)

    def check_in_use(self, now: float) -> None:
        expected = Forwarded(Endpoint(0x0A800009, 8080), 1, self.tag)
        self.assertEqual(self.forwarder.decide(data(40001, self.tag), now), expected)
        self.assertEqual(self.forwarder.decide(syn(40002), now), expected)

    # Guards against resets of a living target's flows because of an entry at its address.
    def test_entry_for_a_service_that_is_not_in_use_ends_no_target(self) -> None:
        for later in (
            entry(2, started_ms=2000, service=METRICS, address=9),
            entry(1, started_ms=3000, service=METRICS, address=9),
            entry(1, started_ms=4000, service=METRICS, address=5),
            entry(2, LifeState.GONE, 5000, service=METRICS, address=9),
        ):
            with self.subTest(later=later):
                self.apply(later)
                self.check_in_use(1.0)

    # Guards against the same while the target's own heartbeats are late.
    def test_target_without_heartbeats_keeps_its_flows_beside_such_an_entry(self) -> None:
        self.apply(entry(2, started_ms=2000, service=METRICS, address=9))
        self.apply(entry(1, address=9, has_recent_heartbeat=False))
        self.check_in_use(1.0)

    def test_address_counts_as_taken_over_once_the_service_is_in_use(self) -> None:
        self.apply(entry(2, started_ms=2000, service=METRICS, address=9))
        metrics = Route(SHEETS, (Split(METRICS, 1),), True, 7)
        self.forwarder.configure(configuration(2, *configuration().routes.values(), metrics), 2.0)
        gone = Reset(ResetReason.TARGET_GONE)
        self.assertEqual(self.forwarder.decide(data(40001, self.tag), 2.0), gone)
        reported = self.forwarder.tick(2.0)
        self.assertIn(LifeState.GONE, {target.entry.state for target in reported})
        self.forwarder.configure(configuration(3), 3.0)
        self.check_in_use(3.0)

    def apply_copy(self, copy, control: str = "10.0.0.2:7720", number: int = 1) -> None:
        body = update(copy, control=control, number=number, since=number - 1)
        self.forwarder.apply_update(body, 1.0)

    # Guards against the use of a copy, or the end of its target, while the target's heartbeats are
    # late: its own control host may have failed.
    def test_copy_for_a_service_that_is_not_in_use_is_never_used(self) -> None:
        self.apply(entry(1, address=9, has_recent_heartbeat=False))
        for number, state in enumerate(LifeState, 1):
            self.apply_copy(entry(1, state, service=METRICS, sequence=99), number=number)
            self.check_in_use(1.0)

    # Guards against the use of a copy for a service in use in place of the target that is heard.
    def test_of_two_entries_that_are_heard_the_one_used_before_stays_in_use(self) -> None:
        copy = entry(1, zone="suame", sequence=99, address=5)
        self.apply_copy(copy, "10.0.0.0:7720")
        self.check_in_use(1.0)
        self.apply(entry(1, address=9, has_recent_heartbeat=False))
        found = self.forwarder.decide(data(40001, self.tag), 1.0)
        self.assertEqual(found, Forwarded(copy.endpoint, 1, self.tag))
        self.apply(entry(1, address=9, sequence=2))
        self.assertEqual(self.forwarder.decide(data(40001, self.tag), 1.0), found)
        self.apply_copy(copy._replace(has_recent_heartbeat=False), "10.0.0.0:7720", 2)
        self.check_in_use(1.0)

    # Guards against a target that stays out of use after its route is configured.
    def test_entry_comes_into_use_with_its_service(self) -> None:
        copy = entry(1, service=METRICS, address=5)
        self.apply_copy(copy)
        self.check_in_use(1.0)
        metrics = Route(SHEETS, (Split(METRICS, 1),), True, 7)
        self.forwarder.configure(configuration(2, metrics), 2.0)
        found = self.forwarder.decide(data(40001, self.tag), 2.0)
        self.assertEqual(found, Reset(ResetReason.NO_ROUTE))
        placed = self.forwarder.decide(syn(40002, service=SHEETS), 2.0)
        self.assertEqual(placed, Forwarded(copy.endpoint, 1, self.tag))
