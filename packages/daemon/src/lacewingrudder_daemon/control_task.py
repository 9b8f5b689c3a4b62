"""The task of a control host: owns its core and its disk."""

from __future__ import annotations

import asyncio
import concurrent.futures
import logging
from collections.abc import Callable
from typing import Any

from lacewingrudder_core import control as decisions
from lacewingrudder_core import replica
from lacewingrudder_core.notes import Catalogue
from lacewingrudder_core.propagation import SendPeerStatus, SendToHost
from lacewingrudder_core.replica import Role, Write
from lacewingrudder_core.types import HostName

from ._storage.log_store import ReplicaStore
from .event_sink import EventSink

TICK_SECONDS = 0.05
RETRY_SECONDS = 0.5
HANDOVER_SECONDS = 0.5

_log = logging.getLogger(__name__)


class ControlTask:
    """Feeds a control core and carries out its effects.

    Writes go to the disk on a thread of their own, all that wait in one sync.

    :param send: sends a message to a host.
    :param answer: answers an operator's request.
    :param changed: called with the committed catalogue whenever it is another one.
    """

    def __init__(
        self,
        control: decisions.ControlCore,
        store: ReplicaStore,
        recorder: EventSink,
        send: Callable[[HostName, Any], None],
        answer: Callable[[int, Any], None],
        changed: Callable[[Catalogue], None] | None = None,
    ) -> None:
        self._core = control
        self._store = store
        self._recorder = recorder
        self._send = send
        self._answer = answer
        self._changed = changed
        self._catalogue = control.catalogue
        self._writes: list[Write] = []
        self._written = asyncio.Event()
        self._thread = concurrent.futures.ThreadPoolExecutor(1, "disk")

    @property
    def core(self) -> decisions.ControlCore:
        """The core, to be read only."""
        return self._core

    def handle(self, event: decisions.ControlEvent) -> None:
        """Hand an event to the core and carry out its effects."""
        for effect in self._core.handle(event, asyncio.get_running_loop().time()):
            self._carry_out(effect)
        if self._changed is not None and self._core.catalogue is not self._catalogue:
            self._catalogue = self._core.catalogue
            self._changed(self._catalogue)

    async def run(self) -> None:
        """Let time pass in the core and bring its writes to the disk, until cancelled."""
        writer = asyncio.create_task(self._write_all())
        try:
            while not writer.done():
                self.handle(replica.Tick())
                await asyncio.sleep(TICK_SECONDS)
            writer.result()
        finally:
            writer.cancel()

    async def leave(self) -> None:
        """Hand leadership over before a planned stop, if this host has it."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + HANDOVER_SECONDS
        self.handle(replica.ShutdownRequested())
        while self._core.replica.role == Role.LEADER and loop.time() < deadline:
            await asyncio.sleep(TICK_SECONDS)

    def close(self) -> None:
        """End the thread and close the files."""
        self._thread.shutdown()
        self._store.close()

    async def _write_all(self) -> None:
        while True:
            await self._written.wait()
            self._written.clear()
            while self._writes:
                await self._write_waiting()

    async def _write_waiting(self) -> None:
        writes = tuple(self._writes)
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self._thread, self._store.write, writes)
        except OSError as error:
            reason = error.strerror or str(error)
            _log.error("the disk refuses writes: %s", reason)
            self.handle(replica.PersistFailed(reason))
            await asyncio.sleep(RETRY_SECONDS)
            return
        del self._writes[: len(writes)]
        self.handle(replica.Persisted(writes[-1].number))

    def _carry_out(self, effect: decisions.ControlEffect) -> None:
        match effect:
            case decisions.Reply(token, body):
                self._answer(token, body)
            case SendToHost(host, body) | SendPeerStatus(host, body):
                self._send(host, body)
            case replica.SendToReplica(host, message):
                self._send(host, message)
            case replica.Persist(write):
                self._writes.append(write)
                self._written.set()
            case decisions.Committed(change):
                self._recorder.record("accepted", revision=change.revision)
            case replica.RoleChanged(role, term):
                self._recorder.record(f"control_{role}", detail=f"term {term}")
