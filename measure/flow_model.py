"""Simulates the flow cores of several entry hosts, with targets and callers, in one process."""

from __future__ import annotations

import collections
import random

from lacewingrudder_core import flows
from lacewingrudder_core.admission import AdmitAll
from lacewingrudder_core.routing import (
    HealthTracker,
    HomeTable,
    KindRoute,
    PlacementTable,
    RoutingView,
    TablePlacement,
    TargetRoute,
    WeightedTarget,
)
from lacewingrudder_core.types import Endpoint, Kind, Member

SERVICE_ENDPOINT = Endpoint(0x0A0A0001, 443)
FIRST_CALLER_ADDRESS = 0xC6120000
CALLER_PORT = 40_000
FIRST_TARGET_ADDRESS = 0x0A0A0100
TARGET_PORT = 9_000
TARGET_ISN = 5_000
ZONES = ("adum", "suame", "ahodwo")
KIND = Kind("edits", SERVICE_ENDPOINT.port, 9, False, 0.5)


def target_endpoint(number: int) -> Endpoint:
    """Return the endpoint at which a target accepts flows."""
    return Endpoint(FIRST_TARGET_ADDRESS + number, TARGET_PORT)


def make_view(hosts: list[int], accepting: list[int], targets: int) -> RoutingView:
    """Return a view with one service.

    :param hosts: indexes of the live hosts.
    :param accepting: indexes of the targets that accept new flows.
    :param targets: number of all targets.
    """
    members = [
        Member(f"entry-{n}", ZONES[n % len(ZONES)], 1, Endpoint(n + 1, 1), Endpoint(n + 1, 2))
        for n in hosts
    ]
    endpoints = {f"t{number}": target_endpoint(number) for number in range(targets)}
    table = PlacementTable([WeightedTarget(f"t{number}", 3.0) for number in accepting])
    route = KindRoute("proofdesk", KIND, table, endpoints)
    target_routes = {
        endpoint: TargetRoute(name, SERVICE_ENDPOINT) for name, endpoint in endpoints.items()
    }
    return RoutingView(HomeTable(members), {SERVICE_ENDPOINT: route}, target_routes)


def make_core(name: str, view: RoutingView) -> flows.FlowCore:
    """Return a core that admits every flow and places each by the placement table."""
    return flows.FlowCore(name, view, AdmitAll(), TablePlacement(), HealthTracker())


class FlowFleet:
    """Entry hosts, targets and callers that exchange segments without packet loss.

    :param hosts: number of entry hosts.
    :param targets: number of targets.
    """

    def __init__(self, hosts: int, targets: int, seed: int = 1) -> None:
        self._rng = random.Random(seed)
        self._targets = targets
        self._now = 1.0
        self.hosts = list(range(hosts))
        self.accepting = list(range(targets))
        view = make_view(self.hosts, self.accepting, targets)
        self.cores = {f"entry-{n}": make_core(f"entry-{n}", view) for n in self.hosts}
        self.target_by_caller: dict[int, Endpoint] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self._last_target: Endpoint | None = None

    def open_flow(self, caller: int) -> None:
        """Open a flow with a complete handshake and its first request."""
        self._send_from_caller(caller, flows.SYN, 100, 0, 0)
        assert self._last_target is not None
        self.target_by_caller[caller] = self._last_target
        self._send_from_target(caller, self._last_target, flows.SYN | flows.ACK, TARGET_ISN, 101)
        self._send_from_caller(caller, flows.ACK, 101, TARGET_ISN + 1, 10)

    def send_request(self, caller: int) -> bool:
        """Send a request and return whether it reached the target that accepted the flow."""
        self._last_target = None
        self.counts["requests"] += 1
        self._send_from_caller(caller, flows.ACK, 111, TARGET_ISN + 1, 10)
        return self._last_target == self.target_by_caller[caller]

    def change_view(self, hosts: list[int], accepting: list[int]) -> None:
        """Change the live hosts and accepting targets, and pass the new view to all live hosts."""
        self.hosts, self.accepting = hosts, accepting
        view = make_view(hosts, accepting, self._targets)
        self.cores = {name: core for name, core in self.cores.items() if int(name[6:]) in hosts}
        for number in hosts:
            name = f"entry-{number}"
            if name in self.cores:
                self._handle(name, flows.ViewChanged(view))
            else:
                self.cores[name] = make_core(name, view)

    def advance(self, seconds: float, step_seconds: float = 0.1) -> None:
        """Advance the virtual time in steps, with a tick of every core after each step."""
        for _ in range(round(seconds / step_seconds)):
            self._now += step_seconds
            for name in self.cores:
                self._handle(name, flows.FlowTick())

    def _send_from_caller(self, caller: int, flags: int, seq: int, ack: int, size: int) -> None:
        source = Endpoint(FIRST_CALLER_ADDRESS + caller, CALLER_PORT)
        self._deliver(flows.Segment(source, SERVICE_ENDPOINT, flags, seq, ack, size))

    def _send_from_target(
        self, caller: int, endpoint: Endpoint, flags: int, seq: int, ack: int
    ) -> None:
        self._deliver(
            flows.Segment(
                endpoint, Endpoint(FIRST_CALLER_ADDRESS + caller, CALLER_PORT), flags, seq, ack, 0
            )
        )

    def _deliver(self, segment: flows.Segment) -> None:
        host = f"entry-{self._rng.choice(self.hosts)}"
        self.counts["packets"] += 1
        self._handle(host, flows.SegmentArrived(segment, flows.Stage.FABRIC, "", b"kept"))

    def _handle(self, name: str, event: flows.FlowEvent) -> None:
        for effect in self.cores[name].handle(event, self._now):
            self._execute(name, event, effect)

    def _execute(self, name: str, event: flows.FlowEvent, effect: flows.FlowEffect) -> None:
        match effect:
            case flows.Relay(host, stage, tag) if host in self.cores:
                assert isinstance(event, flows.SegmentArrived)
                self.counts["relays"] += 1
                self._handle(host, event._replace(stage=stage, sender=name, tag=tag))
            case flows.Replicate(host, pins) if host in self.cores:
                self.counts["pin_bytes"] += sum(24 + len(group.hashes) for group in pins.groups)
                self._handle(host, flows.PinsReceived(pins))
            case flows.ToTarget(endpoint) | flows.Resend(_, endpoint):
                self._last_target = endpoint
            case flows.Probe(source, endpoint, seq, ack) if source != SERVICE_ENDPOINT:
                self.counts["probes"] += 1
                self._answer_probe(source.address - FIRST_CALLER_ADDRESS, endpoint, seq, ack)

    def _answer_probe(self, caller: int, endpoint: Endpoint, seq: int, ack: int) -> None:
        if self.target_by_caller[caller] == endpoint:
            self._send_from_target(caller, endpoint, flows.ACK, ack, seq + 1)
        else:
            self._send_from_target(caller, endpoint, flows.RST, ack, 0)
