import unittest

from checkin_fakes import check_in, entry, update
from lacewingrudder_core._checkins.departures import MAX_LEAVING_SECONDS
from lacewingrudder_core._checkins.subscribers import Subscribers
from lacewingrudder_core._checkins.versioned_entries import ENDED_RETENTION_SECONDS
from lacewingrudder_core.checkins import (
    CheckedIn,
    CheckInCore,
    CheckInEffect,
    CheckInOutcome,
    CheckInReply,
    ConfigurationCommitted,
    ConfigurationUpdate,
    ControlHostsChanged,
    Deregistered,
    LifeState,
    Lifetime,
    PeerUpdated,
    Position,
    Registry,
    SendUpdate,
    ShutdownPolicy,
    Subscribed,
    Subscription,
    Tick,
    Update,
    Views,
    ZonePeerCounts,
)
from lacewingrudder_core.notes import StoredConfiguration

HEARTBEAT_SECONDS = 1.2
ENTRY = "10.1.0.10:7720"
PEER = "10.2.0.42:7720"
DRAINING = LifeState.DRAINING


class RegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = Registry(7, HEARTBEAT_SECONDS)

    def get_state(self, number: int, started_ms: int = 1000) -> LifeState | None:
        for row in self.registry.entries():
            if row.lifetime == Lifetime(f"i-{number:x}", started_ms):
                return row.state
        return None

    def test_repeated_heartbeat_publishes_nothing(self) -> None:
        self.registry.check_in(check_in(1, 1), 0.0)
        before = self.registry.position
        self.assertEqual(self.registry.check_in(check_in(1, 2), 1.2), CheckInOutcome.RENEWED)
        self.assertEqual(self.registry.position, before)

    def test_delayed_check_in_changes_nothing(self) -> None:
        self.registry.check_in(check_in(1, 5, state=DRAINING), 0.0)
        self.assertEqual(self.registry.check_in(check_in(1, 4), 0.1), CheckInOutcome.OUTDATED)
        self.assertEqual(self.get_state(1), DRAINING)

    def test_draining_target_does_not_become_ready_again(self) -> None:
        self.registry.check_in(check_in(1, 5, state=DRAINING), 0.0)
        self.registry.check_in(check_in(1, 6), 0.1)
        self.assertEqual(self.get_state(1), DRAINING)

    def test_new_lifetime_of_an_identifier_ends_the_earlier_one(self) -> None:
        self.registry.check_in(check_in(1, 9), 0.0)
        self.registry.check_in(check_in(1, 1, started_ms=2000), 0.1)
        self.assertEqual(self.get_state(1), LifeState.GONE)
        self.assertEqual(self.get_state(1, 2000), LifeState.READY)
        self.assertEqual(self.registry.check_in(check_in(1, 10), 0.2), CheckInOutcome.OUTDATED)

    def test_delayed_check_in_for_a_reassigned_address_changes_nothing(self) -> None:
        self.registry.check_in(check_in(2, 1, started_ms=2000, address=1), 0.0)
        self.assertEqual(self.registry.check_in(check_in(1, 5), 0.1), CheckInOutcome.OUTDATED)
        self.assertIsNone(self.get_state(1))

    def test_lifetime_that_names_another_service_is_refused(self) -> None:
        self.registry.check_in(check_in(1, 1), 0.0)
        conflicting = check_in(1, 2, service="sheetroom")
        self.assertEqual(self.registry.check_in(conflicting, 0.1), CheckInOutcome.CONFLICTING)

    def test_delayed_deregistration_does_not_end_the_later_lifetime(self) -> None:
        self.registry.check_in(check_in(1, 1), 0.0)
        self.registry.check_in(check_in(1, 1, started_ms=2000), 0.1)
        self.assertEqual(self.registry.deregister("i-1", 1000, 0.2), CheckInOutcome.OUTDATED)
        self.assertEqual(self.registry.deregister("i-1", None, 0.2), CheckInOutcome.OUTDATED)
        self.assertEqual(self.get_state(1, 2000), LifeState.READY)

    def test_target_without_heartbeats_expires_and_can_return(self) -> None:
        self.registry.check_in(check_in(1, 1), -HEARTBEAT_SECONDS)
        self.registry.check_in(check_in(1, 2), 0.0)
        self.assertEqual(self.registry.expire(3 * HEARTBEAT_SECONDS), [])
        self.assertEqual(
            [row.sequence for row in self.registry.expire(3 * HEARTBEAT_SECONDS + 0.1)], [2]
        )
        self.assertFalse(self.registry.entries()[0].has_recent_heartbeat)
        self.assertEqual(self.registry.check_in(check_in(1, 3), 5.0), CheckInOutcome.REGISTERED)
        self.assertTrue(self.registry.entries()[0].has_recent_heartbeat)

    def test_end_received_by_another_host_is_retained(self) -> None:
        self.assertTrue(self.registry.merge_remote([entry(1, LifeState.GONE)], 0.0))
        self.assertEqual(self.registry.check_in(check_in(1, 9), 0.1), CheckInOutcome.OUTDATED)
        self.assertFalse(self.registry.merge_remote([entry(1, LifeState.GONE)], 0.2))


class CheckInCoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.core = CheckInCore("me:1", "adum", Registry(7, HEARTBEAT_SECONDS))
        self.core.handle(ControlHostsChanged(frozenset({"me:1", PEER})), 0.0)
        self.subscribe(ENTRY, False, Position(0, 0))
        self.subscribe(PEER, True, Position(0, 0))

    def subscribe(self, host: str, is_control: bool, position: Position, now: float = 0.0) -> list:
        subscription = Subscription(host, "adum", is_control, position, -1, False)
        return self.core.handle(Subscribed(subscription), now)

    def find_replies(self, effects: list) -> list[CheckInReply]:
        return [effect for effect in effects if isinstance(effect, CheckInReply)]

    def test_drain_is_confirmed_once_all_subscribers_acknowledged_it(self) -> None:
        self.core.handle(CheckedIn(1, check_in(1)), 0.0)
        effects = self.core.handle(CheckedIn(2, check_in(1, 2, state=DRAINING)), 0.1)
        sent = {effect.host for effect in effects if isinstance(effect, SendUpdate)}
        self.assertEqual(sent, {ENTRY, PEER})
        self.assertEqual(self.find_replies(effects), [])
        position = self.core.registry.position
        self.assertEqual(self.find_replies(self.subscribe(ENTRY, False, position, 0.2)), [])
        replies = self.find_replies(self.subscribe(PEER, True, position, 0.2))
        self.assertEqual([(row.token, row.is_replicated) for row in replies], [(2, True)])

    def test_drain_that_only_this_host_knows_is_not_confirmed(self) -> None:
        self.core.handle(CheckedIn(1, check_in(1, 2, state=DRAINING)), 0.0)
        self.subscribe(ENTRY, False, self.core.registry.position, 0.1)
        replies = self.find_replies(self.core.handle(Tick(), 0.7))
        self.assertEqual([(row.token, row.is_replicated) for row in replies], [(1, False)])

    def test_repeated_drain_is_not_confirmed_before_another_host_knows(self) -> None:
        self.core.handle(CheckedIn(1, check_in(1, 2, state=DRAINING)), 0.0)
        self.core.handle(Tick(), 0.7)
        again = self.core.handle(CheckedIn(2, check_in(1, 2, state=DRAINING)), 0.8)
        self.assertEqual(self.find_replies(again), [])
        replies = self.find_replies(self.core.handle(Tick(), 1.5))
        self.assertEqual([(row.token, row.is_replicated) for row in replies], [(2, False)])

    def test_drain_is_confirmed_in_time_though_an_entry_host_is_lost(self) -> None:
        self.core.handle(CheckedIn(1, check_in(1, 2, state=DRAINING)), 0.0)
        self.subscribe(PEER, True, self.core.registry.position, 0.1)
        replies = self.find_replies(self.core.handle(Tick(), 0.7))
        self.assertEqual([(row.token, row.is_replicated) for row in replies], [(1, True)])

    def test_drain_is_sent_again_while_it_is_not_confirmed(self) -> None:
        self.core.handle(CheckedIn(1, check_in(1, 2, state=DRAINING)), 0.0)
        sent = [e for e in self.core.handle(Tick(), 0.2) if isinstance(e, SendUpdate)]
        self.assertEqual({effect.host for effect in sent}, {ENTRY, PEER})

    def test_end_received_by_another_control_host_is_republished(self) -> None:
        effects = self.core.handle(PeerUpdated(update(entry(1, LifeState.GONE))), 0.1)
        self.assertIn(ENTRY, [e.host for e in effects if isinstance(e, SendUpdate)])

    def test_heartbeat_is_confirmed_at_once(self) -> None:
        first = self.find_replies(self.core.handle(CheckedIn(1, check_in(1)), 0.0))
        again = self.find_replies(self.core.handle(CheckedIn(2, check_in(1, 2)), 1.2))
        self.assertTrue(first[0].is_replicated and again[0].is_replicated)

    def test_end_is_confirmed_like_a_drain(self) -> None:
        self.core.handle(CheckedIn(1, check_in(1, 2, state=DRAINING)), 0.0)
        self.assertEqual(self.find_replies(self.core.handle(Deregistered(2, "i-1", None), 0.1)), [])

    def test_subscriber_with_an_older_configuration_gets_the_newest(self) -> None:
        self.core.handle(ConfigurationCommitted(StoredConfiguration(4, b"four")), 0.0)
        sent = [effect.body for effect in self.subscribe(ENTRY, False, Position(0, 0))]
        self.assertIn(ConfigurationUpdate(4, b"four"), sent)


