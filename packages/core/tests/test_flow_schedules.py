"""Random schedules: established flows must keep their target.

Hosts die and join, targets drain, views are delayed, and packets are lost and duplicated.
"""

import random
import unittest

from flow_session import CALLER, SERVICE, Session
from lacewingrudder_core import flows
from lacewingrudder_core.types import Endpoint

SEEDS = (*range(10), 110, 113, 189, 278)
STEP_COUNT = 40
TARGETS = [f"t{number}" for number in range(1, 5)]
ZONES = ("adum", "suame", "ahodwo")
HOSTS = [f"{name}:{zone}" for name, zone in zip("abcdef", ZONES * 2, strict=True)]
REQUEST_BYTES = 50
MAX_ATTEMPTS = 12
CALLER_ISN = 100
TARGET_ISN_STEP = 1 << 27


def target_isn(end: Endpoint) -> int:
    """Return the initial sequence number of a target, far from those of other targets."""
    return (end.address & 0xFF) * TARGET_ISN_STEP


class Caller:
    """A caller with one flow, and the state of its connection."""

    def __init__(self, port: int) -> None:
        self.source = Endpoint(CALLER, port)
        self.target: Endpoint | None = None
        self.is_connected = False
        self.sent = 0
        self.answered = 0

    @property
    def target_isn(self) -> int:
        assert self.target is not None
        return target_isn(self.target)


