"""Runs the flow cores of several hosts through the steps of a session script.

A line that starts with ``>`` is a step; the lines below it are the expected effects. Steps:

* ``> hosts a:adum b:suame:2`` (a second incarnation of b) and ``> targets t1 t2 t3`` set the view
  of all running hosts;
* ``> view a hosts=a,b targets=t1,t2`` sets the view of one host and starts it if necessary;
* ``> caller 5001 S 100 0 0 via a`` delivers a caller's segment (flags, seq, ack, payload) to
  host ``a``;
* ``> target t1 5001 SA 900 101 0 via b`` delivers a target's segment to host ``b``;
* ``> wait 0.5`` lets seconds pass; ``> kill a`` stops a host, ``> leave a`` announces its stop;
* ``> cut a`` partitions a host from the others, ``> heal`` ends the partition;
* ``> withdraw`` removes the service from all views.
"""

from __future__ import annotations

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

TICK_INTERVAL_SECONDS = 0.1
SERVICE = Endpoint(0x0A0A0001, 443)
CALLER = 0xC0000201
TARGET_PORT = 9000
TARGET_NETWORK = 0x0A0A0100
FLAGS = {"S": flows.SYN, "A": flows.ACK, "F": flows.FIN, "R": flows.RST}
KIND = Kind("edits", SERVICE.port, 9, False, 0.5)
TARGETS = [f"t{number}" for number in range(1, 5)]


def endpoint(target: str) -> Endpoint:
    """Return the endpoint of a target named ``t1`` or, in recorded sessions, by its endpoint."""
    if ":" in target:
        return Endpoint.parse(target)
    return Endpoint(TARGET_NETWORK + int(target[1:]), TARGET_PORT)


def make_view(hosts: list[str], targets: list[str]) -> RoutingView:
    """Return a view of hosts given as ``NAME:ZONE`` or ``NAME:ZONE:INCARNATION``."""
    members = []
    for index, host in enumerate(hosts):
        name, zone, *incarnation = host.split(":")
        started = int(incarnation[0]) if incarnation else 1
        members.append(Member(name, zone, started, Endpoint(index, 1), Endpoint(index, 2)))
    table = PlacementTable([WeightedTarget(name, 1.0) for name in targets])
    endpoints = {name: endpoint(name) for name in [*TARGETS, *targets]}
    route = KindRoute("proofdesk", KIND, table, endpoints)
    answers = {end: TargetRoute(name, SERVICE) for name, end in endpoints.items()}
    return RoutingView(HomeTable(members), {SERVICE: route}, answers)


