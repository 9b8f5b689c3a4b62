"""Callers of a soak: long flows, each packet sent to the entry host that the routers select."""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import Callable, Mapping
from typing import NamedTuple

from standins.platform import ACK, FIN, RST, SYN, Packet, read_packet
from standins.sockets import open_socket
from standins.wire import Address

from .guarantees import Guarantee
from .http_client import HttpClient

SERVICE_ADDRESS = "198.18.0.1"
UNHEALTHY_THRESHOLD = 2
"""Number of consecutive failed probes after which an entry host is out of rotation."""

SYN_TIMEOUTS_SECONDS = (0.2, 0.4, 0.8)
"""Timeouts of a SYN and of its two retransmissions; the attempt fails after the last one."""

REQUEST_TIMEOUTS_SECONDS = (0.2, 0.4, 0.8)
FIRST_CALLER_PORT = 10_000
REQUEST_COUNT_RANGE = (5, 80)
REQUEST_PAUSE_RANGE_SECONDS = (0.05, 0.3)
REOPEN_DELAY_SECONDS = 0.1


class Routers:
    """Selects an entry host for each flow among those whose readiness probe succeeds.

    :param readiness: address of each host's readiness endpoint.
    :param probe_interval_seconds: time between two probes of a host.
    """

    def __init__(
        self,
        http_client: HttpClient,
        readiness: Mapping[str, Address],
        probe_interval_seconds: float,
    ) -> None:
        self._probe_interval_seconds = probe_interval_seconds
        self._http_client = http_client
        self._readiness = readiness
        self._failed_probes = dict.fromkeys(readiness, UNHEALTHY_THRESHOLD)

    @property
    def ready_hosts(self) -> list[str]:
        """Hosts in rotation: those below the threshold of failed probes."""
        return [
            host
            for host, failed_probes in self._failed_probes.items()
            if failed_probes < UNHEALTHY_THRESHOLD
        ]

    def select_host(self, flow: tuple[int, int]) -> str:
        """Return the host that currently receives a flow's packets.

        With fewer than half of the hosts ready, all of them are candidates.
        """
        candidates = self.ready_hosts
        if 2 * len(candidates) < len(self._readiness):
            candidates = list(self._readiness)
        return candidates[zlib.crc32(repr(flow).encode()) % len(candidates)]

    async def probe(self, host: str) -> None:
        """Probe a host's readiness until cancelled."""
        while True:
            response = await self._http_client.request(
                self._readiness[host], "GET", "/lacewingrudder/readyz"
            )
            self._failed_probes[host] = (
                0 if response.status == 200 else self._failed_probes[host] + 1
            )
            await asyncio.sleep(self._probe_interval_seconds)


class SynResult(NamedTuple):
    """Outcome of a SYN.

    :param syn_ack: the target's reply, or ``None``.
    :param was_reset: whether the system, not a target, reset the flow.
    """

    syn_ack: Packet | None
    was_reset: bool


class Arrival(NamedTuple):
    """A packet that a caller received.

    :param is_genuine: whether a target wrote it; false for a reset by the system.
    :param sender: address that sent it: that of a target or of an entry host.
    """

    packet: Packet
    is_genuine: bool
    sender: Address


class CallerSocket:
    """Owns the socket of all callers, and puts each received packet into the queue of its port.

    :param address: address of the socket, shared by all callers.
    :param packets: address on which each entry host receives packets.
    """

    def __init__(
        self,
        address: Address,
        packets: Mapping[str, Address],
        check: Callable[[Guarantee, bool, str], bool],
        seed: int,
    ) -> None:
        self.address = address[0]
        self._packets = packets
        self._check = check
        self._random = random.Random(seed)
        self._last_port = FIRST_CALLER_PORT
        self._queues: dict[int, asyncio.Queue[Arrival]] = {}
        self._send = open_socket(address, self._handle_datagram)

    def send(self, host: str, packet: Packet) -> None:
        """Send a packet to an entry host."""
        self._send(packet.pack(), self._packets[host])

    def allocate_port(self) -> tuple[int, asyncio.Queue[Arrival]]:
        """Return an unused port and its queue of received packets."""
        self._last_port += 1
        queue: asyncio.Queue[Arrival] = asyncio.Queue()
        self._queues[self._last_port] = queue
        return self._last_port, queue

    def release_port(self, port: int) -> None:
        """Stop receiving packets for a port."""
        self._queues.pop(port, None)

    async def open_flow(
        self,
        port: int,
        queue: asyncio.Queue[Arrival],
        service_port: int,
        select_host: Callable[[], str],
    ) -> SynResult:
        """Send a SYN, retransmit it on timeout, and return the outcome."""
        sequence = self._random.getrandbits(31)
        for attempt, wait in enumerate(SYN_TIMEOUTS_SECONDS):
            syn = Packet(self.address, port, SERVICE_ADDRESS, service_port, SYN, sequence, attempt)
            self.send(select_host(), syn)
            received = await _next_packet(queue, wait)
            if received is not None:
                if received.packet.flags & RST:
                    return SynResult(None, not received.is_genuine)
                return SynResult(received.packet, False)
        return SynResult(None, False)

    def _handle_datagram(self, data: bytes, sender: Address) -> None:
        packet, is_genuine = read_packet(data)
        is_reset = packet.flags == RST and not packet.data
        detail = f"{packet} from {sender}"
        self._check(Guarantee.PACKETS_UNCHANGED, is_genuine or is_reset, detail)
        queue = self._queues.get(packet.destination_port)
        if queue is not None:
            queue.put_nowait(Arrival(packet, is_genuine, sender))


