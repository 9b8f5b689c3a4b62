"""Simulates one firm's entry hosts, targets and callers in virtual time in one process.

Entry hosts run the real entry core. A target is a queue in front of a number of slots; a caller is
a sequence of timed segments. Machines, links and clocks are not modelled, except for one fixed
delay of each message between hosts and of each segment to a target or caller. Relays of packets
between hosts take no time.
"""

from __future__ import annotations

import collections
import functools
import heapq
import itertools
import random
import struct
from collections.abc import Callable
from typing import NamedTuple

from lacewingrudder_core import entry
from lacewingrudder_core.admission import AdmissionPolicy
from lacewingrudder_core.flows import (
    ACK,
    FIN,
    RST,
    SEQUENCE_MASK,
    SYN,
    Probe,
    Relay,
    Resend,
    Reset,
    Segment,
    SegmentArrived,
    Stage,
    ToCaller,
    ToTarget,
)
from lacewingrudder_core.notes import Catalogue
from lacewingrudder_core.targets import Announced, Announcement, announcement_mac
from lacewingrudder_core.types import (
    Endpoint,
    Kind,
    KindPort,
    Member,
    Service,
    Target,
    TargetState,
    parse_address,
)
from lacewingrudder_wire.resources import load_state_chart

from standins.firms import FirmShape, KindShape, ServiceShape

MESSAGE_DELAY_SECONDS = 0.001
TICK_INTERVAL_SECONDS = 0.1
ANNOUNCE_INTERVAL_SECONDS = 1.0
CONNECTION_LIMIT = 2000
TARGET_FIRST_PORT = 9000
REQUEST_BYTES = 100
ANSWER_BYTES = 1000
_SEGMENT = struct.Struct("!IHIHBIIH")
FIRST_CALLER_ADDRESS = parse_address("172.16.0.0")
PORTS_PER_CALLER_ADDRESS = 50_000
TARGET_ISN = 1000
TARGET_ADDRESS_OFFSET = 50


class FlowPlan(NamedTuple):
    """The caller's side of a flow.

    :param label: groups the results of flows.
    :param service: endpoint to which the caller connects.
    :param request_count: number of requests, sent one after the other.
    :param pause_seconds: time between an answer and the next request.
    :param response_timeout_seconds: timeout of the connection and of each answer.
    """

    label: str
    service: Endpoint
    request_count: int
    pause_seconds: float
    response_timeout_seconds: float


class FlowResult(NamedTuple):
    """The result of a finished flow.

    :param outcome: ``done``, ``refused``, ``reset`` or ``silent`` (timed out).
    :param first_answer_seconds: time from the SYN to the first answer; 0 if there was none.
    :param target: endpoint of the target that accepted the connection last; ``None`` if none did.
    """

    label: str
    outcome: str
    first_answer_seconds: float
    target: Endpoint | None


class FakeTarget:
    """A target with a request queue in front of its slots.

    Half-open flows do not count against its connection limit, as with SYN cookies (RFC 4987).
    """

    def __init__(self, target: Target, key: str, work_seconds: float) -> None:
        self.target = target
        self.work_seconds = work_seconds
        self.is_lost = False
        self.connections: dict[tuple[Endpoint, Endpoint], _TargetConnection] = {}
        self.queue: collections.deque[_QueuedRequest] = collections.deque()
        self.busy_slot_count = 0
        self.established_count = 0
        self._key = key
        self._sequence = 0

    def make_announcement(self) -> Announcement:
        """Return a signed announcement of the current state and load."""
        self._sequence += 1
        load = min(1.0, (self.busy_slot_count + len(self.queue)) / self.target.slots)
        mac = announcement_mac(self._key, self.target, TargetState.SERVING, load, self._sequence)
        return Announcement(self.target, TargetState.SERVING, load, self._sequence, mac)


class _QueuedRequest(NamedTuple):
    caller: Endpoint
    endpoint: Endpoint


class _TargetConnection:
    """The target's state of a flow.

    :param ack: the next sequence number expected from the caller.
    """

    def __init__(self, ack: int) -> None:
        self.seq = TARGET_ISN + 1
        self.ack = ack
        self.is_established = False


class _CallerFlow:
    """The caller's state of a flow."""

    def __init__(self, plan: FlowPlan, local: Endpoint, seq: int, now: float) -> None:
        self.plan = plan
        self.local = local
        self.seq = seq
        self.ack = 0
        self.started = now
        self.answers_received = 0
        self.first_answer_seconds = 0.0
        self.requests_sent = 0


