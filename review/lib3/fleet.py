"""Starts the project's own programs on loopback addresses, as the deploy file says.

Each machine has an address of its own in 127.0.0.0/8; the ports are the same on all machines. The
settings files are made from the templates of the deploy file, from the fields that the platform's
page on deployment describes.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
HEARTBEAT_SECONDS = 1.2
CONTACT_SECONDS = 4.0
BOUNDS = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "contact-ms": 4000,
    "ack-timeout-ms": 5000,
    "catch-up-s": 4,
    "drain-ms": 3000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "config-apply-ms": 3000,
    "downgrade-slack-ms": 250,
    "max-skew-ms": 12000,
    "recovery-s": 12,
    "flow-ms": 2000,
    "max-flow-s": 60,
}
CONTRACTS = ["base", "drain", "config", "cost", "recover", "flows"]


class CannotRun(Exception):
    """The case can't run here; it shows nothing."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start

    def write(self, *words: Any) -> None:
        self._file.write(f"{self.now():9.4f} " + " ".join(str(word) for word in words) + "\n")
        self._file.flush()


def _lookup(context: dict[str, Any], path: str) -> Any:
    value: Any = context
    for part in path.split("."):
        if isinstance(value, list):
            index = int(part)
            value = value[index] if index < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def render(template: str, context: dict[str, Any]) -> str:
    """Fill in a template: values, values as JSON, and sections over the keys of a table."""

    def section(match: re.Match[str]) -> str:
        keys = list(_lookup(context, match[1]) or ())
        rows = [match[2].replace("{{@}}", str(key)) for key in keys]
        rows = [row.replace("{{,}}", "," if at + 1 < len(keys) else "") for at, row in enumerate(rows)]
        return "".join(rows)

    def value(match: re.Match[str]) -> str:
        path, _, form = match[1].partition("|")
        found = _lookup(context, path)
        if form == "json":
            return json.dumps(found)
        if found is None:
            return ""
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^#/^}][^}]*)\}\}", value, text)


