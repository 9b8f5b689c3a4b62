"""The platform: settings files from the deploy file's templates, processes, and calls over HTTP."""

from __future__ import annotations

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parents[2]
RESTART_DELAY_SECONDS = 0.9
GRACE_SECONDS = 6
BEAT_MS = 1200
METRICS_PORT = 9464
"""The templates name it; it is free on the addresses that a script chooses."""

CONFIG_PATH = "/lacewingrudder/config"


class Record:
    """Writes what was sent, answered and run, with the time since the start of the script."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def seconds(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            print(f"{self.seconds():9.3f} {text}", file=self._file, flush=True)


class Machine:
    """One machine of the system and the process on it."""

    def __init__(self, name: str, role: str, zone: str, address: str) -> None:
        self.name, self.role, self.zone, self.address = name, role, zone, address
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0
        self.expected_end = False
        self.is_removed = False
        self.own_ends: list[int] = []


class Platform:
    """Starts the system's processes as the deploy file says, and restarts those that end."""

    def __init__(self, record: Record, zones: list[str], entries: dict[str, int]) -> None:
        self.record = record
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._path = Path(self._folder.name)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._roles: dict[str, Any] = deploy["roles"]
        self.machines: list[Machine] = []
        self._zones = zones
        self.prefix = ""
        self.message_port, self.packet_port, self.ready_port, self.call_port = (
            self._choose_addresses(entries)
        )
        self.seeds = [f"{row.address}:{self.call_port}" for row in self.cores]
        self._is_closing = False
        self._watcher = threading.Thread(target=self._watch, daemon=True)

    @property
    def cores(self) -> list[Machine]:
        """The machines that serve control."""
        return [row for row in self.machines if row.role == "registrar" and not row.is_removed]

    @property
    def entries(self) -> list[Machine]:
        """The machines that consumers' packets reach."""
        return [row for row in self.machines if row.role == "entry"]

    def start(self) -> None:
        """Start all machines for the first time."""
        for machine in self.machines:
            self._start(machine, True)
        self._watcher.start()

    def terminate(self, machine: Machine) -> None:
        """Stop a process by SIGTERM; the platform starts it again (planned work)."""
        process = machine.process
        if process is None or process.poll() is not None:
            return
        machine.expected_end = True
        self.record.write(f"SIGTERM to {machine.name}")
        process.send_signal(signal.SIGTERM)

    def add_core(self, zone: str) -> Machine:
        """Start a machine of the core at a new address, with an empty disk."""
        index = 1 + sum(row.role == "registrar" and row.zone == zone for row in self.machines)
        number = 1 + self._zones.index(zone)
        machine = Machine(
            f"core-{zone}-{index}", "registrar", zone, f"{self.prefix}.{number}.{199 + index}"
        )
        self.machines.append(machine)
        self._start(machine, False)
        return machine

    def remove(self, machine: Machine) -> None:
        """Take a machine away for good, with SIGTERM."""
        machine.is_removed = True
        self.terminate(machine)

    def lose_disk(self, machine: Machine) -> None:
        """Kill a process and empty its data folder; the platform starts it again with that."""
        process = machine.process
        if process is None:
            return
        machine.expected_end = True
        process.kill()
        process.wait(10)
        shutil.rmtree(self._path / f"data-{machine.name}")
        self.record.write(f"{machine.name} lost its disk")

    def signal(self, machine: Machine, number: signal.Signals) -> bool:
        """Send a signal to a process; return whether it runs."""
        process = machine.process
        if process is None or process.poll() is not None:
            return False
        age = time.monotonic() - machine.started_at
        self.record.write(f"{number.name} to {machine.name}, started {age:.3f} s ago")
        process.send_signal(number)
        return True

    def rewrite_settings(self, machine: Machine, seeds: list[str]) -> None:
        """Change the seeds in a machine's settings file."""
        self._write_settings(machine, False, seeds)

    def log(self, machine: Machine) -> str:
        """Return what a machine's processes have written."""
        path = self._path / f"{machine.name}.log"
        return path.read_text() if path.exists() else ""

    def close(self) -> None:
        """End all processes that this platform started."""
        self._is_closing = True
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait(10)
        self._folder.cleanup()

    def _choose_addresses(self, entries: dict[str, int]) -> tuple[int, int, int, int]:
        """Place the machines at free addresses; return ports that are free on all of them."""
        for _ in range(200):
            self.prefix = f"127.{random.randrange(30, 250)}"
            self.machines = [
                Machine(f"core-{zone}-1", "registrar", zone, f"{self.prefix}.{number}.200")
                for number, zone in enumerate(self._zones, 1)
            ] + [
                Machine(f"frontend-{zone}-{index}", "entry", zone, f"{self.prefix}.{number}.{index}")
                for number, zone in enumerate(self._zones, 1)
                for index in range(1, entries.get(zone, 0) + 1)
            ]
            base = random.randrange(20_000, 32_000)
            ports = [base, base + 1, base + 2, base + 3, METRICS_PORT]
            if all(_is_free(row.address, port) for row in self.machines for port in ports):
                return base, base + 1, base + 2, base + 3
        raise OSError("no free ports")

    def _fields(self, machine: Machine, bootstrap: bool, seeds: list[str]) -> dict[str, Any]:
        binds: dict[str, str] = {}
        if machine.role == "entry":
            binds["datagram-address"] = f"{machine.address}:{self.packet_port}"
            binds["readiness-address"] = f"{machine.address}:{self.ready_port}"
        else:
            binds["control-plane"] = f"{machine.address}:{self.call_port}"
        data = self._path / f"data-{machine.name}"
        data.mkdir(exist_ok=True)
        return {
            "node-name": machine.name,
            "zone": machine.zone,
            "ip-address": machine.address,
            "internal-port-range": [self.message_port, self.message_port],
            "seeds": seeds,
            "bootstrap": bootstrap,
            "heartbeat-ms": BEAT_MS,
            "bounds": {"grace-s": GRACE_SECONDS},
            "bind-addresses": binds,
            "data-dir": str(data),
        }

    def _write_settings(self, machine: Machine, bootstrap: bool, seeds: list[str]) -> Path:
        fields = self._fields(machine, bootstrap, seeds)
        template = (ROOT / self._roles[machine.role]["template"]).read_text()
        path = self._path / f"{machine.name}.settings"
        temporary = path.with_suffix(".new")
        temporary.write_text(_render(template, fields))
        temporary.replace(path)
        return path

    def _start(self, machine: Machine, bootstrap: bool) -> None:
        path = self._write_settings(machine, bootstrap, self.seeds)
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["LACEWINGRUDDER_NODE_FILE"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        command = self._roles[machine.role]["run"].split()
        with (self._path / f"{machine.name}.log").open("ab") as log:
            machine.process = subprocess.Popen(
                command, env=environment, cwd=ROOT, stdout=log, stderr=log
            )
        machine.started_at = time.monotonic()
        machine.expected_end = False
        self.record.write(f"start of {machine.name} at {machine.address}")

    def _watch(self) -> None:
        """Start processes that ended again, after a short delay."""
        due: dict[str, float] = {}
        gone: set[str] = set()
        while not self._is_closing:
            for machine in list(self.machines):
                process = machine.process
                if process is None or process.poll() is None or self._is_closing:
                    continue
                if machine.name in gone:
                    continue
                if machine.is_removed:
                    gone.add(machine.name)
                    self.record.write(f"{machine.name} was removed, exit code {process.returncode}")
                elif machine.name not in due:
                    due[machine.name] = time.monotonic() + RESTART_DELAY_SECONDS
                    how = "was stopped" if machine.expected_end else "ENDED BY ITSELF"
                    if not machine.expected_end:
                        machine.own_ends.append(process.returncode)
                    self.record.write(f"{machine.name} {how}, exit code {process.returncode}")
                    if process.returncode > 0:
                        self.record.write(f"its last words: {self.log(machine)[-200:]!r}")
                elif time.monotonic() >= due[machine.name]:
                    del due[machine.name]
                    self._start(machine, False)
            time.sleep(0.01)


def call(address: str, port: int, method: str, path: str, body: Any = None) -> tuple[int, bytes]:
    """Make a call; return the status and the body, or status 0 without a response in a second."""
    connection = http.client.HTTPConnection(address, port, timeout=1)
    try:
        data = None if body is None else body if isinstance(body, bytes) else json.dumps(body)
        connection.request(method, path, data, {"Content-Type": "application/json"})
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def order(platform: Platform, body: Any, seconds: float = 20.0) -> bool:
    """Send an order of the operator to one control host after the other until one accepts it."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        for machine in platform.cores:
            status, _ = call(machine.address, platform.call_port, "PUT", CONFIG_PATH, body)
            if status == 200:
                platform.record.write(f"manifest {body['version']} confirmed by {machine.name}")
                return True
        time.sleep(0.05)
    return False


def manifest(version: int, routes: list[tuple[str, int, str]], services: list[str]) -> Any:
    """Return a complete manifest; a route is an address, a port and a service."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{port}",
                "hostname": address,
                "path-prefix": f"/{port}/",
                "type": "unsafe",
                "timeout-ms": 1500,
                "target-latency-ms": 250,
                "priority": 1,
                "service": service,
                "max-attempts": 2,
            }
            for address, port, service in routes
        ],
        "services": [
            {
                "name": name,
                "health-check-path": "/healthz",
                "max-connections": 2000,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


def wait_ready(platform: Platform, seconds: float = 20.0) -> bool:
    """Wait until all frontend machines answer their readiness probe with 200."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        answers = [
            call(row.address, platform.ready_port, "GET", "/lacewingrudder/readyz")[0]
            for row in platform.entries
        ]
        if answers and all(status == 200 for status in answers):
            return True
        time.sleep(0.1)
    return False


def _is_free(address: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True


def _render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders that the project's templates use."""

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for part in match[1].split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if match[2] else str(found)

    return re.sub(r"\{\{([a-z0-9.-]+)(\|json)?\}\}", value, template)
