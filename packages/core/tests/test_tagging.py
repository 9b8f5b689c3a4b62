import collections
import sys
import unittest
from types import FrameType

from checkin_fakes import EDITS, SHEETS, configuration, data, entry, syn, update
from lacewingrudder_core._tagging.selection import MAX_COMPARED_COUNT
from lacewingrudder_core._tagging.tags import flow_tag
from lacewingrudder_core.checkins import LifeState, Lifetime
from lacewingrudder_core.hashing import name_hash
from lacewingrudder_core.tagging import (
    Dropped,
    DropReason,
    Forwarded,
    Reset,
    ResetReason,
    Route,
    Split,
    TagForwarder,
    TagSegment,
)


def make_forwarder(*entries, zone="adum"):
    forwarder = TagForwarder(zone)
    forwarder.configure(configuration())
    forwarder.apply_update(update(*entries), 0.0)
    return forwarder


class ForwarderTest(unittest.TestCase):
    def place(self, forwarder: TagForwarder, segment: TagSegment, now: float = 0.0) -> Forwarded:
        decision = forwarder.decide(segment, now)
        assert isinstance(decision, Forwarded), decision
        return decision

    def test_any_host_forwards_a_flow_by_its_tag(self) -> None:
        entries = [entry(number) for number in (1, 2, 3)]
        first, second = make_forwarder(*entries), make_forwarder(*entries)
        placed = self.place(first, syn(40001))
        for forwarder in (first, second):
            found = self.place(forwarder, data(40001, placed.tag))
            self.assertEqual(found, placed)

    def test_draining_target_keeps_its_flows(self) -> None:
        forwarder = make_forwarder(entry(1), entry(2))
        tag = flow_tag(Lifetime("i-1", 1000))
        draining = entry(1, LifeState.DRAINING, sequence=2)
        forwarder.apply_update(update(draining, number=2, since=1), 1.0)
        self.assertIsInstance(forwarder.decide(data(40001, tag), 1.0), Forwarded)

    def test_draining_target_gets_no_new_flow(self) -> None:
        forwarder = make_forwarder(entry(1), entry(2))
        forwarder.apply_update(
            update(entry(1, LifeState.DRAINING, sequence=2), number=2, since=1), 1.0
        )
        identities = {
            self.place(forwarder, syn(port), 1.0).identity for port in range(40000, 40050)
        }
        self.assertEqual(identities, {2})

    def test_new_flow_is_reset_if_the_only_target_drains(self) -> None:
        forwarder = make_forwarder(entry(1, LifeState.DRAINING))
        self.assertEqual(forwarder.decide(syn(40001), 9.0), Reset(ResetReason.NO_TARGET))

    def test_flow_of_an_ended_target_is_reset_at_once(self) -> None:
        forwarder = make_forwarder(entry(1), entry(2))
        tag = self.place(forwarder, syn(40001)).tag
        number = 1 if tag == flow_tag(Lifetime("i-1", 1000)) else 2
        forwarder.apply_update(
            update(entry(number, LifeState.GONE, sequence=3), number=2, since=1), 1.0
        )
        self.assertEqual(forwarder.decide(data(40001, tag), 1.0), Reset(ResetReason.TARGET_GONE))

    def test_flow_of_an_earlier_lifetime_goes_to_the_later_one_at_the_same_address(self) -> None:
        forwarder = make_forwarder(entry(1), entry(2))
        tag = flow_tag(Lifetime("i-1", 1000))
        forwarder.apply_update(update(entry(1, started_ms=2000), number=2, since=1), 1.0)
        found = self.place(forwarder, data(40001, tag), 1.0)
        self.assertEqual((found.identity, found.tag), (1, flow_tag(Lifetime("i-1", 2000))))

    def test_flow_of_an_earlier_lifetime_elsewhere_is_reset(self) -> None:
        for later in (
            entry(1, started_ms=2000, address=9),
            entry(1, started_ms=2000, service="sheetroom"),
            entry(1, LifeState.GONE, started_ms=2000),
        ):
            with self.subTest(later=later):
                forwarder = make_forwarder(entry(1), entry(2))
                tag = flow_tag(Lifetime("i-1", 1000))
                forwarder.apply_update(update(later, number=2, since=1), 1.0)
                reset = forwarder.decide(data(40001, tag), 1.0)
                self.assertEqual(reset, Reset(ResetReason.TARGET_GONE))

    def test_flow_opened_before_the_host_learns_of_a_restart_is_not_reset(
        self,
    ) -> None:
        """Found by the soak test, seed 2004.

        The host forwarded the SYN with the tag of a lifetime that had just ended. The target's new
        lifetime accepted the flow, which must not be reset when the host learns of the restart.
        """
        forwarder = make_forwarder(entry(1))
        tag = self.place(forwarder, syn(40001)).tag
        forwarder.decide(data(40001, tag), 0.1)
        forwarder.apply_update(update(entry(1, started_ms=2000), number=2, since=1), 0.5)
        for step in range(1, 4):
            packet = data(40001, tag, 2 + 100 * step, 1 + 100 * step)
            self.assertEqual(self.place(forwarder, packet, step).identity, 1)

    def test_missed_and_resumed_heartbeats_are_reported_once(self) -> None:
        forwarder = make_forwarder(entry(1))
        reported = []
        for number, has_recent_heartbeat in ((2, False), (3, False), (4, True), (5, True)):
            changed = forwarder.apply_update(
                update(entry(1, has_recent_heartbeat=has_recent_heartbeat), number=number),
                float(number),
            )
            reported.append([target.has_recent_heartbeat for target in changed])
        self.assertEqual(reported, [[False], [], [True], []])

    def test_each_update_of_a_large_fleet_is_applied_at_once(self) -> None:
        forwarder = make_forwarder(*(entry(number) for number in range(1, 501)))
        for number in range(1, 100):
            draining = entry(number, LifeState.DRAINING)
            changed = forwarder.apply_update(
                update(draining, number=number + 1, since=number), 10.0 + number / 1000
            )
            self.assertEqual([target.entry for target in changed], [draining])
            index = forwarder._target_index
            self.assertNotIn(
                draining.lifetime,
                [row.entry.lifetime for row in index.candidates("proofdesk", 0.0).targets],
            )

    def test_ended_target_is_reported_once(self) -> None:
        forwarder = make_forwarder(entry(1))
        gone = entry(1, LifeState.GONE)
        changed = forwarder.apply_update(update(gone, number=2), 1.0)
        self.assertEqual([target.entry.state for target in changed], [LifeState.GONE])
        self.assertEqual(forwarder.apply_update(update(gone, number=3), 1.0), [])

    def test_ejections_are_reported_once(self) -> None:
        forwarder = make_forwarder(entry(1, zone="suame"))
        for attempt in range(4):
            forwarder.decide(syn(40001, attempt), 0.2 * attempt)
        ejections = forwarder.pop_ejections()
        self.assertEqual({row.target is None for row in ejections}, {True, False})
        self.assertEqual({row.zone for row in ejections}, {"suame"})
        self.assertEqual(forwarder.pop_ejections(), [])

    def test_address_that_another_service_took_over_gets_no_flow_of_the_first(self) -> None:
        forwarder = make_forwarder(entry(1, address=9))
        tag = self.place(forwarder, syn(40001)).tag
        later = entry(2, started_ms=2000, service="sheetroom", address=9)
        forwarder.apply_update(update(later, number=2, since=1), 1.0)
        self.assertEqual(forwarder.decide(data(40001, tag), 1.0), Reset(ResetReason.TARGET_GONE))
        self.assertEqual(forwarder.decide(syn(40002), 9.0), Reset(ResetReason.NO_TARGET))
        self.assertEqual(self.place(forwarder, syn(40003, service=SHEETS), 1.0).identity, 2)

    def test_unreachable_target_keeps_its_flows(self) -> None:
        forwarder = make_forwarder(entry(1), entry(2))
        tag = self.place(forwarder, syn(40001)).tag
        forwarder.apply_update(
            update(
                entry(1, has_recent_heartbeat=False),
                entry(2, has_recent_heartbeat=False),
                number=2,
                since=1,
            ),
            4.0,
        )
        self.assertIsInstance(forwarder.decide(data(40001, tag), 4.0), Forwarded)

    def test_unknown_tag_is_dropped_and_not_reset(self) -> None:
        forwarder = make_forwarder(entry(1))
        self.assertEqual(forwarder.decide(data(40001, 77), 0.0), Dropped(DropReason.UNKNOWN_TAG))

    def test_flow_without_a_route_is_reset(self) -> None:
        forwarder = make_forwarder(entry(1))
        tag = flow_tag(Lifetime("i-1", 1000))
        forwarder.configure(configuration(2, Route(SHEETS, (Split("sheetroom", 1),), True, 7)))
        self.assertEqual(forwarder.decide(data(40001, tag), 0.0), Reset(ResetReason.NO_ROUTE))
        self.assertEqual(forwarder.decide(syn(40002), 0.0), Reset(ResetReason.NO_ROUTE))

    def test_flow_stays_when_its_route_goes_to_another_service(self) -> None:
        forwarder = make_forwarder(entry(1), entry(2, service="sheetroom"))
        placed = self.place(forwarder, syn(40001))
        forwarder.configure(configuration(2, Route(EDITS, (Split("sheetroom", 1),), False, 8)))
        self.assertEqual(self.place(forwarder, data(40001, placed.tag)), placed)
        self.assertEqual(self.place(forwarder, syn(40002)).identity, 2)

    def test_older_configuration_never_returns(self) -> None:
        forwarder = make_forwarder(entry(1))
        self.assertTrue(forwarder.configure(configuration(5)))
        self.assertFalse(forwarder.configure(configuration(4)))
        self.assertEqual(forwarder.version, 5)

    def test_retransmissions_of_a_syn_try_other_targets(self) -> None:
        forwarder = make_forwarder(*(entry(number) for number in (1, 2, 3)))
        tags = [
            self.place(forwarder, syn(40001, attempt), 0.2 * attempt).tag for attempt in range(3)
        ]
        self.assertEqual(len(set(tags)), 3)

    def test_retransmission_of_a_syn_stays_with_its_service(self) -> None:
        split = Route(EDITS, (Split("proofdesk", 1), Split("sheetroom", 1)), False, 8)
        forwarder = make_forwarder(entry(1), entry(2), entry(3, service="sheetroom"))
        forwarder.configure(configuration(2, split))
        for port in range(40000, 40010):
            first = self.place(forwarder, syn(port)).identity
            again = self.place(forwarder, syn(port, 1), 0.2).identity
            self.assertEqual(first == 3, again == 3)

    def test_no_flow_is_reset_before_the_host_is_ready(self) -> None:
        forwarder = TagForwarder("adum")
        self.assertEqual(forwarder.decide(syn(40001), 0.0), Dropped(DropReason.NOT_READY))
        forwarder.configure(configuration())
        forwarder.apply_update(update(), 0.0)
        self.assertFalse(forwarder.is_ready(0.5))
        self.assertEqual(forwarder.decide(syn(40001), 0.5), Dropped(DropReason.NOT_READY))
        self.assertTrue(forwarder.is_ready(3.0))
        self.assertEqual(forwarder.decide(syn(40001), 3.0), Reset(ResetReason.NO_TARGET))


