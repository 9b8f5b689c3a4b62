import collections
import sys
import unittest
from types import FrameType

from checkin_fakes import EDITS, SHEETS, configuration, data, entry, syn, update
from lacewingrudder_core._checkins.core import RESEND_SECONDS
from lacewingrudder_core._tagging.core import REBUILD_SECONDS_LIMIT
from lacewingrudder_core._tagging.selection import COMPARED
from lacewingrudder_core._tagging.tags import flow_tag, unshared_tags
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


def forwarder(*entries, zone="adum"):
    made = TagForwarder(zone)
    made.configure(configuration())
    made.update(update(*entries), 0.0)
    return made


class ForwarderTest(unittest.TestCase):
    def place(self, made: TagForwarder, segment: TagSegment, now: float = 0.0) -> Forwarded:
        decision = made.decide(segment, now)
        assert isinstance(decision, Forwarded), decision
        return decision

    def test_packets_of_a_flow_follow_its_tag_on_any_host(self) -> None:
        entries = [entry(number) for number in (1, 2, 3)]
        first, second = forwarder(*entries), forwarder(*entries)
        placed = self.place(first, syn(40001))
        for made in (first, second):
            found = self.place(made, data(40001, placed.tag))
            self.assertEqual(found, placed)

    def test_packet_goes_on_to_a_target_that_drains(self) -> None:
        made = forwarder(entry(1), entry(2))
        tag = flow_tag(Lifetime("i-1", 1000))
        draining = entry(1, LifeState.DRAINING, sequence=2)
        made.update(update(draining, number=2, since=1), 1.0)
        self.assertIsInstance(made.decide(data(40001, tag), 1.0), Forwarded)

    def test_draining_target_gets_no_new_flow(self) -> None:
        made = forwarder(entry(1), entry(2))
        made.update(update(entry(1, LifeState.DRAINING, sequence=2), number=2, since=1), 1.0)
        identities = {self.place(made, syn(port), 1.0).identity for port in range(40000, 40050)}
        self.assertEqual(identities, {2})

    def test_last_target_that_drains_is_refused_at_once(self) -> None:
        made = forwarder(entry(1, LifeState.DRAINING))
        self.assertEqual(made.decide(syn(40001), 9.0), Reset(ResetReason.NO_TARGET))

    def test_flow_of_an_ended_target_is_reset_at_once(self) -> None:
        made = forwarder(entry(1), entry(2))
        tag = self.place(made, syn(40001)).tag
        number = 1 if tag == flow_tag(Lifetime("i-1", 1000)) else 2
        made.update(update(entry(number, LifeState.GONE, sequence=3), number=2, since=1), 1.0)
        self.assertEqual(made.decide(data(40001, tag), 1.0), Reset(ResetReason.TARGET_GONE))

    def test_flow_of_an_earlier_lifetime_goes_to_the_one_at_its_place_which_resets_it(self) -> None:
        made = forwarder(entry(1), entry(2))
        tag = flow_tag(Lifetime("i-1", 1000))
        made.update(update(entry(1, born=2000), number=2, since=1), 1.0)
        found = self.place(made, data(40001, tag), 1.0)
        self.assertEqual((found.identity, found.tag), (1, flow_tag(Lifetime("i-1", 2000))))

    def test_flow_of_an_earlier_lifetime_elsewhere_is_reset(self) -> None:
        for later in (
            entry(1, born=2000, address=9),
            entry(1, born=2000, service="sheetroom"),
            entry(1, LifeState.GONE, born=2000),
        ):
            with self.subTest(later=later):
                made = forwarder(entry(1), entry(2))
                tag = flow_tag(Lifetime("i-1", 1000))
                made.update(update(later, number=2, since=1), 1.0)
                reset = made.decide(data(40001, tag), 1.0)
                self.assertEqual(reset, Reset(ResetReason.TARGET_GONE))

    def test_flow_that_opened_at_a_restarted_target_before_this_host_knew_is_not_reset(
        self,
    ) -> None:
        """Soak seed 2004: the SYN carried the tag of the lifetime that had just ended."""
        made = forwarder(entry(1))
        tag = self.place(made, syn(40001)).tag
        made.decide(data(40001, tag), 0.1)
        made.update(update(entry(1, born=2000), number=2, since=1), 0.5)
        for step in range(1, 4):
            packet = data(40001, tag, 2 + 100 * step, 1 + 100 * step)
            self.assertEqual(self.place(made, packet, step).identity, 1)

    def test_missed_heartbeats_are_told_once_and_so_is_their_return(self) -> None:
        made = forwarder(entry(1))
        told = []
        for number, fresh in ((2, False), (3, False), (4, True), (5, True)):
            changed = made.update(update(entry(1, fresh=fresh), number=number), float(number))
            told.append([target.has_recent_heartbeat for target in changed])
        self.assertEqual(told, [[False], [], [True], []])

    def test_updates_of_a_large_fleet_are_worked_in_together(self) -> None:
        made = forwarder(*(entry(number) for number in range(1, 501)))
        for state in LifeState:
            with self.subTest(state=state):
                begin = 10.0 * (state + 1)
                number = 10 * (state + 1)
                rows = [entry(number + index, state) for index in range(4)]
                made.update(update(rows[0], number=number), begin)
                self.assertFalse(made.has_pending_updates)
                self.assertEqual(made.update(update(rows[1], number=number + 1), begin + 0.02), [])
                self.assertEqual(made.update(update(rows[2], number=number + 2), begin + 0.03), [])
                self.assertTrue(made.has_pending_updates)
                self.assertAlmostEqual(made.pending_delay(begin + 0.03), 0.02, places=3)
                made.apply_pending(begin + 0.05)
                self.assertFalse(made.has_pending_updates)

    def test_updates_of_a_small_fleet_hardly_wait(self) -> None:
        made = forwarder(*(entry(number) for number in range(1, 21)))
        changed = made.update(update(entry(1, LifeState.DRAINING), number=2), 0.003)
        self.assertEqual(len(changed), 1)

    def test_wait_is_shorter_than_the_time_after_which_a_drain_is_sent_again(self) -> None:
        self.assertLess(REBUILD_SECONDS_LIMIT, RESEND_SECONDS)

    def test_first_target_of_a_service_is_worked_in_at_once(self) -> None:
        made = forwarder(entry(1))
        changed = made.update(update(entry(2, service="sheetroom"), number=2), 0.0)
        self.assertEqual(len(changed), 1)

    def test_an_ended_target_is_told_once(self) -> None:
        made = forwarder(entry(1))
        gone = entry(1, LifeState.GONE)
        changed = made.update(update(gone, number=2), 1.0)
        self.assertEqual([target.entry.state for target in changed], [LifeState.GONE])
        self.assertEqual(made.update(update(gone, number=3), 1.0), [])

    def test_what_is_avoided_is_told_once(self) -> None:
        made = forwarder(entry(1, zone="suame"))
        for attempt in range(4):
            made.decide(syn(40001, attempt), 0.2 * attempt)
        avoided = made.take_ejections()
        self.assertEqual({row.target is None for row in avoided}, {True, False})
        self.assertEqual({row.zone for row in avoided}, {"suame"})
        self.assertEqual(made.take_ejections(), [])

    def test_address_that_another_service_took_over_gets_no_flow_of_the_first(self) -> None:
        made = forwarder(entry(1, address=9))
        tag = self.place(made, syn(40001)).tag
        later = entry(2, born=2000, service="sheetroom", address=9)
        made.update(update(later, number=2, since=1), 1.0)
        self.assertEqual(made.decide(data(40001, tag), 1.0), Reset(ResetReason.TARGET_GONE))
        self.assertEqual(made.decide(syn(40002), 9.0), Reset(ResetReason.NO_TARGET))
        self.assertEqual(self.place(made, syn(40003, service=SHEETS), 1.0).identity, 2)

    def test_target_out_of_reach_keeps_its_flows(self) -> None:
        made = forwarder(entry(1), entry(2))
        tag = self.place(made, syn(40001)).tag
        made.update(update(entry(1, fresh=False), entry(2, fresh=False), number=2, since=1), 4.0)
        self.assertIsInstance(made.decide(data(40001, tag), 4.0), Forwarded)

    def test_unknown_tag_is_dropped_and_not_reset(self) -> None:
        made = forwarder(entry(1))
        self.assertEqual(made.decide(data(40001, 77), 0.0), Dropped(DropReason.UNKNOWN_TAG))

    def test_flow_without_a_route_is_reset(self) -> None:
        made = forwarder(entry(1))
        tag = flow_tag(Lifetime("i-1", 1000))
        made.configure(configuration(2, Route(SHEETS, (Split("sheetroom", 1),), True, 7)))
        self.assertEqual(made.decide(data(40001, tag), 0.0), Reset(ResetReason.NO_ROUTE))
        self.assertEqual(made.decide(syn(40002), 0.0), Reset(ResetReason.NO_ROUTE))

    def test_flow_stays_when_its_route_goes_to_another_service(self) -> None:
        made = forwarder(entry(1), entry(2, service="sheetroom"))
        placed = self.place(made, syn(40001))
        made.configure(configuration(2, Route(EDITS, (Split("sheetroom", 1),), False, 8)))
        self.assertEqual(self.place(made, data(40001, placed.tag)), placed)
        self.assertEqual(self.place(made, syn(40002)).identity, 2)

    def test_older_configuration_never_returns(self) -> None:
        made = forwarder(entry(1))
        self.assertTrue(made.configure(configuration(5)))
        self.assertFalse(made.configure(configuration(4)))
        self.assertEqual(made.version, 5)

    def test_copies_of_a_syn_try_other_targets(self) -> None:
        made = forwarder(*(entry(number) for number in (1, 2, 3)))
        tags = [self.place(made, syn(40001, attempt), 0.2 * attempt).tag for attempt in range(3)]
        self.assertEqual(len(set(tags)), 3)

    def test_copy_of_a_syn_stays_with_its_service(self) -> None:
        split = Route(EDITS, (Split("proofdesk", 1), Split("sheetroom", 1)), False, 8)
        made = forwarder(entry(1), entry(2), entry(3, service="sheetroom"))
        made.configure(configuration(2, split))
        for port in range(40000, 40010):
            first = self.place(made, syn(port)).identity
            again = self.place(made, syn(port, 1), 0.2).identity
            self.assertEqual(first == 3, again == 3)

    def test_no_flow_is_refused_before_the_host_knows_enough(self) -> None:
        made = TagForwarder("adum")
        self.assertEqual(made.decide(syn(40001), 0.0), Dropped(DropReason.NOT_READY))
        made.configure(configuration())
        made.update(update(), 0.0)
        self.assertFalse(made.is_ready(0.5))
        self.assertEqual(made.decide(syn(40001), 0.5), Dropped(DropReason.NOT_READY))
        self.assertTrue(made.is_ready(3.0))
        self.assertEqual(made.decide(syn(40001), 3.0), Reset(ResetReason.NO_TARGET))