class RegistrationStormTest(unittest.TestCase):
    """All targets of a large fleet register within two seconds, with many subscribed hosts.

    Without a pause between updates, each registration would send every host all the entries that
    it hasn't acknowledged yet.
    """

    TARGETS = 170
    HOSTS = 100
    ONE_WAY_DELAY_SECONDS = 0.02

    def register_all(self, state: LifeState) -> list[Update]:
        """Register all targets; return the updates sent until all hosts know them."""
        core = CheckInCore("10.0.0.1:7720", "adum", Registry(1, 1.2))
        known = {f"10.1.0.{number}:7720": Position(1, 0) for number in range(self.HOSTS)}
        acks: list[tuple[float, str, Position]] = []
        sent: list[Update] = []

        def record_updates(effects: list[CheckInEffect], now: float) -> None:
            for effect in effects:
                if isinstance(effect, SendUpdate) and isinstance(effect.body, Update):
                    sent.append(effect.body)
                    acks.append(
                        (now + self.ONE_WAY_DELAY_SECONDS, effect.host, effect.body.position)
                    )

        def subscribe(host: str, now: float, is_poll: bool) -> None:
            row = Subscription(host, "adum", False, known[host], -1, is_poll)
            record_updates(core.handle(Subscribed(row), now), now)

        for host in known:
            subscribe(host, 0.0, False)
        for step in range(300):
            now = step * 0.01
            while acks and acks[0][0] <= now:
                _, host, position = acks.pop(0)
                known[host] = max(known[host], position)
                subscribe(host, now, False)
            if step < self.TARGETS:
                call = check_in(step, state=state)
                record_updates(core.handle(CheckedIn(step, call), now), now)
            if step % 10 == 0:
                record_updates(core.handle(Tick(), now), now)
        number = core.registry.position.number
        self.assertEqual({position.number for position in known.values()}, {number})
        return sent

    def test_registrations_reach_each_host_about_once(self) -> None:
        sent = self.register_all(LifeState.READY)
        entries = sum(len(update.entries) for update in sent)
        self.assertLess(entries, 1.1 * self.TARGETS * self.HOSTS)
        self.assertLess(len(sent), self.HOSTS * 15)

    def test_removals_are_sent_at_once(self) -> None:
        core = CheckInCore("10.0.0.1:7720", "adum", Registry(1, 1.2))
        core.handle(CheckedIn(1, check_in(1)), 0.0)
        row = Subscription("10.1.0.1:7720", "adum", False, Position(1, 0), -1, False)
        core.handle(Subscribed(row), 0.0)
        self.assertEqual(
            core.handle(CheckedIn(2, check_in(2)), 0.01), [CheckInReply(2, "registered", True)]
        )
        call = check_in(1, 2, state=LifeState.DRAINING)
        effects = core.handle(CheckedIn(3, call), 0.02)
        updates = [row.body for row in effects if isinstance(row, SendUpdate)]
        self.assertEqual([len(update.entries) for update in updates], [2])


