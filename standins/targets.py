"""Stand-in targets: announce themselves over HTTP and answer requests.

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

ANNOUNCE_SECONDS = 1.0
TICK_SECONDS = 0.05
LINGER_SECONDS = 3.0


class TargetConfig(TypedDict):
    """One target."""

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
    """A target with its connections and slots."""

    def __init__(self, config: TargetConfig, send: Any) -> None:
        self.config = config
        self._send = send
        self._slots = asyncio.Semaphore(config["slots"])
        self._connections: dict[tuple[Address, Address], tcp.TcpEnd] = {}
        self._taken: dict[tuple[Address, Address], int] = {}
        first_port = next(iter(config["ports"].values()))
        self.name = f"{config['address']}:{first_port}"
        self._incarnation = time.time_ns() // 1_000_000
        self._sequence = 0
        self._busy = 0
        self.state = "serving"

    @property
    def load(self) -> float:
        """The busy share of the slots."""
        return min(1.0, self._busy / self.config["slots"])

    def take(self, segment: InnerSegment, now: float) -> None:
        """Take a segment that is for this target."""
        pair = (segment.source, segment.destination)
        end = self._connections.get(pair)
        is_syn = segment.flags & tcp.SYN
        if is_syn and (end is None or end.peer_isn != segment.seq):
            end = tcp.TcpEnd(pair[1], pair[0], random.getrandbits(32), self._send)
            self._connections[pair] = end
            self._taken[pair] = 0
            end.accept(segment, now)
            return
        if end is None:
            self._refuse(segment)
            return
        end.take(segment, now)
        self._serve(pair, end)

    def tick(self, now: float) -> None:
        """Send again what was lost, and forget closed connections."""
        for pair, end in list(self._connections.items()):
            end.tick(now)
            if not end.done:
                continue
            end.closed_at = end.closed_at or now
            if now - end.closed_at > LINGER_SECONDS:
                del self._connections[pair]
                del self._taken[pair]

    async def announce(self, session: aiohttp.ClientSession) -> None:
        """Renew the lease until cancelled; keep to the entry host that took it last."""
        urls = list(self.config["announce"])
        while True:
            for _ in urls:
                if await self._announce_to(session, urls[0]):
                    break
                urls.append(urls.pop(0))
            await asyncio.sleep(ANNOUNCE_SECONDS)

    async def _announce_to(self, session: aiohttp.ClientSession, url: str) -> bool:
        try:
            async with session.post(url, json=self._announcement()) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def _announcement(self) -> dict[str, Any]:
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

    def _refuse(self, segment: InnerSegment) -> None:
        if not segment.flags & tcp.RST:
            self._send(
                InnerSegment(
                    segment.destination, segment.source, tcp.RST | tcp.ACK, segment.ack, 0, b""
                )
            )

    def _serve(self, pair: tuple[Address, Address], end: tcp.TcpEnd) -> None:
        while len(end.received) - self._taken[pair] >= work.REQUEST_BYTES:
            start = self._taken[pair]
            self._taken[pair] = start + work.REQUEST_BYTES
            request = bytes(end.received[start : start + work.REQUEST_BYTES])
            asyncio.get_running_loop().create_task(self._work(end, request))
        if end.remote_closed:
            end.close(asyncio.get_running_loop().time())

    async def _work(self, end: tcp.TcpEnd, request: bytes) -> None:
        async with self._slots:
            self._busy += 1
            await asyncio.sleep(self.config["work_seconds"])
            self._busy -= 1
        answer = work.answer(request, self.config["service"], self.name)
        end.write(answer, asyncio.get_running_loop().time())


class Targets:
    """Owns the socket of all targets of this process; made while an event loop runs."""

    def __init__(self, configs: list[TargetConfig], listen: Address, fabric: Address) -> None:
        self._fabric = fabric
        self._datagram = open_socket(listen, self._receive)
        self.targets = [StandinTarget(config, self._send) for config in configs]
        self._by_address = {target.config["address"]: target for target in self.targets}

    def _receive(self, data: bytes, _: Address) -> None:
        """Hand a segment to its target."""
        segment = wire.unpack(data)
        target = self._by_address.get(segment.destination[0])
        if target is not None:
            target.take(segment, asyncio.get_running_loop().time())

    def drain(self) -> None:
        """Let all targets announce that they take no new flow, and serve on."""
        for target in self.targets:
            target.state = "draining"

    def _send(self, segment: InnerSegment) -> None:
        self._datagram(wire.pack(segment), self._fabric)


async def run(config: dict[str, Any]) -> None:
    """Run until the process is ended."""
    loop = asyncio.get_running_loop()
    listen, fabric = parse_endpoint(config["listen"]), parse_endpoint(config["fabric"])
    played = Targets(config["targets"], listen, fabric)
    timeout = aiohttp.ClientTimeout(total=1.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        tasks = [loop.create_task(target.announce(session)) for target in played.targets]
        while not any(task.done() for task in tasks):
            await asyncio.sleep(TICK_SECONDS)
            for target in played.targets:
                target.tick(loop.time())
        await asyncio.gather(*tasks)


if __name__ == "__main__":
    asyncio.run(run(json.loads(Path(sys.argv[1]).read_text())))
