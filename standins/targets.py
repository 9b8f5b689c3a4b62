"""Simulated targets: announce themselves over HTTP and answer requests.

Run as ``python -m standins.targets CONFIG``. The configuration is a JSON object with ``listen``,
``fabric`` and ``targets``, a list of objects with ``service``, ``key``, ``zone``, ``address``,
``ports``, ``slots``, ``connection_limit``, ``work_seconds`` and ``announce`` (URLs).
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from pathlib import Path
from typing import Any, TypedDict

import aiohttp
from lacewingrudder_core.targets import announcement_mac
from lacewingrudder_core.types import KindPort, Target, parse_address

from . import tcp, wire, work
from .fabric import parse_endpoint
from .sockets import open_socket
from .wire import Address, InnerSegment

ANNOUNCE_INTERVAL_SECONDS = 1.0
TICK_INTERVAL_SECONDS = 0.05
TIME_WAIT_SECONDS = 3.0


class TargetConfig(TypedDict):
    """The configuration of one target."""

    service: str
    key: str
    zone: str
    address: str
    ports: dict[str, int]
    slots: int
    connection_limit: int
    work_seconds: float
    announce: list[str]


class StandinTarget:
    """A simulated target; it works on as many requests at a time as it has slots."""

    def __init__(self, config: TargetConfig, send: Any) -> None:
        self.config = config
        self._send = send
        self._slots = asyncio.Semaphore(config["slots"])
        self._connections: dict[tuple[Address, Address], tcp.TcpConnection] = {}
        self._consumed_bytes: dict[tuple[Address, Address], int] = {}
        first_port = next(iter(config["ports"].values()))
        self.name = f"{config['address']}:{first_port}"
        self._incarnation = time.time_ns() // 1_000_000
        self._sequence = 0
        self._busy_slot_count = 0
        self.state = "serving"

    @property
    def load(self) -> float:
        """The share of slots that are busy."""
        return min(1.0, self._busy_slot_count / self.config["slots"])

    def handle_segment(self, segment: InnerSegment, now: float) -> None:
        """Process a segment that is addressed to this target."""
        endpoints = (segment.source, segment.destination)
        connection = self._connections.get(endpoints)
        is_syn = segment.flags & tcp.SYN
        if is_syn and (connection is None or connection.peer_isn != segment.seq):
            connection = tcp.TcpConnection(
                endpoints[1], endpoints[0], random.getrandbits(32), self._send
            )
            self._connections[endpoints] = connection
            self._consumed_bytes[endpoints] = 0
            connection.accept(segment, now)
            return
        if connection is None:
            self._send_reset(segment)
            return
        connection.handle_segment(segment, now)
        self._read_requests(endpoints, connection)

    def tick(self, now: float) -> None:
        """Retransmit unacknowledged segments and remove connections some time after they closed."""
        for endpoints, connection in list(self._connections.items()):
            connection.tick(now)
            if not connection.is_closed:
                continue
            connection.closed_at = connection.closed_at or now
            if now - connection.closed_at > TIME_WAIT_SECONDS:
                del self._connections[endpoints]
                del self._consumed_bytes[endpoints]

    async def announce(self, session: aiohttp.ClientSession) -> None:
        """Announce the target until cancelled; begin with the host that accepted it last."""
        urls = list(self.config["announce"])
        while True:
            for _ in urls:
                if await self._announce_to(session, urls[0]):
                    break
                urls.append(urls.pop(0))
            await asyncio.sleep(ANNOUNCE_INTERVAL_SECONDS)

    async def _announce_to(self, session: aiohttp.ClientSession, url: str) -> bool:
        try:
            async with session.post(url, json=self._make_announcement()) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def _make_announcement(self) -> dict[str, Any]:
        config = self.config
        self._sequence += 1
        target = Target(
            self.name,
            config["service"],
            config["zone"],
            parse_address(config["address"]),
            tuple(KindPort(kind, port) for kind, port in config["ports"].items()),
            config["slots"],
            config["connection_limit"],
            self._incarnation,
        )
        return {
            "service": config["service"],
            "zone": config["zone"],
            "address": config["address"],
            "ports": config["ports"],
            "slots": config["slots"],
            "connection_limit": config["connection_limit"],
            "incarnation": self._incarnation,
            "sequence": self._sequence,
            "state": self.state,
            "load": self.load,
            "mac": announcement_mac(config["key"], target, self.state, self.load, self._sequence),
        }

    def _send_reset(self, segment: InnerSegment) -> None:
        if not segment.flags & tcp.RST:
            self._send(
                InnerSegment(
                    segment.destination, segment.source, tcp.RST | tcp.ACK, segment.ack, 0, b""
                )
            )

    def _read_requests(
        self, endpoints: tuple[Address, Address], connection: tcp.TcpConnection
    ) -> None:
        while len(connection.received) - self._consumed_bytes[endpoints] >= work.REQUEST_BYTES:
            start = self._consumed_bytes[endpoints]
            self._consumed_bytes[endpoints] = start + work.REQUEST_BYTES
            request = bytes(connection.received[start : start + work.REQUEST_BYTES])
            asyncio.get_running_loop().create_task(self._answer_request(connection, request))
        if connection.is_remote_closed:
            connection.close(asyncio.get_running_loop().time())

    async def _answer_request(self, connection: tcp.TcpConnection, request: bytes) -> None:
        async with self._slots:
            self._busy_slot_count += 1
            await asyncio.sleep(self.config["work_seconds"])
            self._busy_slot_count -= 1
        answer = work.make_answer(request, self.config["service"], self.name)
        connection.write(answer, asyncio.get_running_loop().time())


class Targets:
    """Runs all targets of this process over one socket; needs a running event loop."""

    def __init__(self, configs: list[TargetConfig], listen: Address, fabric: Address) -> None:
        self._fabric = fabric
        self._send_datagram = open_socket(listen, self._receive)
        self.targets = [StandinTarget(config, self._send) for config in configs]
        self._by_address = {target.config["address"]: target for target in self.targets}

    def _receive(self, data: bytes, _: Address) -> None:
        """Pass a segment to the target that it is addressed to."""
        segment = wire.unpack(data)
        target = self._by_address.get(segment.destination[0])
        if target is not None:
            target.handle_segment(segment, asyncio.get_running_loop().time())

    def drain(self) -> None:
        """Announce all targets as draining; flows that are open are still served."""
        for target in self.targets:
            target.state = "draining"

    def _send(self, segment: InnerSegment) -> None:
        self._send_datagram(wire.pack(segment), self._fabric)


async def run(config: dict[str, Any]) -> None:
    """Run the targets of a configuration until the process is killed."""
    loop = asyncio.get_running_loop()
    listen, fabric = parse_endpoint(config["listen"]), parse_endpoint(config["fabric"])
    all_targets = Targets(config["targets"], listen, fabric)
    timeout = aiohttp.ClientTimeout(total=1.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        tasks = [loop.create_task(target.announce(session)) for target in all_targets.targets]
        while not any(task.done() for task in tasks):
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            for target in all_targets.targets:
                target.tick(loop.time())
        await asyncio.gather(*tasks)


if __name__ == "__main__":
    asyncio.run(run(json.loads(Path(sys.argv[1]).read_text())))
