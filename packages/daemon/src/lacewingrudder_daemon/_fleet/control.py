"""A control host that targets check in with and operators hand configurations to."""

from __future__ import annotations

import asyncio
import concurrent.futures
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
    Registry,
    Subscription,
    Update,
    Views,
)
from lacewingrudder_core.notes import Catalogue, StoredConfiguration, SubmitReply
from lacewingrudder_core.replica import DiscoveredVoters, ReplicaCore, ReplicaMessageReceived
from lacewingrudder_core.types import HostName, TargetName
from lacewingrudder_wire.exceptions import CodecError
from lacewingrudder_wire.replica_tags import REPLICA_TAGS

from .._storage.disk import FolderDisk
from .._storage.log_store import ReplicaStore
from .._storage.registry_store import RegistryStore
from ..control_task import ControlTask
from .answers import Answers
from .channel import Channel
from .contacts import ControlContacts
from .event_log import EventLog
from .http import HttpHandler, HttpServer
from .messages import ENTRY_MESSAGES
from .metrics import Measures
from .process import FleetProcess
from .settings import FleetSettings, RegistrarSettings, SettingsFile

IDENTITY_BYTES = 8
TICK_SECONDS = 0.1
POLL_SECONDS = 0.5
"""How often a control host follows the drains of the others."""

KEEP_SECONDS = 0.3
"""How soon after a change the targets are written to the disk."""

MILLISECONDS_PER_SECOND = 1000

CONTROL_MESSAGES = ENTRY_MESSAGES | REPLICA_TAGS
_FORWARD_MESSAGES = (r.ForwardRequest, r.ForwardReply, r.ReadRequest, r.ReadReply)
_CHECKIN_MESSAGES = (Subscription, Update, checkins.ConfigurationUpdate)


