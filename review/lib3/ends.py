"""Backends, consumers and the provider's router, as the page on the protocol describes them."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import struct
import time
import zlib
from collections.abc import Callable
from typing import Any

from fleet import HEARTBEAT_SECONDS, Fleet, Machine, Record, call

SYN, ACK, FIN, RST = 64, 128, 4, 8
HEAD = struct.Struct("!IIIHHIIIBBH")
KEY = b"only the two ends know this key"
RETRY_SECONDS, MAX_RETRY_SECONDS, MAX_RETRIES = 0.2, 1.6, 8
COUNT = 1 << 32


def number(address: str) -> int:
    return int.from_bytes(socket.inet_aton(address), "big")


def text(address: int) -> str:
    return socket.inet_ntoa(address.to_bytes(4, "big"))


class Packet:
    def __init__(
        self, src: int, sport: int, dst: int, dport: int, flags: int,
        seq: int = 0, ack: int = 0, echo: int = 0, data: bytes = b"",
    ) -> None:
        self.src, self.sport, self.dst, self.dport, self.flags = src, sport, dst, dport, flags
        self.seq, self.ack, self.echo, self.data, self.sum = seq, ack, echo, data, 0

    def _head(self, total: int, echo: int) -> bytes:
        return HEAD.pack(
            total, self.seq, self.ack, self.sport, self.dport, self.dst, self.src, echo,
            self.flags, 0, len(self.data),
        )

    def _sum(self) -> int:
        return zlib.crc32(KEY + self._head(0, 0) + self.data) or 1

    def pack(self) -> bytes:
        return self._head(self._sum(), self.echo) + self.data

    @classmethod
    def read(cls, raw: bytes) -> Packet | None:
        if len(raw) < HEAD.size:
            return None
        total, seq, ack, sport, dport, dst, src, echo, flags, _, length = HEAD.unpack_from(raw)
        if len(raw) != HEAD.size + length:
            return None
        packet = cls(src, sport, dst, dport, flags, seq, ack, echo, raw[HEAD.size :])
        packet.sum = total
        return packet

    @property
    def is_genuine(self) -> bool:
        """Whether one of the two ends wrote it."""
        return self.sum == self._sum()


def open_socket(address: str, port: int, on_packet: Callable[[bytes, Any], None]) -> socket.socket:
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp.setblocking(False)
    udp.bind((address, port))

    def receive() -> None:
        for _ in range(64):
            try:
                raw, sender = udp.recvfrom(65_535)
            except OSError:
                return
            on_packet(raw, sender)

    asyncio.get_running_loop().add_reader(udp, receive)
    return udp


class _Flow:
    """A flow at a backend: half open until the consumer acknowledges this end's number."""

    def __init__(self, syn: Packet) -> None:
        self.isn = random.randrange(COUNT)
        self.peer_isn, self.echo = syn.seq, syn.echo
        self.is_open = False
        self.sent = (self.isn + 1) % COUNT
        self.expected = (syn.seq + 1) % COUNT
        self.timer: asyncio.TimerHandle | None = None


