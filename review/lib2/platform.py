"""The users' platform: starts the processes as the deploy file says, and routes packets."""

from __future__ import annotations

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import zlib
from pathlib import Path
from typing import Any

from .record import Record

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_MS = 1200
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
METRICS_PORT = 9464
NETWORK_COUNT = 200
PROBE_SECONDS = 0.5
MISSES = 2


def render(text: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders of DEPLOY.md that this project's templates use."""

    def find(path: str) -> Any:
        value: Any = fields
        for part in path.split("."):
            try:
                value = value[int(part)] if isinstance(value, list) else value[part]
            except (KeyError, IndexError, ValueError, TypeError):
                return None
        return value

    def section(match: re.Match[str]) -> str:
        rows = list(find(match[1]) or ())
        return "".join(
            match[2].replace("{{@}}", str(row)).replace("{{,}}", "," if row != rows[-1] else "")
            for row in rows
        )

    def value(match: re.Match[str]) -> str:
        name, as_json = match[1], match[2]
        found = find(name)
        if as_json:
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)(\|json)?\}\}", value, text)


class Machine:
    """One machine and the process on it."""

    def __init__(self, name: str, machine_class: str, zone: str, ip: str) -> None:
        self.name, self.machine_class, self.zone, self.ip = name, machine_class, zone, ip
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0


class Deployment:
    """A small deployment in three zones: three core machines and some frontend machines.

    :param frontends: number of frontend machines in each zone.
    """

    def __init__(self, record: Record, frontends: tuple[int, ...] = (3, 2, 2)) -> None:
        self.record = record
        self.zones = [f"zone-{letter}" for letter in "abc"[: len(frontends)]]
        self._folder = tempfile.TemporaryDirectory(prefix="lwr-review-")
        self.folder = Path(self._folder.name)
        self._deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._frontends = frontends
        self._choose_addresses()

    def _choose_addresses(self) -> None:
        """Choose loopback addresses, and ports that are free on all of them."""
        first = os.getpid() % NETWORK_COUNT
        for number in range(NETWORK_COUNT):
            self._use_network(16 + (first + number) % NETWORK_COUNT)
            base = 21_000 + 20 * ((os.getpid() + number) % 400)
            self.message_port, self.packet_port = base, base + 1
            self.ready_port, self.call_port = base + 2, base + 3
            if all(_is_free(machine.ip, base) for machine in self.machines):
                return
        raise RuntimeError("no free ports")

    def _use_network(self, network: int) -> None:
        self.network = f"127.{network}"
        self.cores = [
            Machine(f"core-{zone}", "core", zone, f"{self.network}.{number}.13")
            for number, zone in enumerate(self.zones, 1)
        ]
        self.fronts = [
            Machine(
                f"frontend-{zone}-{row}", "frontend", zone, f"{self.network}.{number}.{19 + row}"
            )
            for number, (zone, count) in enumerate(zip(self.zones, self._frontends, strict=True), 1)
            for row in range(1, count + 1)
        ]
        self.machines = [*self.cores, *self.fronts]

    def add_core(self) -> Machine:
        """Add a machine of the core, with an empty disk, in the first zone."""
        machine = Machine("core-spare", "core", self.zones[0], f"{self.network}.1.14")
        self.cores.append(machine)
        self.machines.append(machine)
        return machine

    def remove(self, machine: Machine) -> None:
        """Forget a machine whose process was killed and never comes back."""
        assert machine.process is not None
        machine.process.wait()
        self.cores.remove(machine)
        self.machines.remove(machine)

    async def lose_disk(self, machine: Machine, down_seconds: float) -> None:
        """Kill a machine's process, empty its disk, and start it again."""
        assert machine.process is not None
        self.signal(machine, signal.SIGKILL)
        machine.process.wait()
        shutil.rmtree(self.folder / "data" / machine.name)
        self.record.write("platform", "has emptied the disk", machine=machine.name)
        await asyncio.sleep(down_seconds)
        self.start(machine)
        self.record.write("platform", "started again", machine=machine.name)

    def find_leader(self) -> Machine:
        """Return the machine of the core that became leader last, as its log says."""
        became: dict[float, Machine] = {}
        for machine in self.cores:
            for line in (self.folder / f"{machine.name}.log").read_text().splitlines():
                if '"control_leader"' in line:
                    became[json.loads(line)["time"][0]] = machine
        return became[max(became)]

    @property
    def control_addresses(self) -> list[tuple[str, int]]:
        return [(machine.ip, self.call_port) for machine in self.cores]

    def start_all(self) -> None:
        for machine in self.machines:
            self.start(machine, bootstrap=True)

    def start(self, machine: Machine, bootstrap: bool = False) -> None:
        role_name, role = next(
            (name, role)
            for name, role in self._deploy["roles"].items()
            if role["on"] == machine.machine_class
        )
        fields = self._fields(machine, role_name, role, bootstrap)
        settings = self.folder / f"{machine.name}.settings"
        settings.write_text(render((ROOT / role["template"]).read_text(), fields))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {name: render(text, fields) for name, text in role.get("env", {}).items()}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["LACEWINGRUDDER_NODE_FILE"] = str(settings)
        with (self.folder / f"{machine.name}.log").open("ab") as log:
            machine.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        machine.started_at = time.monotonic()

    def _fields(
        self, machine: Machine, role_name: str, role: dict[str, Any], bootstrap: bool
    ) -> dict[str, Any]:
        data_dir = self.folder / "data" / machine.name
        binds = {
            "datagram-address": f"{machine.ip}:{self.packet_port}",
            "readiness-address": f"{machine.ip}:{self.ready_port}",
            "control-plane": f"{machine.ip}:{self.call_port}",
        }
        if machine.machine_class == "core":
            data_dir.mkdir(parents=True, exist_ok=True)
        return {
            "node-name": machine.name,
            "role": role_name,
            "machine-class": machine.machine_class,
            "serves": role["serves"],
            "ip-address": machine.ip,
            "zone": machine.zone,
            "region": "region",
            "internal-port-range": [self.message_port, self.message_port],
            "seeds": [f"{core.ip}:{self.call_port}" for core in self.cores[:3]],
            "bootstrap": bootstrap,
            "fault-counted": machine.machine_class == "core",
            "heartbeat-ms": HEARTBEAT_MS,
            "hash-policy": "mod",
            "forwarding-mode": "echo",
            "zones": {zone: "region" for zone in self.zones},
            "bind-addresses": binds,
            "data-dir": str(data_dir),
            "bounds": BOUNDS,
        }

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        assert machine.process is not None
        self.record.write("platform", "signal", machine=machine.name, signal=number.name)
        machine.process.send_signal(number)

    async def stop_and_start(self, machine: Machine) -> None:
        """Planned restart: SIGTERM, SIGKILL after the grace period, and start again."""
        assert machine.process is not None
        process = machine.process
        self.signal(machine, signal.SIGTERM)
        deadline = time.monotonic() + BOUNDS["grace-s"]
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.05)
        if process.poll() is None:
            self.signal(machine, signal.SIGKILL)
            await asyncio.to_thread(process.wait)
        await asyncio.sleep(0.2)
        self.start(machine)
        self.record.write("platform", "started again", machine=machine.name)

    def ended(self) -> list[str]:
        """Return the machines whose process ended by itself."""
        return [
            machine.name
            for machine in self.machines
            if machine.process is not None and machine.process.poll() is not None
        ]

    def close(self) -> None:
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait()
        self._folder.cleanup()


