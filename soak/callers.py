"""Callers of a soak: long flows through whichever entry host the routers choose."""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import Callable, Mapping
from typing import NamedTuple

from standins.platform import ACK, FIN, RST, SYN, Packet, read_packet
from standins.sockets import open_socket
from standins.wire import Address

from .http import Caller
from .promises import Promise

SERVICE = "198.18.0.1"
PROBE_SECONDS = 0.5
MISSES_OUT = 2
COPY_SECONDS = (0.2, 0.4, 0.8)
"""Waits after a SYN and its two copies; then the attempt ends."""

RESEND_SECONDS = (0.2, 0.4, 0.8)
FIRST_PORT = 10_000
REQUESTS_A_FLOW = (5, 80)
PAUSE_SECONDS = (0.05, 0.3)
REOPEN_SECONDS = 0.1


class Routers:
    """Choose an entry host for each flow among those that say they are ready.

    :param readiness: where each host is asked.
    """

    def __init__(self, caller: Caller, readiness: Mapping[str, Address]) -> None:
        self._caller = caller
        self._readiness = readiness
        self._misses = dict.fromkeys(readiness, MISSES_OUT)

    @property
    def ready(self) -> list[str]:
        """Hosts in rotation."""
        return [host for host, misses in self._misses.items() if misses < MISSES_OUT]

    def choose(self, flow: tuple[int, int]) -> str:
        """Return the host that packets of a flow go to now."""
        rotation = self.ready
        if 2 * len(rotation) < len(self._readiness):
            rotation = list(self._readiness)
        return rotation[zlib.crc32(repr(flow).encode()) % len(rotation)]

    async def probe(self, host: str) -> None:
        """Probe one host until cancelled."""
        while True:
            answer = await self._caller.call(self._readiness[host], "GET", "/lacewingrudder/readyz")
            self._misses[host] = 0 if answer.status == 200 else self._misses[host] + 1
            await asyncio.sleep(PROBE_SECONDS)


class Opened(NamedTuple):
    """What became of a SYN.

    :param answer: of a target, or ``None``.
    :param was_reset: whether the system reset it.
    """

    answer: Packet | None
    was_reset: bool


class Callers:
    """Owns the socket that all answers come to.

    :param address: of all callers.
    :param packets: where each entry host takes packets.
    """

    def __init__(
        self,
        address: Address,
        packets: Mapping[str, Address],
        check: Callable[[Promise, bool, str], bool],
        seed: int,
    ) -> None:
        self.address = address[0]
        self._packets = packets
        self._check = check
        self._random = random.Random(seed)
        self._port = FIRST_PORT
        self._flows: dict[int, asyncio.Queue[tuple[Packet, bool]]] = {}
        self._send = open_socket(address, self._received)

    def send(self, host: str, packet: Packet) -> None:
        """Send a packet through an entry host."""
        self._send(packet.pack(), self._packets[host])

    def begin(self) -> tuple[int, asyncio.Queue[tuple[Packet, bool]]]:
        """Return a new port, and the packets that will come to it with whether they are genuine."""
        self._port += 1
        queue: asyncio.Queue[tuple[Packet, bool]] = asyncio.Queue()
        self._flows[self._port] = queue
        return self._port, queue

    def end(self, port: int) -> None:
        """Forget a port."""
        self._flows.pop(port, None)

    async def open(
        self,
        port: int,
        queue: asyncio.Queue[tuple[Packet, bool]],
        service_port: int,
        choose: Callable[[], str],
    ) -> Opened:
        """Send a SYN and its copies, and return what came of it."""
        sequence = self._random.getrandbits(31)
        for copy, wait in enumerate(COPY_SECONDS):
            syn = Packet(self.address, port, SERVICE, service_port, SYN, sequence, copy)
            self.send(choose(), syn)
            found = await _next(queue, wait)
            if found is not None:
                packet, is_genuine = found
                if packet.flags & RST:
                    return Opened(None, not is_genuine)
                return Opened(packet, False)
        return Opened(None, False)

    def _received(self, data: bytes, sender: Address) -> None:
        packet, is_genuine = read_packet(data)
        is_reset = packet.flags == RST and not packet.data
        detail = f"{packet} from {sender}"
        self._check(Promise.UNCHANGED, is_genuine or is_reset, detail)
        queue = self._flows.get(packet.destination_port)
        if queue is not None:
            queue.put_nowait((packet, is_genuine))