class Backend:
    """One lifetime of a backend."""

    def __init__(
        self, fleet: Fleet, record: Record, name: str, service: str, zone: str, address: str,
        work_seconds: float = 0.01,
    ) -> None:
        self.fleet, self.record, self.name, self.service, self.zone = fleet, record, name, service, zone
        self.address, self.identity = address, int(name.rpartition("-")[2], 16)
        self.work_seconds = work_seconds
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.cold_until = 0.0
        self.flows: dict[tuple[int, int, int, int], _Flow] = {}
        self.ended: set[tuple[int, int, int, int]] = set()
        self.runs: list[tuple[float, str]] = []
        self.arrivals: list[float] = []
        """When the opening packets of the flows that this backend took arrived."""
        self.at = random.randrange(len(fleet.cores))
        self.loop = asyncio.get_running_loop()
        self.socket = open_socket(address, fleet.packet_port, self.receive)
        self.task = asyncio.create_task(self._check_in_forever())

    async def _check_in_forever(self) -> None:
        await asyncio.sleep(random.uniform(0, 0.2))
        while True:
            began = time.monotonic()
            await self.check_in()
            await asyncio.sleep(max(0.1, began + HEARTBEAT_SECONDS - time.monotonic()))

    def cold_ms(self) -> int:
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    async def check_in(self) -> bool:
        for _ in range(len(self.fleet.cores)):
            self.sequence += 1
            fields = {
                "service": self.service,
                "address": f"{self.address}:{self.fleet.packet_port}",
                "zone": self.zone,
                "version": "v1",
                "concurrency": 3,
                "state": self.state,
                "cold-remaining-ms": self.cold_ms(),
                "sequence": self.sequence,
                "born": self.born,
            }
            core = self.fleet.cores[self.at % len(self.fleet.cores)]
            path = f"/lacewingrudder/instances/{self.name}"
            body = json.dumps(fields).encode()
            status, _ = await call(core.address, self.fleet.control_port, "PUT", path, body)
            if fields["cold-remaining-ms"] or self.sequence == 1 or status != 200:
                self.record.write(
                    f"backend {self.name} checked in at {core.name}, {self.state}, cold for"
                    f" {fields['cold-remaining-ms']} ms: {status}"
                )
            if 200 <= status < 300:
                return True
            self.at += 1
        return False

    def _send(self, key: tuple[int, int, int, int], flags: int, seq: int, ack: int, echo: int, data: bytes = b"") -> None:
        src, sport, dst, dport = key
        packet = Packet(dst, dport, src, sport, flags, seq % COUNT, ack % COUNT, echo, data)
        self.socket.sendto(packet.pack(), (text(src), self.fleet.packet_port))

    def receive(self, raw: bytes, sender: Any) -> None:
        identity = int.from_bytes(raw[:8], "big")
        packet = Packet.read(raw[8:])
        if packet is None or not packet.is_genuine or identity not in (0, self.identity):
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & SYN:
            self._receive_syn(key, packet)
            return
        flow = self.flows.get(key)
        if flow is None or not (flow.is_open or packet.ack == (flow.isn + 1) % COUNT):
            if key in self.ended and packet.flags & FIN:
                self._send(key, ACK, packet.ack, packet.seq + 1, packet.echo)
            elif not packet.flags & RST:
                self.record.write(
                    f"backend {self.name} resets {text(key[0])}:{key[1]}, which it doesn't hold:"
                    f" packet with echo {packet.echo:08x} from {sender[0]}"
                )
                self._send(key, RST, packet.ack, 0, packet.echo)
            return
        self._receive_data(key, flow, packet)

    def _receive_syn(self, key: tuple[int, int, int, int], packet: Packet) -> None:
        flow = self.flows.get(key)
        if flow is None or (flow.peer_isn != packet.seq):
            flow = self.flows[key] = _Flow(packet)
            self.arrivals.append(time.monotonic())
            self.record.write(
                f"backend {self.name} takes the SYN of {text(key[0])}:{key[1]}, attempt"
                f" {packet.ack}, echo {packet.echo:08x}"
            )
        flow.echo = packet.echo
        if not flow.is_open:
            self._answer_syn(key, flow, 0)

    def _answer_syn(self, key: tuple[int, int, int, int], flow: _Flow, attempt: int) -> None:
        if flow.is_open or self.flows.get(key) is not flow:
            return
        self._send(key, SYN | ACK, flow.isn, flow.expected, flow.echo)
        if flow.timer is not None:
            flow.timer.cancel()
        if attempt == MAX_RETRIES:
            del self.flows[key]
            return
        delay = min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2**attempt)
        flow.timer = self.loop.call_later(delay, self._answer_syn, key, flow, attempt + 1)

    def _receive_data(self, key: tuple[int, int, int, int], flow: _Flow, packet: Packet) -> None:
        if not flow.is_open:
            flow.is_open = True
            if flow.timer is not None:
                flow.timer.cancel()
            self.record.write(f"backend {self.name} holds {text(key[0])}:{key[1]}")
        flow.echo = packet.echo
        if packet.flags & RST:
            del self.flows[key]
        elif packet.flags & FIN:
            self._send(key, ACK | FIN, flow.sent, packet.seq + 1, flow.echo)
            del self.flows[key]
            self.ended.add(key)
        elif packet.data and packet.seq == flow.expected:
            flow.expected = (packet.seq + len(packet.data)) % COUNT
            self.loop.call_later(self.work_seconds, self._answer, key, flow, packet.data)
        elif packet.data:
            self._send(key, ACK, flow.sent, flow.expected, flow.echo)

    def _answer(self, key: tuple[int, int, int, int], flow: _Flow, request: bytes) -> None:
        if self.flows.get(key) is not flow:
            return
        name = request.decode()
        self.runs.append((time.monotonic(), name))
        self.record.write(f"backend {self.name} ran {name}")
        data = f"answer of {self.name} to {name}".encode()
        self._send(key, ACK, flow.sent, flow.expected, flow.echo, data)
        flow.sent = (flow.sent + len(data)) % COUNT

    def close(self) -> None:
        self.task.cancel()
        self.loop.remove_reader(self.socket)
        self.socket.close()


