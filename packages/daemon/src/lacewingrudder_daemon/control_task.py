"""The task that runs a control host: drives the control core and its replica store."""

from __future__ import annotations

import asyncio
import concurrent.futures
import logging
import secrets
from collections.abc import Callable
from typing import Any

from lacewingrudder_core import control as control_core
from lacewingrudder_core import replica
from lacewingrudder_core.notes import Catalogue
from lacewingrudder_core.propagation import SendPeerStatus, SendToHost
from lacewingrudder_core.replica import Write
from lacewingrudder_core.types import HostName

from ._storage.log_store import ReplicaStore
from .event_sink import EventSink

TICK_INTERVAL_SECONDS = 0.05
WRITE_RETRY_DELAY_SECONDS = 0.5
LEAVE_TIMEOUT_SECONDS = 1.0

REQUEST_NUMBER_BITS = 48
"""Requests to other control hosts are numbered from a random number of this size at each start."""

_log = logging.getLogger(__name__)


def make_first_number() -> int:
    """Return a random number for the first request of this start of a control host."""
    return secrets.randbits(REQUEST_NUMBER_BITS)


class ControlTask:
    """Passes events to a control core and executes the effects it returns.

    Writes reach the disk on a dedicated thread; all pending writes share one sync.

    :param send: sends a message to a host.
    :param answer: sends the reply to an operator's request, given by its token.
    :param on_change: called with the committed catalogue whenever it changes.
    """

    def __init__(
        self,
        control: control_core.ControlCore,
        store: ReplicaStore,
        events: EventSink,
        send: Callable[[HostName, Any], None],
        answer: Callable[[int, Any], None],
        on_change: Callable[[Catalogue], None] | None = None,
    ) -> None:
        self._core = control
        self._store = store
        self._events = events
        self._send = send
        self._answer = answer
        self._on_change = on_change
        self._catalogue = control.catalogue
        self._pending_writes: list[Write] = []
        self._has_pending_writes = asyncio.Event()
        self._disk_executor = concurrent.futures.ThreadPoolExecutor(1, "disk")

    @property
    def core(self) -> control_core.ControlCore:
        """The control core, for reading only."""
        return self._core

    def handle(self, event: control_core.ControlEvent) -> None:
        """Pass an event to the core and execute the resulting effects."""
        for effect in self._core.handle(event, asyncio.get_running_loop().time()):
            self._execute(effect)
        if self._on_change is not None and self._core.catalogue is not self._catalogue:
            self._catalogue = self._core.catalogue
            self._on_change(self._catalogue)

    async def run(self) -> None:
        """Send ticks to the core and persist its writes until cancelled."""
        writer = asyncio.create_task(self._write_loop())
        try:
            while not writer.done():
                self.handle(replica.Tick())
                await asyncio.sleep(TICK_INTERVAL_SECONDS)
            writer.result()
        finally:
            writer.cancel()

    async def leave(self) -> None:
        """Hand over this host's part in the cluster before a graceful shutdown.

        A leader transfers its leadership; then the leader is told, so that it removes this host
        soon after it has stopped if the others need fewer voters for a quorum without it. Waits at
        most :data:`LEAVE_TIMEOUT_SECONDS` for the answer.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + LEAVE_TIMEOUT_SECONDS
        while not self._core.replica.may_exit and loop.time() < deadline:
            self.handle(replica.ShutdownRequested())
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
        state = self._core.replica.state
        answer = "answered" if self._core.replica.may_exit else "no leader answered"
        part = "a voter" if state.is_voter else "no voter"
        self._events.record("control_leaving", detail=f"{answer}, {part}, term {state.term}")

    def close(self) -> None:
        """Stop the disk thread and close the store."""
        self._disk_executor.shutdown()
        self._store.close()

    async def _write_loop(self) -> None:
        while True:
            await self._has_pending_writes.wait()
            self._has_pending_writes.clear()
            while self._pending_writes:
                await self._write_pending()

    async def _write_pending(self) -> None:
        writes = tuple(self._pending_writes)
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self._disk_executor, self._store.write, writes)
        except OSError as error:
            reason = error.strerror or str(error)
            _log.error("cannot write the replicated log to disk, retrying: %s", reason)
            self.handle(replica.PersistFailed(reason))
            await asyncio.sleep(WRITE_RETRY_DELAY_SECONDS)
            return
        del self._pending_writes[: len(writes)]
        self.handle(replica.Persisted(writes[-1].number))

    def _execute(self, effect: control_core.ControlEffect) -> None:
        match effect:
            case control_core.Reply(token, body):
                self._answer(token, body)
            case SendToHost(host, body) | SendPeerStatus(host, body):
                self._send(host, body)
            case replica.SendToReplica(host, message):
                self._send(host, message)
            case replica.Persist(write):
                self._pending_writes.append(write)
                self._has_pending_writes.set()
            case control_core.Committed(change):
                self._events.record("accepted", revision=change.revision)
            case replica.RoleChanged(role, term):
                self._events.record(f"control_{role}", detail=f"term {term}")
            case replica.VoterLost(name):
                self._events.record("control_voter_lost", detail=f"{name} has another disk")
