"""The processes of a soak: started, signalled and ended by their own ids."""

from __future__ import annotations

import asyncio
import os
import resource
import shutil
import signal
import subprocess
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

from standins.networks import claim_network
from standins.platform import (
    CALL_PORT,
    GRACE_SECONDS,
    MESSAGE_PORT,
    PACKET_PORT,
    READY_PORT,
    ProcessAddresses,
    process_settings,
    start_process,
    write_settings,
)
from standins.wire import Address

from .plan import Shape

STOP_MARGIN_SECONDS = 1.0
STOP_POLL_SECONDS = 0.05
DISK_FULL_BYTES = 16
LOG_NAME = "replica.log"
MOST_TORN_BYTES = 20
"""Less than the first frame of a log, so that what is left at its end is no whole frame."""

MOST_HOSTS = 110
"""Hosts that the addresses of one claimed network are enough for."""


class HostAddresses(NamedTuple):
    """Addresses of one host.

    :param public: by which others reach it, through the proxies.
    :param bound: on which it listens.
    """

    public: str
    bound: str

    @property
    def links(self) -> tuple[Address, Address]:
        """For messages, the address that others use and the one it binds."""
        return (self.public, MESSAGE_PORT), (self.bound, MESSAGE_PORT)


class Hosts:
    """Owns the processes.

    :param folder: for settings, data and logs.
    """

    def __init__(self, shape: Shape, folder: Path) -> None:
        self._shape = shape
        self._folder = folder
        self._claim = claim_network()
        self.network = self._claim.getsockname()[0].rpartition(".")[0]
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._starts: dict[str, int] = {}
        self._paused: dict[str, int] = {}
        self._stopping: set[str] = set()
        names = (*shape.controls, *shape.entries)
        self.addresses: Mapping[str, HostAddresses] = {
            name: HostAddresses(f"{self.network}.{1 + index}", f"{self.network}.{121 + index}")
            for index, name in enumerate(names)
        }

    def run_number(self, name: str) -> int:
        """Return which start of a host runs."""
        return self._starts.get(name, 0)

    def has_started(self, name: str) -> bool:
        """Return whether a process runs, paused ones included."""
        return name in self._processes

    def is_up(self, name: str) -> bool:
        """Return whether a process runs and is not paused."""
        return name in self._processes and not self._paused.get(name)

    def start(self, name: str, founds: bool = False) -> None:
        """Start a host that does not run."""
        path = self._folder / f"{name}.json"
        write_settings(path, self._settings(name, founds))
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = start_process(path, log)
        self._starts[name] = self.run_number(name) + 1
        self._paused.pop(name, None)

    def kill(self, name: str) -> None:
        """End a host at once; one that does not run stays so."""
        process = self._processes.pop(name, None)
        if process is not None:
            process.kill()
            process.wait()

    async def stop(self, name: str) -> int | None:
        """Stop a host as planned; return its exit code, or ``None`` if it has to be killed."""
        process = self._processes.get(name)
        if process is None:
            return 0
        self._stopping.add(name)
        try:
            return await self._wait_for_end(name, process)
        finally:
            self._stopping.discard(name)

    async def _wait_for_end(self, name: str, process: subprocess.Popen[bytes]) -> int | None:
        process.send_signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        end = loop.time() + GRACE_SECONDS + STOP_MARGIN_SECONDS
        while loop.time() < end and self._processes.get(name) is process:
            if process.poll() is not None:
                del self._processes[name]
                return process.returncode
            await asyncio.sleep(STOP_POLL_SECONDS)
        if self._processes.get(name) is not process:
            return 0
        self.kill(name)
        return None

    def reload(self, name: str) -> None:
        """Tell a host that its settings changed."""
        if name in self._processes:
            self._processes[name].send_signal(signal.SIGHUP)

    def pause(self, name: str) -> int:
        """Pause a host; return which start of it was paused, 0 if it does not run."""
        if name not in self._processes:
            return 0
        self._paused[name] = self._paused.get(name, 0) + 1
        self._processes[name].send_signal(signal.SIGSTOP)
        return self.run_number(name)

    def resume(self, name: str, run: int) -> None:
        """End one pause of a start of a host; overlapping pauses end with the last one."""
        if run != self.run_number(name) or name not in self._processes:
            return
        self._paused[name] -= 1
        if not self._paused[name]:
            self._processes[name].send_signal(signal.SIGCONT)

    def limit_disk(self, name: str, is_full: bool) -> None:
        """Let a host's disk refuse writes, or take them again."""
        if name not in self._processes:
            return
        size = DISK_FULL_BYTES if is_full else resource.RLIM_INFINITY
        pid = self._processes[name].pid
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))

    def wipe(self, name: str) -> None:
        """Remove the data of a host that does not run."""
        shutil.rmtree(self._folder / f"data-{name}", ignore_errors=True)

    def tear(self, name: str) -> None:
        """Leave a write that was cut off at the end of the log of a host that does not run."""
        log = self._folder / f"data-{name}" / LOG_NAME
        if log.exists():
            begun = log.read_bytes()[: 1 + 7 * self.run_number(name) % MOST_TORN_BYTES]
            with log.open("ab") as file:
                file.write(begun)

    def ended(self) -> list[tuple[str, int]]:
        """Return the hosts that ended by themselves, with their exit codes, and forget these."""
        found = [
            (name, process.returncode)
            for name, process in self._processes.items()
            if name not in self._stopping and process.poll() is not None
        ]
        for name, _ in found:
            del self._processes[name]
        return found

    def close(self) -> None:
        """End all processes."""
        for name in list(self._processes):
            os.kill(self._processes[name].pid, signal.SIGCONT)
            self.kill(name)
        self._claim.close()

    def _settings(self, name: str, founds: bool) -> Mapping[str, object]:
        public, bound = self.addresses[name]
        messages, bind = f"{public}:{MESSAGE_PORT}", f"{bound}:{MESSAGE_PORT}"
        if name in self._shape.controls:
            addresses = ProcessAddresses(messages, bind, f"{bound}:{CALL_PORT}")
        else:
            ready = f"{bound}:{READY_PORT}"
            addresses = ProcessAddresses(messages, bind, f"{bound}:{PACKET_PORT}", ready)
        seeds = [f"{self.addresses[host].public}:{CALL_PORT}" for host in self._shape.controls]
        folder = self._folder / f"data-{name}"
        zone = self._shape.zone(name)
        return process_settings(name, zone, addresses, seeds, founds, folder)
