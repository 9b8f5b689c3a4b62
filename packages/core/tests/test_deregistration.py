"""Targets that deregister: they run, and hold their flows, until they have the reply."""

import unittest

from checkin_fakes import check_in, configuration, data, entry
from lacewingrudder_core._checkins.departures import EXIT_GRACE_HEARTBEATS, MAX_LEAVING_SECONDS
from lacewingrudder_core._checkins.pending_replies import MAX_REPLY_DELAY_SECONDS
from lacewingrudder_core.checkins import (
    CheckedIn,
    CheckInCore,
    CheckInOutcome,
    CheckInReply,
    ControlHostsChanged,
    Departed,
    DepartureConfirmed,
    Deregistered,
    KnownTarget,
    LifeState,
    Lifetime,
    Position,
    Registry,
    SendUpdate,
    Subscribed,
    Subscription,
    Tick,
    Update,
)
from lacewingrudder_core.tagging import Forwarded, Reset, ResetReason, TagForwarder, flow_tag

ME = "10.0.0.1:7720"
ENTRY, PAUSED, PEER = "10.1.0.10:7720", "10.2.0.10:7720", "10.2.0.42:7720"
TICK_SECONDS = 0.1
HEARTBEAT_SECONDS = 1.2
EXIT_GRACE_SECONDS = EXIT_GRACE_HEARTBEATS * HEARTBEAT_SECONDS
TAG = flow_tag(Lifetime("i-1", 1000))


