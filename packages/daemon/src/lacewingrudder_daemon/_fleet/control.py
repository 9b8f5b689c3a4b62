"""A control host that handles the check-ins of targets and the configurations of operators."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from typing import Any

from lacewingrudder_core import checkins, control
from lacewingrudder_core import messages as m
from lacewingrudder_core import replica as r
from lacewingrudder_core.chart import StateChart
from lacewingrudder_core.checkins import (
    CheckIn,
    CheckInCore,
    CheckInReply,
    Lifetime,
    SilenceReport,
    Subscription,
    TargetAnswered,
    TargetEntry,
    Update,
    Views,
)
from lacewingrudder_core.notes import (
    Catalogue,
    Evacuations,
    StoredConfiguration,
    SubmitReply,
    ZoneOrder,
)
from lacewingrudder_core.replica import (
    DiscoveredVoters,
    ReplicaCore,
    ReplicaMessageReceived,
    make_initial_state,
)
from lacewingrudder_core.types import HostName, TargetName
from lacewingrudder_wire.replica_tags import REPLICA_TAGS

from .._storage.disk import FolderDisk
from .._storage.log_store import ReplicaStore
from .._storage.registry_store import RegistryStore
from ..control_task import ControlTask, make_first_number
from .control_events import ControlEvents
from .control_peers import ControlPeers
from .event_log import EventLog
from .http import HttpHandler, HttpServer
from .message_socket import MessageSocket
from .messages import ENTRY_MESSAGES
from .metrics import MetricsSnapshot
from .pending_requests import PendingRequests
from .process import FleetProcess
from .registry_keeper import RegistryKeeper
from .settings import FleetSettings, RegistrarSettings, SettingsFile

REPLICA_IDENTITY_BYTES = 8
TICK_INTERVAL_SECONDS = 0.1
POLL_INTERVAL_SECONDS = 0.5
"""Interval at which a control host polls the others for changed targets, such as new drains."""

SUBSCRIPTION_SECONDS = POLL_INTERVAL_SECONDS + 0.1
"""Time after the start in which the other hosts that run have polled this one."""

START_NOTICE_DELAYS_SECONDS = (0.0, 0.1, 0.3, 0.7)
"""When former subscribers are told that a control host runs; they may be starting, too."""

CONTROL_MESSAGES = ENTRY_MESSAGES | REPLICA_TAGS
_FORWARD_MESSAGES = (r.ForwardRequest, r.ForwardReply, r.ReadRequest, r.ReadReply)
_CHECKIN_MESSAGES = tuple(ENTRY_MESSAGES.values())


class RegistrarProcess(FleetProcess):
    """Runs a control host: its replica, its registry of targets and its sockets.

    :param chart: state chart of the replica's roles.
    """

    def __init__(
        self,
        settings: FleetSettings,
        registrar: RegistrarSettings,
        settings_file: SettingsFile,
        events: EventLog,
        chart: StateChart,
    ) -> None:
        super().__init__(settings, settings_file, events)
        self._registrar = registrar
        self._checkin_events = ControlEvents(events)
        self._name = str(settings.messages)
        self._voter_policy = DiscoveredVoters(settings.seeds, settings.bootstraps)
        self._peers = ControlPeers(self._name, self._voter_policy)
        self._requests = PendingRequests()
        self._message_socket = MessageSocket(
            CONTROL_MESSAGES, events, self._handle_message, repeated=(Subscription,)
        )
        disk = FolderDisk(registrar.data_folder)
        self._control = self._make_control_task(disk, chart)
        self._views = Views()
        self._registry_keeper = RegistryKeeper(RegistryStore(disk), events)
        registry = self._registry_keeper.restore(settings.heartbeat_seconds, self._views.find)
        complete_from = time.monotonic() + SUBSCRIPTION_SECONDS
        self._checkins = CheckInCore(self._name, settings.zone, registry, complete_from)
        self._evacuations = Evacuations()
        self._server: HttpServer | None = None
        self._tasks: list[asyncio.Task[None]] = []

    def set_http_handler(self, handler: HttpHandler) -> None:
        """Set the handler that answers the HTTP calls of targets and operators."""
        self._server = HttpServer(handler, self._events)

    def report_rejection(self, event: str, target: TargetName, reason: str) -> None:
        """Report a call that was rejected because its content is invalid."""
        self._events.record(event, target=target, detail=reason)

    async def check_in(self, call: CheckIn) -> CheckInReply:
        """Process a target's check-in and return the outcome."""
        if call.state is not checkins.LifeState.READY:
            name, started_ms = call.lifetime
            detail = f"{name} born {started_ms} reports draining, check-in {call.sequence}"
            self._events.record("drain_asked", target=str(call.endpoint), detail=detail)
        return await self._requests.wait_for_answer(
            CheckInReply, lambda token: self._handle_checkin_event(checkins.CheckedIn(token, call))
        )

    async def deregister(self, target: TargetName, started_ms: int | None) -> CheckInReply:
        """Process a target's notice that it terminates, and return the outcome.

        :param started_ms: start time of the lifetime that ends; without it, the target's current
            lifetime ends, and only if it is draining.
        """
        return await self._requests.wait_for_answer(
            CheckInReply,
            lambda token: self._handle_checkin_event(
                checkins.Deregistered(token, target, started_ms)
            ),
        )

    def confirm_departure(self, lifetime: Lifetime) -> None:
        """Record that a target received the reply that confirms its deregistration."""
        self._handle_checkin_event(checkins.DepartureConfirmed(lifetime))

    async def submit(self, configuration: StoredConfiguration) -> SubmitReply:
        """Submit a configuration to the replicated log and return the outcome."""
        return await self._submit(m.SubmitConfiguration(configuration))

    async def submit_zone_order(self, order: ZoneOrder) -> SubmitReply:
        """Submit an order for all targets of a zone to the replicated log; return the outcome."""
        return await self._submit(m.SubmitZoneOrder(order))

    async def _submit(self, request: m.SubmitConfiguration | m.SubmitZoneOrder) -> SubmitReply:
        reply = await self._requests.wait_for_answer(
            m.OperatorReply,
            lambda token: self._control.handle(control.OperatorRequestReceived(token, request)),
            lambda token: self._control.handle(control.OperatorRequestWithdrawn(token)),
        )
        return reply.reply

    async def read(self) -> m.ConfigurationReply:
        """Return the newest committed configuration, and whether it is confirmed to be newest."""
        request = m.ReadConfiguration()
        return await self._requests.wait_for_answer(
            m.ConfigurationReply,
            lambda token: self._control.handle(control.OperatorRequestReceived(token, request)),
        )

    async def _start(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._message_socket.open(self._settings.messages_bind)
        if self._server is not None:
            await self._server.start(self._registrar.calls)
        self._handle_catalogue_change(self._control.core.catalogue)
        for delay_seconds in START_NOTICE_DELAYS_SECONDS:
            self._loop.call_later(delay_seconds, self._announce_start)
        self._tasks = [
            self._supervise(self._control.run()),
            self._supervise(self._tick_loop()),
            self._supervise(self._poll_loop()),
            self._supervise(self._registry_keeper.run(self._checkins, self._find_peer_entries)),
        ]

    async def _leave(self) -> None:
        """Hand over leadership, then answer the calls that were already accepted."""
        deadline = self._stop_deadline()
        await self._control.leave()
        if self._server is not None:
            await self._server.drain(deadline - self._loop.time())

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            await self._server.stop()
        self._message_socket.close()
        self._registry_keeper.close()
        self._control.close()

    def _apply_settings(self) -> None:
        self._peers.add(self._settings.seeds)

    def _announce_start(self) -> None:
        """Tell the former subscribers that haven't subscribed again yet that this host runs."""
        former_hosts = self._registry_keeper.former_entry_hosts
        for host in sorted(former_hosts.difference(self._checkins.entry_hosts)):
            self._message_socket.send(host, checkins.ControlStarted())

    def _collect_metrics(self) -> MetricsSnapshot:
        core = self._control.core
        leads = core.replica.leader(self._loop.time()) == self._name
        voters = core.replica.state.log.voters
        return MetricsSnapshot(
            self._events.counts,
            {
                "version": core.catalogue.configuration_version,
                "leads": leads,
                "voters": len(voters),
                "evacuated_zones": len(core.catalogue.evacuations.zones),
            },
            {
                "message_bytes_sent": self._message_socket.sent_bytes,
                "messages_rejected": self._message_socket.rejected_message_count,
            },
            {"call_seconds": self._requests.latencies},
        )

    def _make_control_task(self, disk: FolderDisk, chart: StateChart) -> ControlTask:
        store = ReplicaStore(disk)
        identity = secrets.token_hex(REPLICA_IDENTITY_BYTES)
        durable = store.recover(make_initial_state(self._name, identity, self._voter_policy))
        rng = random.Random(secrets.randbits(64))
        core = ReplicaCore(self._name, self._voter_policy, chart, durable, rng)
        return ControlTask(
            control.ControlCore(self._name, core, first_number=make_first_number()),
            store,
            self._events,
            self._message_socket.send,
            self._requests.resolve,
            self._handle_catalogue_change,
        )

    def _handle_catalogue_change(self, catalogue: Catalogue) -> None:
        evacuations, configuration = catalogue.evacuations, catalogue.configuration
        if evacuations != self._evacuations:
            self._evacuations = evacuations
            detail = f"revision {evacuations.revision}, zones: {', '.join(evacuations.zones)}"
            self._events.record("evacuations_committed", detail=detail)
            self._handle_checkin_event(checkins.EvacuationsCommitted(evacuations))
        if configuration is None:
            return
        detail = f"revision {catalogue.revision}"
        self._events.record("committed", revision=configuration.version, detail=detail)
        self._handle_checkin_event(checkins.ConfigurationCommitted(configuration))

    def _handle_message(self, sender: HostName, body: Any) -> None:
        if not isinstance(body, _CHECKIN_MESSAGES):
            self._mark_seen(sender)
            event = (
                control.ForwardMessageReceived(sender, body)
                if isinstance(body, _FORWARD_MESSAGES)
                else ReplicaMessageReceived(sender, body)
            )
            self._control.handle(event)
        elif isinstance(body, Subscription):
            if body.is_control:
                self._mark_seen(sender)
            self._handle_checkin_event(checkins.Subscribed(body._replace(host=sender)))
            if not body.is_control and body.version < 0:
                self._send_former_targets(sender)
        elif isinstance(body, Update):
            self._apply_update(sender, body)
        elif isinstance(body, SilenceReport):
            self._handle_checkin_event(checkins.SilenceReported(sender, body))
        elif isinstance(body, TargetAnswered):
            self._handle_checkin_event(checkins.SilenceRefuted(body.lifetime))

    def _send_former_targets(self, host: HostName) -> None:
        """Tell an entry host without a configuration of the targets of other control hosts."""
        former_targets = self._registry_keeper.former_targets
        if former_targets.entries:
            self._message_socket.send(host, former_targets)

    def _find_peer_entries(self) -> tuple[TargetEntry, ...]:
        """Return the reachable targets that checked in with other control hosts only."""
        merged = self._views.merge_entries(self._loop.time())
        find_own = self._checkins.registry.get
        return tuple(
            entry._replace(warmup_remaining_ms=0)
            for entry, has_recent_heartbeat in merged
            if has_recent_heartbeat
            and entry.state is checkins.LifeState.READY
            and ((own := find_own(entry.lifetime)) is None or own.key != entry.key)
        )

    def _apply_update(self, sender: HostName, update: Update) -> None:
        self._mark_seen(sender)
        self._peers.add(update.controls)
        before = self._views.position(sender)
        self._views.apply_update(update, self._loop.time())
        if self._views.position(sender) != before:
            self._registry_keeper.record_peer_change()
            self._handle_checkin_event(checkins.PeerUpdated(update))
            self._subscribe(sender, is_poll=False)

    def _mark_seen(self, host: HostName) -> None:
        self._peers.mark_seen(host, self._loop.time())

    def _handle_checkin_event(self, event: checkins.CheckInEvent) -> None:
        for effect in self._checkins.handle(event, self._loop.time()):
            self._execute(effect)

    def _execute(self, effect: checkins.CheckInEffect) -> None:
        self._checkin_events.record(effect)
        match effect:
            case checkins.SendUpdate(host, body):
                self._message_socket.send(host, body)
            case CheckInReply():
                self._requests.resolve(effect.token, effect)
            case checkins.AwaitRefutation(lifetime, delay_seconds):
                event = checkins.SilenceQueryEnded(lifetime)
                self._loop.call_later(delay_seconds, self._handle_checkin_event, event)
            case checkins.ContinuePublication(delay_seconds):
                self._loop.call_later(delay_seconds, self._continue_publication)

    def _continue_publication(self) -> None:
        self._handle_checkin_event(checkins.PublicationContinued())

    async def _tick_loop(self) -> None:
        while True:
            self._handle_checkin_event(checkins.Tick())
            await asyncio.sleep(TICK_INTERVAL_SECONDS)

    async def _poll_loop(self) -> None:
        while True:
            now = self._loop.time()
            voters = [voter.name for voter in self._control.core.replica.state.log.voters]
            control_hosts = self._peers.hosts_to_announce(voters, now)
            self._peers.retain({*control_hosts, *self._settings.seeds})
            self._views.refresh(now)
            self._handle_checkin_event(checkins.ControlHostsChanged(control_hosts))
            for host in self._peers.others:
                self._subscribe(host, is_poll=True)
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def _subscribe(self, host: HostName, is_poll: bool) -> None:
        position = self._views.position(host)
        subscription = Subscription(self._name, self._settings.zone, True, position, -1, is_poll)
        self._message_socket.send(host, subscription)
