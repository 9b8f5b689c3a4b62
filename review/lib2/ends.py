"""Consumers, backends and the operator, as PROTOCOL.md describes them."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import json
import random
import socket
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from .platform import HEARTBEAT_MS, Deployment, Routers, call
from .record import Record
from .wire import ACK, FIN, IDENTITY, RST, SYN, Packet, unpack

SYN_COPIES_AT = (0.2, 0.6)
SYN_GIVES_UP_AT = 1.4
FIRST_RETRANSMISSION = 0.2
LAST_RETRANSMISSION = 1.6
MAX_RETRANSMISSIONS = 8
RESET_WINDOW = 76_800
MAX_CONNECTIONS = 2000
SEQUENCES = 1 << 32
SIGNATURE = "X-Lacewingrudder-Response-Signature"

FlowName = tuple[str, int, str, int]


class UdpEnd:
    """A UDP socket on the event loop."""

    def __init__(self, ip: str, port: int, on_datagram: Callable[[bytes], None]) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self._socket.setblocking(False)
        self._socket.bind((ip, port))
        self.address: tuple[str, int] = self._socket.getsockname()
        self._on_datagram = on_datagram
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def _read(self) -> None:
        for _ in range(64):
            try:
                data = self._socket.recv(2048)
            except OSError:
                return
            self._on_datagram(data)

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            self._socket.sendto(data, address)
        except OSError:
            pass

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()


def digest(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()[:16]


class _Retransmitter:
    """Sends something again after 200 ms, then after up to 1.6 s each."""

    def __init__(self, send: Callable[[], None], give_up: Callable[[], None] | None = None) -> None:
        self._send, self._give_up = send, give_up
        self._count = 0
        self._handle: asyncio.TimerHandle | None = None
        self._schedule()

    def _schedule(self) -> None:
        delay = min(LAST_RETRANSMISSION, FIRST_RETRANSMISSION * 2**self._count)
        self._handle = asyncio.get_running_loop().call_later(delay, self._fire)

    def _fire(self) -> None:
        if self._count >= MAX_RETRANSMISSIONS:
            if self._give_up is not None:
                self._give_up()
            return
        self._count += 1
        self._send()
        self._schedule()

    def cancel(self) -> None:
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None


# --------------------------------------------------------------------------- backends


class _BackendFlow:
    def __init__(self, isn: int, peer_isn: int, echo: int) -> None:
        self.isn, self.peer_isn, self.echo = isn, peer_isn, echo
        self.is_open = False
        self.expected = (peer_isn + 1) % SEQUENCES
        self.sent = (isn + 1) % SEQUENCES
        self.buffer = b""
        self.timer: _Retransmitter | None = None
        self.closing = False
        self.via_copy = 0


class Run(NamedTuple):
    """A request that a backend ran."""

    request: str
    flow: FlowName
    syn_copy: int
    at: float


class Backend:
    """One backend: holds flows, runs requests, checks in.

    :param max_connections: flows that it holds; it sends nothing in answer to further SYNs.
    :param loses: called with each packet for a consumer; returns whether it is lost on its way.
    """

    _numbers = itertools.count(1)

    def __init__(
        self,
        deployment: Deployment,
        service: str,
        zone: str,
        ip: str,
        rng: random.Random,
        work_seconds: float = 0.04,
        concurrency: int = 3,
        max_connections: int = MAX_CONNECTIONS,
        loses: Callable[[Packet], bool] = lambda packet: False,
    ) -> None:
        self._deployment = deployment
        self.record: Record = deployment.record
        self.service, self.zone, self.ip = service, zone, ip
        self._rng = rng
        self.name = f"i-{rng.randrange(1 << 31, 1 << 32):08x}"
        self.identity = int(self.name[2:], 16)
        self.work_seconds, self.concurrency = work_seconds, concurrency
        self.max_connections = max_connections
        self._loses = loses
        self.flows: dict[FlowName, _BackendFlow] = {}
        self.runs: list[Run] = []
        self.syns_taken: list[tuple[FlowName, int, float]] = []
        self.state = "ready"
        self.sequence = 0
        self.acknowledged_at: dict[str, float] = {}
        self.opened: set[tuple[FlowName, int]] = set()
        self._slots = asyncio.Semaphore(concurrency)
        self._end: UdpEnd | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.born = 0
        self.heartbeat_address: tuple[str, int] | None = None

    @property
    def address(self) -> str:
        assert self._end is not None
        return f"{self._end.address[0]}:{self._end.address[1]}"

    def start(self) -> None:
        self.born = int(time.time() * 1000)
        self._end = UdpEnd(self.ip, 0, self._receive)
        self.record.write(
            "backend", "starts", id=self.name, service=self.service, address=self.address
        )
        self._spawn(self._beat_loop())

    def stop(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for flow in self.flows.values():
            if flow.timer is not None:
                flow.timer.cancel()
        self.flows.clear()
        if self._end is not None:
            self._end.close()
            self._end = None

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # -- check-ins

    def check_in_body(self) -> dict[str, Any]:
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "concurrency": self.concurrency,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def check_in(self) -> bool:
        """Check in at one node after the other; return whether one acknowledged it."""
        nodes = list(self._deployment.control_addresses)
        self._rng.shuffle(nodes)
        if self.heartbeat_address is not None:
            nodes = [self.heartbeat_address, *(n for n in nodes if n != self.heartbeat_address)]
        state = self.state
        for node in nodes:
            body = self.check_in_body()
            status, answer = await call(
                node, "PUT", f"/lacewingrudder/instances/{self.name}", body, 1.0
            )
            if 200 <= status < 300:
                if state not in self.acknowledged_at:
                    self.acknowledged_at[state] = time.monotonic()
                    self.record.write(
                        "backend", "check-in acknowledged", id=self.name, state=state, by=node[0]
                    )
                given = json.loads(answer or b"{}").get("heartbeat-address")
                if given:
                    host, _, port = given.rpartition(":")
                    self.heartbeat_address = (host, int(port))
                return True
            self.heartbeat_address = None
        return False

    async def drain(self) -> None:
        """Report ``draining`` until it is acknowledged."""
        self.state = "draining"
        self.record.write("backend", "drains", id=self.name)
        while not await self.check_in():
            await asyncio.sleep(0.2)

    async def _beat_loop(self) -> None:
        while True:
            await self.check_in()
            await asyncio.sleep(HEARTBEAT_MS / 1000 * self._rng.uniform(0.95, 1.05))

    # -- packets

    def _receive(self, datagram: bytes) -> None:
        identity = IDENTITY.unpack_from(datagram)[0]
        if identity not in (0, self.identity):
            return
        packet = unpack(datagram[IDENTITY.size :])
        if not packet.is_genuine:
            self.record.write("backend", "gets a packet that its sender didn't write", id=self.name)
            return
        name = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(name)
        if packet.flags & SYN:
            self._receive_syn(name, flow, packet)
        elif flow is None:
            if not packet.flags & RST:
                self._reset(packet)
        else:
            self._receive_on_flow(name, flow, packet)

    def _receive_syn(self, name: FlowName, flow: _BackendFlow | None, packet: Packet) -> None:
        if packet.flags & ACK:
            return
        if flow is not None and flow.peer_isn == packet.seq:
            if not flow.is_open:
                flow.echo = packet.echo
                self._send_syn_ack(name, flow)
            return
        if len(self.flows) >= self.max_connections:
            self.record.write(
                "backend", "is full, SYN", id=self.name, port=name[1], copy=packet.ack
            )
            return
        isn = self._rng.randrange(SEQUENCES)
        flow = self.flows[name] = _BackendFlow(isn, packet.seq, packet.echo)
        flow.via_copy = packet.ack
        self.syns_taken.append((name, packet.ack, time.monotonic()))
        self.record.write(
            "backend",
            "takes SYN",
            id=self.name,
            service=self.service,
            port=name[1],
            copy=packet.ack,
        )
        self._send_syn_ack(name, flow)
        taken = flow
        flow.timer = _Retransmitter(
            lambda: self._send_syn_ack(name, taken), lambda: self._forget(name, taken)
        )

    def _forget(self, name: FlowName, flow: _BackendFlow) -> None:
        if flow.timer is not None:
            flow.timer.cancel()
        if self.flows.get(name) is flow:
            del self.flows[name]

    def _send_syn_ack(self, name: FlowName, flow: _BackendFlow) -> None:
        self._send(name, flow, SYN | ACK, flow.isn, (flow.peer_isn + 1) % SEQUENCES)

    def _receive_on_flow(self, name: FlowName, flow: _BackendFlow, packet: Packet) -> None:
        if packet.flags & RST:
            self._forget(name, flow)
            return
        if not flow.is_open:
            if packet.ack != (flow.isn + 1) % SEQUENCES:
                # The consumer has opened this flow at another backend, which holds it.
                self._reset(packet)
                return
            flow.is_open = True
            self.opened.add((name, flow.isn))
            if flow.timer is not None:
                flow.timer.cancel()
                flow.timer = None
        flow.echo = packet.echo
        if flow.timer is not None and packet.ack == flow.sent:
            flow.timer.cancel()
            flow.timer = None
        if packet.data:
            if packet.seq == flow.expected:
                flow.expected = (flow.expected + len(packet.data)) % SEQUENCES
                flow.buffer += packet.data
                self._send(name, flow, ACK, flow.sent, flow.expected)
                self._run_complete(name, flow)
            else:
                self._send(name, flow, ACK, flow.sent, flow.expected)
        if packet.flags & FIN and packet.seq == flow.expected:
            flow.expected = (flow.expected + 1) % SEQUENCES
            self._send(name, flow, FIN | ACK, flow.sent, flow.expected)
            self._forget(name, flow)

    def _run_complete(self, name: FlowName, flow: _BackendFlow) -> None:
        while b"\r\n\r\n" in flow.buffer:
            head, _, rest = flow.buffer.partition(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            headers = dict(line.split(": ", 1) for line in lines[1:])
            length = int(headers.get("Content-Length", "0"))
            if len(rest) < length:
                return
            flow.buffer = rest[length:]
            self._spawn(self._work(name, flow, headers["X-Lacewingrudder-Request-Id"]))

    async def _work(self, name: FlowName, flow: _BackendFlow, request: str) -> None:
        async with self._slots:
            run = Run(request, name, flow.via_copy, time.monotonic())
            self.runs.append(run)
            self.record.write(
                "backend", "runs", id=self.name, service=self.service, request=request, port=name[1]
            )
            await asyncio.sleep(self.work_seconds)
        body = f"{request} by {self.name}".encode()
        answer = (
            f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{SIGNATURE}: {digest(body)}\r\n\r\n"
        ).encode() + body
        if self.flows.get(name) is not flow:
            return
        seq = flow.sent
        flow.sent = (flow.sent + len(answer)) % SEQUENCES
        self._send(name, flow, ACK, seq, flow.expected, answer)
        if flow.timer is not None:
            flow.timer.cancel()
        flow.timer = _Retransmitter(
            lambda: self._send(name, flow, ACK, seq, flow.expected, answer),
            lambda: self._forget(name, flow),
        )

    def _send(
        self, name: FlowName, flow: _BackendFlow, flags: int, seq: int, ack: int, data: bytes = b""
    ) -> None:
        src, sport, dst, dport = name
        packet = Packet(dst, dport, src, sport, flags, seq, ack, flow.echo, data)
        self._send_to_consumer(packet)

    def _reset(self, packet: Packet) -> None:
        """Answer a packet of a flow that this backend doesn't hold."""
        answer = Packet(
            packet.dst, packet.dport, packet.src, packet.sport, RST, packet.ack, 0, packet.echo
        )
        self.record.write(
            "backend", "resets a flow it does not hold", id=self.name, port=packet.sport
        )
        self._send_to_consumer(answer)

    def _send_to_consumer(self, packet: Packet) -> None:
        if self._end is None:
            return
        if self._loses(packet):
            self.record.write(
                "network", "loses a packet", id=self.name, port=packet.dport, flags=packet.flags
            )
            return
        self._end.send(packet.pack(), (packet.dst, self._deployment.packet_port))


