"""One soak from a seed: starts the system, loads it, strikes it, and judges what users saw."""

from __future__ import annotations

import asyncio
import contextlib
import random
import tempfile
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, NamedTuple

from standins.platform import CALL_PORT, PACKET_PORT, READY_PORT
from standins.wire import Address

from .callers import Callers, FlowResults, LongFlow, Routers
from .hosts import Hosts
from .http import Caller
from .injector import Injector, TargetChanges
from .links import CallProxy, HostLinks
from .operators import BASE_PORTS, Operators
from .plan import RECOVERY_SECONDS, Calm, Shape, make_plan
from .probes import Prober
from .promises import Finding, Ledger, Promise
from .targets import Surroundings, Targets

START_SECONDS = 30.0
WATCH_SECONDS = 0.2
TARGETS_OCTET = 240
CALLERS_OCTET = 250
"""Last octets of addresses in the claimed network; hosts have those below."""

FLOWS_PER_SERVICE = 8
TARGETS_PER_SERVICE = 6
OPERATORS = 2
CHANGE_SECONDS = 0.4
LAST_SECONDS = 3.0
"""How long service is measured after the recovery."""

LEAST_SERVED = 0.9
"""Share of requests answered after the recovery: targets still change hands then."""


class Outcome(NamedTuple):
    """What a soak found.

    :param lines: one for each promise.
    :param folder: logs of the processes, kept if a promise was broken.
    """

    seed: int
    lines: list[str]
    findings: list[Finding]
    folder: str