class LoadBalancingTest(unittest.TestCase):
    """Load balancing of long flows over targets in one or two zones."""

    def count_flows(self, forwarder: TagForwarder, flows: int) -> collections.Counter[int]:
        counts: collections.Counter[int] = collections.Counter()
        for port in range(40000, 40000 + flows):
            placed = forwarder.decide(syn(port), 0.0)
            assert isinstance(placed, Forwarded)
            counts[placed.identity] += 1
            forwarder.decide(data(port, placed.tag), 0.0)
            forwarder.decide(data(port, placed.tag, 102, 50), 0.0)
        return counts

    def test_long_flows_spread_evenly(self) -> None:
        counts = self.count_flows(make_forwarder(*(entry(number) for number in range(1, 8))), 70)
        self.assertLessEqual(max(counts.values()) - min(counts.values()), 1)

    def test_local_zone_is_preferred_until_it_is_busier(self) -> None:
        local = [entry(number) for number in (1, 2)]
        remote = [entry(number, zone="suame") for number in (3, 4)]
        counts = self.count_flows(make_forwarder(*local, *remote), 4)
        self.assertEqual(counts[3] + counts[4], 0)
        counts = self.count_flows(make_forwarder(*local, *remote), 200)
        self.assertGreater(counts[3] + counts[4], 50)

    def test_flows_are_split_exactly_by_weight(self) -> None:
        forwarder = make_forwarder(entry(1), entry(2, service="sheetroom"))
        splits = (Split("proofdesk", 90), Split("sheetroom", 10))
        forwarder.configure(configuration(2, Route(EDITS, splits, False, 8)))
        counts = self.count_flows(forwarder, 200)
        self.assertEqual((counts[1], counts[2]), (180, 20))

    def test_target_that_answers_no_syn_is_ejected(self) -> None:
        forwarder = make_forwarder(*(entry(number) for number in (1, 2, 3)))
        lost = {flow_tag(Lifetime("i-1", 1000))}
        misses = 0
        for port in range(40000, 40200):
            now = (port - 40000) / 100
            for attempt in range(3):
                placed = forwarder.decide(syn(port, attempt), now + 0.2 * attempt)
                assert isinstance(placed, Forwarded)
                if placed.tag not in lost:
                    forwarder.decide(data(port, placed.tag), now + 0.2 * attempt)
                    break
                misses += attempt == 0
        self.assertLess(misses, 12)