class Router:
    """The provider's router of one zone: it probes the nodes, and hashes flows over them."""

    def __init__(self, fleet: Fleet, record: Record, zone: str) -> None:
        self._fleet, self._record, self._zone = fleet, record, zone
        self._nodes = [front for front in fleet.fronts if front.zone == zone]
        self._misses = {node.name: 2 for node in self._nodes}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._tasks = [asyncio.create_task(self._probe(node)) for node in self._nodes]

    @property
    def in_rotation(self) -> list[Machine]:
        return [node for node in self._nodes if self._misses[node.name] < 2]

    async def _probe(self, node: Machine) -> None:
        while True:
            began = time.monotonic()
            status, _ = await call(
                node.address, self._fleet.ready_port, "GET", "/lacewingrudder/readyz", timeout=0.45
            )
            before = self._misses[node.name] < 2
            self._misses[node.name] = 0 if status == 200 else self._misses[node.name] + 1
            if before != (self._misses[node.name] < 2):
                names = " ".join(front.name for front in self.in_rotation)
                self._record.write(f"the router of {self._zone} uses {names or 'no node'}")
            await asyncio.sleep(max(0.0, began + 0.5 - time.monotonic()))

    def forward(self, packet: Packet) -> Machine | None:
        nodes = self.in_rotation
        if 2 * len(nodes) < len(self._nodes):
            nodes = self._nodes
        key = struct.pack("!IIHH", packet.src, packet.dst, packet.sport, packet.dport)
        node = nodes[zlib.crc32(key) % len(nodes)]
        try:
            self._socket.sendto(packet.pack(), (node.address, self._fleet.packet_port))
        except OSError:
            return None
        return node

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._socket.close()


