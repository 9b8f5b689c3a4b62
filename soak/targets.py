"""Targets of a soak: they check in, take flows, and judge every packet that reaches them."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Mapping
from typing import NamedTuple

from standins.platform import ACK, BEAT_SECONDS, FIN, RST, SYN, Packet, read_packet, split_identity
from standins.sockets import open_socket
from standins.wire import Address

from .http import Caller
from .promises import Promise

DRAIN_SECONDS = 3.0
"""How long after its confirmation a drain may still be followed by new flows."""

DRAIN_CALLS = 5
DRAIN_RETRY_SECONDS = 0.3
"""How often, and how soon after one another, a target asks for the confirmation of its drain."""

BEAT_JITTER = (0.9, 1.1)
SLOTS = 3

FlowName = tuple[str, int, int]
"""Address and port of the caller, and the service's port."""


class Lifetime(NamedTuple):
    """One start of a target.

    :param number: by which the system names it.
    """

    number: int
    born: int
    service: str
    zone: str

    @property
    def name(self) -> str:
        """Its identifier in calls."""
        return f"i-{self.number:x}"


class Surroundings(NamedTuple):
    """What targets need of the soak.

    :param controls: where calls go.
    :param callers: where packets for callers go.
    :param check: counts a check of a promise.
    :param is_cut: whether a host can't reach a zone at this moment, by the host's address.
    :param is_calm: whether bounds in time hold through a host, by its address, since a moment.
    :param services: the services that any configuration allows for a port.
    :param now: the soak's clock.
    """

    caller: Caller
    controls: list[Address]
    callers: Address
    check: Callable[[Promise, bool, str], bool]
    is_cut: Callable[[str, str], bool]
    is_calm: Callable[[str, float], bool]
    services: Callable[[int], frozenset[str]]
    now: Callable[[], float]


class Target:
    """One lifetime of a target, at an address that others may have later."""

    def __init__(self, life: Lifetime, address: Address, around: Surroundings, seed: int) -> None:
        self.life = life
        self.address = address
        self.flows: dict[FlowName, int] = {}
        self.drained_at: float | None = None
        self.is_draining = False
        self.is_alive = True
        self._around = around
        self._random = random.Random(seed)
        self._sequences = itertools.count(1)
        self._opening: dict[FlowName, int] = {}
        self._tags: dict[FlowName, int] = {}

    async def run(self) -> None:
        """Check in until this target ends."""
        while self.is_alive:
            await self._check_in()
            await asyncio.sleep(BEAT_SECONDS * self._random.uniform(*BEAT_JITTER))

    async def drain(self) -> None:
        """Announce the end until it is confirmed or not worth to wait for any longer."""
        self.is_draining = True
        for _ in range(DRAIN_CALLS):
            if await self._check_in():
                return
            await asyncio.sleep(DRAIN_RETRY_SECONDS)

    def judge_drained(self) -> None:
        """Count a drain after which no new flow came; those that came are counted with them."""
        if self.drained_at is not None and self._around.now() - self.drained_at > DRAIN_SECONDS:
            self._around.check(Promise.DRAINED, True, "")

    async def leave(self) -> None:
        """End with a word."""
        self.is_alive = False
        body = {"born": self.life.born}
        await self._call("DELETE", body)

    async def _check_in(self) -> bool:
        state = "draining" if self.is_draining else "ready"
        body = {
            "service": self.life.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.life.zone,
            "version": "v1",
            "concurrency": SLOTS,
            "state": state,
            "cold-remaining-ms": 0,
            "sequence": next(self._sequences),
            "born": self.life.born,
        }
        confirmed = await self._call("PUT", body)
        if confirmed and state == "draining" and self.drained_at is None:
            self.drained_at = self._around.now()
        return confirmed

    async def _call(self, method: str, body: Mapping[str, object]) -> bool:
        path = f"/lacewingrudder/instances/{self.life.name}"
        for control in self._random.sample(self._around.controls, len(self._around.controls)):
            answer = await self._around.caller.call(control, method, path, body)
            if answer.status == 200:
                return True
        return False

    def take(self, packet: Packet, sender: str, reply: Callable[[Packet], None]) -> None:
        """Take a packet that is meant for this target."""
        flow = (packet.source, packet.source_port, packet.destination_port)
        if packet.flags & SYN:
            self._syn(flow, packet, sender, reply)
        elif flow in self.flows:
            self._data(flow, packet, reply)
        elif packet.acknowledged == self._opening.get(flow, -1) + 1:
            del self._opening[flow]
            self.flows[flow] = packet.sequence
            self._data(flow, packet, reply)
        elif not packet.flags & (FIN | RST):
            reply(_answer(packet, RST, 0, 0, self._tags.get(flow, packet.echo)))

    def _syn(
        self, flow: FlowName, packet: Packet, sender: str, reply: Callable[[Packet], None]
    ) -> None:
        check = self._around.check
        allowed = self._around.services(packet.destination_port)
        what = f"{flow} through {sender} at {self.life}"
        check(Promise.ROUTED, self.life.service in allowed, f"{what}, allowed {sorted(allowed)}")
        self._judge_drain(what, sender)
        isn = self._opening.setdefault(flow, self._random.getrandbits(31))
        self._tags[flow] = packet.echo
        reply(_answer(packet, SYN | ACK, isn, packet.sequence + 1, packet.echo))

    def _judge_drain(self, what: str, sender: str) -> None:
        if self.drained_at is None:
            return
        late = self._around.now() - self.drained_at
        if self._around.is_calm(sender, self.drained_at):
            self._around.check(Promise.DRAINED, late <= DRAIN_SECONDS, f"{what}, {late:.2f} s late")

    def _data(self, flow: FlowName, packet: Packet, reply: Callable[[Packet], None]) -> None:
        self._tags[flow] = packet.echo
        if packet.flags & (FIN | RST):
            del self.flows[flow]
            return
        if packet.data:
            end = packet.sequence + len(packet.data)
            reply(_answer(packet, ACK, packet.acknowledged, end, packet.echo, b"answer"))


