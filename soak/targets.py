"""Targets of a soak: they check in, serve flows and check every packet that they receive."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Mapping
from typing import NamedTuple

from standins.platform import (
    ACK,
    FIN,
    HEARTBEAT_SECONDS,
    RST,
    SYN,
    Packet,
    read_packet,
    split_identity,
)
from standins.sockets import open_socket
from standins.wire import Address

from .guarantees import Guarantee
from .http_client import REQUEST_TIMEOUT_SECONDS, HttpClient
from .warmups import MAX_COLD_SYN_COUNT, Warmup

MAX_DRAIN_SECONDS = 3.0
"""Maximum time after the confirmation of its drain in which a target may receive new flows."""

MAX_LEAVE_CALL_COUNT = 5
"""Maximum number of calls with which a target tries to get its drain, or its end, confirmed."""

LEAVE_RETRY_INTERVAL_SECONDS = 0.3
LOST_CONFIRMATION_SHARE = 0.5
"""Share of the targets that lose the first confirmation of their end."""

UNCONFIRMED_EXIT_DELAY_SECONDS = 3.0
"""How long a target whose end nobody confirms runs on after its last call."""

HEARTBEAT_JITTER_FACTORS = (0.9, 1.1)
SLOT_COUNT = 3

SLOW_SYN_TARGET_SHARE = 0.4
"""Share of the targets that delay some of their answers to SYNs."""

SLOW_SYN_SHARE = 0.5
"""Share of the answers to SYNs that such a target delays."""

SLOW_SYN_DELAY_RANGE_SECONDS = (0.15, 0.5)
"""Mostly longer than a caller's first SYN timeout, so that two targets answer the same flow."""

FlowKey = tuple[str, int, int]
"""Address and port of the caller, and port of the service."""


class Lifetime(NamedTuple):
    """One start of a target.

    :param number: identifies the target in forwarded datagrams, and in hexadecimal in calls.
    :param started_ms: start time in milliseconds; higher with each start.
    """

    number: int
    started_ms: int
    service: str
    zone: str

    @property
    def name(self) -> str:
        """Identifier of the target in calls."""
        return f"i-{self.number:x}"


class TargetEnvironment(NamedTuple):
    """Connections, addresses and callbacks that the soak provides to its targets.

    :param controls: addresses of the control hosts for calls.
    :param callers_address: where packets to callers are sent.
    :param check: records a check of a guarantee.
    :param is_partitioned: returns whether the host with an address can't reach a zone now.
    :param is_undisturbed: returns whether time bounds hold for the host with an address since a
        time.
    :param allowed_services: returns the services that a configuration may route a port to.
    :param evacuated_zones: returns the zones whose targets must not receive new flows now.
    :param is_in_contact: returns whether the host with an address has heard of confirmed orders.
    :param now: returns the seconds since the start of the load.
    """

    http_client: HttpClient
    controls: list[Address]
    callers_address: Address
    check: Callable[[Guarantee, bool, str], bool]
    is_partitioned: Callable[[str, str], bool]
    is_undisturbed: Callable[[str, float], bool]
    allowed_services: Callable[[int], frozenset[str]]
    evacuated_zones: Callable[[], frozenset[str]]
    is_in_contact: Callable[[str], bool]
    now: Callable[[], float]


