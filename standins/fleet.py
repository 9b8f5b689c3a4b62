"""Starts a whole system as processes on loopback addresses, for demos, tests and measurements."""

from __future__ import annotations

import itertools
import json
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple

from .entry_host import EntryHost
from .firms import FirmShape, ServiceShape
from .loads import service_entry
from .networks import claim_network

ROOT = Path(__file__).resolve().parent.parent
BIN = Path(sys.executable).parent
PEER_KEY = "a-peer-key-for-demos-only"
STOP_TIMEOUT_SECONDS = 5.0
POLL_INTERVAL_SECONDS = 0.05
TARGET_FIRST_PORT = 9000


class FleetError(Exception):
    """The system did not reach an expected state in time, or a process of it failed."""


class Fleet:
    """One firm's system as a set of processes; use it as a context manager.

    :param shape: the firm's zones, services and targets.
    :param entries: number of entry hosts.
    :param controls: number of control hosts; the first entry hosts have that role as well.
    :param folder: folder for settings, data, logs and timelines; a temporary folder if ``None``.
    :param fabric: settings of the fabric that replace the defaults, such as ``{"loss": 0.01}``.
    :param work_seconds: time that a target works on one request.
    :param options: settings of all hosts that replace those returned by :meth:`settings`.
    """

    def __init__(
        self,
        shape: FirmShape,
        entries: int = 3,
        controls: int = 1,
        folder: Path | None = None,
        fabric: dict[str, float] | None = None,
        work_seconds: float = 0.005,
        options: dict[str, Any] | None = None,
    ) -> None:
        self.shape = shape
        self._extra_settings = options or {}
        self._network_claim = claim_network()
        self._network = self._network_claim.getsockname()[0].rpartition(".")[0]
        self._temporary_folder = None if folder else tempfile.TemporaryDirectory(prefix="lwr-")
        self.folder = folder or Path(self._temporary_folder.name if self._temporary_folder else "")
        zones = itertools.cycle(shape.zones)
        self.hosts = [
            EntryHost(f"entry-{number}", next(zones), f"{self._network}.{number}")
            for number in range(1, entries + 1)
        ]
        self._controls = self.hosts[:controls]
        self._fabric_options = {"loss": 0.0, "duplicate": 0.0, "reorder": 0.0, "seed": 1}
        self._fabric_options |= fabric or {}
        self._work_seconds = work_seconds
        self._fabric_endpoint = f"{self._network}.200:4754"
        self._fabric_admin = f"{self._network}.200:4755"
        self._caller_numbers = itertools.count(1)
        self._routes: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> Fleet:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Kill all processes of the fleet and remove its temporary folder."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self._network_claim.close()
        if self._temporary_folder is not None:
            self._temporary_folder.cleanup()

    def start(self) -> None:
        """Start the fabric, the hosts and the targets, and submit the services in a first note.

        :raises FleetError: if the services are not in force, or the targets not known, in time.
        """
        self.start_fabric()
        for host in self.hosts:
            self.start_host(host)
        self.start_targets()
        self.wait_for_members(len(self.hosts))
        self.submit(self.write_note(1, 0, added=[service_entry(s) for s in self.shape.services]))
        self.wait_in_force(1)
        self.wait_for_targets(sum(service.targets for service in self.shape.services))

    def start_fabric(self) -> None:
        """Start the process of the fabric."""
        config = {
            "listen": self._fabric_endpoint,
            "admin": self._fabric_admin,
            "entries": [host.data for host in self.hosts],
            "routes": {},
        }
        path = self._write_json("fabric.json", config | self._fabric_options)
        self._start_process("fabric", [sys.executable, "-m", "standins.fabric", str(path)])

    def start_host(self, host: EntryHost) -> None:
        """Start the ``lacewingrudderd`` process of a host."""
        path = self._write_json(f"{host.name}.json", self.settings(host))
        self._start_process(host.name, [str(BIN / "lacewingrudderd"), "--settings", str(path)])

    def settings(self, host: EntryHost) -> dict[str, Any]:
        """Return the settings of a host."""
        return {
            "name": host.name,
            "zone": host.zone,
            "roles": ["entry", "control"] if host in self._controls else ["entry"],
            "listen": host.listen,
            "peer_key": PEER_KEY,
            "controls": {other.name: other.listen for other in self._controls},
            "entries": {other.name: other.listen for other in self.hosts},
            "data_folder": str(self.folder / host.name),
            "data": host.data,
            "fabric": self._fabric_endpoint,
            "announce": host.announce,
            "metrics": host.metrics,
            "timeline": str(self.folder / f"{host.name}.timeline"),
        } | self._extra_settings

    def start_targets(self) -> None:
        """Start one process that simulates all targets."""
        listen = f"{self._network}.201:4754"
        targets = [
            entry for service in self.shape.services for entry in self._target_configs(service)
        ]
        config = {"listen": listen, "fabric": self._fabric_endpoint, "targets": targets}
        path = self._write_json("targets.json", config)
        self._start_process("targets", [sys.executable, "-m", "standins.targets", str(path)])
        self.add_routes({target["address"]: listen for target in targets})

    def _target_configs(self, service: ServiceShape) -> list[dict[str, Any]]:
        covered = {host.zone for host in self.hosts}
        zones = itertools.cycle([zone for zone in self.shape.zones if zone in covered])
        entries = []
        for number in range(1, service.targets + 1):
            zone = next(zones)
            hosts = sorted(self.hosts, key=lambda host: host.zone != zone)
            entries.append(
                {
                    "service": service.name,
                    "key": service.key,
                    "zone": zone,
                    "address": f"{service.address.rsplit('.', 1)[0]}."
                    f"{_address_offset(service) + number}",
                    "ports": {
                        kind.name: TARGET_FIRST_PORT + index
                        for index, kind in enumerate(service.kinds)
                    },
                    "slots": service.slots,
                    "connection_limit": 2000,
                    "work_seconds": self._work_seconds,
                    "announce": [f"http://{host.announce}/announce" for host in hosts],
                }
            )
        return entries

    def target_names(self, service: ServiceShape) -> list[str]:
        """Return the names of a service's targets."""
        return [
            f"{entry['address']}:{TARGET_FIRST_PORT}" for entry in self._target_configs(service)
        ]

    def start_callers(self, loads: list[dict[str, Any]]) -> Callers:
        """Start a process that simulates the callers of some loads."""
        number = next(self._caller_numbers)
        address = f"192.0.2.{number}"
        listen = f"{self._network}.{201 + number}:4754"
        config = {
            "listen": listen,
            "fabric": self._fabric_endpoint,
            "address": address,
            "seed": number,
        }
        path = self._write_json(f"callers-{number}.json", config | {"loads": loads})
        result = self.folder / f"callers-{number}.result"
        self.add_routes({address: listen})
        name = f"callers-{number}"
        command = [sys.executable, "-m", "standins.callers", str(path), str(result)]
        return Callers(self._start_process(name, command), result)

    def add_routes(self, routes: dict[str, str]) -> None:
        """Add routes from inner addresses to endpoints to the fabric."""
        self._routes |= routes
        self.change_fabric({"routes": self._routes})

    def set_fabric_hosts(self, hosts: list[EntryHost]) -> None:
        """Make the fabric send packets to these hosts only."""
        self.change_fabric({"entries": [host.data for host in hosts]})

    def change_fabric(self, changes: dict[str, Any]) -> None:
        """Replace parts of the fabric's configuration."""
        address, _, port = self._fabric_admin.rpartition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(json.dumps(changes).encode(), (address, int(port)))

    def kill(self, host: EntryHost) -> None:
        """Kill a host without a graceful shutdown."""
        process = self.processes.pop(host.name)
        process.kill()
        process.wait()

    def stop(self, host: EntryHost) -> None:
        """Shut a host down gracefully and wait for its process to exit."""
        process = self.processes.pop(host.name)
        process.send_signal(signal.SIGTERM)
        process.wait(STOP_TIMEOUT_SECONDS)

    def write_note(self, number: int, base: int, **parts: Any) -> Path:
        """Write a release note to a file and return its path.

        :param base: the revision that the note changes.
        :param parts: the other keys of the note, such as ``added`` and ``changed``.
        """
        return self._write_json(f"note-{number}.json", {"number": number, "base": base} | parts)

    def submit(self, note: Path, seconds: float = 10.0) -> None:
        """Submit a release note again and again until it is accepted.

        :raises FleetError: if the note is not accepted in time.
        """
        deadline = time.monotonic() + seconds
        while True:
            completed = self.run_lwr("submit", str(note))
            if completed.returncode == 0:
                return
            if time.monotonic() > deadline:
                raise FleetError(f"note not accepted in time: {completed.stdout}{completed.stderr}")
            time.sleep(POLL_INTERVAL_SECONDS)

    def run_lwr(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run an ``lwr`` command against the control hosts of this fleet and return its result."""
        controls = [part for host in self._controls for part in ("--control", host.listen)]
        command = [str(BIN / "lwr"), *arguments, *controls]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)

    def wait_in_force(self, revision: int, seconds: float = 10.0) -> None:
        """Wait until a revision, or a later one, is in force on all running hosts.

        :raises FleetError: if that takes too long.
        """

        def is_in_force() -> bool:
            completed = self.run_lwr("status", "--json")
            if completed.returncode:
                return False
            status = json.loads(completed.stdout)
            confirmed = [h for h in status["hosts"] if h["revision"] >= revision]
            return len(confirmed) >= sum(host.name in self.processes for host in self.hosts)

        self._wait_until(is_in_force, seconds, f"revision {revision} is not in force on all hosts")

    def wait_for_members(self, count: int, seconds: float = 10.0) -> None:
        """Wait until every running host knows exactly this many live entry hosts.

        :raises FleetError: if that takes too long.
        """
        self._wait_for_metric("lwr_members", lambda value: value == count, seconds)

    def wait_for_targets(self, count: int, seconds: float = 10.0) -> None:
        """Wait until every running host knows at least this many targets that accept new flows.

        :raises FleetError: if that takes too long.
        """

        self._wait_for_metric("lwr_serving_targets", lambda value: value >= count, seconds)

    def _wait_for_metric(
        self, name: str, condition: Callable[[float], bool], seconds: float
    ) -> None:
        def holds_on_all_hosts() -> bool:
            hosts = [host for host in self.hosts if host.name in self.processes]
            return all(condition(host.metric(name)) for host in hosts)

        self._wait_until(
            holds_on_all_hosts,
            seconds,
            f"metric {name} does not have the expected value on all hosts",
        )

    def _wait_until(self, condition: Any, seconds: float, message: str) -> None:
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise FleetError(message)
            time.sleep(POLL_INTERVAL_SECONDS)

    def _write_json(self, name: str, document: dict[str, Any]) -> Path:
        path = self.folder / name
        path.write_text(json.dumps(document, indent=1))
        return path

    def _start_process(self, name: str, command: list[str]) -> subprocess.Popen[bytes]:
        log = (self.folder / f"{name}.log").open("ab")
        process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)
        log.close()
        self.processes[name] = process
        return process


class Callers(NamedTuple):
    """A process of callers and the file that it writes its results to."""

    process: subprocess.Popen[bytes]
    result: Path

    def results(self, seconds: float) -> list[dict[str, Any]]:
        """Wait until the process exits and return the results of its flows.

        :raises FleetError: if its exit code is not 0.
        """
        if self.process.wait(seconds):
            raise FleetError("the process of callers exited with a non-zero code")
        results: list[dict[str, Any]] = json.loads(self.result.read_text())
        return results


def _address_offset(service: ServiceShape) -> int:
    """Return the offset of a service's targets in the last byte of their addresses.

    The two services of a firm share a /24.
    """
    return 100 if service.address.endswith(".1") else 200