class FlowResults:
    """How many requests were answered, by the second of the soak."""

    def __init__(self) -> None:
        self._rows: list[tuple[float, bool]] = []

    def add(self, at: float, was_answered: bool) -> None:
        """Take in the outcome of a request."""
        self._rows.append((at, was_answered))

    def share(self, since: float) -> float:
        """Return the share of requests answered after a moment; 0 if there were none."""
        rows = [answered for at, answered in self._rows if at >= since]
        return sum(rows) / len(rows) if rows else 0.0


class LongFlow:
    """A caller that keeps a flow open, and opens another when one ends.

    :param is_open_at: whether a living target holds a flow, by the caller's port.
    """

    def __init__(
        self,
        callers: Callers,
        routers: Routers,
        service_port: int,
        is_open_at: Callable[[int, int], bool],
        check: Callable[[Promise, bool, str], bool],
        results: FlowResults,
        now: Callable[[], float],
        seed: int,
    ) -> None:
        self._callers = callers
        self._routers = routers
        self._service_port = service_port
        self._is_open_at = is_open_at
        self._check = check
        self._results = results
        self._now = now
        self._random = random.Random(seed)

    async def run(self) -> None:
        """Open one flow after the other until cancelled."""
        while True:
            port, queue = self._callers.begin()
            try:
                await self._flow(port, queue)
            finally:
                self._callers.end(port)
            await asyncio.sleep(REOPEN_SECONDS)

    async def _flow(self, port: int, queue: asyncio.Queue[tuple[Packet, bool]]) -> None:
        def choose() -> str:
            return self._routers.choose((port, self._service_port))

        opened = await self._callers.open(port, queue, self._service_port, choose)
        if opened.answer is None:
            self._results.add(self._now(), False)
            return
        answer = opened.answer
        sequence, acknowledged, tag = answer.acknowledged, answer.sequence + 1, answer.echo
        for _ in range(self._random.randint(*REQUESTS_A_FLOW)):
            ask = self._packet(port, ACK, sequence, acknowledged, tag, b"request")
            reply = await self._ask(port, queue, choose, ask)
            self._results.add(self._now(), reply is not None)
            if reply is None:
                return
            sequence += len(ask.data)
            tag = reply.echo
            await asyncio.sleep(self._random.uniform(*PAUSE_SECONDS))
        self._callers.send(choose(), self._packet(port, FIN | ACK, sequence, acknowledged, tag))

    async def _ask(
        self,
        port: int,
        queue: asyncio.Queue[tuple[Packet, bool]],
        choose: Callable[[], str],
        ask: Packet,
    ) -> Packet | None:
        """Send a request until it is answered; return ``None`` if the flow ends."""
        for wait in RESEND_SECONDS:
            was_open = self._is_open_at(port, self._service_port)
            self._callers.send(choose(), ask)
            while (found := await _next(queue, wait)) is not None:
                packet, is_genuine = found
                if packet.flags & RST:
                    self._judge_reset(port, was_open, is_genuine)
                    return None
                if packet.data and packet.acknowledged == ask.sequence + len(ask.data):
                    return packet
        return None

    def _judge_reset(self, port: int, was_open: bool, is_genuine: bool) -> None:
        if is_genuine:
            return
        is_open = was_open and self._is_open_at(port, self._service_port)
        self._check(Promise.NO_RESET, not is_open, f"port {port} to {self._service_port}")

    def _packet(
        self, port: int, flags: int, sequence: int, acknowledged: int, tag: int, data: bytes = b""
    ) -> Packet:
        return Packet(
            self._callers.address,
            port,
            SERVICE,
            self._service_port,
            flags,
            sequence,
            acknowledged,
            tag,
            data,
        )


async def _next(
    queue: asyncio.Queue[tuple[Packet, bool]], wait: float
) -> tuple[Packet, bool] | None:
    try:
        async with asyncio.timeout(wait):
            return await queue.get()
    except TimeoutError:
        return None
