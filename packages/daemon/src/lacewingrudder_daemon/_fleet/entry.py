"""An entry host that forwards by flow tag."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

from lacewingrudder_core.checkins import (
    ConfigurationUpdate,
    ShutdownPolicy,
    Subscription,
    Update,
    ZonePeerCounts,
)
from lacewingrudder_core.hashing import name_hash
from lacewingrudder_core.tagging import (
    Dropped,
    Forwarded,
    ResetReason,
    TagForwarder,
)
from lacewingrudder_core.types import Endpoint, HostName

from .._packets.datagrams import Address, DatagramSocket
from .adapters import ConfigurationReader, PacketAdapter
from .channel import Channel, address_of
from .entry_events import EntryEvents
from .event_log import EventLog
from .messages import ENTRY_MESSAGES
from .process import FleetProcess
from .settings import FleetSettings, SettingsFile, TagEntrySettings

if TYPE_CHECKING:
    from .http import HttpServer
    from .metrics import Measures

POLL_SECONDS = 0.5
"""How often an entry host asks each control host for news; its heartbeat towards them."""

FIRST_POLL_SECONDS = 0.1
"""How often it asks before it knows a configuration."""

LOST_SECONDS = 2.5
"""Five polls without an answer: the control host is taken for lost."""

SETTLE_SECONDS = 0.5
"""How long probes go unanswered at a start, for packets to be forwarded first."""

LEAVE_SECONDS = 1.5
"""How long a leaving host forwards on: three probes of the fabric, half a second apart."""

BLIND_SECONDS = 1.2
"""Two polls without any answer: a host that starts now would learn nothing."""

STOP_MARGIN_SECONDS = 0.7
"""How long before the end of its grace a leaving host stops at the latest."""


class TagEntryProcess(FleetProcess):
    """Owns the sockets of an entry host and its forwarder.

    :param packets: reads and writes callers' packets.
    :param reader: reads configurations.
    """

    def __init__(
        self,
        settings: FleetSettings,
        entry: TagEntrySettings,
        source: SettingsFile,
        events: EventLog,
        packets: PacketAdapter,
        reader: ConfigurationReader,
    ) -> None:
        super().__init__(settings, source, events)
        self._entry = entry
        self._adapter = packets
        self._reader = reader
        self._reports = EntryEvents(events)
        self._forwarder = TagForwarder(settings.zone, name_hash(str(settings.messages)))
        self._socket = DatagramSocket(self._received)
        self._channel = Channel(ENTRY_MESSAGES, events, self._deliver)
        self._settled = asyncio.Event()
        self._readiness: HttpServer | None = None
        self._controls: set[HostName] = set(settings.seeds)
        self._named: set[HostName] = set()
        self._lost: set[HostName] = set()
        self._addresses: dict[Endpoint, Address] = {}
        self._peers = ZonePeerCounts(0, 0)
        self._is_leaving = False
        self._was_ready = False
        self._poller: asyncio.Task[None] | None = None
        self._catching_up: asyncio.TimerHandle | None = None
        self._unconfirmed: set[HostName] = set()

    @property
    def is_ready(self) -> bool:
        """Whether this host takes new flows."""
        now = asyncio.get_running_loop().time()
        return not self._is_leaving and self._forwarder.is_ready(now)

    async def _start(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._channel.open(self._settings.messages_bind)
        self._socket.open(address_of(str(self._entry.packets)))
        self._poller = self._supervised(self._poll())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_SECONDS):
                await self._settled.wait()
        await self._serve_readiness()

    async def _serve_readiness(self) -> None:
        """Answer probes; what that takes is imported once packets are forwarded."""
        from .http import HttpServer
        from .readiness import ReadinessHandler

        self._readiness = HttpServer(ReadinessHandler(lambda: self.is_ready), self._events)
        await self._readiness.start(self._entry.readiness)

    async def _leave(self) -> None:
        """Wait until the zone can do without this host, then forward on until it has to."""
        end = self._loop.time() + self._settings.grace_seconds - STOP_MARGIN_SECONDS
        plan = ShutdownPolicy(end - LEAVE_SECONDS)
        while not plan.may_leave(self._peers, self._is_blind(), self._loop.time()):
            await asyncio.sleep(FIRST_POLL_SECONDS)
        self._reports.leaving(self._peers, self._is_blind())
        self._is_leaving = True
        self._note_readiness()
        self._poll_controls()
        await asyncio.sleep(LEAVE_SECONDS)

    def _is_blind(self) -> bool:
        return self._loop.time() - self._forwarder.views.last_heard > BLIND_SECONDS

    async def _close(self) -> None:
        if self._poller is not None:
            self._poller.cancel()
        if self._catching_up is not None:
            self._catching_up.cancel()
        if self._readiness is not None:
            await self._readiness.stop()
        self._socket.close()
        self._channel.close()

    def _settings_changed(self) -> None:
        self._controls |= set(self._settings.seeds)

    async def _poll(self) -> None:
        while True:
            now = self._loop.time()
            self._poll_controls()
            self._reports.targets(self._forwarder.tick(now))
            self._reports.avoided(self._forwarder.take_ejections())
            self._note_controls(now)
            self._forget_controls(now)
            self._note_readiness()
            settled = self._forwarder.version >= 0
            await asyncio.sleep(POLL_SECONDS if settled else FIRST_POLL_SECONDS)

    def _poll_controls(self) -> None:
        """Ask for news; that also confirms what is known, so it is worked in first."""
        self._reports.targets(self._forwarder.apply_pending(self._loop.time()))
        for control in sorted(self._controls):
            self._subscribe(control, is_poll=True)

    def _subscribe(self, control: HostName, is_poll: bool) -> None:
        position = self._forwarder.views.position(control)
        name = str(self._settings.messages)
        zone, version = self._settings.zone, self._forwarder.version
        self._channel.send(
            control,
            Subscription(name, zone, False, position, version, is_poll, self.is_ready),
        )

    def _deliver(self, sender: HostName, body: Any) -> None:
        if isinstance(body, Update):
            self._updated(sender, body)
        elif isinstance(body, ConfigurationUpdate):
            self._configure(body)

    def _updated(self, sender: HostName, update: Update) -> None:
        self._named = set(update.controls)
        self._controls |= self._named
        self._peers = update.peers
        self._reports.targets(self._forwarder.update(update, self._loop.time()))
        if update.entries:
            self._unconfirmed.add(sender)
        if not self._forwarder.has_pending_updates:
            self._confirm()
        elif self._catching_up is None:
            delay = self._forwarder.pending_delay(self._loop.time())
            self._catching_up = self._loop.call_later(delay, self._catch_up)
        self._note_readiness()

    def _catch_up(self) -> None:
        """Work in the updates that came since the last time, and confirm them."""
        self._catching_up = None
        self._reports.targets(self._forwarder.apply_pending(self._loop.time()))
        self._confirm()
        self._note_readiness()

    def _confirm(self) -> None:
        """Tell control hosts that this host obeys what they published."""
        unconfirmed, self._unconfirmed = self._unconfirmed, set()
        for control in sorted(unconfirmed):
            self._subscribe(control, is_poll=False)

    def _configure(self, update: ConfigurationUpdate) -> None:
        if update.version <= self._forwarder.version:
            return
        try:
            configuration = self._reader.read(update.document)
        except ValueError as error:
            self._reports.unreadable(update.version, error)
            return
        before = self._forwarder.version
        if self._forwarder.configure(configuration):
            self._reports.in_force(update.version, before, len(configuration.routes))
        self._note_readiness()

    def _received(self, data: bytes, sender: Address) -> None:
        segment = self._adapter.read(data)
        if segment is None:
            self._reports.rejected(len(data), sender[0])
            return
        decision = self._forwarder.decide(segment, self._loop.time())
        if isinstance(decision, Forwarded):
            datagram = self._adapter.to_target(data, decision.identity, decision.tag)
            self._socket.send(datagram, self._address(decision.endpoint))
            if segment.is_syn:
                self._reports.placed(segment, decision, self._forwarder.version)
        elif isinstance(decision, Dropped):
            self._reports.ended("dropped", decision.reason, segment, self._forwarder.version)
        else:
            packet = self._adapter.reset(segment)
            self._socket.send(packet.data, packet.destination)
            is_refusal = decision.reason is ResetReason.OVERLOAD
            event = "refused" if is_refusal else "reset"
            self._reports.ended(event, decision.reason, segment, self._forwarder.version)

    def _measure(self) -> Measures:
        from .metrics import Measures

        forwarder = self._forwarder
        return Measures(
            self._events.counts,
            {
                "flows": forwarder.flow_tracker.flows,
                "version": forwarder.version,
                "ready": self.is_ready,
            },
            {
                "message_bytes_sent": self._channel.sent_bytes,
                "messages_rejected": self._channel.rejected,
            },
            {
                "open_seconds": forwarder.open_seconds,
                "answer_seconds": forwarder.flow_tracker.answer_seconds,
            },
        )

    def _address(self, endpoint: Endpoint) -> Address:
        found = self._addresses.get(endpoint)
        if found is None:
            found = self._addresses[endpoint] = address_of(str(endpoint))
        return found

    def _note_controls(self, now: float) -> None:
        for control in self._controls:
            silence = self._forwarder.views.seconds_since_heard(control, now)
            if LOST_SECONDS < silence < float("inf") and control not in self._lost:
                self._lost.add(control)
                self._reports.control_lost(control, silence)
            elif silence <= LOST_SECONDS and control in self._lost:
                self._lost.discard(control)
                self._reports.control_regained(control)

    def _forget_controls(self, now: float) -> None:
        """Poll control hosts no longer that are neither seeds nor heard, nor named by others."""
        heard = self._forwarder.views.last_heard
        if now - heard > LOST_SECONDS:
            return
        kept = self._named | set(self._settings.seeds)
        gone = {
            control
            for control in self._controls - kept
            if self._forwarder.views.seconds_since_heard(control, now) > LOST_SECONDS
        }
        self._controls -= gone
        self._lost -= gone

    def _note_readiness(self) -> None:
        ready = self.is_ready
        if ready != self._was_ready:
            self._was_ready = ready
            self._settled.set()
            self._reports.readiness(ready, self._forwarder.version)