class Targets:
    """Owns the sockets of all targets, and who has which address."""

    def __init__(self, around: Surroundings) -> None:
        self._around = around
        self._sends: dict[Address, Callable[[bytes, Address], bool]] = {}
        self._holders: dict[Address, Target] = {}

    @property
    def living(self) -> list[Target]:
        """Targets that run."""
        return [target for target in self._holders.values() if target.is_alive]

    def holder_of(self, flow: FlowName) -> Target | None:
        """Return the living target on which a flow is open, or ``None``."""
        return next((target for target in self.living if flow in target.flows), None)

    def put(self, target: Target) -> None:
        """Give a target its address."""
        address = target.address
        self._holders[address] = target
        if address not in self._sends:
            receive = lambda data, sender: self._received(address, data, sender)  # noqa: E731
            self._sends[address] = open_socket(address, receive)

    def _received(self, address: Address, data: bytes, sender: Address) -> None:
        target = self._holders[address]
        if self._around.is_cut(sender[0], target.life.zone):
            return
        number, packet_bytes = split_identity(data)
        received = read_packet(packet_bytes)
        detail = f"{received.packet} through {sender[0]}"
        self._around.check(Promise.UNCHANGED, received.is_genuine, detail)
        if number in (0, target.life.number) and target.is_alive:
            self._judge_home(target, received.packet, sender[0])
            reply = lambda packet: self._reply(address, packet)  # noqa: E731
            target.take(received.packet, sender[0], reply)

    def _judge_home(self, target: Target, packet: Packet, sender: str) -> None:
        if packet.flags & SYN:
            return
        home = self.holder_of((packet.source, packet.source_port, packet.destination_port))
        detail = f"{packet} through {sender} reached {target.life}, open at {home and home.life}"
        self._around.check(Promise.STAYS, home in (None, target), detail)

    def _reply(self, address: Address, packet: Packet) -> None:
        self._sends[address](packet.pack(), self._around.callers)


def _answer(
    packet: Packet, flags: int, sequence: int, acknowledged: int, tag: int, data: bytes = b""
) -> Packet:
    """Return a packet to the sender of another."""
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
