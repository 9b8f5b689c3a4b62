"""Flows on routes that other hosts know already, or that were dropped."""

import unittest

from checkin_fakes import EDITS, SHEETS, configuration, data, entry, syn, update
from lacewingrudder_core._tagging.route_lag import MAX_MISSING_ROUTES, MAX_ROUTE_LAG_SECONDS
from lacewingrudder_core.checkins import LifeState, Lifetime
from lacewingrudder_core.tagging import (
    Decision,
    Dropped,
    DropReason,
    Forwarded,
    Reset,
    ResetReason,
    Route,
    Split,
    TagForwarder,
    flow_tag,
)
from lacewingrudder_core.types import Endpoint, FlowKey

IDLE_SECONDS = 15.0
POLL_SECONDS = 0.5
EDITS_ROUTE = Route(EDITS, (Split("proofdesk", 1),), False, 8)
SHEETS_ROUTE = Route(SHEETS, (Split("sheetroom", 1),), True, 7)
NO_ROUTE = Reset(ResetReason.NO_ROUTE)
TAG = flow_tag(Lifetime("i-1", 1000))


class RouteLagTest(unittest.TestCase):
    """A host whose configuration has the route of the sheets, but not that of the edits."""

    def setUp(self) -> None:
        self.forwarder = TagForwarder("adum")
        self.forwarder.configure(configuration(5, SHEETS_ROUTE))
        self.number = 0
        self.poll(0.0, entry(1))

    def poll(self, now: float, *entries, version: int = 5) -> None:
        since, self.number = self.number, self.number + len(entries)
        self.forwarder.apply_update(
            update(*entries, number=self.number, since=since, version=version), now
        )
        self.forwarder.tick(now)

    def decide(self, now: float, tag: int = TAG) -> Decision:
        return self.forwarder.decide(data(40001, tag), now)

    def find_resets(self, first: float, seconds: float, polls: bool = True) -> list[float]:
        """Send a packet of an open flow each poll interval; return when it was reset."""
        resets = []
        for step in range(int(seconds / POLL_SECONDS)):
            now = first + POLL_SECONDS * step
            if polls:
                self.poll(now)
            decision = self.decide(now)
            if decision == NO_ROUTE:
                resets.append(now)
            else:
                self.assertIsInstance(decision, Forwarded)
        return resets

    # Guards against resets of flows that other hosts opened on a route that was just added.
    def test_flow_on_a_route_that_this_host_does_not_know_yet_is_forwarded(self) -> None:
        self.assertEqual(self.find_resets(1.0, 3.0), [])
        self.forwarder.configure(configuration(6, EDITS_ROUTE, SHEETS_ROUTE), 4.0)
        self.assertIsInstance(self.decide(4.0), Forwarded)

    # Guards against the same on a host that has just started.
    def test_host_that_starts_with_an_older_configuration_resets_no_open_flow(self) -> None:
        starting = TagForwarder("adum")
        self.assertEqual(starting.decide(data(40001, TAG), 0.0), Dropped(DropReason.NOT_READY))
        starting.configure(configuration(5, SHEETS_ROUTE), 0.1)
        unknown = Dropped(DropReason.UNKNOWN_TAG)
        self.assertEqual(starting.decide(data(40001, TAG), 0.1), unknown)
        starting.apply_update(update(entry(1)), 0.2)
        self.assertIsInstance(starting.decide(data(40001, TAG), 0.2), Forwarded)

    def test_flow_on_a_dropped_route_is_reset_at_once_and_stays_so(self) -> None:
        self.forwarder.configure(configuration(6, EDITS_ROUTE), 1.0)
        self.forwarder.configure(configuration(7, SHEETS_ROUTE), 2.0)
        self.number = 1
        for step in range(int(IDLE_SECONDS / POLL_SECONDS)):
            self.poll(2.0 + POLL_SECONDS * step, version=7)
            self.assertEqual(self.decide(2.0 + POLL_SECONDS * step), NO_ROUTE)

    # Guards against flows without a route that go on for good, such as those of a dropped route
    # at a host that has started since.
    def test_flow_is_reset_once_the_route_can_no_longer_be_on_its_way(self) -> None:
        resets = self.find_resets(1.0, 30.0)
        self.assertEqual(resets[0], 1.0 + MAX_ROUTE_LAG_SECONDS)
        self.assertEqual(len(resets), (30.0 - MAX_ROUTE_LAG_SECONDS) / POLL_SECONDS)

    # Guards against resets by a host that can't learn of the route.
    def test_host_that_hears_from_no_control_host_resets_no_open_flow(self) -> None:
        self.assertEqual(self.find_resets(1.0, 30.0, polls=False), [])

    # Guards against resets on a route that was dropped and added again.
    def test_host_that_knows_of_a_newer_configuration_resets_no_open_flow(self) -> None:
        self.forwarder.configure(configuration(6, EDITS_ROUTE), 1.0)
        self.forwarder.configure(configuration(7, SHEETS_ROUTE), 2.0)
        self.poll(2.5, version=8)
        self.assertIsInstance(self.decide(2.5), Forwarded)

    def test_packets_that_belong_to_no_open_flow_at_a_living_target_are_not_forwarded(self) -> None:
        self.assertEqual(self.forwarder.decide(syn(40002), 1.0), NO_ROUTE)
        self.assertEqual(self.decide(1.0, tag=0), NO_ROUTE)
        self.assertEqual(self.decide(1.0, tag=77), Dropped(DropReason.UNKNOWN_TAG))
        self.poll(1.0, entry(1, LifeState.GONE, sequence=2))
        self.assertEqual(self.decide(1.0), Reset(ResetReason.TARGET_GONE))

    def test_memory_is_bounded(self) -> None:
        for port in range(1, 3 * MAX_MISSING_ROUTES):
            packet = data(40001, TAG)._replace(flow=FlowKey(1, 40001, EDITS.address, port))
            self.forwarder.decide(packet, 1.0)
        for version in range(6, 200):
            routes = [EDITS_ROUTE._replace(endpoint=Endpoint(9, version)), SHEETS_ROUTE]
            self.forwarder.configure(configuration(version, *routes), version / 10)
        lag = self.forwarder._route_lag
        self.assertEqual(len(lag._missing), MAX_MISSING_ROUTES)
        self.poll(60.0, version=199)
        self.assertEqual((lag._missing, lag._dropped_at), ({}, {}))