class LargeFleetTest(unittest.TestCase):
    """Many hosts with few flows each, and more targets than a host compares per flow."""

    def count_unopened_flows(self, forwarder: TagForwarder, flows: int) -> collections.Counter[int]:
        """Send the SYNs of flows that never open; return the number of flows per target."""
        counts: collections.Counter[int] = collections.Counter()
        for port in range(40000, 40000 + flows):
            decision = forwarder.decide(syn(port), 0.0)
            assert isinstance(decision, Forwarded)
            counts[decision.identity] += 1
        return counts

    def make_forwarder(self, targets: int, seed: int, zone: str = "adum") -> TagForwarder:
        forwarder = TagForwarder("adum", seed)
        forwarder.configure(configuration())
        forwarder.apply_update(
            update(*(entry(number, zone=zone) for number in range(targets))), 0.0
        )
        return forwarder

    def test_few_flows_per_host_spread_over_all_targets(self) -> None:
        total: collections.Counter[int] = collections.Counter()
        for host in range(95):
            total += self.count_unopened_flows(
                self.make_forwarder(25, name_hash(f"10.1.0.{host}:7720")), 5
            )
        self.assertEqual(len(total), 25)
        self.assertLess(max(total.values()), 2 * total.total() / 25)

    def test_flows_spread_evenly_when_few_targets_are_compared(self) -> None:
        counts = self.count_unopened_flows(
            self.make_forwarder(10 * MAX_COMPARED_COUNT, 7), 40 * MAX_COMPARED_COUNT
        )
        self.assertEqual(set(counts.values()), {4})

    def test_remote_targets_are_used_if_there_are_no_local_ones(self) -> None:
        counts = self.count_unopened_flows(
            self.make_forwarder(10 * MAX_COMPARED_COUNT, 7, zone="suame"), 10 * MAX_COMPARED_COUNT
        )
        self.assertEqual(set(counts.values()), {1})

    def test_whole_zone_is_searched_before_a_suspect_target_is_chosen(self) -> None:
        forwarder = TagForwarder("adum", 7)
        forwarder.configure(configuration())
        stale = [
            entry(number, has_recent_heartbeat=False) for number in range(10 * MAX_COMPARED_COUNT)
        ]
        forwarder.apply_update(update(*stale, entry(5000)), 0.0)
        self.assertEqual(set(self.count_unopened_flows(forwarder, 10)), {5000})