class ViewsTest(unittest.TestCase):
    def test_heartbeat_at_any_control_host_counts(self) -> None:
        views = Views()
        views.apply_update(update(entry(1, has_recent_heartbeat=False), control="a:1"), 0.0)
        views.apply_update(update(entry(1), control="b:1"), 0.0)
        self.assertTrue(views.merge(0.0)[Lifetime("i-1", 1000)].has_recent_heartbeat)

    def test_end_outranks_every_heartbeat(self) -> None:
        views = Views()
        views.apply_update(update(entry(1, LifeState.GONE), control="a:1"), 0.0)
        views.apply_update(update(entry(1, sequence=99), control="b:1"), 0.0)
        known = views.merge(0.0)[Lifetime("i-1", 1000)]
        self.assertEqual(known.entry.state, LifeState.GONE)

    def test_view_of_an_unresponsive_control_host_expires_while_others_respond(self) -> None:
        views = Views()
        views.apply_update(update(entry(1), control="a:1"), 0.0)
        views.apply_update(update(entry(2), control="b:1"), 0.0)
        views.apply_update(update(control="b:1"), 5.0)
        merged = views.merge(5.0)
        self.assertFalse(merged[Lifetime("i-1", 1000)].has_recent_heartbeat)
        self.assertTrue(merged[Lifetime("i-2", 1000)].has_recent_heartbeat)

    def test_last_known_state_is_used_while_no_control_host_responds(self) -> None:
        views = Views()
        views.apply_update(update(entry(1)), 0.0)
        self.assertTrue(views.merge(60.0)[Lifetime("i-1", 1000)].has_recent_heartbeat)

    def test_restarted_control_host_does_not_empty_the_view_at_once(self) -> None:
        views = Views()
        views.apply_update(update(entry(1)), 0.0)
        views.apply_update(update(epoch=2, number=0), 1.0)
        self.assertTrue(views.merge(1.0)[Lifetime("i-1", 1000)].has_recent_heartbeat)
        views.apply_update(update(epoch=2, number=0), 5.5)
        self.assertFalse(views.merge(5.5)[Lifetime("i-1", 1000)].has_recent_heartbeat)

    def test_delayed_update_of_an_earlier_epoch_changes_nothing(self) -> None:
        views = Views()
        views.apply_update(update(entry(1), epoch=1), 0.0)
        views.apply_update(update(entry(2), epoch=2), 1.0)
        self.assertFalse(views.apply_update(update(entry(3), epoch=1, number=9), 1.1))
        self.assertEqual(views.position("10.0.0.1:7720"), Position(2, 1))

    def test_update_after_a_lost_one_is_not_applied(self) -> None:
        views = Views()
        views.apply_update(update(entry(1)), 0.0)
        self.assertFalse(views.apply_update(update(entry(3), since=2, number=3), 1.0))
        self.assertEqual(views.position("10.0.0.1:7720"), Position(1, 1))

    def test_duplicate_update_has_no_effect(self) -> None:
        views = Views()
        first: Update = update(entry(1))
        self.assertTrue(views.apply_update(first, 0.0))
        self.assertFalse(views.apply_update(first, 0.1))


