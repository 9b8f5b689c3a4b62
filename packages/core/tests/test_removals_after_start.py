"""Drains and deregistrations at a control host to which no other host subscribes."""

import unittest

from checkin_fakes import check_in
from lacewingrudder_core._checkins.pending_replies import MAX_REPLY_DELAY_SECONDS
from lacewingrudder_core.checkins import (
    CheckedIn,
    CheckInCore,
    CheckInReply,
    ControlHostsChanged,
    Deregistered,
    LifeState,
    Position,
    Registry,
    Subscribed,
    Subscription,
    Tick,
)

ME, PEER = "10.0.0.1:7720", "10.2.0.42:7720"
ENTRIES = ("10.1.0.10:7720", "10.2.0.10:7720")
SUBSCRIPTION_SECONDS = 0.6
DRAIN_AT = 0.05
EVENTS = (CheckedIn(2, check_in(1, 2, state=LifeState.DRAINING)), Deregistered(2, "i-1", 1000))


class RemovalAfterStartTest(unittest.TestCase):
    def start(self, *controls: str) -> None:
        before = Registry(6, 1.2)
        before.check_in(check_in(1), 0.0)
        registry = Registry(7, 1.2)
        registry.restore(before.entries(), False, 0.0)
        self.core = CheckInCore(ME, "adum", registry, SUBSCRIPTION_SECONDS)
        self.replies: list[CheckInReply] = []
        self.pass_event(ControlHostsChanged(frozenset({ME, *controls})), 0.0)

    def pass_event(self, event, now: float) -> None:
        effects = self.core.handle(event, now)
        self.replies += [effect for effect in effects if isinstance(effect, CheckInReply)]

    def subscribe(self, host: str, now: float, acknowledges: bool) -> None:
        position = self.core.registry.position if acknowledges else Position(0, 0)
        row = Subscription(host, "adum", host == PEER, position, -1, False)
        self.pass_event(Subscribed(row), now)

    # Guards against the confirmation of a drain that no other host has heard of.
    def test_removal_that_nobody_acknowledged_is_not_confirmed(self) -> None:
        for event in EVENTS:
            with self.subTest(event=event):
                self.start(PEER)
                self.pass_event(event, DRAIN_AT)
                self.pass_event(Tick(), DRAIN_AT + MAX_REPLY_DELAY_SECONDS - 0.01)
                self.assertEqual(self.replies, [])
                self.pass_event(Tick(), DRAIN_AT + MAX_REPLY_DELAY_SECONDS)
                self.assertEqual([row.is_replicated for row in self.replies], [False])

    # Guards against a confirmation that waits only for the first hosts that subscribe again.
    def test_confirmation_waits_for_hosts_that_subscribe_after_the_start(self) -> None:
        for event in EVENTS:
            with self.subTest(event=event):
                self.start(PEER)
                self.pass_event(event, DRAIN_AT)
                self.subscribe(ENTRIES[0], 0.1, acknowledges=True)
                self.assertEqual(self.replies, [])
                self.subscribe(ENTRIES[1], 0.5, acknowledges=False)
                self.subscribe(PEER, 0.5, acknowledges=True)
                self.pass_event(Tick(), SUBSCRIPTION_SECONDS)
                self.assertEqual(self.replies, [])
                self.subscribe(ENTRIES[1], 0.61, acknowledges=True)
                self.assertEqual([row.is_replicated for row in self.replies], [True])

    def test_removal_that_another_control_host_has_is_confirmed_in_time(self) -> None:
        self.start(PEER)
        self.pass_event(EVENTS[0], DRAIN_AT)
        self.subscribe(PEER, 0.1, acknowledges=True)
        self.subscribe(ENTRIES[0], 0.2, acknowledges=False)
        self.pass_event(Tick(), DRAIN_AT + MAX_REPLY_DELAY_SECONDS)
        self.assertEqual([row.is_replicated for row in self.replies], [True])

    def test_only_control_host_without_subscribers_confirms_after_its_start(self) -> None:
        self.start()
        self.pass_event(EVENTS[0], DRAIN_AT)
        self.assertEqual(self.replies, [])
        self.pass_event(Tick(), SUBSCRIPTION_SECONDS)
        self.assertEqual([row.is_replicated for row in self.replies], [True])

    # Guards against the confirmation of a drain by a host whose subscribers are all cut off.
    def test_removal_at_a_host_that_lost_all_subscribers_is_not_confirmed(self) -> None:
        self.start(PEER)
        for host in (*ENTRIES, PEER):
            self.subscribe(host, 0.1, acknowledges=True)
        self.pass_event(Tick(), 5.0)
        self.pass_event(EVENTS[0], 5.1)
        self.pass_event(Tick(), 5.1 + MAX_REPLY_DELAY_SECONDS)
        self.assertEqual([row.is_replicated for row in self.replies], [False])
