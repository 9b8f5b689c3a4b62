"""Composition root: builds the components of a process from its settings and connects them."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import secrets
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn

from aiohttp import web
from lacewingrudder_core import control, entry, follower, propagation
from lacewingrudder_core import messages as m
from lacewingrudder_core import replica as r
from lacewingrudder_core.admission import (
    AdmissionPolicy,
    AdmitAll,
    ShareAdmission,
    SharedLimitAdmission,
)
from lacewingrudder_core.notes import SubmitReply, SubmitTag
from lacewingrudder_core.replica import (
    DurableState,
    ReplicaCore,
    ReplicaMessageReceived,
    StaticVoters,
)
from lacewingrudder_core.types import HostName, Member
from lacewingrudder_wire.exceptions import FatalError, LacewingrudderError
from lacewingrudder_wire.resources import load_state_chart

from ._links.hub import Incoming, LinkHub
from ._storage.catalogue_store import CatalogueStore
from ._storage.disk import FolderDisk
from ._storage.log_store import ReplicaStore
from .control_task import ControlTask, make_first_number
from .entry_task import EntryTask
from .evacuation_log import EvacuationLog
from .http import announcement_app, metrics_app, start_app
from .metrics import ProcessMetrics
from .recorder import TimelineWriter
from .settings import EntrySettings, Settings

REPLICA_IDENTITY_BYTES = 8

_PEER_MESSAGES = (
    m.Ping,
    m.Ack,
    m.ProbeRequest,
    m.MembersPull,
    m.MemberUpdates,
    m.TargetUpdates,
    m.TargetsPull,
    m.TargetsInUse,
    m.Subscribe,
    m.SnapshotPull,
    m.LeaveNotice,
    m.Pins,
)
_PROPAGATION_MESSAGES = (m.SubscribeReply, m.Changes, m.SnapshotPart)
_OPERATOR_MESSAGES = (m.SubmitNote, m.SubmitOrder, m.SubmitZoneOrder, m.StatusRequest)
_REPLICA_MESSAGES = (
    r.PreVoteRequest,
    r.PreVoteReply,
    r.VoteRequest,
    r.VoteReply,
    r.AppendRequest,
    r.AppendReply,
    r.SnapshotRequest,
    r.SnapshotReply,
    r.LeadershipTransfer,
    r.LeaveRequest,
    r.LeaveReply,
    r.JoinRequest,
    r.JoinReply,
    r.BootstrapCluster,
    r.DiskLost,
)
_FORWARD_MESSAGES = (r.ForwardRequest, r.ForwardReply)

_ADMISSION: dict[str, Callable[[], AdmissionPolicy]] = {
    "shares": ShareAdmission,
    "shared_limit": SharedLimitAdmission,
    "none": AdmitAll,
}

_log = logging.getLogger(__name__)


class Process:
    """One lacewingrudderd process with all its components.

    :param settings: validated settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._timeline = _make_timeline_writer(settings)
        hosts = {**settings.entries, **settings.controls}
        self._hub = LinkHub(
            settings.name,
            settings.peer_key,
            hosts,
            self._timeline,
            self._deliver,
            self._withdraw_requests,
        )
        self._control = self._make_control_task() if settings.is_control else None
        self._entry = self._make_entry_task(settings.entry) if settings.entry else None
        self._metrics = ProcessMetrics(self._hub, self._entry, self._control)
        self._runners: list[web.AppRunner] = []

    async def run(self, stop: asyncio.Event) -> None:
        """Run until ``stop`` is set, then shut down gracefully.

        :raises LacewingrudderError: if an endpoint cannot be bound.
        :raises FatalError: if a task fails. A process that kept running without one of its tasks
            would still count as a live host but no longer do its work.
        """
        try:
            await self._start()
        except OSError as error:
            raise LacewingrudderError(f"cannot start: {error}") from error
        self._timeline.record("started")
        tasks_runner = asyncio.create_task(self._run_tasks())
        stopped = asyncio.create_task(stop.wait())
        await asyncio.wait((tasks_runner, stopped), return_when=asyncio.FIRST_COMPLETED)
        if tasks_runner.done():
            stopped.cancel()
            await self._fail(tasks_runner.exception())
        await self._leave()
        tasks_runner.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await tasks_runner
        await self._close()

    async def _leave(self) -> None:
        self._timeline.record("stopping")
        if self._control is not None:
            await self._control.leave()
        if self._entry is not None:
            await self._entry.leave()

    async def _fail(self, error: BaseException | None) -> NoReturn:
        _log.critical("a task failed: %r", error, exc_info=error)
        self._timeline.record("failed", detail=repr(error))
        await self._close()
        raise FatalError(f"a task failed: {error!r}") from error

    async def _start(self) -> None:
        await self._hub.start(self._settings.listen)
        if self._entry is not None and self._settings.entry is not None:
            await self._entry.start()
            app = announcement_app(self._entry)
            self._runners.append(await start_app(app, self._settings.entry.announce))
        if self._settings.metrics is not None:
            app = metrics_app(self._metrics.registry)
            self._runners.append(await start_app(app, self._settings.metrics))

    async def _run_tasks(self) -> None:
        tasks = [task.run() for task in (self._entry, self._control) if task is not None]
        await asyncio.gather(*tasks)

    async def _close(self) -> None:
        for runner in self._runners:
            await runner.cleanup()
        await self._hub.stop()
        if self._entry is not None:
            self._entry.close()
        if self._control is not None:
            self._control.close()
        self._timeline.close()

    def _make_control_task(self) -> ControlTask:
        name, folder = self._settings.name, self._settings.data_folder
        assert folder is not None
        try:
            store = ReplicaStore(FolderDisk(folder))
            identity = secrets.token_hex(REPLICA_IDENTITY_BYTES)
            durable = store.recover(DurableState(identity))
        except OSError as error:
            raise LacewingrudderError(f"cannot use data folder {folder}: {error}") from error
        replica = ReplicaCore(
            name,
            StaticVoters(self._settings.controls),
            load_state_chart("replica"),
            durable,
            random.Random(secrets.randbits(64)),
        )
        core = control.ControlCore(name, replica, self._settings.controls, make_first_number())
        core.handle(control.ExpectedHostsChanged(frozenset(self._settings.entries)), 0.0)
        log = EvacuationLog(self._timeline, "evacuations_committed")
        log.record(core.catalogue.evacuations)
        return ControlTask(
            core,
            store,
            self._timeline,
            self._hub.send,
            self._hub.answer,
            lambda catalogue: log.record(catalogue.evacuations),
        )

    def _make_entry_task(self, settings: EntrySettings) -> EntryTask:
        local_member = Member(
            self._settings.name,
            self._settings.zone,
            int(time.time()),
            settings.data,
            self._settings.listen,
        )
        peers = tuple(name for name in self._settings.entries if name != local_member.name)
        folder = self._settings.data_folder
        store = _make_catalogue_store(folder) if folder is not None else None
        core = entry.EntryCore(
            local_member,
            peers,
            load_state_chart("target"),
            catalogue=store.read() if store is not None else None,
            controls=tuple(self._settings.controls),
            persists=store is not None,
            rng=random.Random(f"{local_member.name}/{local_member.incarnation}"),
            admission=_ADMISSION[settings.admission](),
        )
        return EntryTask(
            settings, core, self._timeline, self._hub.send, self._handle_members_change, store
        )

    def _handle_members_change(self, members: tuple[Member, ...]) -> None:
        for member in members:
            self._hub.update_endpoint(member.name, member.link)
        if self._control is not None:
            names = {member.name for member in members}
            expected = frozenset(names | self._settings.entries.keys())
            self._control.handle(control.ExpectedHostsChanged(expected))

    def _deliver(self, incoming: Incoming) -> None:
        body = incoming.body
        if not incoming.sender:
            if isinstance(body, _OPERATOR_MESSAGES):
                self._deliver_request(incoming.token, body)
            return
        event = _control_event(incoming.sender, body)
        if event is not None and self._control is not None:
            self._control.handle(event)
        elif self._entry is not None:
            self._deliver_to_entry(self._entry, incoming.sender, body)

    def _deliver_request(self, token: int, request: m.OperatorRequest) -> None:
        if self._control is not None:
            self._control.handle(control.OperatorRequestReceived(token, request))
        else:
            detail = f"{self._settings.name} is not a control host"
            reply = SubmitReply(SubmitTag.REFUSED, 0, detail)
            self._hub.answer(token, m.OperatorReply(reply))

    def _withdraw_requests(self, token: int) -> None:
        if self._control is not None:
            self._control.handle(control.OperatorRequestWithdrawn(token))

    def _deliver_to_entry(self, task: EntryTask, sender: HostName, body: Any) -> None:
        if isinstance(body, _PEER_MESSAGES):
            task.handle(entry.PeerMessage(sender, body))
        elif isinstance(body, _PROPAGATION_MESSAGES):
            task.handle(follower.ControlMessage(sender, body))


def _make_timeline_writer(settings: Settings) -> TimelineWriter:
    try:
        return TimelineWriter(settings.name, settings.timeline)
    except OSError as error:
        raise LacewingrudderError(f"cannot write timeline {settings.timeline}: {error}") from error


def _make_catalogue_store(folder: Path) -> CatalogueStore:
    try:
        return CatalogueStore(folder)
    except OSError as error:
        raise LacewingrudderError(f"cannot use data folder {folder}: {error}") from error


def _control_event(sender: HostName, body: Any) -> control.ControlEvent | None:
    """Return the control core's event for a peer message, or ``None`` if it is for an entry host.

    Some messages are for both roles; the control role takes precedence.
    """
    if isinstance(body, _REPLICA_MESSAGES):
        return ReplicaMessageReceived(sender, body)
    if isinstance(body, _FORWARD_MESSAGES):
        return control.ForwardMessageReceived(sender, body)
    if isinstance(body, m.Subscribe):
        return propagation.Subscribed(body)
    if isinstance(body, m.SnapshotPull):
        return propagation.SnapshotPulled(body)
    if isinstance(body, m.PeerStatusRequest | m.PeerStatusReply):
        return control.PeerStatusReceived(sender, body)
    return None
