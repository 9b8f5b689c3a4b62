"""An entry host that forwards packets by flow tag."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

from lacewingrudder_core.hashing import name_hash
from lacewingrudder_core.subscriptions import (
    ConfigurationUpdate,
    ControlStarted,
    FormerTargets,
    ShutdownPolicy,
    SilenceQuery,
    Subscription,
    TargetAnswered,
    Update,
    ZonePeerCounts,
)
from lacewingrudder_core.tagging import Configuration, TagForwarder
from lacewingrudder_core.types import HostName

from .._packets.datagrams import Address
from .._packets.packet_socket import PacketSocket
from .adapters import ConfigurationReader, PacketAdapter
from .configuration_loader import ConfigurationLoader
from .entry_events import EntryEvents
from .event_log import EventLog
from .message_socket import MessageSocket, address_of
from .messages import ENTRY_MESSAGES
from .packet_forwarding import PacketForwarding
from .process import FleetProcess
from .settings import FleetSettings, SettingsFile, TagEntrySettings

if TYPE_CHECKING:
    from .explanations import ExplanationResponder
    from .http import HttpServer
    from .metrics import MetricsSnapshot

POLL_INTERVAL_SECONDS = 0.5
"""Interval at which an entry host polls each control host; the polls are also its heartbeat."""

INITIAL_POLL_INTERVAL_SECONDS = 0.1
"""Poll interval until the first configuration has arrived."""

CONTROL_LOST_TIMEOUT_SECONDS = 2.5
"""A control host counts as lost if it has sent no update for this long, which is five polls."""

MAX_READINESS_SERVER_DELAY_SECONDS = 0.5
"""Maximum delay of the readiness server at startup, so that forwarding can start first.

The server starts as soon as this host is ready.
"""

SHUTDOWN_FORWARDING_SECONDS = 1.5
"""How long a leaving host goes on forwarding after it reports not ready.

The fabric sends readiness probes every half second and stops sending packets after three failures.
"""

QUIET_SECONDS = 0.3
"""A leaving host that gets no packet for this long is out of use; answers to probes may be lost."""

DISCONNECTED_TIMEOUT_SECONDS = 1.2
"""This host counts as disconnected if no control host has sent an update for this long.

