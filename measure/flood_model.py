"""Entry cores of one firm, fake targets and callers, stepped in virtual time in one process.

The cores are the product's own. A target is a queue before its slots; a caller is a few timed
segments. There is no model of hosts, links or clocks beyond one fixed delay.
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

DELAY_SECONDS = 0.001
TICK_SECONDS = 0.1
ANNOUNCE_SECONDS = 1.0
CONNECTION_LIMIT = 2000
TARGET_FIRST_PORT = 9000
REQUEST_BYTES = 100
ANSWER_BYTES = 1000
_SEGMENT = struct.Struct("!IHIHBIIH")
CALLERS_ADDRESS = parse_address("172.16.0.0")
PORTS = 50_000
TARGET_ISN = 1000
TARGETS_OFFSET = 50


class FlowPlan(NamedTuple):
    """What a caller does.

    :param requests: how many it sends, one after the other.
    :param pause: seconds between an answer and the next request.
    :param patience: seconds it waits for the connection and for each answer.
    """

    label: str
    service: Endpoint
    requests: int
    pause: float
    patience: float


class FlowEnd(NamedTuple):
    """What became of a flow.

    :param outcome: ``done``, ``refused``, ``reset`` or ``silent``.
    :param seconds: from the SYN to the first answer; 0 if there was none.
    """

    label: str
    outcome: str
    seconds: float
    target: Endpoint | None


class FakeTarget:
    """A queue before a number of slots.

    Half-open flows do not count against its connection limit, as with SYN cookies (RFC 4987).
    """

    def __init__(self, target: Target, key: str, work_seconds: float) -> None:
        self.target = target
        self.work_seconds = work_seconds
        self.is_lost = False
        self.connections: dict[tuple[Endpoint, Endpoint], _Connection] = {}
        self.queue: collections.deque[_Work] = collections.deque()
        self.busy = 0
        self.established = 0
        self._key = key
        self._sequence = 0

    def announcement(self) -> Announcement:
        """Return what this target says of itself now."""
        self._sequence += 1
        load = min(1.0, (self.busy + len(self.queue)) / self.target.slots)
        mac = announcement_mac(self._key, self.target, TargetState.SERVING, load, self._sequence)
        return Announcement(self.target, TargetState.SERVING, load, self._sequence, mac)


class _Work(NamedTuple):
    caller: Endpoint
    endpoint: Endpoint


class _Connection:
    """A flow at its target's end.

    :param ack: the caller's next sequence number.
    """

    def __init__(self, ack: int) -> None:
        self.seq = TARGET_ISN + 1
        self.ack = ack
        self.is_established = False


class _Caller:
    """One flow at its caller's end."""

    def __init__(self, plan: FlowPlan, local: Endpoint, seq: int, now: float) -> None:
        self.plan = plan
        self.local = local
        self.seq = seq
        self.ack = 0
        self.started = now
        self.answered = 0
        self.first_answer = 0.0
        self.asked = 0


