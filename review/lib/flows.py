"""Routers, consumers and backends, each on loopback addresses, in one event loop."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import time
import zlib
from collections.abc import Callable
from typing import Any

from .packets import ACK, FIN, MODULUS, RST, SYN, Packet, read_packet, split_identity
from .platform import BEAT_MS, Machine, Platform, call

RETRANSMIT_SECONDS = 0.2
MAX_RETRANSMIT_SECONDS = 1.6
SYN_COPIES_AT = (0.2, 0.6)
SYN_GIVE_UP_SECONDS = 1.4
RESET_WINDOW = 76_800
PROBE_SECONDS = 0.5
WORK_SECONDS = 0.03


def udp_socket(address: str, port: int) -> socket.socket:
    """Return a bound non-blocking socket."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.bind((address, port))
    return opened


class Router:
    """Forwards consumers' packets to the entry hosts of their zone, by a hash over those ready."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._misses = {row.name: 2 for row in platform.entries}
        self._socket = udp_socket(f"{platform.prefix}.250.1", 0)

    async def run(self) -> None:
        """Probe the entry hosts twice a second until cancelled."""
        await asyncio.gather(*(self._probe_loop(row) for row in self._platform.entries))

    def rotation(self, zone: str) -> list[Machine]:
        """Return the machines that get the packets of a zone's consumers."""
        all_rows = [row for row in self._platform.entries if row.zone == zone]
        ready = [row for row in all_rows if self._misses[row.name] < 2]
        return ready if 2 * len(ready) >= len(all_rows) else all_rows

    def send(self, zone: str, packet: Packet) -> Machine:
        """Hand a packet to the entry host that the hash selects (``mod``)."""
        key = f"{packet.source}:{packet.source_port}>{packet.destination}:{packet.destination_port}"
        rows = self.rotation(zone)
        row = rows[zlib.crc32(key.encode()) % len(rows)]
        with contextlib.suppress(OSError):
            self._socket.sendto(packet.pack(), (row.address, self._platform.packet_port))
        return row

    async def _probe_loop(self, row: Machine) -> None:
        while True:
            began = time.monotonic()
            status, _ = await asyncio.to_thread(
                call, row.address, self._platform.ready_port, "GET", "/lacewingrudder/readyz"
            )
            before = self._misses[row.name]
            self._misses[row.name] = 0 if status == 200 else before + 1
            if (before < 2) != (self._misses[row.name] < 2):
                state = "in" if before >= 2 else "out of"
                self._platform.record.write(f"router: {row.name} is {state} rotation")
            await asyncio.sleep(max(0.0, PROBE_SECONDS - (time.monotonic() - began)))


class _Half:
    """A flow as its backend knows it."""

    def __init__(self, packet: Packet, sequence: int) -> None:
        self.remote_next = (packet.sequence + 1) % MODULUS
        self.sequence = sequence
        self.next = (sequence + 1) % MODULUS
        self.echo = packet.echo
        self.is_open = False
        self.answers: dict[int, bytes] = {}


