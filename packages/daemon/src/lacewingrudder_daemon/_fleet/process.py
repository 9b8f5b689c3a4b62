"""Base class of the processes of a fleet: signals, reload of settings, graceful shutdown."""

from __future__ import annotations

import abc
import asyncio
import gc
import signal
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from lacewingrudder_wire.exceptions import DocumentError

from .event_log import EventLog
from .settings import FleetSettings, SettingsFile

if TYPE_CHECKING:
    from .http import HttpServer
    from .metrics import MetricsSnapshot

RELOAD_INTERVAL_SECONDS = 1.0
"""Interval at which the settings file is checked; it may change without a SIGHUP."""

STOP_MARGIN_SECONDS = 0.7
"""A leaving process stops at least this long before its grace period ends."""


class FleetProcess(abc.ABC):
    """One process of a fleet; runs until it receives SIGTERM or SIGINT."""

    def __init__(
        self, settings: FleetSettings, settings_file: SettingsFile, events: EventLog
    ) -> None:
        self._settings = settings
        self._settings_file = settings_file
        self._events = events
        self._metrics_server: HttpServer | None = None

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then shut down gracefully."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._start()
        await self._serve_metrics()
        gc.freeze()
        gc.enable()
        self._events.record("started", detail=f"zone {self._settings.zone}")
        settings_watcher = asyncio.create_task(self._watch_settings())
        await stop.wait()
        self._events.record("stopping")
        await self._leave()
        settings_watcher.cancel()
        await self._close()
        if self._metrics_server is not None:
            await self._metrics_server.stop()
        self._events.record("stopped")

    @abc.abstractmethod
    async def _start(self) -> None:
        """Open the sockets and start the tasks."""

    @abc.abstractmethod
    async def _leave(self) -> None:
        """Stop accepting new work and finish or hand over the current work."""

    @abc.abstractmethod
    async def _close(self) -> None:
        """Cancel the tasks and close the sockets."""

    @abc.abstractmethod
    def _apply_settings(self) -> None:
        """Apply reloaded settings."""

    def _stop_deadline(self) -> float:
        """Return the time by which a process that begins to leave now must have stopped."""
        return (
            asyncio.get_running_loop().time() + self._settings.grace_seconds - STOP_MARGIN_SECONDS
        )

    def _supervise(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task that the process depends on: if it fails, the event loop stops."""
        task = asyncio.create_task(work)
        task.add_done_callback(self._handle_task_end)
        return task

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._events.record("task_failed", detail=repr(task.exception()))
            asyncio.get_running_loop().stop()

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(RELOAD_INTERVAL_SECONDS)
            self._reload()

    @abc.abstractmethod
    def _collect_metrics(self) -> MetricsSnapshot:
        """Return the current metrics of this process."""

    async def _serve_metrics(self) -> None:
        """Serve metrics if the settings name an endpoint for them."""
        if self._settings.metrics is None:
            return
        from .http import HttpServer
        from .metrics import MetricsHandler

        self._metrics_server = HttpServer(MetricsHandler(self._collect_metrics), self._events)
        await self._metrics_server.start(self._settings.metrics)

    def _reload(self) -> None:
        try:
            settings = self._settings_file.reread()
        except (OSError, DocumentError) as error:
            self._events.record("settings_rejected", detail=str(error))
            return
        if settings is not None:
            self._settings = settings
            self._apply_settings()
            self._events.record("settings_reloaded", detail=f"seeds {','.join(settings.seeds)}")
