"""The task of an entry host: owns its UDP socket and its core."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from lacewingrudder_core import entry, flows
from lacewingrudder_core.entry import ReadinessChanged, TargetStateChanged
from lacewingrudder_core.follower import (
    CatalogueInForce,
    CataloguePersisted,
    PersistCatalogue,
    SendToControl,
)
from lacewingrudder_core.membership import MembersChanged
from lacewingrudder_core.notes import Catalogue
from lacewingrudder_core.targets import (
    Announced,
    Announcement,
    AnnounceOutcome,
    AnnounceReply,
    Rejected,
)
from lacewingrudder_core.types import Endpoint, FlowKey, HostName, Member, TargetName, Verdict

from ._packets import encapsulation, load_meter
from ._packets import segments as packets
from ._packets.datagrams import Address, DatagramSocket
from ._storage.catalogue_store import CatalogueStore
from .recorder import TimelineWriter
from .settings import EntrySettings

TICK_SECONDS = 0.1
REFUSALS_RECORDED_PER_TICK = 5
LEAVE_LEAST_SECONDS = 1.0
LEAVE_QUIET_SECONDS = 0.5
LEAVE_MOST_SECONDS = 3.5
FORMER_MEMBER_SECONDS = 30.0

_log = logging.getLogger(__name__)


class EntryTask:
    """Feeds an entry core with packets, messages and time, and carries out its effects.

    :param send: sends a message to a host.
    :param learn: told of the live entry hosts and where they take links.
    :param store: keeps the catalogue that is in force.
    """

    def __init__(
        self,
        settings: EntrySettings,
        core: entry.EntryCore,
        recorder: TimelineWriter,
        send: Callable[[HostName, Any], None],
        learn: Callable[[tuple[Member, ...]], None],
        store: CatalogueStore | None = None,
    ) -> None:
        self._settings = settings
        self._core = core
        self._recorder = recorder
        self._send = send
        self._learn = learn
        self._store = store
        self._keeping: set[asyncio.Task[None]] = set()
        self._fabric = _address(settings.fabric)
        self._members: dict[HostName, Address] = {}
        self._senders: dict[Address, HostName] = {}
        self._former: dict[Address, float] = {}
        self._packet_at = 0.0
        self._answers: dict[int, asyncio.Future[AnnounceOutcome]] = {}
        self._next_token = 1
        self._socket = DatagramSocket(self.datagram_received)
        self._packet: packets.ParsedPacket | None = None
        self._bytes = b""
        self._refusals_to_record = REFUSALS_RECORDED_PER_TICK
        self.rejected_announcements = 0
        self.drops: dict[str, int] = {}
        self.verdicts: dict[tuple[Verdict, str], int] = {}

    @property
    def core(self) -> entry.EntryCore:
        """The decisions of this host."""
        return self._core

    @property
    def ejected_targets(self) -> int:
        """How many targets get no new flow of this host, on its own evidence."""
        return len(self._core.ejected_targets(asyncio.get_running_loop().time()))

    async def start(self) -> None:
        """Open the socket.

        :raises OSError: if the endpoint can't be used.
        """
        self._socket.open(_address(self._settings.data))

    async def run(self) -> None:
        """Tell the core of time and of this host's load until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._refusals_to_record = REFUSALS_RECORDED_PER_TICK
            self.handle(entry.Tick())
            due = loop.time() + TICK_SECONDS
            await asyncio.sleep(TICK_SECONDS)
            self._measure_load(loop.time() - due)

    def _measure_load(self, late: float) -> None:
        if self._socket.opened is not None:
            self.handle(load_meter.measure(self._socket.opened, late))

    async def leave(self) -> None:
        """Hand over and leave, then relay on until the other hosts and the fabric know.

        Returns once no packet came for :data:`LEAVE_QUIET_SECONDS`, or at the latest after
        :data:`LEAVE_MOST_SECONDS`; the flows are with their new homes by then.
        """
        loop = asyncio.get_running_loop()
        left = loop.time()
        self.handle(entry.ShutdownRequested())
        await asyncio.sleep(LEAVE_LEAST_SECONDS)
        while loop.time() - self._packet_at < LEAVE_QUIET_SECONDS:
            if loop.time() - left >= LEAVE_MOST_SECONDS:
                self._recorder.record("left", detail="packets still arrive")
                return
            await asyncio.sleep(TICK_SECONDS)
        self._recorder.record("left", detail="no packet arrives any more")

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    async def announce(self, announcement: Announcement) -> AnnounceOutcome:
        """Hand an announcement to the core and return its outcome."""
        token = self._next_token
        self._next_token += 1
        answer: asyncio.Future[AnnounceOutcome] = asyncio.get_running_loop().create_future()
        self._answers[token] = answer
        self.handle(Announced(token, announcement))
        outcome = await answer
        if isinstance(outcome, Rejected):
            self.rejected_announcements += 1
            name = announcement.target.name
            self._recorder.record("announcement_rejected", target=name, detail=outcome.reason)
        return outcome

    def handle(self, event: entry.EntryEvent) -> None:
        """Hand an event to the core and carry out its effects."""
        for effect in self._core.handle(event, asyncio.get_running_loop().time()):
            self._carry_out(effect)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Take a packet from the fabric or from another entry host."""
        inner = encapsulation.decapsulate(data)
        if inner is None:
            return self._drop("not_encapsulated")
        sender = self._senders.get(addr, "")
        if not sender and addr != self._fabric:
            return self._drop("unknown_sender")
        parsed = packets.parse(inner.packet)
        if isinstance(parsed, packets.PacketFault):
            return self._drop(parsed)
        if not sender and not packets.checksums_hold(inner.packet, parsed.header_length):
            return self._drop(packets.PacketFault.CHECKSUM)
        stage = inner.stage if sender else flows.Stage.FABRIC
        self._bytes = inner.packet
        self._packet = parsed
        self._packet_at = asyncio.get_running_loop().time()
        arrived = flows.SegmentArrived(parsed.segment, stage, sender, inner.packet, inner.tag)
        self.handle(arrived)
        return None

    def _carry_out(self, effect: entry.EntryEffect) -> None:
        match effect:
            case flows.ToTarget(endpoint):
                header = self._current().header_length
                self._emit(packets.rewrite_destination(self._bytes, header, endpoint))
            case flows.ToCaller(service):
                header = self._current().header_length
                self._emit(packets.rewrite_source(self._bytes, header, service))
            case flows.Relay(host, stage, tag):
                self._relay(host, stage, tag)
            case flows.Drop(reason):
                self._drop(reason)
            case flows.Resend(packet, endpoint):
                self._resend(packet, endpoint)
            case flows.Probe(source, destination, seq, ack):
                self._emit(packets.build(source, destination, flows.ACK, seq, ack))
            case flows.Reset(source, destination, seq, ack, flags):
                self._emit(packets.build(source, destination, flags, seq, ack))
            case _:
                self._tell(effect)

    def _tell(self, effect: entry.EntryEffect) -> None:
        match effect:
            case entry.SendToPeer(host, body):
                self._send(host, body)
            case SendToControl(host, body):
                self._send(host, body)
            case PersistCatalogue(catalogue):
                self._keep(catalogue)
            case AnnounceReply(token, outcome):
                self._answers.pop(token).set_result(outcome)
            case CatalogueInForce(catalogue, _):
                self._recorder.record("in_force", revision=catalogue.revision)
            case flows.VerdictReached(key, target, verdict, reason):
                self._verdict(key, target, verdict, reason)
            case MembersChanged(members):
                self._members_changed(members)
            case TargetStateChanged(target, state, owner):
                self._recorder.record("target", target=target, detail=f"{state}, lease at {owner}")
            case ReadinessChanged(is_ready):
                self._recorder.record("ready" if is_ready else "not_ready")

    def _verdict(self, key: FlowKey, target: TargetName, verdict: Verdict, reason: str) -> None:
        """Count a verdict and record it; of refusals without a target, only some in a flood."""
        self.verdicts[verdict, reason] = self.verdicts.get((verdict, reason), 0) + 1
        if not target:
            self._refusals_to_record -= 1
            if self._refusals_to_record < 0:
                return
        flow = f"{Endpoint(*key[:2])}>{Endpoint(*key[2:])}"
        self._recorder.record("verdict", flow=flow, target=target, detail=f"{verdict}: {reason}")

    def _current(self) -> packets.ParsedPacket:
        assert self._packet is not None
        return self._packet

    def _relay(self, host: HostName, stage: flows.Stage, tag: int) -> None:
        address = self._members.get(host)
        if address is None:
            return self._drop("no_route")
        self._datagram(encapsulation.encapsulate_relay(self._bytes, stage, tag), address)
        return None

    def _resend(self, packet: bytes, endpoint: Endpoint) -> None:
        parsed = packets.parse(packet)
        if isinstance(parsed, packets.ParsedPacket):
            self._emit(packets.rewrite_destination(packet, parsed.header_length, endpoint))

    def _emit(self, packet: bytes | bytearray) -> None:
        self._datagram(encapsulation.encapsulate(packet), self._fabric)

    def _datagram(self, data: bytes, address: Address) -> None:
        if not self._socket.send(data, address):
            self._drop("not_sent")

    def _drop(self, reason: str) -> None:
        self.drops[reason] = self.drops.get(reason, 0) + 1

    def _keep(self, catalogue: Catalogue) -> None:
        task = asyncio.create_task(self._keep_and_tell(catalogue))
        self._keeping.add(task)
        task.add_done_callback(self._keeping.discard)

    async def _keep_and_tell(self, catalogue: Catalogue) -> None:
        """Write off the event loop; a full disk must not keep a change from coming into force."""
        if self._store is not None:
            try:
                await asyncio.to_thread(self._store.write, catalogue)
            except OSError as error:
                _log.error("catalogue %d was not kept: %s", catalogue.revision, error)
        self.handle(CataloguePersisted(catalogue.revision))

    def _members_changed(self, members: tuple[Member, ...]) -> None:
        self._learn(members)
        others = [member for member in members if member.data != self._settings.data]
        before, self._members = self._members, {m.name: _address(m.data) for m in others}
        self._update_senders()
        parts = [f"{len(members)} alive"]
        parts += [f"{name} joined" for name in sorted(self._members.keys() - before.keys())]
        parts += [f"{name} gone" for name in sorted(before.keys() - self._members.keys())]
        self._recorder.record("members", detail=", ".join(parts))

    def _update_senders(self) -> None:
        """Take relayed packets of members, and for a time of those that left or seem dead."""
        now = asyncio.get_running_loop().time()
        senders = {address: name for name, address in self._members.items()}
        for address in self._senders.keys() - senders.keys():
            self._former.setdefault(address, now)
        for address, since in list(self._former.items()):
            if address in senders or now - since > FORMER_MEMBER_SECONDS:
                del self._former[address]
            else:
                senders[address] = self._senders[address]
        self._senders = senders


def _address(endpoint: Endpoint) -> Address:
    host, _, port = str(endpoint).rpartition(":")
    return host, int(port)