class Session:
    """Several hosts, their messages to each other and a log of their effects."""

    def __init__(self) -> None:
        self.now = 0.0
        self.log: list[str] = []
        self.cores: dict[str, flows.FlowCore] = {}
        self.payload_targets: dict[tuple[int, int], set[str]] = {}
        self._hosts: list[str] = []
        self._targets: list[str] = []
        self._partitioned: set[str] = set()
        self._isn: dict[int, int] = {}

    def step(self, line: str) -> None:
        verb, *words = line.split()
        getattr(self, f"step_{verb}")(*words)

    def deliver_segment(self, host: str, segment: flows.Segment) -> None:
        """Deliver a segment from the fabric to a host and execute all resulting effects."""
        packet = repr(segment).encode()
        self._handle(host, flows.SegmentArrived(segment, flows.Stage.FABRIC, "", packet))

    def _set_hosts(self, hosts: list[str]) -> None:
        self._hosts = hosts
        for host in hosts:
            self._set_view(host.partition(":")[0], hosts, self._targets)

    def _set_view(self, name: str, hosts: list[str], targets: list[str]) -> None:
        view = make_view(hosts, targets)
        if name in self.cores:
            self._handle(name, flows.ViewChanged(view))
        else:
            health = HealthTracker()
            self.cores[name] = flows.FlowCore(name, view, AdmitAll(), TablePlacement(), health)

    def step_hosts(self, *hosts: str) -> None:
        self._set_hosts(list(hosts))

    def step_targets(self, *targets: str) -> None:
        self._targets = list(targets)
        self._set_hosts([host for host in self._hosts if host.partition(":")[0] in self.cores])

    def step_view(self, name: str, hosts: str, targets: str) -> None:
        self._set_view(
            name, hosts.partition("=")[2].split(","), targets.partition("=")[2].split(",")
        )

    def step_withdraw(self) -> None:
        for name in self.cores:
            homes = make_view(self._hosts, []).homes
            self._handle(name, flows.ViewChanged(RoutingView(homes, {}, {})))

    def step_caller(
        self, port: str, flags: str, seq: str, ack: str, size: str, _: str, via: str
    ) -> None:
        source = Endpoint(CALLER, int(port))
        bits = sum(FLAGS[flag] for flag in flags)
        if flags == "S":
            self._isn[int(port)] = int(seq)
        self.deliver_segment(
            via, flows.Segment(source, SERVICE, bits, int(seq), int(ack), int(size))
        )

    def step_target(
        self, name: str, port: str, flags: str, seq: str, ack: str, size: str, _: str, via: str
    ) -> None:
        bits = sum(FLAGS[flag] for flag in flags)
        destination = Endpoint(CALLER, int(port))
        segment = flows.Segment(endpoint(name), destination, bits, int(seq), int(ack), int(size))
        self.deliver_segment(via, segment)

    def step_wait(self, seconds: str) -> None:
        until = self.now + float(seconds) - TICK_INTERVAL_SECONDS / 2
        while self.now < until:
            self.now += TICK_INTERVAL_SECONDS
            for name in list(self.cores):
                self._handle(name, flows.FlowTick())

    def step_kill(self, name: str) -> None:
        del self.cores[name]

    def step_leave(self, name: str) -> None:
        self._handle(name, flows.LeaveRequested())

    def step_cut(self, *names: str) -> None:
        self._partitioned = set(names)

    def step_heal(self) -> None:
        self._partitioned = set()

    def _handle(self, name: str, event: flows.FlowEvent) -> None:
        for effect in self.cores[name].handle(event, self.now):
            self._execute(name, event, effect)

    def _execute(self, name: str, event: flows.FlowEvent, effect: flows.FlowEffect) -> None:
        self.log.append(f"  {name}: {self._describe(event, effect)}")
        if isinstance(effect, flows.Relay | flows.Replicate) and self._can_reach(name, effect.host):
            self._handle(effect.host, _received(name, event, effect))

    def _can_reach(self, name: str, other: str) -> bool:
        return other in self.cores and (name in self._partitioned) == (other in self._partitioned)

    def _describe(self, event: flows.FlowEvent, effect: flows.FlowEffect) -> str:
        match effect:
            case flows.Relay(host, stage, _):
                return f"relay to {host} as {stage.name.lower()}"
            case flows.Replicate(host, pins):
                groups = " ".join(
                    f"{g.target or 'ended'}x{len(g.hashes) // 8}" for g in pins.groups
                )
                return f"pins to {host}: {groups}"
            case flows.ToTarget(end):
                assert isinstance(event, flows.SegmentArrived)
                return f"to {self._record_sent(end, event.segment)}"
            case flows.Resend(_, end):
                return f"resend to {_name(end)}"
            case flows.ToCaller():
                return "to caller"
            case flows.Drop(reason):
                return f"drop {reason}"
            case flows.Reset(_, end, seq, ack, _):
                return f"reset {_name(end)} seq={seq} ack={ack}"
            case flows.Probe(_, end, seq, ack):
                return f"probe {_name(end)} seq={seq} ack={ack}"
            case flows.VerdictReached(_, target, verdict, reason):
                return f"verdict {verdict} {reason} {target}".rstrip()

    def _record_sent(self, end: Endpoint, segment: flows.Segment) -> str:
        """Return the target's name; record the target if the segment carries payload."""
        if segment.payload:
            port = segment.source.port
            self.payload_targets.setdefault((port, self._isn.get(port, 0)), set()).add(_name(end))
        return _name(end)


def _received(
    name: str, event: flows.FlowEvent, effect: flows.Relay | flows.Replicate
) -> flows.FlowEvent:
    if isinstance(effect, flows.Replicate):
        return flows.PinsReceived(effect.pins)
    assert isinstance(event, flows.SegmentArrived)
    return event._replace(stage=effect.stage, sender=name, tag=effect.tag)


def _name(end: Endpoint) -> str:
    if end.address == CALLER:
        return "caller"
    number = end.address - TARGET_NETWORK
    return f"t{number}" if number > 0 else str(end)


def run_session(text: str) -> Session:
    """Run a session script; the log then reproduces the script with the actual effects."""
    session = Session()
    for line in text.splitlines():
        if line.startswith("#") or not line.strip():
            session.log.append(line)
        elif line.startswith("> "):
            session.log.append(line)
            session.step(line[2:])
    return session