class Soak:
    """Wires one soak; use :func:`run_soak`."""

    def __init__(self, seed: int, seconds: float, shape: Shape, folder: Path) -> None:
        self._random = random.Random(seed)
        self._seconds = seconds
        self._shape = shape
        self._plan = make_plan(seed, seconds, shape)
        self._ledger = Ledger()
        self._calm = Calm()
        self._began = 0.0
        self._hosts = Hosts(shape, folder)
        self._cuts: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._names = {row.bound: name for name, row in self._hosts.addresses.items()}
        self._results = FlowResults()
        self._calls: dict[str, CallProxy] = {}

    @property
    def ledger(self) -> Ledger:
        """What was checked so far."""
        return self._ledger

    async def run(self) -> None:
        """Run the whole soak; ends every process that it started."""
        loop = asyncio.get_running_loop()
        self._began = loop.time()
        try:
            async with Caller() as caller:
                await self._wire(caller)
                await self._start()
                self._began = loop.time()
                await self._strike()
                await self._judge_recovery()
        finally:
            for task in self._tasks:
                task.cancel()
            self._changes.close()
            for proxy in self._calls.values():
                proxy.close()
            self._hosts.close()

    def _now(self) -> float:
        return asyncio.get_running_loop().time() - self._began

    def _check(self, promise: Promise, holds: bool, detail: str) -> bool:
        return self._ledger.check(promise, holds, self._now(), detail)

    def _seed(self) -> int:
        return self._random.getrandbits(32)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        return task

    async def _wire(self, caller: Caller) -> None:
        """Make the proxies, then whoever uses the system, then what strikes it."""
        hosts, shape = self._hosts, self._shape
        links = HostLinks({name: row.links for name, row in hosts.addresses.items()}, self._seed())
        self._calls = {name: self._call_proxy(name) for name in shape.controls}
        for proxy in self._calls.values():
            await proxy.start()
        self._wire_callers(caller)
        controls: list[Address] = [
            (hosts.addresses[name].public, CALL_PORT) for name in shape.controls
        ]
        self._operators = Operators(caller, controls, self._check, self._now, self._seed())
        self._wire_targets(caller, controls)
        self._injector = Injector(
            shape,
            hosts,
            links,
            self._calls,
            self._changes,
            self._calm,
            self._cuts,
            self._check,
            self._now,
        )

    def _call_proxy(self, control: str) -> CallProxy:
        public, bound = self._hosts.addresses[control]
        return CallProxy((public, CALL_PORT), (bound, CALL_PORT))

    def _wire_callers(self, caller: Caller) -> None:
        addresses = {name: self._hosts.addresses[name].bound for name in self._shape.entries}
        packets = {name: (address, PACKET_PORT) for name, address in addresses.items()}
        ready = {name: (address, READY_PORT) for name, address in addresses.items()}
        self._callers = Callers(self._callers_address, packets, self._check, self._seed())
        self._routers = Routers(caller, ready)

    @property
    def _callers_address(self) -> Address:
        return f"{self._hosts.network}.{CALLERS_OCTET}", PACKET_PORT

    def _wire_targets(self, caller: Caller, controls: list[Address]) -> None:
        around = Surroundings(
            caller,
            controls,
            self._callers_address,
            self._check,
            self._is_cut,
            lambda sender, since: self._is_calm(self._names[sender], since),
            self._operators.services,
            self._now,
        )
        self._targets = Targets(around)
        host = f"{self._hosts.network}.{TARGETS_OCTET}"
        self._changes = TargetChanges(host, self._targets, around, self._shape.zones, self._seed())

    def _is_cut(self, sender: str, zone: str) -> bool:
        """Whether a host can't reach a zone: one of the two zones is cut off."""
        own = self._shape.zone(self._names[sender])
        return own != zone and (own in self._cuts or zone in self._cuts)

    def _is_calm(self, host: str, since: float) -> bool:
        return self._calm.is_calm((host, *self._shape.controls), since)

    async def _start(self) -> None:
        for host in (*self._shape.controls, *self._shape.entries):
            self._hosts.start(host, founds=True)
        for host in self._shape.entries:
            self._spawn(self._routers.probe(host))
        if not await self._operators.submit():
            raise RuntimeError("the system took no configuration at its start")
        for index in range(TARGETS_PER_SERVICE):
            for service in ("a", "b"):
                self._changes.start(service, self._shape.zones[index % len(self._shape.zones)])
        async with asyncio.timeout(START_SECONDS):
            while len(self._routers.ready) < len(self._shape.entries):
                await asyncio.sleep(WATCH_SECONDS)

    async def _strike(self) -> None:
        for service_port in BASE_PORTS:
            for _ in range(FLOWS_PER_SERVICE):
                self._spawn(self._long_flow(service_port).run())
        for _ in range(OPERATORS):
            self._spawn(self._operators.run(CHANGE_SECONDS))
        prober = Prober(
            self._callers,
            self._operators,
            self._shape.entries,
            self._is_calm,
            self._hosts.run_number,
            self._check,
            self._now,
            self._seed(),
        )
        self._spawn(prober.run())
        self._spawn(self._watch())
        strikes = []
        for fault in self._plan:
            await asyncio.sleep(max(0.0, fault.at - self._now()))
            strikes.append(self._spawn(self._injector.carry_out(fault)))
        await asyncio.gather(*strikes)

    def _long_flow(self, service_port: int) -> LongFlow:
        return LongFlow(
            self._callers,
            self._routers,
            service_port,
            self._is_open_at,
            self._check,
            self._results,
            self._now,
            self._seed(),
        )

    def _is_open_at(self, port: int, service_port: int) -> bool:
        flow = (self._callers.address, port, service_port)
        return self._targets.holder_of(flow) is not None

    async def _watch(self) -> None:
        """Look for processes that ended by themselves, and start them again."""
        while True:
            for name, code in self._hosts.ended():
                self._check(Promise.RUNNING, False, f"{name} ended by itself with {code}")
                self._hosts.start(name)
            await asyncio.sleep(WATCH_SECONDS)

    async def _judge_recovery(self) -> None:
        """After the last fault all hosts take flows, and configurations are taken and read."""
        await asyncio.sleep(RECOVERY_SECONDS)
        self._check(Promise.RUNNING, True, "")
        since = self._now()
        await asyncio.sleep(LAST_SECONDS)
        share = self._results.share(since)
        self._check(Promise.RECOVERS, share >= LEAST_SERVED, f"{share:.3f} of requests answered")
        missing = sorted(set(self._shape.entries) - set(self._routers.ready))
        self._check(Promise.RECOVERS, not missing, f"not ready: {', '.join(missing)}")
        accepted = await self._operators.submit()
        self._check(Promise.RECOVERS, accepted, "no configuration is taken")
        was_read = [await self._operators.read() for _ in range(3)]
        self._check(Promise.RECOVERS, any(was_read), "no configuration is read back")


async def run_soak(seed: int, seconds: float, entries: int, keep: Path | None = None) -> Outcome:
    """Run one soak and return what it found.

    :param seconds: for how long faults begin.
    :param entries: number of entry hosts.
    :param keep: where logs of soaks with findings are kept, or ``None``.
    """
    with contextlib.ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="soak-")))
        soak = Soak(seed, seconds, Shape.of(entries), folder)
        await soak.run()
        findings, kept = soak.ledger.findings, ""
        if findings and keep is not None:
            kept = _keep_logs(folder, keep / f"seed-{seed}")
        return Outcome(seed, soak.ledger.lines(), findings, kept)


def _keep_logs(folder: Path, to: Path) -> str:
    to.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        (to / log.name).write_bytes(log.read_bytes())
    return str(to)