# --------------------------------------------------------------------------- consumers


class Consumer:
    """One consumer machine; all flows of a script differ in their ports."""

    _ports = itertools.count(20_000)

    def __init__(
        self, deployment: Deployment, routers: Routers, zone: str, ip: str, rng: random.Random
    ) -> None:
        self.deployment, self.routers, self.zone, self.ip = deployment, routers, zone, ip
        self.record = deployment.record
        self.rng = rng
        self._end = UdpEnd(ip, deployment.packet_port, self._receive)
        self._flows: dict[int, Flow] = {}
        self._requests = itertools.count(1)

    def flow(self, dst: str, dport: int) -> Flow:
        port = next(self._ports)
        flow = self._flows[port] = Flow(self, port, dst, dport)
        return flow

    def request_name(self) -> str:
        return f"{self.ip.replace('.', '-')}-{next(self._requests)}"

    def send(self, packet: Packet) -> str:
        """Send a packet through the routers; return the machine that gets it."""
        name = (packet.src, packet.sport, packet.dst, packet.dport)
        machine = self.routers.choose(self.zone, name)
        self._end.send(packet.pack(), (machine.ip, self.deployment.packet_port))
        return machine.name

    def _receive(self, data: bytes) -> None:
        packet = unpack(data)
        flow = self._flows.get(packet.dport)
        if flow is not None:
            flow.receive(packet)

    def close(self) -> None:
        for flow in self._flows.values():
            flow.stop()
        self._end.close()