That is slightly more than two polls. A replacement host that starts while the control hosts are
unreachable gets no configuration, so a leaving host waits.
"""


class TagEntryProcess(FleetProcess):
    """Runs an entry host: its forwarder, its sockets and its polling of control hosts.

    :param packets: decodes and encodes packets.
    :param reader: decodes configurations.
    """

    def __init__(
        self,
        settings: FleetSettings,
        entry: TagEntrySettings,
        settings_file: SettingsFile,
        events: EventLog,
        packets: PacketAdapter,
        reader: ConfigurationReader,
    ) -> None:
        super().__init__(settings, settings_file, events)
        self._entry = entry
        self._entry_events = EntryEvents(events)
        self._loader = ConfigurationLoader(
            reader, self._apply_configuration, self._entry_events.record_unreadable
        )
        seed = name_hash(str(settings.messages))
        self._forwarder = TagForwarder(
            settings.zone, seed, entry.limits_warmup, entry.learns_speeds
        )
        self._explanations: ExplanationResponder | None = None
        self._packet_socket = PacketSocket(self._handle_packet)
        self._forwarding = PacketForwarding(
            self._forwarder, packets, self._packet_socket, self._entry_events
        )
        self._message_socket = MessageSocket(ENTRY_MESSAGES, events, self._handle_message)
        self._readiness_changed = asyncio.Event()
        self._readiness_server: HttpServer | None = None
        self._controls: set[HostName] = set(settings.seeds)
        self._announced_controls: set[HostName] = set()
        self._lost_controls: set[HostName] = set()
        self._peers = ZonePeerCounts(0, 0)
        self._is_leaving = False
        self._was_reported_ready = False
        self._tasks: list[asyncio.Task[None]] = []
        self._silence_check: asyncio.TimerHandle | None = None

    @property
    def is_ready(self) -> bool:
        """Whether this host accepts new flows."""
        now = asyncio.get_running_loop().time()
        return not self._is_leaving and self._forwarder.is_ready(now)

    async def _start(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._message_socket.open(self._settings.messages_bind)
        self._packet_socket.open(address_of(str(self._entry.packets)))
        self._tasks = [
            self._supervise(self._loader.run()),
            self._supervise(self._poll_loop()),
        ]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_READINESS_SERVER_DELAY_SECONDS):
                await self._readiness_changed.wait()
        await self._serve_readiness()

    async def _serve_readiness(self) -> None:
        """Serve readiness probes and operators; imported now, so that forwarding starts first."""
        from .explanations import ExplanationResponder
        from .http import HttpServer
        from .readiness import ReadinessHandler

        self._readiness_server = HttpServer(ReadinessHandler(lambda: self.is_ready), self._events)
        await self._readiness_server.start(self._entry.readiness)
        self._explanations = ExplanationResponder(self._forwarder, self._message_socket)

    async def _leave(self) -> None:
        """Wait until the shutdown policy permits it, then report not ready.

        This host keeps forwarding all the while, for :data:`SHUTDOWN_FORWARDING_SECONDS` afterwards
        and, until the deadline, as long as the fabric sends packets to it.
        """
        deadline = self._stop_deadline()
        policy = ShutdownPolicy(deadline - SHUTDOWN_FORWARDING_SECONDS)
        while not policy.may_leave(self._peers, self._is_disconnected(), self._loop.time()):
            await asyncio.sleep(INITIAL_POLL_INTERVAL_SECONDS)
        self._entry_events.record_leaving(self._peers, self._is_disconnected())
        self._is_leaving = True
        self._report_readiness()
        self._poll_controls()
        await asyncio.sleep(SHUTDOWN_FORWARDING_SECONDS)
        while self._loop.time() < min(deadline, self._forwarding.last_packet_at + QUIET_SECONDS):
            await asyncio.sleep(INITIAL_POLL_INTERVAL_SECONDS)

    def _is_disconnected(self) -> bool:
        silence = self._loop.time() - self._forwarder.views.last_received_at
        return silence > DISCONNECTED_TIMEOUT_SECONDS

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._silence_check is not None:
            self._silence_check.cancel()
        if self._readiness_server is not None:
            await self._readiness_server.stop()
        self._packet_socket.close()
        self._message_socket.close()

    def _apply_settings(self) -> None:
        self._controls |= set(self._settings.seeds)

    async def _poll_loop(self) -> None:
        while True:
            now = self._loop.time()
            self._poll_controls()
            self._entry_events.record_target_changes(self._forwarder.tick(now))
            self._entry_events.record_ejections(self._forwarder.pop_ejections())
            self._record_control_changes(now)
            self._forget_controls(now)
            self._report_readiness()
            is_configured = self._forwarder.version >= 0
            await asyncio.sleep(
                POLL_INTERVAL_SECONDS if is_configured else INITIAL_POLL_INTERVAL_SECONDS
            )

    def _poll_controls(self) -> None:
        for control in sorted(self._controls):
            self._subscribe(control, is_poll=True)

    def _subscribe(self, control: HostName, is_poll: bool) -> None:
        position = self._forwarder.views.position(control)
        name = str(self._settings.messages)
        zone, version = self._settings.zone, self._loader.newest_version
        self._message_socket.send(
            control,
            Subscription(name, zone, False, position, version, is_poll, self.is_ready),
        )

    def _handle_message(self, sender: HostName, body: Any) -> None:
        if isinstance(body, Update):
            self._apply_update(sender, body)
        elif isinstance(body, ConfigurationUpdate):
            self._loader.load(body)
        elif isinstance(body, SilenceQuery):
            self._answer_silence_query(sender, body)
        elif isinstance(body, ControlStarted):
            self._handle_control_start(sender)
        elif isinstance(body, FormerTargets):
            self._entry_events.record_target_changes(
                self._forwarder.apply_former(sender, body, self._loop.time())
            )
        elif self._explanations is not None:
            self._explanations.handle(sender, body, self._loop.time())

    def _handle_control_start(self, control: HostName) -> None:
        """Poll a control host at once: it may be the only one that runs, or knows more targets."""
        self._controls.add(control)
        self._subscribe(control, is_poll=True)

    def _answer_silence_query(self, sender: HostName, query: SilenceQuery) -> None:
        if self._forwarder.has_answered(query, self._loop.time()):
            self._message_socket.send(sender, TargetAnswered(query.lifetime))

    def _apply_update(self, sender: HostName, update: Update) -> None:
        self._announced_controls = set(update.controls)
        self._controls |= self._announced_controls
        self._peers = update.peers
        evacuations = self._forwarder.evacuations
        self._entry_events.record_target_changes(
            self._forwarder.apply_update(update, self._loop.time())
        )
        if self._forwarder.evacuations != evacuations:
            self._entry_events.record_evacuations(self._forwarder.evacuations)
        if update.entries:
            self._subscribe(sender, is_poll=False)
        self._report_readiness()

    def _apply_configuration(self, configuration: Configuration) -> None:
        before = self._forwarder.version
        if self._forwarder.configure(configuration, self._loop.time()):
            routes = len(configuration.routes)
            self._entry_events.record_in_force(configuration.version, before, routes)
        self._report_readiness()

    def _handle_packet(self, data: bytes, sender: Address, waited_seconds: float) -> None:
        if self._forwarding.handle(data, sender, self._loop.time(), waited_seconds):
            self._schedule_silence_check()

    def _schedule_silence_check(self) -> None:
        at = self._forwarder.next_silence_check
        if at is not None and self._silence_check is None:
            self._silence_check = self._loop.call_at(at, self._report_silent_targets)

    def _report_silent_targets(self) -> None:
        """Report targets that leave SYNs unanswered to all control hosts.

        Which of them receives the heartbeats of a target is not known here.
        """
        self._silence_check = None
        for report in self._forwarder.pop_silent_targets(self._loop.time()):
            self._entry_events.record_silence(report.lifetime)
            for control in sorted(self._controls):
                self._message_socket.send(control, report)
        self._schedule_silence_check()

    def _collect_metrics(self) -> MetricsSnapshot:
        from .entry_metrics import collect_entry_metrics

        return collect_entry_metrics(
            self._forwarder, self._message_socket, self._events, self.is_ready
        )

    def _record_control_changes(self, now: float) -> None:
        for control in self._controls:
            silence = self._forwarder.views.seconds_since_update(control, now)
            is_lost = CONTROL_LOST_TIMEOUT_SECONDS < silence < float("inf")
            if is_lost and control not in self._lost_controls:
                self._lost_controls.add(control)
                self._entry_events.record_control_lost(control, silence)
            elif silence <= CONTROL_LOST_TIMEOUT_SECONDS and control in self._lost_controls:
                self._lost_controls.discard(control)
                self._entry_events.record_control_regained(control)

    def _forget_controls(self, now: float) -> None:
        """Stop polling unresponsive control hosts that are neither seeds nor announced.

        Control hosts are announced if the latest update lists them. Nothing changes while all
        control hosts are unresponsive.
        """
        last_heard = self._forwarder.views.last_received_at
        if now - last_heard > CONTROL_LOST_TIMEOUT_SECONDS:
            return
        kept = self._announced_controls | set(self._settings.seeds)
        expired = {
            control
            for control in self._controls - kept
            if self._forwarder.views.seconds_since_update(control, now)
            > CONTROL_LOST_TIMEOUT_SECONDS
        }
        self._controls -= expired
        self._lost_controls -= expired

    def _report_readiness(self) -> None:
        ready = self.is_ready
        if ready != self._was_reported_ready:
            self._was_reported_ready = ready
            self._readiness_changed.set()
            self._entry_events.record_readiness(ready, self._forwarder.version)
