"""The host processes of a soak: starts, signals and ends them by process id."""

from __future__ import annotations

import asyncio
import json
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

from .plan import Topology

STOP_MARGIN_SECONDS = 1.0
STOP_POLL_INTERVAL_SECONDS = 0.05
DISK_FULL_FILE_LIMIT_BYTES = 16
REPLICA_LOG_NAME = "replica.log"
MAX_TORN_BYTES = 20
"""Maximum size of a torn write; less than the first frame of a log, so that it is incomplete."""

MAX_HOST_COUNT = 110
"""Maximum number of hosts for which one claimed network has addresses."""


class HostAddresses(NamedTuple):
    """Addresses of one host.

    :param public: the proxies' address, by which other processes reach the host.
    :param bound: the address on which the host listens.
    """

    public: str
    bound: str

    @property
    def message_addresses(self) -> tuple[Address, Address]:
        """The public and the bound address for messages between hosts."""
        return (self.public, MESSAGE_PORT), (self.bound, MESSAGE_PORT)


class HostProcesses:
    """Owns the host processes.

    :param folder: holds settings, data and logs of all hosts.
    :param has_proxies: whether hosts are known by addresses of proxies, not by their own.
    """

    def __init__(self, topology: Topology, folder: Path, has_proxies: bool) -> None:
        self._topology = topology
        self._folder = folder
        self._network_claim = claim_network()
        self.network = self._network_claim.getsockname()[0].rpartition(".")[0]
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._incarnations: dict[str, int] = {}
        self._pause_counts: dict[str, int] = {}
        self._stopping: set[str] = set()
        names = (*topology.controls, *topology.entries)
        self.addresses: Mapping[str, HostAddresses] = {
            name: HostAddresses(
                f"{self.network}.{(1 if has_proxies else 121) + index}",
                f"{self.network}.{121 + index}",
            )
            for index, name in enumerate(names)
        }

    def incarnation_of(self, name: str) -> int:
        """Return a host's incarnation: the number of its starts so far."""
        return self._incarnations.get(name, 0)

    def find_leader(self) -> str:
        """Return the control host that logged the newest term as leader, or the first one."""
        newest = (0, self._topology.controls[0])
        for name in self._topology.controls:
            for line in (self._folder / f"{name}.log").read_text(errors="replace").splitlines():
                if '"control_leader"' in line:
                    term = int(json.loads(line)["detail"].removeprefix("term "))
                    newest = max(newest, (term, name))
        return newest[1]

    def is_running(self, name: str) -> bool:
        """Return whether a host has a process, paused or not."""
        return name in self._processes

    def is_responsive(self, name: str) -> bool:
        """Return whether a host has a process that is not paused."""
        return name in self._processes and not self._pause_counts.get(name)

    def start(self, name: str, is_bootstrap: bool = False) -> None:
        """Start a host that has no process."""
        path = self._folder / f"{name}.json"
        write_settings(path, self._settings(name, is_bootstrap))
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = start_process(path, log)
        self._incarnations[name] = self.incarnation_of(name) + 1
        self._pause_counts.pop(name, None)

    def kill(self, name: str) -> None:
        """Kill a host's process, if it has one."""
        process = self._processes.pop(name, None)
        if process is not None:
            process.kill()
            process.wait()

    async def stop(self, name: str) -> int | None:
        """Shut a host down gracefully; return its exit code, or ``None`` if it had to be killed.

        Return 0 if the host has no process, or if another fault ended the process in the meantime.
        """
        process = self._processes.get(name)
        if process is None:
            return 0
        self._stopping.add(name)
        try:
            return await self._terminate(name, process)
        finally:
            self._stopping.discard(name)

    async def _terminate(self, name: str, process: subprocess.Popen[bytes]) -> int | None:
        process.send_signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + GRACE_SECONDS + STOP_MARGIN_SECONDS
        while loop.time() < deadline and self._processes.get(name) is process:
            if process.poll() is not None:
                del self._processes[name]
                return process.returncode
            await asyncio.sleep(STOP_POLL_INTERVAL_SECONDS)
        if self._processes.get(name) is not process:
            return 0
        self.kill(name)
        return None

    def reload(self, name: str) -> None:
        """Signal a host to reload its settings."""
        if name in self._processes:
            self._processes[name].send_signal(signal.SIGHUP)

    def handles_reload(self, name: str) -> bool:
        """Return whether a host's process has set its handler for :meth:`reload`.

        While the interpreter of a process starts, the signal's default action ends it.
        """
        if name not in self._processes:
            return False
        status = Path(f"/proc/{self._processes[name].pid}/status").read_text()
        handled = int(status.partition("SigCgt:")[2].split(maxsplit=1)[0], 16)
        return bool(handled & 1 << signal.SIGHUP - 1)

    def pause(self, name: str) -> int:
        """Pause a host; return the paused incarnation, or 0 if it has no process."""
        if name not in self._processes:
            return 0
        self._pause_counts[name] = self._pause_counts.get(name, 0) + 1
        self._processes[name].send_signal(signal.SIGSTOP)
        return self.incarnation_of(name)

    def resume(self, name: str, incarnation: int) -> None:
        """End one pause of an incarnation; it continues once all its overlapping pauses ended."""
        if incarnation != self.incarnation_of(name) or name not in self._processes:
            return
        self._pause_counts[name] -= 1
        if not self._pause_counts[name]:
            self._processes[name].send_signal(signal.SIGCONT)

    def set_disk_full(self, name: str, is_full: bool) -> None:
        """Make writes to a host's disk fail or succeed again, by a limit on its file size."""
        if name not in self._processes:
            return
        size = DISK_FULL_FILE_LIMIT_BYTES if is_full else resource.RLIM_INFINITY
        pid = self._processes[name].pid
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))

    def delete_data(self, name: str) -> None:
        """Delete the data of a host that has no process."""
        shutil.rmtree(self._folder / f"data-{name}", ignore_errors=True)

    def append_torn_write(self, name: str) -> None:
        """Append an incomplete frame to the replica log of a host that has no process."""
        log = self._folder / f"data-{name}" / REPLICA_LOG_NAME
        if log.exists():
            torn_write = log.read_bytes()[: 1 + 7 * self.incarnation_of(name) % MAX_TORN_BYTES]
            with log.open("ab") as file:
                file.write(torn_write)

    def reap_exited(self) -> list[tuple[str, int]]:
        """Forget processes that exited unexpectedly; return their hosts and exit codes."""
        exited = [
            (name, process.returncode)
            for name, process in self._processes.items()
            if name not in self._stopping and process.poll() is not None
        ]
        for name, _ in exited:
            del self._processes[name]
        return exited

    def close(self) -> None:
        """Kill all processes and release the claimed network."""
        for name in list(self._processes):
            os.kill(self._processes[name].pid, signal.SIGCONT)
            self.kill(name)
        self._network_claim.close()

    def _settings(self, name: str, is_bootstrap: bool) -> Mapping[str, object]:
        public, bound = self.addresses[name]
        messages, bind = f"{public}:{MESSAGE_PORT}", f"{bound}:{MESSAGE_PORT}"
        if name in self._topology.controls:
            addresses = ProcessAddresses(messages, bind, f"{bound}:{CALL_PORT}")
            extra: dict[str, object] = {"zones": list(self._topology.zones)}
        else:
            extra = {"limit_warmup": True}
            ready = f"{bound}:{READY_PORT}"
            addresses = ProcessAddresses(messages, bind, f"{bound}:{PACKET_PORT}", ready)
        seeds = [f"{self.addresses[host].public}:{CALL_PORT}" for host in self._topology.controls]
        folder = self._folder / f"data-{name}"
        zone = self._topology.zone_of(name)
        return {
            **process_settings(name, zone, addresses, seeds, is_bootstrap, folder),
            **extra,
        }