class ResetReceived(NamedTuple):
    """A reset that a consumer got.

    :param is_of_system: whether the system sent it, not a backend.
    """

    is_of_system: bool
    was_open: bool
    at: float
    via: str


class Flow:
    """One flow of a consumer."""

    def __init__(self, consumer: Consumer, port: int, dst: str, dport: int) -> None:
        self.consumer, self.port, self.dst, self.dport = consumer, port, dst, dport
        self.isn = consumer.rng.randrange(SEQUENCES)
        self.seq = (self.isn + 1) % SEQUENCES
        self.expected = 0
        self.echo = 0
        self.backend_isn: int | None = None
        self.opened_at = 0.0
        self.syn_sent: list[tuple[float, str]] = []
        self.reset: ResetReceived | None = None
        self.last_via = ""
        self._opened: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._answer: asyncio.Future[bytes | None] | None = None
        self._buffer = b""
        self._timer: _Retransmitter | None = None
        self._syn_timers: list[asyncio.TimerHandle] = []

    @property
    def name(self) -> FlowName:
        return (self.consumer.ip, self.port, self.dst, self.dport)

    @property
    def is_open(self) -> bool:
        return self.backend_isn is not None and self.reset is None

    async def open(self) -> bool:
        """Open the flow; return whether a backend answered in time."""
        loop = asyncio.get_running_loop()
        self._send_syn(0)
        for copy, delay in enumerate(SYN_COPIES_AT, 1):
            self._syn_timers.append(loop.call_later(delay, self._send_syn, copy))
        self._syn_timers.append(loop.call_later(SYN_GIVES_UP_AT, self._end_opening, False))
        return await self._opened

    def _send_syn(self, copy: int) -> None:
        packet = Packet(self.consumer.ip, self.port, self.dst, self.dport, SYN, self.isn, copy, 0)
        via = self.consumer.send(packet)
        self.syn_sent.append((time.monotonic(), via))
        self.consumer.record.write("consumer", "sends SYN", port=self.port, copy=copy, via=via)

    def _end_opening(self, is_open: bool) -> None:
        for timer in self._syn_timers:
            timer.cancel()
        if not self._opened.done():
            self._opened.set_result(is_open)

    def receive(self, packet: Packet) -> None:
        if packet.flags & RST:
            self._receive_reset(packet)
            return
        if not packet.is_genuine:
            self.consumer.record.write("consumer", "gets a forged packet", port=self.port)
            return
        if self.reset is not None or (self._opened.done() and self.backend_isn is None):
            return
        self.echo = packet.echo
        if packet.flags & SYN:
            if self.backend_isn is None:
                self.backend_isn = packet.seq
                self.expected = (packet.seq + 1) % SEQUENCES
                self.opened_at = time.monotonic()
                self._send(ACK)
                self._end_opening(True)
            elif packet.seq == self.backend_isn:
                self._send(ACK)
            return
        if self._timer is not None and packet.ack == self.seq:
            self._timer.cancel()
            self._timer = None
        if packet.data:
            if packet.seq == self.expected:
                self.expected = (self.expected + len(packet.data)) % SEQUENCES
                self._buffer += packet.data
                self._send(ACK)
                self._take_answer()
            else:
                self._send(ACK)

    def _receive_reset(self, packet: Packet) -> None:
        is_of_system = packet.checksum == 0
        if not is_of_system and not packet.is_genuine:
            return
        is_open = self.backend_isn is not None
        if is_open and (packet.seq - self.expected) % SEQUENCES not in _window():
            return
        if self.reset is not None:
            return
        self.reset = ResetReceived(is_of_system, is_open, time.monotonic(), self.last_via)
        self.consumer.record.write(
            "consumer",
            "gets a reset",
            port=self.port,
            by="system" if is_of_system else "backend",
            open=is_open,
            via=self.last_via,
        )
        self.stop()
        self._end_opening(False)
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(None)

    def _take_answer(self) -> None:
        head, found, rest = self._buffer.partition(b"\r\n\r\n")
        if not found:
            return
        headers = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])
        length = int(headers["Content-Length"])
        if len(rest) < length:
            return
        body, self._buffer = rest[:length], rest[length:]
        if headers.get(SIGNATURE) != digest(body):
            self.consumer.record.write("consumer", "gets a wrong signature", port=self.port)
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(body)

    async def request(self, method: str = "GET", timeout: float = 1.5) -> tuple[str, bytes | None]:
        """Send a request on the open flow; return its id, and the answer's body or ``None``."""
        name = self.consumer.request_name()
        data = (
            f"{method} /work HTTP/1.1\r\nHost: {self.dst}\r\n"
            f"X-Lacewingrudder-Request-Id: {name}\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()
        seq = self.seq
        self.seq = (self.seq + len(data)) % SEQUENCES
        self._answer = asyncio.get_running_loop().create_future()
        via = self._send(ACK, data, seq)
        self.consumer.record.write(
            "consumer", "sends request", port=self.port, request=name, method=method, via=via
        )
        self._timer = _Retransmitter(lambda: self._send(ACK, data, seq) and None)
        try:
            body = await asyncio.wait_for(self._answer, timeout)
        except TimeoutError:
            body = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        result = "no answer" if body is None else "200"
        self.consumer.record.write("consumer", "answer", port=self.port, request=name, got=result)
        return name, body

    def _send(self, flags: int, data: bytes = b"", seq: int | None = None) -> str:
        packet = Packet(
            self.consumer.ip,
            self.port,
            self.dst,
            self.dport,
            flags,
            self.seq if seq is None else seq,
            self.expected,
            self.echo,
            data,
        )
        self.last_via = self.consumer.send(packet)
        return self.last_via

    def finish(self) -> None:
        """Send a FIN and forget the flow."""
        if self.is_open:
            self._send(FIN | ACK)
        self.stop()

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for timer in self._syn_timers:
            timer.cancel()


class _window:
    """The sequence numbers, relative to the next expected byte, at which a reset counts."""

    def __contains__(self, distance: object) -> bool:
        assert isinstance(distance, int)
        return min(distance, SEQUENCES - distance) <= RESET_WINDOW


# --------------------------------------------------------------------------- the operator


class Route(NamedTuple):
    name: str
    hostname: str
    port: int
    service: str
    type: str = "unsafe"


def manifest(
    version: int,
    routes: list[Route],
    services: list[str],
    max_connections: dict[str, int] | None = None,
) -> dict[str, Any]:
    """Return a manifest.

    :param max_connections: flows that a backend holds, of services that differ from the others.
    """
    limits = max_connections or {}
    return {
        "version": version,
        "routes": [
            {
                "name": route.name,
                "hostname": route.hostname,
                "path-prefix": f"/{route.port}/",
                "type": route.type,
                "timeout-ms": 1500,
                "target-latency-ms": 250,
                "priority": 1,
                "service": route.service,
                "max-attempts": 2,
            }
            for route in routes
        ],
        "services": [
            {
                "name": name,
                "health-check-path": "/healthz",
                "max-connections": limits.get(name, MAX_CONNECTIONS),
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


class Operator:
    """Sends manifests to one node after the other until one acknowledges them."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self.record = deployment.record

    async def put(self, body: dict[str, Any], seconds: float = 30.0) -> float:
        """Send a manifest until it is acknowledged; return the time of the confirmation."""
        deadline = time.monotonic() + seconds
        version = body["version"]
        self.record.write("operator", "sends manifest", version=version)
        while time.monotonic() < deadline:
            for node in self._deployment.control_addresses:
                status, _ = await call(node, "PUT", "/lacewingrudder/config", body, 1.0)
                if status == 200:
                    self.record.write(
                        "operator", "manifest acknowledged", version=version, by=node[0]
                    )
                    return time.monotonic()
            await asyncio.sleep(0.2)
        raise RuntimeError("no node acknowledged the manifest")


async def wait_until_serving(deployment: Deployment, seconds: float = 30.0) -> None:
    """Wait until all frontend machines say that they are ready."""
    deadline = time.monotonic() + seconds
    waiting = list(deployment.fronts)
    while waiting:
        if time.monotonic() > deadline:
            raise RuntimeError(f"not ready: {[row.name for row in waiting]}")
        address = (waiting[0].ip, deployment.ready_port)
        status, _ = await call(address, "GET", "/lacewingrudder/readyz", timeout=0.5)
        if status == 200:
            waiting.pop(0)
        else:
            await asyncio.sleep(0.1)