class LoadTest(unittest.TestCase):
    """Long flows from steady callers, with targets in several zones."""

    def spread(self, made: TagForwarder, flows: int) -> collections.Counter[int]:
        counts: collections.Counter[int] = collections.Counter()
        for port in range(40000, 40000 + flows):
            placed = made.decide(syn(port), 0.0)
            assert isinstance(placed, Forwarded)
            counts[placed.identity] += 1
            made.decide(data(port, placed.tag), 0.0)
            made.decide(data(port, placed.tag, 102, 50), 0.0)
        return counts

    def test_long_flows_spread_evenly(self) -> None:
        counts = self.spread(forwarder(*(entry(number) for number in range(1, 8))), 70)
        self.assertLessEqual(max(counts.values()) - min(counts.values()), 1)

    def test_own_zone_comes_first_until_it_is_busier(self) -> None:
        near = [entry(number) for number in (1, 2)]
        far = [entry(number, zone="suame") for number in (3, 4)]
        counts = self.spread(forwarder(*near, *far), 4)
        self.assertEqual(counts[3] + counts[4], 0)
        counts = self.spread(forwarder(*near, *far), 200)
        self.assertGreater(counts[3] + counts[4], 50)

    def test_split_is_exact_over_any_window(self) -> None:
        made = forwarder(entry(1), entry(2, service="sheetroom"))
        splits = (Split("proofdesk", 90), Split("sheetroom", 10))
        made.configure(configuration(2, Route(EDITS, splits, False, 8)))
        counts = self.spread(made, 200)
        self.assertEqual((counts[1], counts[2]), (180, 20))

    def test_target_that_answers_no_syn_is_avoided(self) -> None:
        made = forwarder(*(entry(number) for number in (1, 2, 3)))
        lost = {flow_tag(Lifetime("i-1", 1000))}
        misses = 0
        for port in range(40000, 40200):
            now = (port - 40000) / 100
            for attempt in range(3):
                placed = made.decide(syn(port, attempt), now + 0.2 * attempt)
                assert isinstance(placed, Forwarded)
                if placed.tag not in lost:
                    made.decide(data(port, placed.tag), now + 0.2 * attempt)
                    break
                misses += attempt == 0
        self.assertLess(misses, 12)