class FloodModel:
    """All entry hosts of a firm with its targets.

    :param make_admission: makes the policy of one host.
    :param work_seconds: time a target works on a request.
    """

    def __init__(
        self,
        shape: FirmShape,
        make_admission: Callable[[], AdmissionPolicy],
        work_seconds: float,
        seed: int,
    ) -> None:
        self.shape = shape
        self.ends: list[FlowEnd] = []
        self.now = 0.0
        self._random = random.Random(seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._callers: dict[tuple[Endpoint, Endpoint], _Caller] = {}
        self._placed: dict[Endpoint, Endpoint] = {}
        self._number = itertools.count()
        services = tuple(_service(service) for service in shape.services)
        members = _members(shape)
        self._names = [member.name for member in members]
        self._in_zone = {
            zone: [member.name for member in members if member.zone == zone] for zone in shape.zones
        }
        self._cores = _cores(members, Catalogue(1, services), make_admission)
        self._targets: dict[Endpoint, FakeTarget] = {}
        for number, service in enumerate(shape.services):
            self._add_targets(service, TARGETS_OFFSET * (number + 1), work_seconds)
        for name in self._names:
            self._repeat(TICK_SECONDS, functools.partial(self._feed, name, entry.Tick()))

    def targets(self, service: ServiceShape) -> list[FakeTarget]:
        """Return the targets of a service."""
        found = {id(t): t for t in self._targets.values() if t.target.service == service.name}
        return list(found.values())

    def run(self, until: float) -> None:
        """Step on until a moment of virtual time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Do something at a moment."""
        heapq.heappush(self._queue, (when, next(self._order), action))

    def forge_syn(self, service: Endpoint) -> None:
        """Send a SYN whose source knows nothing of it."""
        seq = self._random.getrandbits(32)
        self._packet(Segment(self._new_endpoint(), service, SYN, seq, 0, 0))

    def start_flow(self, plan: FlowPlan) -> None:
        """Start a flow now."""
        local = self._new_endpoint()
        caller = _Caller(plan, local, self._random.getrandbits(32), self.now)
        self._callers[local, plan.service] = caller
        self._from_caller(caller, SYN, 0)
        self.at(self.now + plan.patience, lambda: self._give_up_connecting(caller))

    def _new_endpoint(self) -> Endpoint:
        number = next(self._number)
        return Endpoint(CALLERS_ADDRESS + number // PORTS, 10_000 + number % PORTS)

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
            for entry_ in ports:
                self._targets[Endpoint(base + number, entry_.port)] = fake
            self._repeat(ANNOUNCE_SECONDS, functools.partial(self._announce, fake))

    def _repeat(self, period: float, action: Callable[[], None]) -> None:
        def step() -> None:
            action()
            self.at(self.now + period, step)

        self.at(self.now + self._random.random() * period, step)

    def _announce(self, fake: FakeTarget) -> None:
        if not fake.is_lost:
            self._feed(
                self._random.choice(self._in_zone[fake.target.zone]),
                Announced(0, fake.announcement()),
            )

    def _feed(self, name: str, event: entry.EntryEvent) -> None:
        for effect in self._cores[name].handle(event, self.now):
            if isinstance(effect, entry.SendToPeer):
                self._to_peer(name, effect)
            else:
                self._deliver_own(effect)

    def _to_peer(self, sender: str, effect: entry.SendToPeer) -> None:
        message = entry.PeerMessage(sender, effect.body)
        self.at(self.now + DELAY_SECONDS, lambda: self._feed(effect.host, message))

    def _packet(self, segment: Segment) -> None:
        """Hand a packet to any host and follow it to where it leaves the system."""
        packet = _SEGMENT.pack(*segment.source, *segment.destination, *segment[2:])
        arrived = SegmentArrived(segment, Stage.FABRIC, "", packet)
        self._at_host(self._random.choice(self._names), arrived)

    def _at_host(self, name: str, arrived: SegmentArrived) -> None:
        segment = arrived.segment
        for effect in self._cores[name].handle(arrived, self.now):
            match effect:
                case Relay(host, stage, tag):
                    self._at_host(host, arrived._replace(stage=stage, sender=name, tag=tag))
                case ToTarget(endpoint):
                    self._to_target(segment, endpoint)
                case ToCaller(service):
                    self._to_caller(segment._replace(source=service))
                case entry.SendToPeer():
                    self._to_peer(name, effect)
                case _:
                    self._deliver_own(effect)

    def _deliver_own(self, effect: entry.EntryEffect) -> None:
        """Deliver a segment that a host sends of its own."""
        match effect:
            case Resend(packet, endpoint):
                fields = _SEGMENT.unpack(packet)
                segment = Segment(Endpoint(*fields[:2]), Endpoint(*fields[2:4]), *fields[4:])
                self._to_target(segment, endpoint)
            case Reset(source, destination, seq, ack, flags):
                self._to_end(Segment(source, destination, flags, seq, ack, 0))
            case Probe(source, destination, seq, ack):
                self._to_end(Segment(source, destination, ACK, seq, ack, 0))

    def _to_end(self, segment: Segment) -> None:
        if segment.destination in self._targets:
            self._to_target(segment, segment.destination)
        else:
            self._to_caller(segment)

    def _to_target(self, segment: Segment, endpoint: Endpoint) -> None:
        self.at(self.now + DELAY_SECONDS, lambda: self._at_target(segment, endpoint))

    def _to_caller(self, segment: Segment) -> None:
        self.at(self.now + DELAY_SECONDS, lambda: self._at_caller(segment))

    def _at_target(self, segment: Segment, endpoint: Endpoint) -> None:
        fake = self._targets[endpoint]
        if fake.is_lost:
            return
        pair = (segment.source, endpoint)
        connection = fake.connections.get(pair)
        if segment.flags & SYN:
            self._accept(fake, pair, segment)
        elif connection is not None:
            self._take(fake, pair, connection, segment)
        elif not segment.flags & RST:
            self._packet(Segment(endpoint, segment.source, RST, segment.ack, 0, 0))

    def _take(
        self,
        fake: FakeTarget,
        pair: tuple[Endpoint, Endpoint],
        connection: _Connection,
        segment: Segment,
    ) -> None:
        fake.established += not connection.is_established
        connection.is_established = True
        if segment.flags & (RST | FIN):
            del fake.connections[pair]
            fake.established -= 1
            if segment.flags & FIN:
                connection.ack = segment.seq + 1
                self._answer(pair, connection, FIN | ACK, 0)
        elif segment.payload:
            connection.ack = segment.seq + segment.payload
            fake.queue.append(_Work(*pair))
            self._work(fake)
        elif segment.seq != connection.ack:
            self._answer(pair, connection, ACK, 0)

    def _accept(self, fake: FakeTarget, pair: tuple[Endpoint, Endpoint], segment: Segment) -> None:
        connection = _Connection(segment.seq + 1)
        if fake.established >= fake.target.connection_limit:
            self._answer(pair, connection, RST | ACK, 0)
            return
        fake.connections[pair] = connection
        self._placed[pair[0]] = pair[1]
        connection.seq = TARGET_ISN
        self._answer(pair, connection, SYN | ACK, 0)
        connection.seq = TARGET_ISN + 1

    def _work(self, fake: FakeTarget) -> None:
        while fake.queue and fake.busy < fake.target.slots:
            work = fake.queue.popleft()
            if tuple(work) not in fake.connections:
                continue
            fake.busy += 1
            self.at(self.now + fake.work_seconds, functools.partial(self._worked, fake, work))

    def _worked(self, fake: FakeTarget, work: _Work) -> None:
        fake.busy -= 1
        pair = (work.caller, work.endpoint)
        connection = fake.connections.get(pair)
        if connection is not None and not fake.is_lost:
            self._answer(pair, connection, ACK, ANSWER_BYTES)
            connection.seq += ANSWER_BYTES
        self._work(fake)

    def _answer(
        self, pair: tuple[Endpoint, Endpoint], connection: _Connection, flags: int, payload: int
    ) -> None:
        caller, endpoint = pair
        ack = connection.ack & SEQUENCE_MASK
        self._packet(Segment(endpoint, caller, flags, connection.seq, ack, payload))

    def _at_caller(self, segment: Segment) -> None:
        caller = self._callers.get((segment.destination, segment.source))
        if caller is None:
            return
        if segment.flags & RST:
            self._end(caller, "reset" if caller.asked else "refused")
        elif segment.flags & SYN and not caller.asked:
            caller.seq += 1
            caller.ack = segment.seq + 1
            self._from_caller(caller, ACK, 0)
            self._ask(caller)
        elif segment.payload:
            caller.ack = segment.seq + segment.payload
            self._answered(caller)
        elif segment.seq != caller.ack:
            self._from_caller(caller, ACK, 0)

    def _ask(self, caller: _Caller) -> None:
        if self._callers.get((caller.local, caller.plan.service)) is not caller:
            return
        caller.asked += 1
        self._from_caller(caller, ACK, REQUEST_BYTES)
        asked = caller.asked
        self.at(self.now + caller.plan.patience, lambda: self._give_up_waiting(caller, asked))

    def _answered(self, caller: _Caller) -> None:
        caller.answered += 1
        caller.first_answer = caller.first_answer or self.now - caller.started
        if caller.answered < caller.plan.requests:
            self._from_caller(caller, ACK, 0)
            self.at(self.now + caller.plan.pause, functools.partial(self._ask, caller))
            return
        self._from_caller(caller, FIN | ACK, 0)
        self._end(caller, "done")

    def _give_up_connecting(self, caller: _Caller) -> None:
        if not caller.asked:
            self._abort(caller)

    def _give_up_waiting(self, caller: _Caller, asked: int) -> None:
        if caller.answered < asked:
            self._abort(caller)

    def _abort(self, caller: _Caller) -> None:
        if (caller.local, caller.plan.service) in self._callers:
            self._from_caller(caller, RST | ACK, 0)
            self._end(caller, "silent")

    def _end(self, caller: _Caller, outcome: str) -> None:
        plan = caller.plan
        del self._callers[caller.local, plan.service]
        self.ends.append(
            FlowEnd(plan.label, outcome, caller.first_answer, self._placed.get(caller.local))
        )

    def _from_caller(self, caller: _Caller, flags: int, payload: int) -> None:
        ack = 0 if flags & SYN else caller.ack
        seq = caller.seq & SEQUENCE_MASK
        self._packet(Segment(caller.local, caller.plan.service, flags, seq, ack, payload))
        caller.seq += payload


def kind_endpoint(service: ServiceShape, kind: KindShape) -> Endpoint:
    """Return where callers reach a kind of work."""
    return Endpoint(parse_address(service.address), kind.port)


def _service(shape: ServiceShape) -> Service:
    kinds = tuple(Kind(*kind) for kind in shape.kinds)
    return Service(shape.name, parse_address(shape.address), shape.key, kinds)


def _members(shape: FirmShape) -> list[Member]:
    zones = itertools.cycle(shape.zones)
    return [
        Member(f"entry-{number}", next(zones), 1, Endpoint(number, 1), Endpoint(number, 2))
        for number in range(1, shape.entry_hosts + 1)
    ]


def _cores(
    members: list[Member], catalogue: Catalogue, make_admission: Callable[[], AdmissionPolicy]
) -> dict[str, entry.EntryCore]:
    names = tuple(member.name for member in members)
    chart = load_state_chart("target")
    return {
        member.name: entry.EntryCore(member, names, chart, catalogue, admission=make_admission())
        for member in members
    }