class ReplacementTest(unittest.TestCase):
    """Cost of applying one target's change, with 300 and with 3,000 targets."""

    def count_calls(self, targets: int) -> int:
        """Return the number of function calls that applying the drain of one target takes."""
        forwarder = make_forwarder(*(entry(number) for number in range(targets)))
        drain = update(entry(7, LifeState.DRAINING), number=2)
        count = 0

        def count_call(frame: FrameType, event: str, argument: object) -> None:
            nonlocal count
            count += event in ("call", "c_call")

        sys.setprofile(count_call)
        try:
            forwarder.apply_update(drain, 10.0)
        finally:
            sys.setprofile(None)
        return count

    def test_work_for_one_change_does_not_grow_with_the_targets(self) -> None:
        self.assertLess(self.count_calls(3000), 2 * self.count_calls(300))


class TagTest(unittest.TestCase):
    def test_tag_depends_only_on_the_lifetime(self) -> None:
        self.assertEqual(flow_tag(Lifetime("i-1", 5)), flow_tag(Lifetime("i-1", 5)))
        self.assertNotEqual(flow_tag(Lifetime("i-1", 5)), flow_tag(Lifetime("i-1", 6)))
        self.assertNotEqual(flow_tag(Lifetime("i-1", 5)), 0)

    def test_colliding_tags_are_not_used(self) -> None:
        seen: dict[int, int] = {}
        number = 0
        while (tag := flow_tag(entry(number).lifetime)) not in seen:
            seen[tag] = number
            number += 1
        forwarder = make_forwarder(entry(seen[tag]), entry(number), entry(number + 1))
        self.assertEqual(forwarder.decide(data(40001, tag), 0.0), Dropped(DropReason.UNKNOWN_TAG))
        for port in range(40000, 40010):
            decision = forwarder.decide(syn(port), 0.0)
            assert isinstance(decision, Forwarded)
            self.assertEqual(decision.identity, number + 1)


