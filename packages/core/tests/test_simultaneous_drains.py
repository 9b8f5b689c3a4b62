"""Load of a control host of a large fleet: many targets report at once that they drain.

Each drain has to reach all entry hosts, which acknowledge it, before the target gets its reply.
"""

import collections
import sys
import unittest
from types import FrameType

from checkin_fakes import check_in
from lacewingrudder_core._checkins.pending_replies import MAX_REPLY_DELAY_SECONDS
from lacewingrudder_core._checkins.publication import BATCH_HOSTS, REMOVAL_INTERVAL_SECONDS
from lacewingrudder_core.checkins import (
    CheckedIn,
    CheckInCore,
    CheckInEffect,
    CheckInReply,
    ContinuePublication,
    LifeState,
    Position,
    PublicationContinued,
    Registry,
    SendUpdate,
    Subscribed,
    Subscription,
    Tick,
)

NAME = "10.0.0.1:7720"
ZONES = ("adum", "suame", "ahodwo")
MAX_UPDATES_PER_HOST = 3


class ControlHost:
    """A control host with subscribed entry hosts, whose drains and acknowledgements are counted."""

    def __init__(self, hosts: int, targets: int) -> None:
        self.core = CheckInCore(NAME, "adum", Registry(1, 1.2))
        for number in range(targets):
            self.core.handle(CheckedIn(number, check_in(number)), 0.0)
        self.positions = {
            f"10.1.{number // 250}.{number % 250}:7720": self.core.registry.position
            for number in range(hosts)
        }
        self.now = 1.0
        self.updates: collections.Counter[str] = collections.Counter()
        self.replies: list[CheckInReply] = []
        self.largest_batch = 0
        self.continuations: list[float] = []
        for host in self.positions:
            self.acknowledge(host)

    def acknowledge(self, host: str) -> None:
        zone = ZONES[len(host) % len(ZONES)]
        row = Subscription(host, zone, False, self.positions[host], -1, False, True)
        self.execute(self.core.handle(Subscribed(row), self.now))

    def drain(self, number: int) -> None:
        call = check_in(number, 2, state=LifeState.DRAINING)
        self.execute(self.core.handle(CheckedIn(1000 + number, call), self.now))

    def execute(self, effects: list[CheckInEffect]) -> None:
        sent = [effect for effect in effects if isinstance(effect, SendUpdate)]
        self.largest_batch = max(self.largest_batch, len(sent))
        for effect in sent:
            self.updates[effect.host] += 1
            self.positions[effect.host] = effect.body.position
        self.replies += [effect for effect in effects if isinstance(effect, CheckInReply)]
        self.continuations += [
            self.now + effect.delay_seconds
            for effect in effects
            if isinstance(effect, ContinuePublication)
        ]

    def continue_until(self, end: float) -> None:
        """Continue publications that are due before a time."""
        while self.continuations and min(self.continuations) <= end:
            self.now = max(self.now, min(self.continuations))
            self.continuations.remove(min(self.continuations))
            self.execute(self.core.handle(PublicationContinued(), self.now))
        self.now = end

    def count_calls_of_acknowledgement(self) -> int:
        """Return the number of function calls that an acknowledgement of all drains takes."""
        host = next(iter(self.positions))
        position = self.core.registry.position
        row = Subscription(host, "adum", False, position, -1, False, True)
        count = 0

        def count_call(frame: FrameType, event: str, argument: object) -> None:
            nonlocal count
            count += event in ("call", "c_call")

        sys.setprofile(count_call)
        try:
            self.core.handle(Subscribed(row), self.now)
        finally:
            sys.setprofile(None)
        return count


class SimultaneousDrainsTest(unittest.TestCase):
    def test_work_for_an_acknowledgement_grows_neither_with_hosts_nor_with_drains(self) -> None:
        counts = {}
        for hosts, drains in ((50, 1), (400, 1), (50, 36), (400, 36)):
            control = ControlHost(hosts, 60)
            for number in range(drains):
                control.drain(number)
            control.continue_until(control.now + 2 * REMOVAL_INTERVAL_SECONDS)
            counts[hosts, drains] = control.count_calls_of_acknowledgement()
        self.assertEqual(len(set(counts.values())), 1, counts)

    def test_drains_within_milliseconds_reach_each_host_in_few_updates(self) -> None:
        control = ControlHost(400, 60)
        for number in range(18):
            control.drain(number)
            control.now += 0.0005
        control.continue_until(control.now + 0.1)
        self.assertEqual(len(control.updates), 400)
        self.assertLessEqual(max(control.updates.values()), MAX_UPDATES_PER_HOST)
        self.assertEqual(set(control.positions.values()), {control.core.registry.position})

    def test_every_drain_is_confirmed_soon_after_the_last_acknowledgement(self) -> None:
        control = ControlHost(400, 60)
        for number in range(36):
            control.drain(number)
        began_at = control.now
        control.continue_until(began_at + 2 * REMOVAL_INTERVAL_SECONDS)
        self.assertEqual(control.replies, [])
        for host in list(control.positions):
            control.acknowledge(host)
        self.assertEqual({row.is_replicated for row in control.replies}, {True})
        self.assertEqual({row.token for row in control.replies}, set(range(1000, 1036)))
        self.assertLess(control.now - began_at, MAX_REPLY_DELAY_SECONDS / 4)

    def test_few_updates_are_sent_between_two_other_messages(self) -> None:
        """Replication and operators' answers wait for one batch at most, not for a publication."""
        control = ControlHost(400, 60)
        for number in range(36):
            control.drain(number)
            control.now += 0.001
        control.continue_until(control.now + 0.1)
        for host in list(control.positions):
            control.acknowledge(host)
        self.assertLessEqual(control.largest_batch, BATCH_HOSTS)

    def test_lost_update_is_sent_again(self) -> None:
        control = ControlHost(40, 60)
        control.drain(1)
        control.continue_until(control.now + 0.05)
        hosts = list(control.positions)
        for host in hosts[1:]:
            control.acknowledge(host)
        self.assertEqual(control.replies, [])
        control.now += 0.15
        effects = control.core.handle(Tick(), control.now)
        sent = [effect.host for effect in effects if isinstance(effect, SendUpdate)]
        self.assertEqual(sent, hosts[:1])
        control.acknowledge(hosts[0])
        self.assertEqual([row.token for row in control.replies], [1001])

    def test_restarted_subscriber_without_entries_delays_the_reply(self) -> None:
        control = ControlHost(2, 60)
        control.drain(1)
        first, second = control.positions
        control.acknowledge(first)
        control.positions[first] = Position(0, 0)
        control.acknowledge(first)
        control.acknowledge(second)
        self.assertEqual(control.replies, [])
        control.now += 0.15
        control.execute(control.core.handle(Tick(), control.now))
        control.acknowledge(first)
        self.assertEqual([row.token for row in control.replies], [1001])


if __name__ == "__main__":
    unittest.main()