class RequestResults:
    """Outcomes of requests, with the time of each in seconds since the load started."""

    def __init__(self) -> None:
        self._outcomes: list[tuple[float, bool]] = []

    def record(self, at: float, was_answered: bool) -> None:
        """Record whether a request was answered."""
        self._outcomes.append((at, was_answered))

    def answered_share(self, since: float) -> float:
        """Return the share of answered requests since a time; 0 if there were no requests."""
        outcomes = [answered for at, answered in self._outcomes if at >= since]
        return sum(outcomes) / len(outcomes) if outcomes else 0.0


class FlowCaller:
    """A caller that keeps one flow open and opens another when it ends.

    :param has_open_flow: whether a running target has the flow from a caller's port to a
        service's port open.
    """

    def __init__(
        self,
        caller_socket: CallerSocket,
        routers: Routers,
        service_port: int,
        has_open_flow: Callable[[int, int], bool],
        check: Callable[[Guarantee, bool, str], bool],
        results: RequestResults,
        now: Callable[[], float],
        seed: int,
    ) -> None:
        self._caller_socket = caller_socket
        self._routers = routers
        self._service_port = service_port
        self._has_open_flow = has_open_flow
        self._check = check
        self._results = results
        self._now = now
        self._random = random.Random(seed)

    async def run(self) -> None:
        """Open one flow after another until cancelled."""
        while True:
            port, queue = self._caller_socket.allocate_port()
            try:
                await self._run_flow(port, queue)
            finally:
                self._caller_socket.release_port(port)
            await asyncio.sleep(REOPEN_DELAY_SECONDS)

    async def _run_flow(self, port: int, queue: asyncio.Queue[Arrival]) -> None:
        def select_host() -> str:
            return self._routers.select_host((port, self._service_port))

        syn_result = await self._caller_socket.open_flow(
            port, queue, self._service_port, select_host
        )
        if syn_result.syn_ack is None:
            self._results.record(self._now(), False)
            return
        syn_ack = syn_result.syn_ack
        sequence, acknowledged, tag = syn_ack.acknowledged, syn_ack.sequence + 1, syn_ack.echo
        has_answer = False
        for _ in range(self._random.randint(*REQUEST_COUNT_RANGE)):
            request = self._make_packet(port, ACK, sequence, acknowledged, tag, b"request")
            tag, was_answered = await self._request(queue, select_host, request, has_answer)
            self._results.record(self._now(), was_answered)
            if not was_answered:
                return
            has_answer = True
            sequence += len(request.data)
            await asyncio.sleep(self._random.uniform(*REQUEST_PAUSE_RANGE_SECONDS))
        self._caller_socket.send(
            select_host(), self._make_packet(port, FIN | ACK, sequence, acknowledged, tag)
        )

    async def _request(
        self,
        queue: asyncio.Queue[Arrival],
        select_host: Callable[[], str],
        request: Packet,
        has_answer: bool,
    ) -> tuple[int, bool]:
        """Send a request, resend it on timeout, and return the newest tag and whether it succeeded.

        Each packet echoes the tag that was received last, also that of a late SYN+ACK of a target
        that does not hold the flow. The request fails if the flow is reset or no answer comes.

        :param has_answer: whether a request of the flow was answered before.
        """
        port, end = request.source_port, request.sequence + len(request.data)
        tag = request.echo
        for wait in REQUEST_TIMEOUTS_SECONDS:
            was_open = self._has_open_flow(port, self._service_port)
            while not queue.empty():
                arrival = queue.get_nowait()
                if arrival.packet.flags & RST:
                    self._check_reset(arrival, was_open or has_answer)
                    return tag, False
                tag = arrival.packet.echo
            self._caller_socket.send(select_host(), request._replace(echo=tag))
            while (received := await _next_packet(queue, wait)) is not None:
                if received.packet.flags & RST:
                    self._check_reset(received, was_open)
                    return tag, False
                tag = received.packet.echo
                if received.packet.data and received.packet.acknowledged == end:
                    return tag, True
        return tag, False

    def _check_reset(self, arrival: Arrival, was_open: bool) -> None:
        """Check that the target of a flow that was reset has ended, or does not hold the flow.

        A reset of a target counts as well: one that doesn't hold the flow sends it when it receives
        a packet of it, although the target that holds the flow is healthy.
        """
        port = arrival.packet.destination_port
        is_open = was_open and self._has_open_flow(port, self._service_port)
        origin = "a target" if arrival.is_genuine else "an entry host"
        detail = f"port {port} to {self._service_port}, reset of {origin} at {arrival.sender}"
        self._check(Guarantee.NO_RESET, not is_open, detail)

    def _make_packet(
        self, port: int, flags: int, sequence: int, acknowledged: int, tag: int, data: bytes = b""
    ) -> Packet:
        return Packet(
            self._caller_socket.address,
            port,
            SERVICE_ADDRESS,
            self._service_port,
            flags,
            sequence,
            acknowledged,
            tag,
            data,
        )


async def _next_packet(queue: asyncio.Queue[Arrival], wait: float) -> Arrival | None:
    try:
        async with asyncio.timeout(wait):
            return await queue.get()
    except TimeoutError:
        return None