class ShutdownPolicyTest(unittest.TestCase):
    """Entry hosts of one zone are asked to stop shortly after one another."""

    def test_host_stays_while_too_few_others_of_its_zone_are_ready(self) -> None:
        policy = ShutdownPolicy(4.0)
        self.assertFalse(policy.may_leave(ZonePeerCounts(2, 1), False, 1.0))
        self.assertTrue(policy.may_leave(ZonePeerCounts(2, 2), False, 1.0))
        self.assertTrue(policy.may_leave(ZonePeerCounts(1, 1), False, 1.0))

    def test_host_stays_while_no_control_host_answers(self) -> None:
        self.assertFalse(ShutdownPolicy(4.0).may_leave(ZonePeerCounts(2, 2), True, 1.0))

    def test_host_leaves_at_its_deadline_in_any_case(self) -> None:
        self.assertTrue(ShutdownPolicy(4.0).may_leave(ZonePeerCounts(2, 0), True, 4.0))

    def test_only_host_of_a_zone_leaves_at_once(self) -> None:
        self.assertTrue(ShutdownPolicy(4.0).may_leave(ZonePeerCounts(0, 0), False, 0.0))


class SubscribersTest(unittest.TestCase):
    def make_subscription(self, host: str, ready: bool, zone: str = "adum") -> Subscription:
        return Subscription(host, zone, False, Position(0, 0), -1, True, ready)

    def test_restarting_host_counts_as_known_but_not_as_ready(self) -> None:
        hosts = Subscribers()
        for host in ("a:1", "b:1", "c:1"):
            hosts.renew(self.make_subscription(host, True), 0, 0.0)
        hosts.renew(self.make_subscription("a:1", True), 0, 3.0)
        hosts.renew(self.make_subscription("b:1", True), 0, 3.0)
        self.assertEqual(hosts.remove_expired(3.0), ["c:1"])
        self.assertEqual(hosts.count_peers("a:1", "adum", 3.0), ZonePeerCounts(2, 1))

    def test_hosts_of_other_zones_do_not_count(self) -> None:
        hosts = Subscribers()
        hosts.renew(self.make_subscription("a:1", True), 0, 0.0)
        hosts.renew(self.make_subscription("b:1", True, "suame"), 0, 0.0)
        self.assertEqual(hosts.count_peers("a:1", "adum", 0.0), ZonePeerCounts(0, 0))


class MemoryTest(unittest.TestCase):
    """Memory is bounded while targets and control hosts are replaced."""

    def test_registry_drops_lifetimes_that_ended_long_ago(self) -> None:
        registry = Registry(7, HEARTBEAT_SECONDS)
        for number in range(1, 2000):
            now = float(number)
            registry.check_in(check_in(number, 1, started_ms=number, address=1), now)
            registry.check_in(check_in(number, 2, number, DRAINING, address=1), now)
            registry.deregister(f"i-{number:x}", None, now)
            registry.end_departed(now)
            registry.expire(now)
        self.assertLess(len(registry.entries()), 200)
        self.assertLess(len(registry._sequences) + len(registry._lifetimes._by_name), 500)
        lifetime_seconds = MAX_LEAVING_SECONDS + ENDED_RETENTION_SECONDS
        kept = registry._lifetimes._by_endpoint[check_in(1).endpoint]
        self.assertEqual(len(kept), lifetime_seconds + 1)
        self.assertEqual(len(registry._contested), 0)
        self.assertEqual(len(registry._departures), MAX_LEAVING_SECONDS)
        self.assertLess(len(registry._silent_targets), 10)

    def test_views_of_former_control_hosts_are_dropped(self) -> None:
        views = Views()
        for number in range(200):
            views.apply_update(update(entry(number + 1), control=f"c{number}:1"), 10.0 * number)
            views.refresh(10.0 * number)
        self.assertLess(len(views._views), 20)