class Machine:
    """One machine with one role, and its process."""

    def __init__(self, fleet: Fleet, role: str, name: str, zone: str, address: str) -> None:
        self.fleet, self.role, self.name, self.zone, self.address = fleet, role, name, zone, address
        self.data = fleet.folder / f"data-{name}"
        self.process: subprocess.Popen[bytes] | None = None

    def _fields(self, is_bootstrap: bool) -> dict[str, Any]:
        fleet, is_core = self.fleet, DEPLOY["roles"][self.role]["on"] == "core"
        binds = (
            {"control-plane": f"{self.address}:{fleet.control_port}"}
            if is_core
            else {
                "datagram-address": f"{self.address}:{fleet.packet_port}",
                "readiness-address": f"{self.address}:{fleet.ready_port}",
            }
        )
        fields = {
            "node-name": self.name,
            "role": self.role,
            "machine-class": "core" if is_core else "frontend",
            "serves": DEPLOY["roles"][self.role]["serves"],
            "ip-address": self.address,
            "zone": self.zone,
            "region": "r",
            "internal-port-range": [fleet.internal_port, fleet.internal_port + 3],
            "seeds": [f"{seed}:{fleet.control_port}" for seed in fleet.seeds],
            "bootstrap": is_bootstrap,
            "fault-counted": is_core,
            "discovery": "registration",
            "entry-type": "announcement",
            "heartbeat-ms": int(HEARTBEAT_SECONDS * 1000),
            "contracts": fleet.contracts,
            "config_mode": "highest",
            "hash-policy": "mod",
            "forwarding-mode": "echo",
            "zones": {zone: "r" for zone in fleet.zones},
            "bind-addresses": binds,
            "fault-tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": fleet.bounds,
        }
        return fields | ({"data-dir": str(self.data)} if is_core else {})

    def write_settings(self, is_bootstrap: bool) -> Path:
        """Write the settings file, in place of the one that is there."""
        template = ROOT / DEPLOY["roles"][self.role]["template"]
        settings = self.fleet.folder / f"{self.name}.settings"
        written = settings.with_suffix(".new")
        written.write_text(render(template.read_text(), self._fields(is_bootstrap)))
        written.replace(settings)
        return settings

    def start(self, is_bootstrap: bool = False) -> None:
        role = DEPLOY["roles"][self.role]
        fields = self._fields(is_bootstrap)
        settings = self.write_settings(is_bootstrap)
        if "data-dir" in fields:
            self.data.mkdir(exist_ok=True)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment |= {key: render(text, fields) for key, text in role.get("env", {}).items()}
        environment |= {
            "LACEWINGRUDDER_NODE_FILE": str(settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        command = shlex.split(render(role["run"], fields))
        with (self.fleet.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(command, env=environment, cwd=ROOT, stdout=log, stderr=log)

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def stop(self) -> float:
        """Send SIGTERM, and SIGKILL after the grace period; return how long it took."""
        assert self.process is not None
        began = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        while self.process.poll() is None:
            if time.monotonic() - began > self.fleet.bounds["grace-s"]:
                self.process.kill()
            await asyncio.sleep(0.02)
        return time.monotonic() - began


class Fleet:
    """The machines of a small deployment."""

    def __init__(
        self,
        zones: dict[str, int],
        contracts: list[str] | None = None,
        bounds: dict[str, Any] | None = None,
    ) -> None:
        if not (ROOT / "target" / "deps" / "lacewingrudder_platform").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file first")
        self.folder = Path(tempfile.mkdtemp(prefix="lwr-review-"))
        self.contracts, self.bounds = contracts or CONTRACTS, bounds or BOUNDS
        self.zones = list(zones)
        self.prefix = f"127.{random.randint(16, 250)}"
        self.control_port, self.packet_port, self.ready_port, self.internal_port = self._free_ports()
        self.cores = [
            Machine(self, "registrar", f"core-{zone}-1", zone, f"{self.prefix}.1.{at + 1}")
            for at, zone in enumerate(zones)
        ]
        self.seeds = [core.address for core in self.cores][:3]
        self.fronts: list[Machine] = []
        for at, (zone, count) in enumerate(zones.items()):
            for number in range(1, count + 1):
                address = f"{self.prefix}.{2 + at}.{number}"
                name = f"frontend-{zone}-{number}"
                self.fronts.append(Machine(self, "entry", name, zone, address))

    def _free_ports(self) -> list[int]:
        found: list[int] = []
        port = random.randint(12_000, 28_000)
        while len(found) < 4:
            port += 7
            try:
                with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp:
                    tcp.bind(("127.0.0.1", port))
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                    udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            found.append(port)
        return found

    def start(self) -> None:
        for machine in (*self.cores, *self.fronts):
            machine.start(is_bootstrap=True)

    def close(self) -> None:
        for machine in (*self.cores, *self.fronts):
            process = machine.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs are in", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def call(
    address: str, port: int, method: str, path: str, body: bytes = b"", timeout: float = 1.0
) -> tuple[int, bytes]:
    """Make an HTTP call on a connection of its own; return status 0 if there is no response."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(address, port)
            head = f"{method} {path} HTTP/1.1\r\nHost: {address}:{port}\r\nConnection: close\r\n"
            if body:
                head += "Content-Type: application/json\r\n"
            writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            await writer.drain()
            response = await reader.read()
            start, _, content = response.partition(b"\r\n\r\n")
            return (int(start.split()[1]), content) if start else (0, b"")
    except (OSError, TimeoutError, ValueError, IndexError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


class Operator:
    """Sends orders to the machines that serve control, one after the other, until one answers."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self._fleet, self._record = fleet, record
        self._next = 0

    async def order(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        what: str = "",
        patience: float = 20.0,
        first: int | None = None,
    ) -> tuple[int, bytes]:
        """Return the first response that ends the order: a 2xx, or a 4xx.

        :param first: the machine that is called first; otherwise the next one in turn.
        """
        self._next = self._next if first is None else first
        deadline = time.monotonic() + patience
        delay = 0.05
        while time.monotonic() < deadline:
            core = self._fleet.cores[self._next % len(self._fleet.cores)]
            self._next += 1
            began = self._record.now()
            status, content = await call(
                core.address, self._fleet.control_port, method, path, body, 1.0
            )
            self._record.write(
                f"operator sent {method} {path} {what} to {core.name} at {began:.4f}: {status}"
            )
            if 200 <= status < 500 and status not in (408, 429):
                return status, content
            await asyncio.sleep(delay)
            delay = min(1.0, delay * 2)
        return 0, b""