class RegistrarProcess(FleetProcess):
    """Owns the cores and sockets of a control host.

    :param chart: the roles of a replica.
    """

    def __init__(
        self,
        settings: FleetSettings,
        registrar: RegistrarSettings,
        source: SettingsFile,
        events: EventLog,
        chart: StateChart,
    ) -> None:
        super().__init__(settings, source, events)
        self._registrar = registrar
        self._name = str(settings.messages)
        self._policy = DiscoveredVoters(settings.seeds, settings.founds)
        self._contacts = ControlContacts(self._name, self._policy)
        self._answers = Answers()
        self._channel = Channel(CONTROL_MESSAGES, events, self._deliver)
        disk = FolderDisk(registrar.data_folder)
        self._control = self._make_control(disk, chart)
        self._store = RegistryStore(disk)
        self._checkins = CheckInCore(self._name, settings.zone, self._restored())
        self._thread = concurrent.futures.ThreadPoolExecutor(1, "registry")
        self._views = Views()
        self._server: HttpServer | None = None
        self._tasks: list[asyncio.Task[None]] = []

    def serve(self, handler: HttpHandler) -> None:
        """Have calls of targets and operators answered by a handler."""
        self._server = HttpServer(handler, self._events)

    def reject(self, event: str, target: TargetName, reason: str) -> None:
        """Report a call that was refused because of what it says."""
        self._events.record(event, target=target, detail=reason)

    async def check_in(self, call: CheckIn) -> CheckInReply:
        """Take a target's check-in and return what became of it."""
        if call.state is not checkins.LifeState.READY:
            name, born = call.lifetime
            detail = f"{name} born {born} says draining, check-in {call.sequence}"
            self._events.record("drain_asked", target=str(call.endpoint), detail=detail)
        return await self._answers.ask(
            CheckInReply, lambda token: self._feed(checkins.CheckedIn(token, call))
        )

    async def leave(self, target: TargetName, born: int | None) -> CheckInReply:
        """Take a target's word that it ends, and return what became of it."""
        return await self._answers.ask(
            CheckInReply, lambda token: self._feed(checkins.Deregistered(token, target, born))
        )

    async def submit(self, configuration: StoredConfiguration) -> SubmitReply:
        """Hand in a configuration and return whether it was accepted."""
        request = m.SubmitConfiguration(configuration)
        reply = await self._answers.ask(
            m.OperatorReply,
            lambda token: self._control.handle(control.OperatorRequestReceived(token, request)),
        )
        return reply.reply

    async def read(self) -> m.ConfigurationReply:
        """Return the newest configuration, if it is proved to be that."""
        request = m.ReadConfiguration()
        return await self._answers.ask(
            m.ConfigurationReply,
            lambda token: self._control.handle(control.OperatorRequestReceived(token, request)),
        )

    async def _start(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._channel.open(self._settings.messages_bind)
        if self._server is not None:
            await self._server.start(self._registrar.calls)
        self._changed(self._control.core.catalogue)
        self._tasks = [
            self._supervised(self._control.run()),
            self._supervised(self._tick()),
            self._supervised(self._poll()),
            self._supervised(self._keep_registry()),
        ]

    async def _leave(self) -> None:
        await self._control.leave()

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            await self._server.stop()
        self._channel.close()
        self._thread.shutdown(wait=False)
        self._control.close()

    def _settings_changed(self) -> None:
        self._contacts.learn(self._settings.seeds)

    def _restored(self) -> Registry:
        epoch = int(time.time() * MILLISECONDS_PER_SECOND)
        registry = Registry(epoch, self._settings.heartbeat_seconds)
        try:
            registry.restore(self._store.read(), time.monotonic())
        except (OSError, CodecError) as error:
            self._events.record("registry_unreadable", detail=str(error))
        return registry

    def _measure(self) -> Measures:
        core = self._control.core
        leads = core.replica.leader(self._loop.time()) == self._name
        voters = core.replica.state.log.voters
        return Measures(
            self._events.counts,
            {
                "version": core.catalogue.configuration_version,
                "leads": leads,
                "voters": len(voters),
            },
            {
                "message_bytes_sent": self._channel.sent_bytes,
                "messages_rejected": self._channel.rejected,
            },
            {"call_seconds": self._answers.seconds},
        )

    def _make_control(self, disk: FolderDisk, chart: StateChart) -> ControlTask:
        store = ReplicaStore(disk)
        durable = store.recover(secrets.token_hex(IDENTITY_BYTES))
        rng = random.Random(secrets.randbits(64))
        core = ReplicaCore(self._name, self._policy, chart, durable, rng)
        return ControlTask(
            control.ControlCore(self._name, core),
            store,
            self._events,
            self._channel.send,
            self._answers.give,
            self._changed,
        )

    def _changed(self, catalogue: Catalogue) -> None:
        if catalogue.configuration is None:
            return
        version = catalogue.configuration.version
        self._events.record("committed", revision=version, detail=f"revision {catalogue.revision}")
        self._feed(checkins.ConfigurationCommitted(catalogue.configuration))

    def _deliver(self, sender: HostName, body: Any) -> None:
        if not isinstance(body, _CHECKIN_MESSAGES):
            self._learn(sender)
            event = (
                control.ForwardMessageReceived(sender, body)
                if isinstance(body, _FORWARD_MESSAGES)
                else ReplicaMessageReceived(sender, body)
            )
            self._control.handle(event)
        elif isinstance(body, Subscription):
            if body.is_control:
                self._learn(sender)
            self._feed(checkins.Subscribed(body._replace(host=sender)))
        elif isinstance(body, Update):
            self._updated(sender, body)

    def _updated(self, sender: HostName, update: Update) -> None:
        self._learn(sender)
        self._contacts.learn(update.controls)
        if self._views.apply_update(update, self._loop.time()):
            self._feed(checkins.PeerUpdated(update))
            self._subscribe(sender, is_poll=False)

    def _learn(self, host: HostName) -> None:
        self._contacts.hear(host, self._loop.time())

    def _feed(self, event: checkins.CheckInEvent) -> None:
        for effect in self._checkins.handle(event, self._loop.time()):
            self._carry_out(effect)

    def _carry_out(self, effect: checkins.CheckInEffect) -> None:
        match effect:
            case checkins.SendUpdate(host, body):
                self._channel.send(host, body)
            case CheckInReply(token, outcome, confirmed):
                if outcome is not checkins.CheckInOutcome.RENEWED:
                    known = "known elsewhere" if confirmed else "not confirmed"
                    self._events.record("checked_in", detail=f"{outcome}, {known}, call {token}")
                self._answers.give(token, effect)
            case checkins.Expired(entry):
                name, born = entry.lifetime
                detail = f"{name} born {born}, last check-in {entry.sequence}"
                self._events.record("target_silent", target=str(entry.endpoint), detail=detail)
            case checkins.SubscriberLost(host):
                self._events.record("subscriber_lost", target=host)
            case checkins.SubscriberAppeared(host):
                self._events.record("subscriber_found", target=host)

    async def _tick(self) -> None:
        while True:
            self._feed(checkins.Tick())
            await asyncio.sleep(TICK_SECONDS)

    async def _keep_registry(self) -> None:
        """Write what is published after it changed; the disk may take its time."""
        written = self._checkins.registry.position
        while True:
            await asyncio.sleep(KEEP_SECONDS)
            position = self._checkins.registry.position
            if position == written:
                continue
            entries = tuple(self._checkins.registry.entries())
            try:
                await self._loop.run_in_executor(self._thread, self._store.write, entries)
                written = position
            except OSError as error:
                self._events.record("registry_not_kept", detail=str(error))

    async def _poll(self) -> None:
        while True:
            now = self._loop.time()
            voters = [voter.name for voter in self._control.core.replica.state.log.voters]
            known = self._contacts.known(voters, now)
            self._contacts.forget({*known, *self._settings.seeds})
            self._views.forget_silent(now)
            self._feed(checkins.ControlHostsChanged(known))
            for host in self._contacts.others:
                self._subscribe(host, is_poll=True)
            await asyncio.sleep(POLL_SECONDS)

    def _subscribe(self, host: HostName, is_poll: bool) -> None:
        position = self._views.position(host)
        subscription = Subscription(self._name, self._settings.zone, True, position, -1, is_poll)
        self._channel.send(host, subscription)