class FloodModel:
    """Simulates all entry hosts, targets and callers of a firm.

    :param make_admission: creates the admission policy of one host.
    :param work_seconds: time that a target takes for a request.
    """

    def __init__(
        self,
        shape: FirmShape,
        make_admission: Callable[[], AdmissionPolicy],
        work_seconds: float,
        seed: int,
    ) -> None:
        self.shape = shape
        self.results: list[FlowResult] = []
        self.now = 0.0
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()
        self._callers: dict[tuple[Endpoint, Endpoint], _CallerFlow] = {}
        self._target_by_caller: dict[Endpoint, Endpoint] = {}
        self._caller_numbers = itertools.count()
        services = tuple(_make_service(service) for service in shape.services)
        members = _make_members(shape)
        self._host_names = [member.name for member in members]
        self._hosts_by_zone = {
            zone: [member.name for member in members if member.zone == zone] for zone in shape.zones
        }
        self._cores = _make_cores(members, Catalogue(1, services), make_admission)
        self._targets: dict[Endpoint, FakeTarget] = {}
        for number, service in enumerate(shape.services):
            self._add_targets(service, TARGET_ADDRESS_OFFSET * (number + 1), work_seconds)
        for name in self._host_names:
            self._schedule_every(
                TICK_INTERVAL_SECONDS, functools.partial(self._handle, name, entry.Tick())
            )

    def targets(self, service: ServiceShape) -> list[FakeTarget]:
        """Return the targets of a service."""
        by_identity = {id(t): t for t in self._targets.values() if t.target.service == service.name}
        return list(by_identity.values())

    def run_until(self, until: float) -> None:
        """Execute events in order up to a point in virtual time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def schedule_at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a point in virtual time."""
        heapq.heappush(self._events, (when, next(self._sequence_numbers), action))

    def forge_syn(self, service: Endpoint) -> None:
        """Send a SYN with a forged source address, from which no caller answers the SYN-ACK."""
        seq = self._rng.getrandbits(32)
        self._send_packet(Segment(self._new_endpoint(), service, SYN, seq, 0, 0))

    def start_flow(self, plan: FlowPlan) -> None:
        """Start a flow by sending its SYN."""
        local = self._new_endpoint()
        caller = _CallerFlow(plan, local, self._rng.getrandbits(32), self.now)
        self._callers[local, plan.service] = caller
        self._send_from_caller(caller, SYN, 0)
        self.schedule_at(
            self.now + plan.response_timeout_seconds, lambda: self._check_connect_timeout(caller)
        )

    def _new_endpoint(self) -> Endpoint:
        number = next(self._caller_numbers)
        return Endpoint(
            FIRST_CALLER_ADDRESS + number // PORTS_PER_CALLER_ADDRESS,
            10_000 + number % PORTS_PER_CALLER_ADDRESS,
        )

    def _add_targets(self, service: ServiceShape, offset: int, work_seconds: float) -> None:
        base = parse_address(service.address) + offset
        zones = itertools.cycle(self.shape.zones)
        for number in range(service.targets):
            ports = tuple(
                KindPort(kind.name, TARGET_FIRST_PORT + index)
                for index, kind in enumerate(service.kinds)
            )
            endpoint = Endpoint(base + number, TARGET_FIRST_PORT)
            target = Target(
                str(endpoint),
                service.name,
                next(zones),
                base + number,
                ports,
                service.slots,
                CONNECTION_LIMIT,
                1,
            )
            fake = FakeTarget(target, service.key, work_seconds)
            for kind_port in ports:
                self._targets[Endpoint(base + number, kind_port.port)] = fake
            self._schedule_every(ANNOUNCE_INTERVAL_SECONDS, functools.partial(self._announce, fake))

    def _schedule_every(self, period: float, action: Callable[[], None]) -> None:
        def step() -> None:
            action()
            self.schedule_at(self.now + period, step)

        self.schedule_at(self.now + self._rng.random() * period, step)

    def _announce(self, fake: FakeTarget) -> None:
        if not fake.is_lost:
            self._handle(
                self._rng.choice(self._hosts_by_zone[fake.target.zone]),
                Announced(0, fake.make_announcement()),
            )

    def _handle(self, name: str, event: entry.EntryEvent) -> None:
        for effect in self._cores[name].handle(event, self.now):
            if isinstance(effect, entry.SendToPeer):
                self._send_to_peer(name, effect)
            else:
                self._deliver_generated(effect)

    def _send_to_peer(self, sender: str, effect: entry.SendToPeer) -> None:
        message = entry.PeerMessage(sender, effect.body)
        self.schedule_at(
            self.now + MESSAGE_DELAY_SECONDS, lambda: self._handle(effect.host, message)
        )

    def _send_packet(self, segment: Segment) -> None:
        """Deliver a packet to a random host, as the fabric does, and process it there."""
        packet = _SEGMENT.pack(*segment.source, *segment.destination, *segment[2:])
        arrived = SegmentArrived(segment, Stage.FABRIC, "", packet)
        self._receive_at_host(self._rng.choice(self._host_names), arrived)

    def _receive_at_host(self, name: str, arrived: SegmentArrived) -> None:
        segment = arrived.segment
        for effect in self._cores[name].handle(arrived, self.now):
            match effect:
                case Relay(host, stage, tag):
                    self._receive_at_host(host, arrived._replace(stage=stage, sender=name, tag=tag))
                case ToTarget(endpoint):
                    self._send_to_target(segment, endpoint)
                case ToCaller(service):
                    self._send_to_caller(segment._replace(source=service))
                case entry.SendToPeer():
                    self._send_to_peer(name, effect)
                case _:
                    self._deliver_generated(effect)

    def _deliver_generated(self, effect: entry.EntryEffect) -> None:
        """Send a segment that a host buffered or generated itself."""
        match effect:
            case Resend(packet, endpoint):
                fields = _SEGMENT.unpack(packet)
                segment = Segment(Endpoint(*fields[:2]), Endpoint(*fields[2:4]), *fields[4:])
                self._send_to_target(segment, endpoint)
            case Reset(source, destination, seq, ack, flags):
                self._send_to_endpoint(Segment(source, destination, flags, seq, ack, 0))
            case Probe(source, destination, seq, ack):
                self._send_to_endpoint(Segment(source, destination, ACK, seq, ack, 0))

    def _send_to_endpoint(self, segment: Segment) -> None:
        if segment.destination in self._targets:
            self._send_to_target(segment, segment.destination)
        else:
            self._send_to_caller(segment)

    def _send_to_target(self, segment: Segment, endpoint: Endpoint) -> None:
        self.schedule_at(
            self.now + MESSAGE_DELAY_SECONDS, lambda: self._receive_at_target(segment, endpoint)
        )

    def _send_to_caller(self, segment: Segment) -> None:
        self.schedule_at(self.now + MESSAGE_DELAY_SECONDS, lambda: self._receive_at_caller(segment))

    def _receive_at_target(self, segment: Segment, endpoint: Endpoint) -> None:
        fake = self._targets[endpoint]
        if fake.is_lost:
            return
        pair = (segment.source, endpoint)
        connection = fake.connections.get(pair)
        if segment.flags & SYN:
            self._accept(fake, pair, segment)
        elif connection is not None:
            self._receive_on_connection(fake, pair, connection, segment)
        elif not segment.flags & RST:
            self._send_packet(Segment(endpoint, segment.source, RST, segment.ack, 0, 0))

    def _receive_on_connection(
        self,
        fake: FakeTarget,
        pair: tuple[Endpoint, Endpoint],
        connection: _TargetConnection,
        segment: Segment,
    ) -> None:
        fake.established_count += not connection.is_established
        connection.is_established = True
        if segment.flags & (RST | FIN):
            del fake.connections[pair]
            fake.established_count -= 1
            if segment.flags & FIN:
                connection.ack = segment.seq + 1
                self._send_from_target(pair, connection, FIN | ACK, 0)
        elif segment.payload:
            connection.ack = segment.seq + segment.payload
            fake.queue.append(_QueuedRequest(*pair))
            self._start_requests(fake)
        elif segment.seq != connection.ack:
            self._send_from_target(pair, connection, ACK, 0)

    def _accept(self, fake: FakeTarget, pair: tuple[Endpoint, Endpoint], segment: Segment) -> None:
        connection = _TargetConnection(segment.seq + 1)
        if fake.established_count >= fake.target.connection_limit:
            self._send_from_target(pair, connection, RST | ACK, 0)
            return
        fake.connections[pair] = connection
        self._target_by_caller[pair[0]] = pair[1]
        connection.seq = TARGET_ISN
        self._send_from_target(pair, connection, SYN | ACK, 0)
        connection.seq = TARGET_ISN + 1

    def _start_requests(self, fake: FakeTarget) -> None:
        while fake.queue and fake.busy_slot_count < fake.target.slots:
            request = fake.queue.popleft()
            if tuple(request) not in fake.connections:
                continue
            fake.busy_slot_count += 1
            self.schedule_at(
                self.now + fake.work_seconds, functools.partial(self._finish_request, fake, request)
            )

    def _finish_request(self, fake: FakeTarget, request: _QueuedRequest) -> None:
        fake.busy_slot_count -= 1
        pair = (request.caller, request.endpoint)
        connection = fake.connections.get(pair)
        if connection is not None and not fake.is_lost:
            self._send_from_target(pair, connection, ACK, ANSWER_BYTES)
            connection.seq += ANSWER_BYTES
        self._start_requests(fake)

    def _send_from_target(
        self,
        pair: tuple[Endpoint, Endpoint],
        connection: _TargetConnection,
        flags: int,
        payload: int,
    ) -> None:
        caller, endpoint = pair
        ack = connection.ack & SEQUENCE_MASK
        self._send_packet(Segment(endpoint, caller, flags, connection.seq, ack, payload))

    def _receive_at_caller(self, segment: Segment) -> None:
        caller = self._callers.get((segment.destination, segment.source))
        if caller is None:
            return
        if segment.flags & RST:
            self._finish_flow(caller, "reset" if caller.requests_sent else "refused")
        elif segment.flags & SYN and not caller.requests_sent:
            caller.seq += 1
            caller.ack = segment.seq + 1
            self._send_from_caller(caller, ACK, 0)
            self._send_request(caller)
        elif segment.payload:
            caller.ack = segment.seq + segment.payload
            self._record_answer(caller)
        elif segment.seq != caller.ack:
            self._send_from_caller(caller, ACK, 0)

    def _send_request(self, caller: _CallerFlow) -> None:
        if self._callers.get((caller.local, caller.plan.service)) is not caller:
            return
        caller.requests_sent += 1
        self._send_from_caller(caller, ACK, REQUEST_BYTES)
        requests_sent = caller.requests_sent
        self.schedule_at(
            self.now + caller.plan.response_timeout_seconds,
            lambda: self._check_answer_timeout(caller, requests_sent),
        )

    def _record_answer(self, caller: _CallerFlow) -> None:
        caller.answers_received += 1
        caller.first_answer_seconds = caller.first_answer_seconds or self.now - caller.started
        if caller.answers_received < caller.plan.request_count:
            self._send_from_caller(caller, ACK, 0)
            self.schedule_at(
                self.now + caller.plan.pause_seconds, functools.partial(self._send_request, caller)
            )
            return
        self._send_from_caller(caller, FIN | ACK, 0)
        self._finish_flow(caller, "done")

    def _check_connect_timeout(self, caller: _CallerFlow) -> None:
        if not caller.requests_sent:
            self._abort(caller)

    def _check_answer_timeout(self, caller: _CallerFlow, requests_sent: int) -> None:
        if caller.answers_received < requests_sent:
            self._abort(caller)

    def _abort(self, caller: _CallerFlow) -> None:
        if (caller.local, caller.plan.service) in self._callers:
            self._send_from_caller(caller, RST | ACK, 0)
            self._finish_flow(caller, "silent")

    def _finish_flow(self, caller: _CallerFlow, outcome: str) -> None:
        plan = caller.plan
        del self._callers[caller.local, plan.service]
        self.results.append(
            FlowResult(
                plan.label,
                outcome,
                caller.first_answer_seconds,
                self._target_by_caller.get(caller.local),
            )
        )

    def _send_from_caller(self, caller: _CallerFlow, flags: int, payload: int) -> None:
        ack = 0 if flags & SYN else caller.ack
        seq = caller.seq & SEQUENCE_MASK
        self._send_packet(Segment(caller.local, caller.plan.service, flags, seq, ack, payload))
        caller.seq += payload


def kind_endpoint(service: ServiceShape, kind: KindShape) -> Endpoint:
    """Return the endpoint at which callers reach a kind of a service."""
    return Endpoint(parse_address(service.address), kind.port)


def _make_service(shape: ServiceShape) -> Service:
    kinds = tuple(Kind(*kind) for kind in shape.kinds)
    return Service(shape.name, parse_address(shape.address), shape.key, kinds)


def _make_members(shape: FirmShape) -> list[Member]:
    zones = itertools.cycle(shape.zones)
    return [
        Member(f"entry-{number}", next(zones), 1, Endpoint(number, 1), Endpoint(number, 2))
        for number in range(1, shape.entry_hosts + 1)
    ]


def _make_cores(
    members: list[Member], catalogue: Catalogue, make_admission: Callable[[], AdmissionPolicy]
) -> dict[str, entry.EntryCore]:
    names = tuple(member.name for member in members)
    chart = load_state_chart("target")
    return {
        member.name: entry.EntryCore(member, names, chart, catalogue, admission=make_admission())
        for member in members
    }