class LargeFleetTest(unittest.TestCase):
    """Many hosts with a few flows each, and more targets than a host compares for a flow."""

    def placed(self, made: TagForwarder, flows: int) -> collections.Counter[int]:
        """Open flows that never end, and count them by target."""
        counts: collections.Counter[int] = collections.Counter()
        for port in range(40000, 40000 + flows):
            decision = made.decide(syn(port), 0.0)
            assert isinstance(decision, Forwarded)
            counts[decision.identity] += 1
        return counts

    def fleet(self, targets: int, seed: int, zone: str = "adum") -> TagForwarder:
        made = TagForwarder("adum", seed)
        made.configure(configuration())
        made.update(update(*(entry(number, zone=zone) for number in range(targets))), 0.0)
        return made

    def test_few_flows_of_each_of_many_hosts_spread_over_all_targets(self) -> None:
        total: collections.Counter[int] = collections.Counter()
        for host in range(95):
            total += self.placed(self.fleet(25, name_hash(f"10.1.0.{host}:7720")), 5)
        self.assertEqual(len(total), 25)
        self.assertLess(max(total.values()), 2 * total.total() / 25)

    def test_flows_spread_evenly_where_a_few_targets_are_compared_at_a_time(self) -> None:
        counts = self.placed(self.fleet(10 * COMPARED, 7), 40 * COMPARED)
        self.assertEqual(set(counts.values()), {4})

    def test_targets_of_other_zones_are_found_where_there_is_none_near(self) -> None:
        counts = self.placed(self.fleet(10 * COMPARED, 7, zone="suame"), 10 * COMPARED)
        self.assertEqual(set(counts.values()), {1})

    def test_all_of_a_large_zone_are_compared_before_one_in_doubt_gets_a_flow(self) -> None:
        made = TagForwarder("adum", 7)
        made.configure(configuration())
        stale = [entry(number, fresh=False) for number in range(10 * COMPARED)]
        made.update(update(*stale, entry(5000)), 0.0)
        self.assertEqual(set(self.placed(made, 10)), {5000})