def _is_free(ip: str, base: int) -> bool:
    """Return whether the ports that a machine uses can be bound."""
    for port in (base, base + 1, base + 2, base + 3, METRICS_PORT):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((ip, port))
                except OSError:
                    return False
    return True


class Routers:
    """The provider's routers: rotation by readiness, and the hash policy ``mod``."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._misses = {machine.name: MISSES for machine in deployment.fronts}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        self._tasks = [
            asyncio.create_task(self._probe(machine)) for machine in self._deployment.fronts
        ]

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _probe(self, machine: Machine) -> None:
        address = (machine.ip, self._deployment.ready_port)
        while True:
            status, _ = await call(address, "GET", "/lacewingrudder/readyz", timeout=PROBE_SECONDS)
            before = self._misses[machine.name] >= MISSES
            self._misses[machine.name] = 0 if status == 200 else self._misses[machine.name] + 1
            after = self._misses[machine.name] >= MISSES
            if before != after:
                event = "out of rotation" if after else "in rotation"
                self._deployment.record.write("router", event, machine=machine.name)
            await asyncio.sleep(PROBE_SECONDS)

    def in_rotation(self, zone: str) -> list[Machine]:
        all_nodes = [row for row in self._deployment.fronts if row.zone == zone]
        ready = [row for row in all_nodes if self._misses[row.name] < MISSES]
        return ready if 2 * len(ready) >= len(all_nodes) else all_nodes

    def choose(self, zone: str, flow: tuple[str, int, str, int]) -> Machine:
        nodes = self.in_rotation(zone)
        return nodes[zlib.crc32(repr(flow).encode()) % len(nodes)]


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: Any = None,
    timeout: float = 1.0,
    source: str | None = None,
) -> tuple[int, bytes]:
    """Make one HTTP call; return status 0 if no response arrives within the time."""
    try:
        return await asyncio.wait_for(_call(address, method, path, body, source), timeout)
    except (TimeoutError, OSError, ValueError, IndexError, asyncio.IncompleteReadError):
        return 0, b""


async def _call(
    address: tuple[str, int], method: str, path: str, body: Any, source: str | None
) -> tuple[int, bytes]:
    local = None if source is None else (source, 0)
    reader, writer = await asyncio.open_connection(*address, local_addr=local)
    try:
        data = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        writer.write(head.encode() + data)
        await writer.drain()
        raw = await reader.readuntil(b"\r\n\r\n")
        status = int(raw.split(b" ", 2)[1])
        length = re.search(rb"(?i)content-length: *(\d+)", raw)
        content = await reader.readexactly(int(length[1])) if length else b""
        return status, content
    finally:
        writer.close()