class DeregistrationTest(unittest.TestCase):
    """A control host, an entry host that acknowledges each update, and one that is paused."""

    def setUp(self) -> None:
        self.elsewhere: dict[Lifetime, KnownTarget] = {}
        registry = Registry(7, HEARTBEAT_SECONDS, self.find_elsewhere)
        self.core = CheckInCore(ME, "adum", registry)
        self.forwarder = TagForwarder("adum")
        self.forwarder.configure(configuration())
        self.acknowledging = {ENTRY, PAUSED, PEER}
        self.replies: dict[int, CheckInReply] = {}
        self.departed: list[Departed] = []
        self.pass_event(ControlHostsChanged(frozenset({ME, PEER})), 0.0)
        for host in sorted(self.acknowledging):
            self.subscribe(host, Position(0, 0), 0.0)
        self.pass_event(CheckedIn(1, check_in(1)), 0.0)
        self.run_until(1.0)

    def find_elsewhere(self, lifetime: Lifetime) -> list[KnownTarget]:
        return [self.elsewhere[lifetime]] if lifetime in self.elsewhere else []

    def subscribe(self, host: str, position: Position, now: float) -> None:
        subscription = Subscription(host, "adum", host == PEER, position, -1, False)
        self.pass_event(Subscribed(subscription), now)

    def pass_event(self, event, now: float) -> None:
        for effect in self.core.handle(event, now):
            if isinstance(effect, CheckInReply):
                self.replies[effect.token] = effect
            elif isinstance(effect, Departed):
                self.departed.append(effect)
            elif isinstance(effect, SendUpdate) and isinstance(effect.body, Update):
                self.receive(effect.host, effect.body, now)

    def receive(self, host: str, body: Update, now: float) -> None:
        if host not in self.acknowledging:
            return
        if host == ENTRY:
            self.forwarder.apply_update(body, now)
        self.subscribe(host, body.position, now)

    def renew_subscriptions(self, now: float) -> None:
        for host in sorted(self.acknowledging):
            self.subscribe(host, self.core.registry.position, now)
        self.pass_event(Tick(), now)

    def run_until(self, end: float) -> None:
        now = round(end - 1.0, 1)
        while now < end:
            now = round(now + TICK_SECONDS, 1)
            self.pass_event(Tick(), now)

    def is_forwarded(self, now: float) -> bool:
        decision = self.forwarder.decide(data(40001, TAG), now)
        if not isinstance(decision, Forwarded):
            self.assertEqual(decision, Reset(ResetReason.TARGET_GONE))
        return isinstance(decision, Forwarded)

    def drain(self) -> None:
        self.pass_event(CheckedIn(2, check_in(1, 2, state=LifeState.DRAINING)), 1.0)
        self.assertIn(2, self.replies)

    def assert_confirmed(self, token: int) -> None:
        reply = self.replies[token]
        self.assertEqual((reply.outcome, reply.is_replicated), (CheckInOutcome.ENDED, True))
        self.assertEqual(reply.leaving, Lifetime("i-1", 1000))

    def receive_reply(self, token: int, now: float) -> None:
        leaving = self.replies[token].leaving
        assert leaving is not None
        self.pass_event(DepartureConfirmed(leaving), now)

    # Guards against resets of a leaving target's flows while it waits for the reply.
    def test_flows_stay_until_a_target_that_did_not_drain_has_the_reply(self) -> None:
        self.acknowledging.discard(PAUSED)
        self.pass_event(Deregistered(3, "i-1", 1000), 1.0)
        replied_at = None
        for step in range(1, 30):
            now = 1.0 + TICK_SECONDS * step
            self.pass_event(Tick(), now)
            if replied_at is None and 3 in self.replies:
                replied_at = now
                self.receive_reply(3, now)
            if replied_at is None or now < replied_at + EXIT_GRACE_SECONDS - 0.01:
                self.assertTrue(self.is_forwarded(now), now)
        assert replied_at is not None
        self.assertLessEqual(replied_at, 1.0 + MAX_REPLY_DELAY_SECONDS + TICK_SECONDS)
        self.assert_confirmed(3)
        self.assertFalse(self.is_forwarded(4.0))

    # Guards against a reply that waits for a paused host although all hosts know of the drain.
    def test_reply_to_a_drained_target_comes_at_once(self) -> None:
        self.drain()
        self.acknowledging.discard(PAUSED)
        self.pass_event(Deregistered(3, "i-1", 1000), 1.5)
        self.assert_confirmed(3)
        self.assertTrue(self.is_forwarded(1.5))

    # Guards against flows that stay at a target that has exited.
    def test_flows_are_reset_soon_after_the_target_received_the_reply(self) -> None:
        self.drain()
        self.pass_event(Deregistered(3, "i-1", 1000), 1.5)
        self.receive_reply(3, 1.6)
        self.pass_event(Tick(), 1.6 + EXIT_GRACE_SECONDS - 0.01)
        self.assertTrue(self.is_forwarded(1.6 + EXIT_GRACE_SECONDS - 0.01))
        self.pass_event(Tick(), 1.6 + EXIT_GRACE_SECONDS + 0.01)
        self.assertFalse(self.is_forwarded(1.6 + EXIT_GRACE_SECONDS + 0.01))
        self.assertEqual([row.is_confirmed for row in self.departed], [True])

    # Guards against resets of the flows of a target whose confirmation was sent but lost.
    def test_reply_that_was_sent_but_did_not_arrive_does_not_end_the_target(self) -> None:
        self.drain()
        self.pass_event(Deregistered(3, "i-1", 1000), 1.5)
        self.assert_confirmed(3)
        for step in range(1, 10 * int(MAX_LEAVING_SECONDS)):
            now = 1.5 + TICK_SECONDS * step
            self.renew_subscriptions(now)
            self.assertTrue(self.is_forwarded(now), now)
        self.renew_subscriptions(1.6 + MAX_LEAVING_SECONDS)
        self.assertFalse(self.is_forwarded(1.6 + MAX_LEAVING_SECONDS))
        self.assertEqual([row.is_confirmed for row in self.departed], [False])

    def test_confirmation_of_a_target_that_did_not_deregister_changes_nothing(self) -> None:
        self.pass_event(DepartureConfirmed(Lifetime("i-1", 1000)), 1.0)
        self.pass_event(Tick(), 1.0 + EXIT_GRACE_SECONDS + 0.1)
        self.assertTrue(self.is_forwarded(2.5))
        self.assertEqual(self.departed, [])

    def test_target_that_deregisters_gets_no_new_flow_at_once(self) -> None:
        self.pass_event(Deregistered(3, "i-1", 1000), 1.0)
        states = [entry.state for entry in self.core.registry.entries()]
        self.assertEqual(states, [LifeState.DRAINING])

    def run_without_confirmation(self, begin: float, end: float) -> None:
        """Pass ticks while the entry host acknowledges everything and the peer nothing."""
        for step in range(round((end - begin) / TICK_SECONDS)):
            now = begin + TICK_SECONDS * step
            self.subscribe(ENTRY, self.core.registry.position, now)
            self.subscribe(PEER, Position(0, 0), now)
            self.pass_event(Tick(), now)

    # Guards against resets of its flows while a target that got no confirmation calls again, and
    # against a target that stays known for good because it got none.
    def test_target_without_a_confirmation_ends_some_seconds_after_its_last_call(self) -> None:
        self.acknowledging = {ENTRY}
        last_call = 1.0 + 2 * int(MAX_LEAVING_SECONDS)
        for step in range(2 * int(MAX_LEAVING_SECONDS) + 1):
            now = 1.0 + step
            self.subscribe(ENTRY, self.core.registry.position, now)
            self.subscribe(PEER, Position(0, 0), now)
            self.pass_event(Deregistered(10 + step, "i-1", 1000), now)
            self.pass_event(Tick(), now + 0.7)
            self.assertFalse(self.replies[10 + step].is_replicated)
            self.assertTrue(self.is_forwarded(now + 0.7))
        self.run_without_confirmation(now + 0.8, last_call + MAX_LEAVING_SECONDS - 0.05)
        self.assertTrue(self.is_forwarded(last_call + MAX_LEAVING_SECONDS - 0.05))
        self.run_without_confirmation(
            last_call + MAX_LEAVING_SECONDS, last_call + MAX_LEAVING_SECONDS + 0.15
        )
        self.assertFalse(self.is_forwarded(last_call + MAX_LEAVING_SECONDS + 0.15))

    # Guards against resets of the flows of a target that runs on and checks in.
    def test_target_that_goes_on_checking_in_has_not_ended(self) -> None:
        self.drain()
        self.pass_event(Deregistered(3, "i-1", 1000), 1.5)
        for step in range(20):
            now = 2.0 + 1.2 * step
            call = check_in(1, 3 + step, state=LifeState.DRAINING)
            self.pass_event(CheckedIn(10 + step, call), now)
            self.run_without_confirmation(now, now + 1.2)
            self.assertTrue(self.is_forwarded(now + 1.2), now)
        self.run_without_confirmation(now + 1.2, now + MAX_LEAVING_SECONDS + 0.1)
        self.assertFalse(self.is_forwarded(now + MAX_LEAVING_SECONDS + 0.1))

    # Guards against the same where its check-ins arrive at another control host.
    def test_target_that_goes_on_checking_in_elsewhere_has_not_ended(self) -> None:
        self.drain()
        self.pass_event(Deregistered(3, "i-1", 1000), 1.5)
        draining = entry(1, LifeState.DRAINING)
        self.elsewhere[draining.lifetime] = KnownTarget(draining, True)
        self.run_without_confirmation(1.5, 3 * MAX_LEAVING_SECONDS)
        self.assertTrue(self.is_forwarded(3 * MAX_LEAVING_SECONDS))
        self.elsewhere[draining.lifetime] = KnownTarget(draining, False)
        self.run_without_confirmation(3 * MAX_LEAVING_SECONDS, 3 * MAX_LEAVING_SECONDS + 0.15)
        self.assertFalse(self.is_forwarded(3 * MAX_LEAVING_SECONDS + 0.15))

    # Guards against the end of a target that calls again because it had no use of the confirmation.
    def test_target_that_calls_again_after_a_confirmation_has_not_ended(self) -> None:
        self.drain()
        self.pass_event(Deregistered(3, "i-1", 1000), 1.5)
        self.receive_reply(3, 1.5)
        self.pass_event(Deregistered(4, "i-1", 1000), 1.6)
        self.run_without_confirmation(1.6, 1.5 + MAX_LEAVING_SECONDS)
        self.assertTrue(self.is_forwarded(1.5 + MAX_LEAVING_SECONDS))

    # Guards against resets of the flows of a target that takes seconds to exit when confirmed.
    def test_confirmed_target_that_runs_on_and_checks_in_has_not_ended(self) -> None:
        self.drain()
        self.pass_event(Deregistered(3, "i-1", 1000), 1.5)
        self.receive_reply(3, 1.5)
        self.run_without_confirmation(1.5, 1.5 + 1.1 * HEARTBEAT_SECONDS)
        for step in range(20):
            now = 1.5 + HEARTBEAT_SECONDS * (1.1 + step)
            call = check_in(1, 3 + step, state=LifeState.DRAINING)
            self.pass_event(CheckedIn(10 + step, call), now)
            self.run_without_confirmation(now, now + 1.2)
            self.assertTrue(self.is_forwarded(now + 1.2), now)

    # Guards against the same where its check-ins arrive at another control host.
    def test_confirmed_target_that_checks_in_elsewhere_has_not_ended(self) -> None:
        self.drain()
        self.pass_event(Deregistered(3, "i-1", 1000), 1.5)
        self.receive_reply(3, 1.5)
        draining = entry(1, LifeState.DRAINING)
        self.elsewhere[draining.lifetime] = KnownTarget(draining, True)
        self.run_without_confirmation(1.5, 12.0)
        self.assertTrue(self.is_forwarded(12.0))
        self.elsewhere[draining.lifetime] = KnownTarget(draining, False)
        self.run_without_confirmation(12.0, 12.15)
        self.assertFalse(self.is_forwarded(12.15))

    # Guards against the end of a target by a control host that was killed and forgot the call.
    def test_restart_of_the_control_host_does_not_end_the_target(self) -> None:
        self.drain()
        self.pass_event(Deregistered(3, "i-1", 1000), 1.5)
        for is_outdated in (False, True):
            restarted = Registry(8, HEARTBEAT_SECONDS)
            restarted.restore(self.core.registry.entries(), is_outdated, 2.0)
            for now in (3.0, 10.0, 100.0):
                self.assertEqual(restarted.end_departed(now), [])
                restarted.expire(now)
                self.assertEqual([row.state for row in restarted.entries()], [LifeState.DRAINING])

    # Guards against a confirmed leave without effect: another control host hears the target.
    def test_target_that_another_control_host_hears_gets_no_new_flow_once_it_leaves(self) -> None:
        ready = entry(2)
        self.elsewhere[ready.lifetime] = KnownTarget(ready, True)
        self.pass_event(Deregistered(3, "i-2", 1000), 1.0)
        published = self.core.registry.get(ready.lifetime)
        expected = ready._replace(state=LifeState.DRAINING, has_recent_heartbeat=False)
        self.assertEqual(published, expected)
        self.assertEqual(self.replies[3].outcome, CheckInOutcome.ENDED)
        self.receive_reply(3, 1.1)
        del self.elsewhere[ready.lifetime]
        self.pass_event(Tick(), 1.1 + EXIT_GRACE_SECONDS)
        self.assertEqual([row.entry.lifetime for row in self.departed], [ready.lifetime])