class ReplacementTest(unittest.TestCase):
    """Targets are replaced one after the other in a fleet of 300 and of 3,000."""

    def calls(self, targets: int) -> int:
        """Return how many calls of functions it takes to work in the drain of one target."""
        made = forwarder(*(entry(number) for number in range(targets)))
        drain = update(entry(7, LifeState.DRAINING), number=2)
        count = 0

        def counted(frame: FrameType, event: str, argument: object) -> None:
            nonlocal count
            count += event in ("call", "c_call")

        sys.setprofile(counted)
        try:
            made.update(drain, 10.0)
            made.apply_pending(10.0)
        finally:
            sys.setprofile(None)
        return count

    def test_work_for_one_change_does_not_grow_with_the_targets(self) -> None:
        self.assertLess(self.calls(3000), 2 * self.calls(300))


class TagTest(unittest.TestCase):
    def test_tag_follows_from_the_lifetime_alone(self) -> None:
        self.assertEqual(flow_tag(Lifetime("i-1", 5)), flow_tag(Lifetime("i-1", 5)))
        self.assertNotEqual(flow_tag(Lifetime("i-1", 5)), flow_tag(Lifetime("i-1", 6)))
        self.assertNotEqual(flow_tag(Lifetime("i-1", 5)), 0)

    def test_tags_of_two_lifetimes_that_collide_are_not_used(self) -> None:
        seen: dict[int, Lifetime] = {}
        number = 0
        while True:
            lifetime = Lifetime(f"i-{number:x}", 0)
            tag = flow_tag(lifetime)
            if tag in seen:
                break
            seen[tag] = lifetime
            number += 1
        other = Lifetime("i-other", 1)
        self.assertEqual(unshared_tags([lifetime, seen[tag], other]), {other: flow_tag(other)})


class ZoneCutTest(unittest.TestCase):
    """A zone that is cut off, with more targets in the zones that it does not reach."""

    def test_new_flows_soon_go_to_targets_in_reach(self) -> None:
        near = [entry(1)]
        far = [entry(number, zone="suame") for number in range(2, 8)]
        made = forwarder(*near, *far)
        reached = flow_tag(Lifetime("i-1", 1000))
        delayed = unanswered = 0
        for port in range(40000, 40200):
            now = (port - 40000) / 50
            for attempt in range(3):
                placed = made.decide(syn(port, attempt), now + 0.2 * attempt)
                assert isinstance(placed, Forwarded)
                if placed.tag == reached:
                    made.decide(data(port, placed.tag), now + 0.2 * attempt)
                    break
                delayed += attempt == 0
                unanswered += attempt == 1
        self.assertEqual(unanswered, 0)
        self.assertLess(delayed, 20)


class MemoryTest(unittest.TestCase):
    """Targets and callers that come and go for long."""

    def test_state_does_not_grow_with_lifetimes_and_flows(self) -> None:
        made = forwarder()
        for number in range(1, 400):
            now = float(number * 20)
            made.update(update(entry(number), epoch=number), now)
            for port in range(40000, 40020):
                placed = made.decide(syn(port), now)
                if isinstance(placed, Forwarded):
                    made.decide(data(port, placed.tag), now)
            made.tick(now + 10.0)
        self.assertLess(len(made._roster._targets) + len(made._roster._warm_at), 20)
        self.assertLess(made.flow_tracker.flows, 60)
        self.assertLess(len(made.flow_tracker._open) + len(made.flow_tracker._pending), 20)