class Target:
    """One lifetime of a target, at an address that another target may use later."""

    def __init__(
        self, lifetime: Lifetime, address: Address, environment: TargetEnvironment, seed: int
    ) -> None:
        self.lifetime = lifetime
        self.address = address
        self.open_flows: dict[FlowKey, int] = {}
        self.drain_confirmed_at: float | None = None
        self.is_draining = False
        self.is_alive = True
        self._environment = environment
        self._random = random.Random(seed)
        self._delays_syn_acks = self._random.random() < SLOW_SYN_TARGET_SHARE
        self._warmup = Warmup()
        self._sequences = itertools.count(1)
        self._half_open: dict[FlowKey, int] = {}
        self._flow_tags: dict[FlowKey, int] = {}

    async def run(self) -> None:
        """Check in periodically until this target ends."""
        while self.is_alive:
            await self._check_in()
            await asyncio.sleep(HEARTBEAT_SECONDS * self._random.uniform(*HEARTBEAT_JITTER_FACTORS))

    async def check_in_cold(self, is_evacuated: bool) -> None:
        """Become cold under the same identifier, and check in at once.

        :param is_evacuated: whether hosts know that no flows may arrive. Otherwise only a confirmed
            check-in tells that the target is cold, and flows count from then on.
        """
        self._warmup.start(is_known=is_evacuated)
        await self._check_in()

    async def drain(self) -> None:
        """Check in as draining until confirmed, at most ``MAX_LEAVE_CALL_COUNT`` times."""
        self.is_draining = True
        for _ in range(MAX_LEAVE_CALL_COUNT):
            if await self._check_in():
                return
            await asyncio.sleep(LEAVE_RETRY_INTERVAL_SECONDS)

    def record_drain_held(self) -> None:
        """Record that the drain guarantee held if its time bound has passed.

        New flows after the confirmation are checked when they arrive.
        """
        if (
            self.drain_confirmed_at is not None
            and self._environment.now() - self.drain_confirmed_at > MAX_DRAIN_SECONDS
        ):
            self._environment.check(Guarantee.NO_FLOWS_AFTER_DRAIN, True, "")

    async def deregister(self) -> None:
        """Deregister, and end once a control host has confirmed it, or without that after a while.

        Until then this target serves its open flows and goes on checking in.
        """
        body = {"born": self.lifetime.started_ms}
        if self._random.random() < LOST_CONFIRMATION_SHARE:
            await self._lose_confirmation(body)
        for _ in range(MAX_LEAVE_CALL_COUNT):
            if await self._request("DELETE", body):
                break
            await asyncio.sleep(LEAVE_RETRY_INTERVAL_SECONDS)
        else:
            await asyncio.sleep(UNCONFIRMED_EXIT_DELAY_SECONDS)
        self.is_alive = False

    async def _lose_confirmation(self, body: Mapping[str, object]) -> None:
        """Deregister, lose the response, and wait for it until the time-out."""
        control = self._random.choice(self._environment.controls)
        path = f"/lacewingrudder/instances/{self.lifetime.name}"
        await self._environment.http_client.request_and_abandon(control, "DELETE", path, body)
        await asyncio.sleep(REQUEST_TIMEOUT_SECONDS)

    async def _check_in(self) -> bool:
        body = {
            "service": self.lifetime.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.lifetime.zone,
            "version": "v1",
            "concurrency": SLOT_COUNT,
            "state": "draining" if self.is_draining else "ready",
            "cold-remaining-ms": self._warmup.remaining_ms,
            "sequence": next(self._sequences),
            "born": self.lifetime.started_ms,
        }
        confirmed = await self._request("PUT", body)
        if confirmed:
            self._warmup.record_confirmation()
        if confirmed and body["state"] == "draining" and self.drain_confirmed_at is None:
            self.drain_confirmed_at = self._environment.now()
        return confirmed

    async def _request(self, method: str, body: Mapping[str, object]) -> bool:
        path = f"/lacewingrudder/instances/{self.lifetime.name}"
        for control in self._random.sample(
            self._environment.controls, len(self._environment.controls)
        ):
            response = await self._environment.http_client.request(control, method, path, body)
            if response.status == 200:
                return True
        return False

    def handle_packet(self, packet: Packet, sender: str, reply: Callable[[Packet], None]) -> None:
        """Handle a packet that is addressed to this target."""
        flow = (packet.source, packet.source_port, packet.destination_port)
        if packet.flags & SYN:
            self._handle_syn(flow, packet, sender, reply)
        elif flow in self.open_flows:
            self._handle_data(flow, packet, reply)
        elif packet.acknowledged == self._half_open.get(flow, -1) + 1:
            del self._half_open[flow]
            self.open_flows[flow] = packet.sequence
            self._handle_data(flow, packet, reply)
        elif not packet.flags & (FIN | RST):
            reply(_make_reply(packet, RST, 0, 0, self._flow_tags.get(flow, packet.echo)))

    def _handle_syn(
        self, flow: FlowKey, packet: Packet, sender: str, reply: Callable[[Packet], None]
    ) -> None:
        check = self._environment.check
        allowed = self._environment.allowed_services(packet.destination_port)
        detail = f"{flow} through {sender} at {self.lifetime}"
        check(
            Guarantee.ROUTING,
            self.lifetime.service in allowed,
            f"{detail}, allowed {sorted(allowed)}",
        )
        self._check_drain_delay(detail, sender)
        self._check_evacuation(detail, sender)
        self._check_cold_limit(detail)
        isn = self._half_open.setdefault(flow, self._random.getrandbits(31))
        self._flow_tags[flow] = packet.echo
        syn_ack = _make_reply(packet, SYN | ACK, isn, packet.sequence + 1, packet.echo)
        if self._delays_syn_acks and self._random.random() < SLOW_SYN_SHARE:
            delay = self._random.uniform(*SLOW_SYN_DELAY_RANGE_SECONDS)
            asyncio.get_running_loop().call_later(delay, self._reply_if_alive, syn_ack, reply)
        else:
            reply(syn_ack)

    def _reply_if_alive(self, packet: Packet, reply: Callable[[Packet], None]) -> None:
        if self.is_alive:
            reply(packet)

    def _check_evacuation(self, detail: str, sender: str) -> None:
        zones = self._environment.evacuated_zones()
        if zones and self._environment.is_in_contact(sender):
            holds = self.lifetime.zone not in zones
            self._environment.check(Guarantee.ZONE_EVACUATED, holds, detail)

    def _check_cold_limit(self, detail: str) -> None:
        count = self._warmup.count_syn()
        if count:
            detail = f"{detail}, {count} SYNs in 1 s"
            self._environment.check(Guarantee.COLD_LIMIT, count <= MAX_COLD_SYN_COUNT, detail)

    def _check_drain_delay(self, detail: str, sender: str) -> None:
        if self.drain_confirmed_at is None:
            return
        delay = self._environment.now() - self.drain_confirmed_at
        if self._environment.is_undisturbed(sender, self.drain_confirmed_at):
            self._environment.check(
                Guarantee.NO_FLOWS_AFTER_DRAIN,
                delay <= MAX_DRAIN_SECONDS,
                f"{detail}, {delay:.2f} s after the drain was confirmed",
            )

    def _handle_data(self, flow: FlowKey, packet: Packet, reply: Callable[[Packet], None]) -> None:
        self._flow_tags[flow] = packet.echo
        if packet.flags & (FIN | RST):
            del self.open_flows[flow]
            return
        if packet.data:
            end = packet.sequence + len(packet.data)
            reply(_make_reply(packet, ACK, packet.acknowledged, end, packet.echo, b"answer"))


