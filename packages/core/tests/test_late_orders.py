"""Orders that arrive after their senders gave them up, and after contrary ones were confirmed."""

import random
import unittest
from typing import Any

from lacewingrudder_core import replica as m
from lacewingrudder_core.control import ForwardMessageReceived, OperatorRequestWithdrawn
from lacewingrudder_core.messages import SubmitOrder, SubmitZoneOrder
from lacewingrudder_core.notes import SubmitReply, SubmitTag, ZoneAction, ZoneOrder
from lacewingrudder_core.types import OrderAction, TargetOrder
from test_control import NAMES, ControlHosts

EVACUATE = SubmitZoneOrder(ZoneOrder("adum", ZoneAction.EVACUATE))
RESTORE = SubmitZoneOrder(ZoneOrder("adum", ZoneAction.RESTORE))
OTHER_ZONE = SubmitZoneOrder(ZoneOrder("suame", ZoneAction.EVACUATE))
DRAIN = SubmitOrder(TargetOrder("10.0.0.1:9000", OrderAction.DRAIN))
RESUME = SubmitOrder(TargetOrder("10.0.0.1:9000", OrderAction.RESTORE))

SETTLED_SECONDS = 1.0
"""Long enough for all hosts to learn of an order and to take the next one."""


class PausableHosts(ControlHosts):
    """Control hosts, of which some are paused: they find the messages to them when they resume."""

    def __init__(self) -> None:
        super().__init__()
        self.paused: set[str] = set()
        self.found: list[tuple[str, str, Any]] = []

    def pass_event(self, name: str, event: Any) -> None:
        if name not in self.paused:
            super().pass_event(name, event)
        elif not isinstance(event, m.Tick):
            self.found.append((event.sender, name, event.message))

    def resume(self, name: str) -> None:
        """Resume a host: it reads the messages that it finds, and runs for one tick."""
        self.paused.discard(name)
        self.messages.extend(row for row in self.found if row[1] == name)
        self.found = [row for row in self.found if row[1] != name]
        self.settle()
        self.run(0.1)


class LateOrderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.hosts = PausableHosts()
        self.hosts.run(5.0)
        self.leader = self.find_leader()
        self.follower, self.other = (name for name in NAMES if name != self.leader)

    def find_leader(self) -> str:
        now = self.hosts.now
        leads = {
            name: core.replica.leader(now) == name
            for name, core in self.hosts.cores.items()
            if name not in self.hosts.paused
        }
        return next(name for name, is_leading in leads.items() if is_leading)

    def submit(self, name: str, request: Any) -> SubmitReply:
        token = self.hosts.request(name, request)
        self.hosts.run(SETTLED_SECONDS)
        return self.hosts.reply(token)

    def assert_accepted(self, name: str, request: Any) -> None:
        self.assertIs(self.submit(name, request).tag, SubmitTag.ACCEPTED)

    def states(self) -> set[Any]:
        """Return the evacuated zones and the orders for targets that hosts know; one if equal."""
        catalogues = [core.catalogue for core in self.hosts.cores.values()]
        return {(each.evacuations.zones, each.orders) for each in catalogues}

    # Guards against a confirmed evacuation that is undone by a withdrawal which its sender gave up:
    # a host was paused, has caught up, and finds the withdrawal.
    def test_order_that_a_host_finds_when_it_resumes_changes_nothing(self) -> None:
        for first, second in ((EVACUATE, RESTORE), (DRAIN, RESUME)):
            for rounds in (1, 2):
                with self.subTest(first=first, rounds=rounds):
                    self.setUp()
                    self.assert_accepted(self.leader, first)
                    self.hosts.paused = {self.follower}
                    for _ in range(rounds):
                        self.assert_accepted(self.leader, second)
                        self.assert_accepted(self.other, first)
                    self.hosts.resume(self.follower)
                    state = self.states()
                    self.assertIs(self.submit(self.follower, second).tag, SubmitTag.REFUSED)
                    self.assertEqual(self.states(), state)
                    self.assertEqual(len(state), 1)

    # Guards against an order that was given up, was undone as a precaution, which changed nothing,
    # and is carried out then.
    def test_order_that_was_undone_before_it_is_found_changes_nothing(self) -> None:
        for given_up, undone in ((EVACUATE, RESTORE), (DRAIN, RESUME)):
            self.setUp()
            self.hosts.paused = {self.follower}
            self.assert_accepted(self.leader, undone)
            self.hosts.resume(self.follower)
            self.assertIs(self.submit(self.follower, given_up).tag, SubmitTag.REFUSED)
            self.assertEqual(self.states(), {((), ())})

    # Guards against an order that its host sends to a new leader after a contrary one was
    # confirmed there.
    def test_order_that_waits_for_a_new_leader_changes_nothing(self) -> None:
        self.assert_accepted(self.leader, EVACUATE)
        self.hosts.isolated = {self.follower}
        token = self.hosts.request(self.follower, RESTORE)
        self.hosts.settle()
        self.assert_accepted_soon(self.other, RESTORE)
        self.assert_accepted_soon(self.other, EVACUATE)
        self.hosts.restart(self.leader)
        self.hosts.run(2.0)
        self.assertEqual(self.find_leader(), self.other)
        self.hosts.isolated = set()
        self.hosts.run(1.5)
        self.assertIs(self.hosts.reply(token).tag, SubmitTag.UNKNOWN)
        self.assertEqual(self.states(), {(("adum",), ())})

    def assert_accepted_soon(self, name: str, request: Any) -> None:
        """Submit until accepted, as operators do."""
        for _ in range(10):
            token = self.hosts.request(name, request)
            self.hosts.run(0.1)
            if self.hosts.answers.get(token) and (
                self.hosts.reply(token).tag is SubmitTag.ACCEPTED
            ):
                return
        self.fail(f"{request} was not accepted")

    # Guards against a forwarded order that a leader reads late, or twice.
    def test_forwarded_order_that_arrives_late_or_again_changes_nothing(self) -> None:
        self.assert_accepted(self.leader, EVACUATE)
        self.hosts.delayed_types = (m.ForwardRequest,)
        self.hosts.request(self.follower, RESTORE)
        self.hosts.settle()
        self.hosts.delayed_types = ()
        self.assert_accepted(self.other, RESTORE)
        self.assert_accepted(self.other, EVACUATE)
        (delayed,) = self.hosts.delayed
        for _ in range(2):
            sender, receiver, message = delayed
            self.hosts.pass_event(receiver, ForwardMessageReceived(sender, message))
            self.hosts.run(SETTLED_SECONDS)
            self.assertEqual(self.states(), {(("adum",), ())})

    # Guards against the same if the log of the leader has been compacted since.
    def test_order_from_before_a_compaction_is_refused(self) -> None:
        log = self.hosts.cores[self.leader].replica.state.log
        self.assert_accepted(self.leader, EVACUATE)
        log.compact(log.last_index, log.voters)
        proposal = m.Propose(1, None, None, zone_order=RESTORE.order, basis=log.base_index - 1)
        failures = [
            effect
            for effect in self.hosts.cores[self.leader].replica.handle(proposal, self.hosts.now)
            if isinstance(effect, m.ProposalFailed)
        ]
        self.assertEqual([each.reply.tag for each in failures], [SubmitTag.REFUSED])

    # Guards against orders that are refused though their sender knows all before them.
    def test_orders_in_their_turn_are_accepted_at_every_host(self) -> None:
        rng = random.Random(1)
        for number in range(20):
            request = (EVACUATE, RESTORE)[number % 2]
            self.assert_accepted(rng.choice(NAMES), request)
            if rng.random() < 0.5:
                self.assert_accepted(rng.choice(NAMES), request)

    # Guards against an order that can't be repeated after its answer was lost.
    def test_repeated_order_is_accepted_at_once_at_another_host(self) -> None:
        for request in (EVACUATE, DRAIN):
            for name in NAMES:
                token = self.hosts.request(name, request)
                self.hosts.settle()
                self.hosts.run(0.1)
                self.assertIs(self.hosts.reply(token).tag, SubmitTag.ACCEPTED)

    def test_orders_for_other_zones_and_targets_do_not_matter(self) -> None:
        for request in (EVACUATE, OTHER_ZONE, DRAIN):
            token = self.hosts.request(self.follower, request)
            self.hosts.settle()
            self.hosts.run(0.1)
            self.assertIs(self.hosts.reply(token).tag, SubmitTag.ACCEPTED)

    # Guards against an order that is sent to a new leader after its sender closed the connection.
    def test_order_that_was_withdrawn_is_not_sent_to_a_new_leader(self) -> None:
        self.hosts.paused = {self.leader}
        token = self.hosts.request(self.follower, EVACUATE)
        self.hosts.found.clear()
        self.hosts.pass_event(self.follower, OperatorRequestWithdrawn(token))
        self.hosts.run(8.0)
        self.assertIn(self.find_leader(), (self.follower, self.other))
        self.assertNotIn(token, self.hosts.answers)
        zones = {name: self.hosts.cores[name].catalogue.evacuations.zones for name in NAMES}
        self.assertEqual(set(zones.values()), {()})
