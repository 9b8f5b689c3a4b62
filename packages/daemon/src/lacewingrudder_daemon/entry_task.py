"""The task that runs an entry host: drives the entry core and its UDP socket."""

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
from .evacuation_log import EvacuationLog
from .recorder import TimelineWriter
from .settings import EntrySettings

TICK_INTERVAL_SECONDS = 0.1
MAX_RECORDED_REFUSALS_PER_TICK = 5
MIN_LEAVE_SECONDS = 1.0
LEAVE_QUIET_SECONDS = 0.5
MAX_LEAVE_SECONDS = 3.5
FORMER_MEMBER_RETENTION_SECONDS = 30.0

_log = logging.getLogger(__name__)


class EntryTask:
    """Passes packets, messages and ticks to an entry core and executes the effects it returns.

    :param send: sends a message to a host.
    :param on_members_changed: called with the live entry hosts, which include their link endpoints.
    :param store: persists the catalogue in force; ``None`` persists nothing.
    """

    def __init__(
        self,
        settings: EntrySettings,
        core: entry.EntryCore,
        timeline: TimelineWriter,
        send: Callable[[HostName, Any], None],
        on_members_changed: Callable[[tuple[Member, ...]], None],
        store: CatalogueStore | None = None,
    ) -> None:
        self._settings = settings
        self._core = core
        self._timeline = timeline
        self._send = send
        self._on_members_changed = on_members_changed
        self._store = store
        self._evacuation_log = EvacuationLog(timeline, "evacuations_in_force")
        self._persist_tasks: set[asyncio.Task[None]] = set()
        self._fabric = _address(settings.fabric)
        self._members: dict[HostName, Address] = {}
        self._senders: dict[Address, HostName] = {}
        self._former_senders: dict[Address, float] = {}
        self._last_packet_at = 0.0
        self._pending_announcements: dict[int, asyncio.Future[AnnounceOutcome]] = {}
        self._next_token = 1
        self._socket = DatagramSocket(self.handle_datagram)
        self._current_packet: packets.ParsedPacket | None = None
        self._current_bytes = b""
        self._refusals_to_record = MAX_RECORDED_REFUSALS_PER_TICK
        self.rejected_announcement_count = 0
        self.drops: dict[str, int] = {}
        self.verdicts: dict[tuple[Verdict, str], int] = {}

    @property
    def core(self) -> entry.EntryCore:
        """The entry core, for reading only."""
        return self._core

    @property
    def ejected_target_count(self) -> int:
        """Number of targets that get no new flows of this host because it saw them fail."""
        return len(self._core.ejected_targets(asyncio.get_running_loop().time()))

    async def start(self) -> None:
        """Open the packet socket, and report the evacuations that were persisted.

        :raises OSError: if the endpoint cannot be bound.
        """
        self._socket.open(_address(self._settings.data))
        self._evacuation_log.record(self._core.evacuations)

    async def run(self) -> None:
        """Send ticks and load measurements to the core until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._refusals_to_record = MAX_RECORDED_REFUSALS_PER_TICK
            self.handle(entry.Tick())
            due = loop.time() + TICK_INTERVAL_SECONDS
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            self._measure_load(loop.time() - due)

    def _measure_load(self, lag: float) -> None:
        if self._socket.opened is not None:
            self.handle(load_meter.measure(self._socket.opened, lag))

    async def leave(self) -> None:
        """Hand over the flows and leave the membership, then relay packets until no more arrive.

        Returns once no packet has arrived for :data:`LEAVE_QUIET_SECONDS`, but not before
        :data:`MIN_LEAVE_SECONDS` and at the latest after :data:`MAX_LEAVE_SECONDS`. By then
        the new home hosts track the flows.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        self.handle(entry.ShutdownRequested())
        await asyncio.sleep(MIN_LEAVE_SECONDS)
        while loop.time() - self._last_packet_at < LEAVE_QUIET_SECONDS:
            if loop.time() - started >= MAX_LEAVE_SECONDS:
                self._timeline.record("left", detail="packets still arrive")
                return
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
        self._timeline.record("left", detail="no packet arrives any more")

    def close(self) -> None:
        """Close the packet socket."""
        self._socket.close()

    async def announce(self, announcement: Announcement) -> AnnounceOutcome:
        """Pass a target's announcement to the core and return the outcome."""
        token = self._next_token
        self._next_token += 1
        answer: asyncio.Future[AnnounceOutcome] = asyncio.get_running_loop().create_future()
        self._pending_announcements[token] = answer
        self.handle(Announced(token, announcement))
        outcome = await answer
        if isinstance(outcome, Rejected):
            self.rejected_announcement_count += 1
            name = announcement.target.name
            self._timeline.record("announcement_rejected", target=name, detail=outcome.reason)
        return outcome

    def handle(self, event: entry.EntryEvent) -> None:
        """Pass an event to the core and execute the resulting effects."""
        for effect in self._core.handle(event, asyncio.get_running_loop().time()):
            self._execute(effect)

    def handle_datagram(self, data: bytes, addr: Address) -> None:
        """Process a datagram from the fabric or from another entry host.

        Checksums are verified only for packets from the fabric; the entry host that relayed a
        packet has already done so.
        """
        inner = encapsulation.decapsulate(data)
        if inner is None:
            return self._count_drop("not_encapsulated")
        sender = self._senders.get(addr, "")
        if not sender and addr != self._fabric:
            return self._count_drop("unknown_sender")
        parsed = packets.parse(inner.packet)
        if isinstance(parsed, packets.PacketFault):
            return self._count_drop(parsed)
        if not sender and not packets.are_checksums_correct(inner.packet, parsed.header_length):
            return self._count_drop(packets.PacketFault.CHECKSUM)
        stage = inner.stage if sender else flows.Stage.FABRIC
        self._current_bytes = inner.packet
        self._current_packet = parsed
        self._last_packet_at = asyncio.get_running_loop().time()
        arrived = flows.SegmentArrived(parsed.segment, stage, sender, inner.packet, inner.tag)
        self.handle(arrived)
        return None

    def _execute(self, effect: entry.EntryEffect) -> None:
        match effect:
            case flows.ToTarget(endpoint):
                header = self._parsed_packet().header_length
                self._send_to_fabric(
                    packets.rewrite_destination(self._current_bytes, header, endpoint)
                )
            case flows.ToCaller(service):
                header = self._parsed_packet().header_length
                self._send_to_fabric(packets.rewrite_source(self._current_bytes, header, service))
            case flows.Relay(host, stage, tag):
                self._relay(host, stage, tag)
            case flows.Drop(reason):
                self._count_drop(reason)
            case flows.Resend(packet, endpoint):
                self._resend(packet, endpoint)
            case flows.Probe(source, destination, seq, ack):
                self._send_to_fabric(packets.build(source, destination, flows.ACK, seq, ack))
            case flows.Reset(source, destination, seq, ack, flags):
                self._send_to_fabric(packets.build(source, destination, flags, seq, ack))
            case _:
                self._execute_other(effect)

    def _execute_other(self, effect: entry.EntryEffect) -> None:
        match effect:
            case entry.SendToPeer(host, body):
                self._send(host, body)
            case SendToControl(host, body):
                self._send(host, body)
            case PersistCatalogue(catalogue):
                self._start_persisting(catalogue)
            case AnnounceReply(token, outcome):
                self._pending_announcements.pop(token).set_result(outcome)
            case CatalogueInForce(catalogue, _):
                self._timeline.record("in_force", revision=catalogue.revision)
                self._evacuation_log.record(catalogue.evacuations)
            case flows.VerdictReached(key, target, verdict, reason):
                self._record_verdict(key, target, verdict, reason)
            case MembersChanged(members):
                self._handle_members_change(members)
            case TargetStateChanged(target, state, owner):
                self._timeline.record("target", target=target, detail=f"{state}, lease at {owner}")
            case ReadinessChanged(is_ready):
                self._timeline.record("ready" if is_ready else "not_ready")

    def _record_verdict(
        self, key: FlowKey, target: TargetName, verdict: Verdict, reason: str
    ) -> None:
        """Count a verdict and record it.

        Refusals without a target are recorded only up to :data:`MAX_RECORDED_REFUSALS_PER_TICK`, so
        that a flood of connection attempts does not flood the timeline.
        """
        self.verdicts[verdict, reason] = self.verdicts.get((verdict, reason), 0) + 1
        if not target:
            self._refusals_to_record -= 1
            if self._refusals_to_record < 0:
                return
        flow = f"{Endpoint(*key[:2])}>{Endpoint(*key[2:])}"
        self._timeline.record("verdict", flow=flow, target=target, detail=f"{verdict}: {reason}")

    def _parsed_packet(self) -> packets.ParsedPacket:
        assert self._current_packet is not None
        return self._current_packet

    def _relay(self, host: HostName, stage: flows.Stage, tag: int) -> None:
        address = self._members.get(host)
        if address is None:
            return self._count_drop("no_route")
        self._send_datagram(
            encapsulation.encapsulate_relay(self._current_bytes, stage, tag), address
        )
        return None

    def _resend(self, packet: bytes, endpoint: Endpoint) -> None:
        parsed = packets.parse(packet)
        if isinstance(parsed, packets.ParsedPacket):
            self._send_to_fabric(
                packets.rewrite_destination(packet, parsed.header_length, endpoint)
            )

    def _send_to_fabric(self, packet: bytes | bytearray) -> None:
        self._send_datagram(encapsulation.encapsulate(packet), self._fabric)

    def _send_datagram(self, data: bytes, address: Address) -> None:
        if not self._socket.send(data, address):
            self._count_drop("not_sent")

    def _count_drop(self, reason: str) -> None:
        self.drops[reason] = self.drops.get(reason, 0) + 1

    def _start_persisting(self, catalogue: Catalogue) -> None:
        task = asyncio.create_task(self._persist_and_report(catalogue))
        self._persist_tasks.add(task)
        task.add_done_callback(self._persist_tasks.discard)

    async def _persist_and_report(self, catalogue: Catalogue) -> None:
        """Persist a catalogue in a worker thread, then report it to the core.

        A failed write is logged and reported as done: a full disk must not stop a change from
        taking effect.
        """
        if self._store is not None:
            try:
                await asyncio.to_thread(self._store.write, catalogue)
            except OSError as error:
                _log.error("cannot persist catalogue revision %d: %s", catalogue.revision, error)
        self.handle(CataloguePersisted(catalogue.revision))

    def _handle_members_change(self, members: tuple[Member, ...]) -> None:
        self._on_members_changed(members)
        others = [member for member in members if member.data != self._settings.data]
        before, self._members = self._members, {m.name: _address(m.data) for m in others}
        self._update_senders()
        parts = [f"{len(members)} alive"]
        parts += [f"{name} joined" for name in sorted(self._members.keys() - before.keys())]
        parts += [f"{name} gone" for name in sorted(before.keys() - self._members.keys())]
        self._timeline.record("members", detail=", ".join(parts))

    def _update_senders(self) -> None:
        """Accept relayed packets from members, and for a while from former members.

        A host that left, or that only seems dead, goes on relaying packets until the fabric stops
        sending them to it. Its packets are accepted until the first membership change that comes
        more than :data:`FORMER_MEMBER_RETENTION_SECONDS` after the host was removed.
        """
        now = asyncio.get_running_loop().time()
        senders = {address: name for name, address in self._members.items()}
        for address in self._senders.keys() - senders.keys():
            self._former_senders.setdefault(address, now)
        for address, since in list(self._former_senders.items()):
            if address in senders or now - since > FORMER_MEMBER_RETENTION_SECONDS:
                del self._former_senders[address]
            else:
                senders[address] = self._senders[address]
        self._senders = senders


def _address(endpoint: Endpoint) -> Address:
    host, _, port = str(endpoint).rpartition(":")
    return host, int(port)