class Backend:
    """A backend: answers flows and checks in with a control host."""

    def __init__(
        self, platform: Platform, name: str, service: str, zone: str, address: str
    ) -> None:
        self.platform, self.name, self.service, self.zone = platform, name, service, zone
        self.socket = udp_socket(address, 0)
        self.address = f"{address}:{self.socket.getsockname()[1]}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.flows: dict[tuple[str, int, str, int], _Half] = {}
        self.runs: dict[str, int] = {}
        self.opened_count = 0
        self.last_statuses: list[int] = []
        self.is_alive = True
        self._heartbeat_address: tuple[str, int] | None = None
        asyncio.get_running_loop().add_reader(self.socket, self._read)

    @property
    def identity(self) -> int:
        """The number in the backend's name."""
        return int(self.name.rpartition("-")[2], 16)

    def body(self) -> dict[str, Any]:
        """Return the next check-in."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "concurrency": 3,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def beat_loop(self) -> None:
        """Check in about every heartbeat until the backend ends."""
        while self.is_alive:
            await self.check_in()
            await asyncio.sleep(BEAT_MS / 1000 * random.uniform(0.95, 1.05))

    async def check_in(self) -> int:
        """Check in with one control host after the other until one acknowledges."""
        rows = [(row.address, self.platform.call_port) for row in self.platform.cores]
        random.shuffle(rows)
        if self._heartbeat_address is not None:
            rows.insert(0, self._heartbeat_address)
        status = 0
        for address, port in rows:
            path = f"/lacewingrudder/instances/{self.name}"
            status, answer = await asyncio.to_thread(call, address, port, "PUT", path, self.body())
            if 200 <= status < 300:
                named = json.loads(answer or b"{}").get("heartbeat-address", f"{address}:{port}")
                host, _, number = named.rpartition(":")
                self._heartbeat_address = (host, int(number))
                break
            self._heartbeat_address = None
        self.last_statuses = [*self.last_statuses[-9:], status]
        return status

    def end(self) -> None:
        """End the process: nothing is received or sent any more."""
        self.is_alive = False
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.close()

    def _read(self) -> None:
        while True:
            try:
                data = self.socket.recv(2048)
            except OSError:
                return
            identity, inner = split_identity(data)
            packet = read_packet(inner)
            if identity in (0, self.identity) and packet.is_genuine:
                self._handle(packet)
            if not self.is_alive:
                return

    def _handle(self, packet: Packet) -> None:
        key = packet.source, packet.source_port, packet.destination, packet.destination_port
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None or flow.remote_next != (packet.sequence + 1) % MODULUS:
                flow = self.flows[key] = _Half(packet, random.randrange(MODULUS))
            flow.echo = packet.echo
            self._send(key, flow, SYN | ACK, flow.sequence, b"")
            return
        if packet.flags & RST:
            self.flows.pop(key, None)
            return
        if flow is None:
            self._send_reset(key, packet)
            return
        flow.echo = packet.echo
        if not flow.is_open:
            if packet.acknowledged != (flow.sequence + 1) % MODULUS:
                return
            flow.is_open = True
            self.opened_count += 1
        if packet.data:
            self._handle_data(key, flow, packet)
        elif packet.flags & FIN:
            self._send(key, flow, ACK | FIN, flow.next, b"")
            del self.flows[key]

    def _handle_data(self, key: tuple[str, int, str, int], flow: _Half, packet: Packet) -> None:
        if packet.sequence in flow.answers:
            if flow.answers[packet.sequence]:
                self._send(key, flow, ACK, self._answer_sequence(flow, packet), b"", packet)
            return
        if packet.sequence != flow.remote_next:
            return
        flow.remote_next = (flow.remote_next + len(packet.data)) % MODULUS
        flow.answers[packet.sequence] = b""
        request = _header(packet.data, b"X-Lacewingrudder-Request-Id")
        self.runs[request] = self.runs.get(request, 0) + 1
        self.platform.record.write(f"{self.name} runs {request}")
        loop = asyncio.get_running_loop()
        loop.call_later(WORK_SECONDS, self._answer, key, flow, packet, request)

    def _answer(
        self, key: tuple[str, int, str, int], flow: _Half, packet: Packet, request: str
    ) -> None:
        if not self.is_alive or self.flows.get(key) is not flow:
            return
        body = f"done {request}".encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
        head += f"X-Lacewingrudder-Response-Signature: {zlib.crc32(body):08x}\r\n\r\n"
        answer = head.encode() + body
        flow.answers[packet.sequence] = answer
        start = flow.next
        flow.next = (flow.next + len(answer)) % MODULUS
        # A consumer that misses the answer sends its request again and gets it once more.
        self._send(key, flow, ACK, start, answer)

    def _answer_sequence(self, flow: _Half, packet: Packet) -> int:
        return (flow.next - len(flow.answers[packet.sequence])) % MODULUS

    def _send(
        self,
        key: tuple[str, int, str, int],
        flow: _Half,
        flags: int,
        sequence: int,
        data: bytes,
        again: Packet | None = None,
    ) -> None:
        if again is not None:
            data = flow.answers[again.sequence]
        source, port, destination, destination_port = key
        packet = Packet(
            destination,
            destination_port,
            source,
            port,
            flags,
            sequence,
            flow.remote_next,
            flow.echo,
            data,
        )
        with contextlib.suppress(OSError):
            self.socket.sendto(packet.pack(), (source, self.platform.packet_port))

    def _send_reset(self, key: tuple[str, int, str, int], packet: Packet) -> None:
        source, port, destination, destination_port = key
        reset = Packet(
            destination, destination_port, source, port, RST, packet.acknowledged, 0, packet.echo
        )
        with contextlib.suppress(OSError):
            self.socket.sendto(reset.pack(), (source, self.platform.packet_port))


class Flow:
    """One flow of a consumer: requests one after the other on one connection."""

    def __init__(self, consumer: Consumer, port: int, route: tuple[str, int]) -> None:
        self.consumer, self.port, self.route = consumer, port, route
        self.sequence = random.randrange(MODULUS)
        self.initial = self.sequence
        self.remote_next = 0
        self.echo = 0
        self.is_open = False
        self.has_ended = False
        self.end = ""
        self.backend: Backend | None = None
        self.arrived = asyncio.Event()
        self.answer: bytes | None = None
        self.opened_at = 0.0
        self.last_machine: Machine | None = None

    def handle(self, packet: Packet) -> None:
        """Handle a packet for this flow."""
        if packet.flags & RST:
            self._handle_reset(packet)
        elif packet.flags & SYN:
            if not self.is_open:
                self.echo = packet.echo
                self.remote_next = (packet.sequence + 1) % MODULUS
                self.sequence = (self.initial + 1) % MODULUS
                self.is_open = True
                self.opened_at = time.monotonic()
                self.send(ACK)
                self.arrived.set()
        elif self.is_open:
            self.echo = packet.echo
            if packet.data and packet.sequence == self.remote_next:
                self.remote_next = (self.remote_next + len(packet.data)) % MODULUS
                self.answer = packet.data
                self.arrived.set()

    def send(self, flags: int, data: bytes = b"", sequence: int | None = None) -> None:
        """Send a packet through the routers."""
        packet = Packet(
            self.consumer.address,
            self.port,
            self.route[0],
            self.route[1],
            flags,
            self.sequence if sequence is None else sequence,
            self.remote_next,
            self.echo,
            data,
        )
        self.last_machine = self.consumer.router.send(self.consumer.zone, packet)

    async def open(self) -> bool:
        """Open the flow; return whether it opened."""
        began = time.monotonic()
        for copy, until in enumerate((*SYN_COPIES_AT, SYN_GIVE_UP_SECONDS)):
            if self.is_open or self.has_ended:
                break
            packet = Packet(
                self.consumer.address,
                self.port,
                self.route[0],
                self.route[1],
                SYN,
                self.initial,
                copy,
            )
            self.last_machine = self.consumer.router.send(self.consumer.zone, packet)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, began + until - time.monotonic())):
                    await self.arrived.wait()
        self.arrived.clear()
        return self.is_open and not self.has_ended

    async def request(self, number: str, limit_seconds: float = 1.5) -> str:
        """Send one unsafe request; return ``200``, ``reset`` or ``timeout``."""
        self.answer = None
        self.arrived.clear()
        data = f"POST /edit HTTP/1.1\r\nX-Lacewingrudder-Request-Id: {number}\r\n\r\n".encode()
        start, delay = self.sequence, RETRANSMIT_SECONDS
        deadline = time.monotonic() + limit_seconds
        while not self.has_ended and self.answer is None and time.monotonic() < deadline:
            self.send(ACK, data, start)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(delay, max(0.0, deadline - time.monotonic()))):
                    await self.arrived.wait()
            self.arrived.clear()
            delay = min(2 * delay, MAX_RETRANSMIT_SECONDS)
        if self.answer is not None:
            self.sequence = (start + len(data)) % MODULUS
            self.send(ACK)
            return "200"
        return "reset" if self.has_ended else "timeout"

    def _handle_reset(self, packet: Packet) -> None:
        is_near = (packet.sequence - self.remote_next) % MODULUS <= RESET_WINDOW or (
            self.remote_next - packet.sequence
        ) % MODULUS <= RESET_WINDOW
        if self.has_ended or (self.is_open and not is_near):
            return
        self.has_ended = True
        if packet.checksum == 0:
            sender = "the system"
        else:
            sender = "a backend" if packet.is_genuine else "nobody known"
        self.end = f"reset by {sender}"
        self.arrived.set()
        if self.is_open:
            self.consumer.on_open_reset(self, packet)


class Consumer:
    """One consumer address in a zone; its flows use ports of their own."""

    def __init__(
        self,
        platform: Platform,
        router: Router,
        zone: str,
        address: str,
        on_open_reset: Callable[[Flow, Packet], None],
    ) -> None:
        self.platform, self.router, self.zone, self.address = platform, router, zone, address
        self.on_open_reset = on_open_reset
        self._socket = udp_socket(address, platform.packet_port)
        self._flows: dict[int, Flow] = {}
        self._next_port = random.randrange(10_000, 40_000)
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def new_flow(self, route: tuple[str, int]) -> Flow:
        """Return a flow from a new port."""
        self._next_port += 1
        flow = self._flows[self._next_port] = Flow(self, self._next_port, route)
        return flow

    def forget(self, flow: Flow) -> None:
        """Close a flow."""
        if flow.is_open and not flow.has_ended:
            flow.send(ACK | FIN)
        self._flows.pop(flow.port, None)

    def close(self) -> None:
        """Close the socket."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def _read(self) -> None:
        while True:
            try:
                data = self._socket.recv(2048)
            except OSError:
                return
            packet = read_packet(data)
            flow = self._flows.get(packet.destination_port)
            if flow is not None and (packet.checksum == 0 or packet.is_genuine):
                flow.handle(packet)


def _header(data: bytes, name: bytes) -> str:
    for line in data.split(b"\r\n"):
        key, _, value = line.partition(b": ")
        if key == name:
            return value.decode()
    return ""


def backend_of(flow: Flow, backends: list[Backend]) -> Backend | None:
    """Return the backend at which a flow is open."""
    key = flow.consumer.address, flow.port, flow.route[0], flow.route[1]
    for backend in backends:
        half = backend.flows.get(key)
        if half is not None and half.is_open:
            return backend
    return None
