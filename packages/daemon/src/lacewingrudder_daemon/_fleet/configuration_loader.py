"""Reads configurations between packets.

A large one takes long to read, and may change several times a second.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Generator

from lacewingrudder_core.subscriptions import ConfigurationUpdate
from lacewingrudder_core.tagging import Configuration

from .adapters import ConfigurationReader

PAUSE_FACTOR = 3.0
"""A host waits this many times as long as it took to read a configuration before it reads the next,
so that packets get most of its processor time."""

MAX_PAUSE_SECONDS = 0.5


class ConfigurationLoader:
    """Reads the newest configuration that was received, in steps; versions in between are skipped.

    The first one is read at once, as nothing can be forwarded without it. One that is being read is
    finished though a newer one arrives: otherwise none might ever be.

    :param on_read: called with each configuration.
    :param on_unreadable: called with the version of one that can't be read, and the reason.
    """

    def __init__(
        self,
        reader: ConfigurationReader,
        on_read: Callable[[Configuration], None],
        on_unreadable: Callable[[int, ValueError], None],
    ) -> None:
        self._reader = reader
        self._on_read = on_read
        self._on_unreadable = on_unreadable
        self._read_version = self._newest_version = -1
        self._pending: ConfigurationUpdate | None = None
        self._has_pending = asyncio.Event()

    @property
    def newest_version(self) -> int:
        """Version of the newest configuration that was received and is not unreadable, or -1."""
        return self._newest_version

    def load(self, update: ConfigurationUpdate) -> None:
        """Read a configuration soon, unless its version is not newer than those received before."""
        if update.version <= self._newest_version:
            return
        self._newest_version = update.version
        if self._read_version < 0:
            self._read_at_once(update)
            return
        self._pending = update
        self._has_pending.set()

    async def run(self) -> None:
        """Read configurations until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._has_pending.wait()
            self._has_pending.clear()
            update, self._pending = self._pending, None
            if update is None:
                continue
            began = loop.time()
            await self._read(update)
            await asyncio.sleep(min(MAX_PAUSE_SECONDS, PAUSE_FACTOR * (loop.time() - began)))

    def _read_at_once(self, update: ConfigurationUpdate) -> None:
        try:
            configuration = self._reader.read(update.document)
        except ValueError as error:
            self._reject(update, error)
        else:
            self._accept(configuration)

    async def _read(self, update: ConfigurationUpdate) -> None:
        steps = self._reader.read_in_steps(update.document)
        try:
            configuration = await _finish_between_events(steps)
        except ValueError as error:
            self._reject(update, error)
        else:
            self._accept(configuration)

    def _accept(self, configuration: Configuration) -> None:
        self._read_version = configuration.version
        self._on_read(configuration)

    def _reject(self, update: ConfigurationUpdate, error: ValueError) -> None:
        """Report an unreadable configuration, and accept the same version again."""
        if self._newest_version == update.version:
            self._newest_version = self._read_version
        self._on_unreadable(update.version, error)


async def _finish_between_events(steps: Generator[None, None, Configuration]) -> Configuration:
    """Run all steps, and let the event loop handle packets and timers after each."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            configuration: Configuration = end.value
            return configuration
        await asyncio.sleep(0)