class ConsumerFlow:
    """One flow of a consumer, which may carry several requests."""

    def __init__(self, consumers: Consumers, port: int, place: tuple[str, int]) -> None:
        self._consumers, self.port, self._place = consumers, port, place
        self.isn = random.randrange(COUNT)
        self.sent, self.received, self.echo = (self.isn + 1) % COUNT, 0, 0
        self.state = "opening"
        self.syn_nodes: list[str] = []
        self.answers: list[str] = []
        self.outcome = ""
        self.holder = ""
        """Address of the backend that answered a request on the flow, and so holds it."""
        self.reset_by = ""
        """Address that a reset of the flow came from."""
        self.opened_at = 0.0
        self._pending: tuple[int, bytes] | None = None
        self._answered = asyncio.Event()
        self._is_syn_answered = asyncio.Event()

    def _packet(self, flags: int, seq: int, ack: int, echo: int, data: bytes = b"") -> Packet:
        source = number(self._consumers.address)
        address, dport = self._place
        return Packet(source, self.port, number(address), dport, flags, seq % COUNT, ack % COUNT, echo, data)

    def _forward(self, packet: Packet) -> str:
        node = self._consumers.router.forward(packet)
        return "" if node is None else node.name

    async def open(self) -> bool:
        for attempt, until in enumerate((0.2, 0.6, 1.4)):
            self.syn_nodes.append(self._forward(self._packet(SYN, self.isn, attempt, 0)))
            delay = until - (0.0, 0.2, 0.6)[attempt]
            try:
                async with asyncio.timeout(delay):
                    await self._is_syn_answered.wait()
                    break
            except TimeoutError:
                continue
        if self.state != "open":
            self.outcome = self.outcome or "never opened"
        return self.state == "open"

    async def request(self, name: str, patience: float = 2.0) -> bool:
        """Send a request and wait for its answer; packets are repeated as the page says."""
        data = name.encode()
        self._pending = (self.sent, data)
        self.sent = (self.sent + len(data)) % COUNT
        self._answered.clear()
        deadline, delay = time.monotonic() + patience, RETRY_SECONDS
        while self.state == "open" and time.monotonic() < deadline:
            seq, payload = self._pending
            node = self._forward(self._packet(ACK, seq, self.received, self.echo, payload))
            self._consumers.record.write(
                f"consumer :{self.port} sent {name} with echo {self.echo:08x} through {node}"
            )
            try:
                async with asyncio.timeout(min(delay, max(0.0, deadline - time.monotonic()))):
                    await self._answered.wait()
                    return self.state == "open"
            except TimeoutError:
                delay = min(MAX_RETRY_SECONDS, delay * 2)
        return False

    def receive(self, packet: Packet, sender: str) -> None:
        consumers = self._consumers
        if packet.flags & RST:
            who = "the system" if packet.sum == 0 else "a backend"
            consumers.record.write(
                f"consumer :{self.port} got a reset of {who} from {sender} while {self.state}"
            )
            self.reset_by = sender
            self.outcome = f"reset while {self.state}"
            self.state = "closed"
            self._is_syn_answered.set()
            self._answered.set()
            return
        if not packet.is_genuine:
            consumers.record.write(f"consumer :{self.port} got a packet that no backend wrote so")
            consumers.forged += 1
            return
        if self.state == "opening" and packet.flags & SYN and packet.ack == (self.isn + 1) % COUNT:
            self.received = (packet.seq + 1) % COUNT
            self.state, self.opened_at = "open", time.monotonic()
            self._is_syn_answered.set()
        # The last echo that was received on the flow, whichever packet brought it.
        self.echo = packet.echo
        if self.state == "open" and packet.data and packet.seq == self.received:
            self.received = (packet.seq + len(packet.data)) % COUNT
            self.answers.append(packet.data.decode())
            self.holder = sender
            self._answered.set()
            self._forward(self._packet(ACK, self.sent, self.received, self.echo))

    def close(self) -> None:
        if self.state == "open":
            self._forward(self._packet(FIN | ACK, self.sent, self.received, self.echo))
            self.state = "closed"


class Consumers:
    """The consumers of one zone, at one address."""

    def __init__(self, fleet: Fleet, record: Record, router: Router, address: str) -> None:
        self.record, self.router, self.address = record, router, address
        self.flows: dict[int, ConsumerFlow] = {}
        self.forged = 0
        self._port = random.randrange(1024, 20_000)
        self._socket = open_socket(address, fleet.packet_port, self._receive)

    def new_flow(self, place: tuple[str, int]) -> ConsumerFlow:
        self._port += 1
        flow = self.flows[self._port] = ConsumerFlow(self, self._port, place)
        return flow

    def _receive(self, raw: bytes, sender: Any) -> None:
        packet = Packet.read(raw)
        flow = None if packet is None else self.flows.get(packet.dport)
        if packet is not None and flow is not None:
            flow.receive(packet, sender[0])

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()


def manifest(version: int, routes: list[tuple[str, int, str]], services: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a manifest.

    :param routes: address, port and service of each route.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{port}",
                "hostname": address,
                "path-prefix": f"/{port}/",
                "type": "unsafe",
                "timeout-ms": 2000,
                "target-latency-ms": 250,
                "priority": 1,
                "service": service,
                "max-attempts": 2,
            }
            for address, port, service in routes
        ],
        "services": [
            {"health-check-path": "/healthz", "max-connections": 2000, "protocol": "h1", "tls": False}
            | service
            for service in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


async def wait_until(is_true: Callable[[], bool], seconds: float) -> bool:
    deadline = time.monotonic() + seconds
    while not is_true():
        if time.monotonic() > deadline:
            return False
        await asyncio.sleep(0.02)
    return True