class Targets:
    """Owns the sockets of all targets, and the mapping of addresses to targets."""

    def __init__(self, environment: TargetEnvironment) -> None:
        self._environment = environment
        self._senders: dict[Address, Callable[[bytes, Address], bool]] = {}
        self._targets_by_address: dict[Address, Target] = {}

    @property
    def alive_targets(self) -> list[Target]:
        """Targets that have not ended."""
        return [target for target in self._targets_by_address.values() if target.is_alive]

    def target_with_flow(self, flow: FlowKey) -> Target | None:
        """Return the target with an open flow, or ``None``; ended targets don't count."""
        return next((target for target in self.alive_targets if flow in target.open_flows), None)

    def add(self, target: Target) -> None:
        """Add a target; it replaces an earlier one at its address."""
        address = target.address
        self._targets_by_address[address] = target
        if address not in self._senders:
            receive = lambda data, sender: self._handle_datagram(  # noqa: E731
                address, data, sender
            )
            self._senders[address] = open_socket(address, receive)

    def _handle_datagram(self, address: Address, data: bytes, sender: Address) -> None:
        target = self._targets_by_address[address]
        if self._environment.is_partitioned(sender[0], target.lifetime.zone):
            return
        number, packet_bytes = split_identity(data)
        received = read_packet(packet_bytes)
        detail = f"{received.packet} through {sender[0]}"
        self._environment.check(Guarantee.PACKETS_UNCHANGED, received.is_genuine, detail)
        if number in (0, target.lifetime.number) and target.is_alive:
            self._check_affinity(target, received.packet, sender[0])
            reply = lambda packet: self._reply(address, packet)  # noqa: E731
            target.handle_packet(received.packet, sender[0], reply)

    def _check_affinity(self, target: Target, packet: Packet, sender: str) -> None:
        if packet.flags & SYN:
            return
        holder = self.target_with_flow((packet.source, packet.source_port, packet.destination_port))
        detail = (
            f"{packet} through {sender} reached {target.lifetime}, "
            f"open at {holder and holder.lifetime}"
        )
        self._environment.check(Guarantee.FLOW_AFFINITY, holder in (None, target), detail)

    def _reply(self, address: Address, packet: Packet) -> None:
        self._senders[address](packet.pack(), self._environment.callers_address)


def _make_reply(
    packet: Packet, flags: int, sequence: int, acknowledged: int, tag: int, data: bytes = b""
) -> Packet:
    """Return a packet for the sender of the given one."""
    return Packet(
        packet.destination,
        packet.destination_port,
        packet.source,
        packet.source_port,
        flags,
        sequence,
        acknowledged,
        tag,
        data,
    )
