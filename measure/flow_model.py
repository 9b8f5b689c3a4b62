"""Flow cores of several hosts in one process, with targets that keep or deny flows."""

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

SERVICE = Endpoint(0x0A0A0001, 443)
CALLERS = 0xC6120000
CALLER_PORT = 40_000
TARGET_NETWORK = 0x0A0A0100
TARGET_PORT = 9_000
TARGET_ISN = 5_000
ZONES = ("adum", "suame", "ahodwo")
KIND = Kind("edits", SERVICE.port, 9, False, 0.5)


def target_endpoint(number: int) -> Endpoint:
    """Return where a target takes flows."""
    return Endpoint(TARGET_NETWORK + number, TARGET_PORT)


def make_view(hosts: list[int], working: list[int], targets: int) -> RoutingView:
    """Return the view of a service.

    :param hosts: numbers of the live hosts.
    :param working: numbers of the targets that take new flows, out of ``targets``.
    """
    members = [
        Member(f"entry-{n}", ZONES[n % len(ZONES)], 1, Endpoint(n + 1, 1), Endpoint(n + 1, 2))
        for n in hosts
    ]
    names = {f"t{number}": target_endpoint(number) for number in range(targets)}
    table = PlacementTable([WeightedTarget(f"t{number}", 3.0) for number in working])
    route = KindRoute("proofdesk", KIND, table, names)
    answers = {end: TargetRoute(name, SERVICE) for name, end in names.items()}
    return RoutingView(HomeTable(members), {SERVICE: route}, answers)


def make_core(name: str, view: RoutingView) -> flows.FlowCore:
    """Return a core that admits all and keeps to the table."""
    return flows.FlowCore(name, view, AdmitAll(), TablePlacement(), HealthTracker())


class FlowFleet:
    """Hosts, targets and callers that exchange segments without a loss.

    :param hosts: number of entry hosts.
    :param targets: number of targets.
    """

    def __init__(self, hosts: int, targets: int, seed: int = 1) -> None:
        self._rng = random.Random(seed)
        self._targets = targets
        self._now = 1.0
        self.hosts = list(range(hosts))
        self.working = list(range(targets))
        view = make_view(self.hosts, self.working, targets)
        self.cores = {f"entry-{n}": make_core(f"entry-{n}", view) for n in self.hosts}
        self.kept: dict[int, Endpoint] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self._reached: Endpoint | None = None

    def open(self, caller: int) -> None:
        """Run the handshake of a flow and its first request."""
        self._caller(caller, flows.SYN, 100, 0, 0)
        assert self._reached is not None
        self.kept[caller] = self._reached
        self._answer(caller, self._reached, flows.SYN | flows.ACK, TARGET_ISN, 101)
        self._caller(caller, flows.ACK, 101, TARGET_ISN + 1, 10)

    def request(self, caller: int) -> bool:
        """Send payload and return whether it reached the flow's target and no other."""
        self._reached = None
        self.counts["requests"] += 1
        self._caller(caller, flows.ACK, 111, TARGET_ISN + 1, 10)
        return self._reached == self.kept[caller]

    def change(self, hosts: list[int], working: list[int]) -> None:
        """Give all hosts a new view."""
        self.hosts, self.working = hosts, working
        view = make_view(hosts, working, self._targets)
        self.cores = {name: core for name, core in self.cores.items() if int(name[6:]) in hosts}
        for number in hosts:
            name = f"entry-{number}"
            if name in self.cores:
                self._handle(name, flows.ViewChanged(view))
            else:
                self.cores[name] = make_core(name, view)

    def wait(self, seconds: float, step: float = 0.1) -> None:
        """Let time pass."""
        for _ in range(round(seconds / step)):
            self._now += step
            for name in self.cores:
                self._handle(name, flows.FlowTick())

    def _caller(self, caller: int, flags: int, seq: int, ack: int, size: int) -> None:
        source = Endpoint(CALLERS + caller, CALLER_PORT)
        self._spray(flows.Segment(source, SERVICE, flags, seq, ack, size))

    def _answer(self, caller: int, end: Endpoint, flags: int, seq: int, ack: int) -> None:
        self._spray(flows.Segment(end, Endpoint(CALLERS + caller, CALLER_PORT), flags, seq, ack, 0))

    def _spray(self, segment: flows.Segment) -> None:
        host = f"entry-{self._rng.choice(self.hosts)}"
        self.counts["packets"] += 1
        self._handle(host, flows.SegmentArrived(segment, flows.Stage.FABRIC, "", b"kept"))

    def _handle(self, name: str, event: flows.FlowEvent) -> None:
        for effect in self.cores[name].handle(event, self._now):
            self._carry_out(name, event, effect)

    def _carry_out(self, name: str, event: flows.FlowEvent, effect: flows.FlowEffect) -> None:
        match effect:
            case flows.Relay(host, stage, tag) if host in self.cores:
                assert isinstance(event, flows.SegmentArrived)
                self.counts["relays"] += 1
                self._handle(host, event._replace(stage=stage, sender=name, tag=tag))
            case flows.Replicate(host, pins) if host in self.cores:
                self.counts["pin_bytes"] += sum(24 + len(group.hashes) for group in pins.groups)
                self._handle(host, flows.PinsReceived(pins))
            case flows.ToTarget(end) | flows.Resend(_, end):
                self._reached = end
            case flows.Probe(source, end, seq, ack) if source != SERVICE:
                self.counts["probes"] += 1
                self._probed(source.address - CALLERS, end, seq, ack)

    def _probed(self, caller: int, end: Endpoint, seq: int, ack: int) -> None:
        if self.kept[caller] == end:
            self._answer(caller, end, flows.ACK, ack, seq + 1)
        else:
            self._answer(caller, end, flows.RST, ack, 0)