class ZonePartitionTest(unittest.TestCase):
    """Network partition of a zone, with more targets in the zones that it can't reach."""

    def test_new_flows_soon_go_to_reachable_targets(self) -> None:
        local = [entry(1)]
        remote = [entry(number, zone="suame") for number in range(2, 8)]
        forwarder = make_forwarder(*local, *remote)
        reached = flow_tag(Lifetime("i-1", 1000))
        delayed = unanswered = 0
        for port in range(40000, 40200):
            now = (port - 40000) / 50
            for attempt in range(3):
                placed = forwarder.decide(syn(port, attempt), now + 0.2 * attempt)
                assert isinstance(placed, Forwarded)
                if placed.tag == reached:
                    forwarder.decide(data(port, placed.tag), now + 0.2 * attempt)
                    break
                delayed += attempt == 0
                unanswered += attempt == 1
        self.assertEqual(unanswered, 0)
        self.assertLess(delayed, 20)


class MemoryTest(unittest.TestCase):
    """Memory is bounded while targets and callers come and go."""

    def test_state_does_not_grow_with_lifetimes_and_flows(self) -> None:
        forwarder = make_forwarder()
        for number in range(1, 400):
            now = float(number * 20)
            forwarder.apply_update(update(entry(number), epoch=number), now)
            for port in range(40000, 40020):
                placed = forwarder.decide(syn(port), now)
                if isinstance(placed, Forwarded):
                    forwarder.decide(data(port, placed.tag), now)
            forwarder.tick(now + 10.0)
        self.assertLess(
            len(forwarder._target_index._targets) + len(forwarder._target_index._warmup_ends), 20
        )
        self.assertLess(forwarder.flow_tracker.flow_count, 60)
        self.assertLess(
            len(forwarder.flow_tracker._open_counts) + len(forwarder.flow_tracker._opening_counts),
            20,
        )