class Schedule(Session):
    """A session with simulated targets and callers that answer segments."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.callers: dict[int, Caller] = {}
        self.target_flows: dict[tuple[Endpoint, int], int] = {}
        self.violations: list[str] = []
        self.hosts = HOSTS[:4]
        self.accepting = TARGETS[:3]
        self._view_due_at: dict[str, float] = {}
        for host in self.hosts:
            self.update_view(host[0])

    def update_view(self, name: str) -> None:
        """Give a host the current view; a host that starts first gets a view of itself only."""
        self._view_due_at.pop(name, None)
        if name not in self.cores:
            self._set_view(name, [host for host in HOSTS if host[0] == name], self.accepting)
        self._set_view(name, self.hosts, self.accepting)

    def change_cluster(self) -> None:
        """Change the hosts or targets; each host gets the new view within a second."""
        kind = self.rng.randrange(4)
        if kind == 0 and len(self.hosts) > 2:
            stopped = self.rng.choice(self.hosts)
            self.hosts = [host for host in self.hosts if host != stopped]
            self.cores.pop(stopped[0], None)
        elif kind == 1:
            absent = [host for host in HOSTS if host not in self.hosts]
            self.hosts = [*self.hosts, *absent[:1]]
        else:
            self.accepting = self.rng.sample(TARGETS, 3)
        for host in self.hosts:
            self._view_due_at[host[0]] = self.now + self.rng.random()

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.step_wait("0.1")
            for name, at in list(self._view_due_at.items()):
                if at <= self.now:
                    self.update_view(name)

    def send_copies(self, segment: flows.Segment) -> None:
        copies = self.rng.choice((0, 1, 1, 1, 1, 1, 1, 1, 1, 2))
        for _ in range(copies):
            names = sorted(self.cores)
            self.deliver_segment(self.rng.choice(names), segment)

    def open(self, port: int) -> None:
        caller = self.callers[port] = Caller(port)
        for _ in range(MAX_ATTEMPTS):
            self.send_copies(flows.Segment(caller.source, SERVICE, flows.SYN, CALLER_ISN, 0, 0))
            if caller.is_connected:
                return
            self.pass_time(0.3)

    def request(self, caller: Caller) -> bool:
        """Send a request, with retransmissions; return whether it was answered."""
        caller.sent += 1
        seq = CALLER_ISN + 1 + (caller.sent - 1) * REQUEST_BYTES
        ack = caller.target_isn + 1 + caller.answered * REQUEST_BYTES
        for _ in range(MAX_ATTEMPTS):
            payload = flows.Segment(caller.source, SERVICE, flows.ACK, seq, ack, REQUEST_BYTES)
            self.send_copies(payload)
            if caller.answered == caller.sent:
                return True
            self.pass_time(0.3)
        return False

    def _execute(self, name: str, event: flows.FlowEvent, effect: flows.FlowEffect) -> None:
        super()._execute(name, event, effect)
        match effect:
            case flows.ToTarget(end) if isinstance(event, flows.SegmentArrived):
                self._receive_at_target(end, event.segment)
            case flows.Resend(packet, end):
                self._receive_at_target(end, eval(packet, vars(flows) | {"Endpoint": Endpoint}))
            case flows.Probe(source, end, seq, ack) if end.address != CALLER:
                self._receive_at_target(end, flows.Segment(source, SERVICE, flows.ACK, seq, ack, 0))
            case flows.Reset(source, end, seq, _, _):
                self._reset(source, end, seq)
            case flows.ToCaller() if isinstance(event, flows.SegmentArrived):
                self._receive_at_caller(event.segment)

    def _receive_at_target(self, end: Endpoint, segment: flows.Segment) -> None:
        key = (end, segment.source.port)
        if segment.flags & flows.SYN:
            self.target_flows.setdefault(key, 0)
            return self._send_answer(end, segment, flows.SYN | flows.ACK, target_isn(end), 0)
        if key not in self.target_flows:
            if segment.payload:
                self.violations.append(f"payload of {segment.source.port} at {end}")
            return self._send_answer(end, segment, flows.RST, segment.ack, 0)
        served = self.target_flows[key]
        next_seq = CALLER_ISN + 1 + served * REQUEST_BYTES
        if segment.payload and segment.seq == next_seq:
            self.target_flows[key] = served = served + 1
        elif segment.payload and segment.seq + REQUEST_BYTES != next_seq:
            self.violations.append(f"gap in {segment.source.port} at {end}")
        size = REQUEST_BYTES if segment.payload else 0
        seq = target_isn(end) + 1 + (served - bool(size)) * REQUEST_BYTES
        return self._send_answer(end, segment, flows.ACK, seq, size)

    def _send_answer(
        self, end: Endpoint, segment: flows.Segment, flags: int, seq: int, size: int
    ) -> None:
        served = self.target_flows.get((end, segment.source.port), 0)
        ack = CALLER_ISN + 1 + served * REQUEST_BYTES
        self.send_copies(flows.Segment(end, segment.source, flags, seq, ack, size))

    def _receive_at_caller(self, segment: flows.Segment) -> None:
        caller = self.callers[segment.destination.port]
        if segment.flags & flows.SYN:
            if not caller.is_connected:
                caller.is_connected, caller.target = True, segment.source
        elif segment.payload and segment.source != caller.target:
            self.violations.append(f"{caller.source.port} got an answer of {segment.source}")
        elif segment.payload:
            caller.answered = max(caller.answered, (segment.ack - CALLER_ISN - 1) // REQUEST_BYTES)

    def _reset(self, source: Endpoint, end: Endpoint, seq: int) -> None:
        port = source.port if end.address != CALLER else end.port
        caller = self.callers[port]
        if not caller.is_connected:
            self.target_flows.pop((end, port), None)
        elif end == caller.source:
            if seq == caller.target_isn + 1 + caller.answered * REQUEST_BYTES:
                self.violations.append(f"caller {port} was reset after its handshake")
        elif end == caller.target:
            self.violations.append(f"the target of {port} was reset after the handshake")


class FlowScheduleTest(unittest.TestCase):
    def test_established_flows_keep_their_target(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self._run(Schedule(seed))

    def _run(self, schedule: Schedule) -> None:
        unanswered = 0
        for port in range(5000, 5000 + STEP_COUNT):
            if schedule.rng.random() < 0.2:
                schedule.change_cluster()
            schedule.open(port)
            for caller in schedule.rng.sample(list(schedule.callers.values()), 1):
                if caller.is_connected:
                    unanswered += not schedule.request(caller)
            schedule.pass_time(schedule.rng.random())
        refused = sum(not caller.is_connected for caller in schedule.callers.values())
        self.assertEqual(schedule.violations, [])
        self.assertEqual((refused, unanswered), (0, 0))
