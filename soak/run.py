"""Runs one soak: starts the system, applies load, injects faults and checks the guarantees."""

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

from .callers import CallerSocket, FlowCaller, RequestResults, Routers
from .evacuations import ZoneOperator
from .guarantees import Finding, Guarantee, GuaranteeTracker
from .hosts import HostProcesses
from .http_client import HttpClient
from .injector import Injector, TargetInjector
from .operators import BASE_ROUTES, Operators
from .plan import MAX_RECOVERY_SECONDS, DisturbanceTracker
from .probes import RouteProber
from .profiles import Profile
from .proxies import CallProxy, DatagramProxy
from .targets import TargetEnvironment, Targets

START_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.2
TARGETS_OCTET = 240
CALLERS_OCTET = 250
"""Last octets of addresses in the claimed network; hosts use lower ones."""

OPERATOR_COUNT = 2
MEAN_OPERATION_GAP_SECONDS = 0.4
RECOVERY_MEASURE_SECONDS = 3.0
"""How long requests are counted after ``MAX_RECOVERY_SECONDS`` have passed."""

MIN_ANSWERED_SHARE = 0.9
"""Required share of answered requests after the recovery; targets may still change then."""


class Outcome(NamedTuple):
    """Result of a soak.

    :param lines: the report: a line per guarantee and samples of the findings.
    :param log_folder: holds the logs of the processes and all findings if a guarantee was broken;
        else empty.
    """

    seed: int
    lines: list[str]
    findings: list[Finding]
    log_folder: str


class Soak:
    """Assembles and runs one soak; use :func:`run_soak`."""

    def __init__(self, seed: int, seconds: float, profile: Profile, folder: Path) -> None:
        self._random = random.Random(seed)
        self._seconds = seconds
        self._profile = profile
        self._topology = topology = profile.topology
        self._plan = profile.make_plan(seed, seconds, topology)
        self._tracker = GuaranteeTracker()
        self._disturbances = DisturbanceTracker()
        self._started_at = 0.0
        self._hosts = HostProcesses(topology, folder, profile.has_proxies)
        self._partitioned_zones: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._host_names = {
            addresses.bound: name for name, addresses in self._hosts.addresses.items()
        }
        self._results = RequestResults()
        self._call_proxies: dict[str, CallProxy] = {}

    @property
    def tracker(self) -> GuaranteeTracker:
        """The checks so far."""
        return self._tracker

    async def run(self) -> None:
        """Run the soak, and end every process that it started."""
        loop = asyncio.get_running_loop()
        self._started_at = loop.time()
        # The tasks end before the client is closed, so that none of them uses a closed one.
        async with HttpClient() as http_client:
            try:
                await self._create_components(http_client)
                await self._start()
                self._started_at = loop.time()
                await self._run_load_and_faults()
                await self._check_recovery()
            finally:
                for task in self._tasks:
                    task.cancel()
                self._target_injector.close()
                for proxy in self._call_proxies.values():
                    proxy.close()
                self._hosts.close()

    def _now(self) -> float:
        return asyncio.get_running_loop().time() - self._started_at

    def _check(self, guarantee: Guarantee, holds: bool, detail: str) -> bool:
        return self._tracker.check(guarantee, holds, self._now(), detail)

    def _next_seed(self) -> int:
        return self._random.getrandbits(32)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        return task

    async def _create_components(self, http_client: HttpClient) -> None:
        """Create the proxies, the callers, operators and targets, and the fault injector."""
        hosts, topology = self._hosts, self._topology
        datagram_proxy = DatagramProxy(
            {
                name: addresses.message_addresses
                for name, addresses in hosts.addresses.items()
                if self._profile.has_proxies
            },
            self._next_seed(),
        )
        if self._profile.has_proxies:
            self._call_proxies = {name: self._make_call_proxy(name) for name in topology.controls}
        for proxy in self._call_proxies.values():
            await proxy.start()
        self._create_callers(http_client)
        controls: list[Address] = [
            (hosts.addresses[name].public, CALL_PORT) for name in topology.controls
        ]
        self._operators = Operators(
            http_client, controls, self._check, self._now, self._next_seed()
        )
        self._zone_operator = ZoneOperator(
            http_client, controls, self._check, self._now, self._next_seed()
        )
        self._create_targets(http_client, controls)
        self._injector = Injector(
            topology,
            hosts,
            datagram_proxy,
            self._call_proxies,
            self._target_injector,
            self._zone_operator,
            self._disturbances,
            self._partitioned_zones,
            self._check,
            self._now,
        )

    def _make_call_proxy(self, control: str) -> CallProxy:
        public, bound = self._hosts.addresses[control]
        return CallProxy((public, CALL_PORT), (bound, CALL_PORT))

    def _create_callers(self, http_client: HttpClient) -> None:
        addresses = {name: self._hosts.addresses[name].bound for name in self._topology.entries}
        packets = {name: (address, PACKET_PORT) for name, address in addresses.items()}
        readiness = {name: (address, READY_PORT) for name, address in addresses.items()}
        self._caller_socket = CallerSocket(
            self._callers_address, packets, self._check, self._next_seed()
        )
        self._routers = Routers(http_client, readiness, self._profile.probe_interval_seconds)

    @property
    def _callers_address(self) -> Address:
        return f"{self._hosts.network}.{CALLERS_OCTET}", PACKET_PORT

    def _create_targets(self, http_client: HttpClient, controls: list[Address]) -> None:
        environment = TargetEnvironment(
            http_client,
            controls,
            self._callers_address,
            self._check,
            self._is_partitioned,
            lambda sender, since: self._is_undisturbed(self._host_names[sender], since),
            self._operators.allowed_services,
            lambda: self._zone_operator.evacuated_zones,
            self._is_in_contact,
            self._now,
        )
        self._targets = Targets(environment)
        host = f"{self._hosts.network}.{TARGETS_OCTET}"
        self._target_injector = TargetInjector(
            host, self._targets, environment, self._topology.zones, self._next_seed()
        )

    def _is_partitioned(self, sender: str, zone: str) -> bool:
        """Whether the host of a sender's address can't reach a zone: either zone is partitioned."""
        own_zone = self._topology.zone_of(self._host_names[sender])
        return own_zone != zone and (
            own_zone in self._partitioned_zones or zone in self._partitioned_zones
        )

    def _is_undisturbed(self, host: str, since: float) -> bool:
        return self._disturbances.is_undisturbed((host, *self._topology.controls), since)

    def _is_in_contact(self, sender: str) -> bool:
        """Whether a majority of the control hosts and the host of an address are undisturbed."""
        now, controls = self._now(), self._topology.controls
        reachable = [each for each in controls if self._disturbances.is_undisturbed((each,), now)]
        host = self._host_names[sender]
        is_majority = 2 * len(reachable) > len(controls)
        return is_majority and self._disturbances.is_undisturbed((host,), now)

    async def _start(self) -> None:
        for host in (*self._topology.controls, *self._topology.entries):
            self._hosts.start(host, is_bootstrap=True)
        for host in self._topology.entries:
            self._spawn(self._routers.probe(host))
        if not await self._operators.submit():
            raise RuntimeError("the first configuration was not accepted in time")
        zones = self._topology.zones
        for index in range(self._profile.target_count):
            self._target_injector.start("ab"[index % 2], zones[index // 2 % len(zones)])
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while len(self._routers.ready_hosts) < len(self._topology.entries):
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _run_load_and_faults(self) -> None:
        for service_port in BASE_ROUTES:
            for _ in range(self._profile.flow_count):
                self._spawn(self._make_flow_caller(service_port).run())
        for _ in range(OPERATOR_COUNT):
            self._spawn(self._operators.run(MEAN_OPERATION_GAP_SECONDS))
        route_prober = RouteProber(
            self._caller_socket,
            self._operators,
            self._topology.entries,
            self._is_undisturbed,
            self._hosts.incarnation_of,
            self._check,
            self._now,
            self._next_seed(),
        )
        self._spawn(route_prober.run())
        self._spawn(self._restart_exited())
        fault_tasks = []
        for fault in self._plan:
            await asyncio.sleep(max(0.0, fault.starts_at - self._now()))
            fault_tasks.append(self._spawn(self._injector.inject(fault)))
        await asyncio.gather(*fault_tasks)

    def _make_flow_caller(self, service_port: int) -> FlowCaller:
        return FlowCaller(
            self._caller_socket,
            self._routers,
            service_port,
            self._has_open_flow,
            self._check,
            self._results,
            self._now,
            self._next_seed(),
        )

    def _has_open_flow(self, port: int, service_port: int) -> bool:
        flow = (self._caller_socket.address, port, service_port)
        return self._targets.target_with_flow(flow) is not None

    async def _restart_exited(self) -> None:
        """Report hosts whose process exited unexpectedly, and start them again."""
        while True:
            for name, code in self._hosts.reap_exited():
                self._check(
                    Guarantee.NO_UNEXPECTED_EXIT,
                    False,
                    f"{name} exited unexpectedly with code {code}",
                )
                self._hosts.start(name)
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _check_recovery(self) -> None:
        """Check that the system has recovered ``MAX_RECOVERY_SECONDS`` after the last fault.

        Requests are answered, all entry hosts are ready, and a configuration can be submitted and
        read.
        """
        await asyncio.sleep(MAX_RECOVERY_SECONDS)
        self._check(Guarantee.NO_UNEXPECTED_EXIT, True, "")
        since = self._now()
        await asyncio.sleep(RECOVERY_MEASURE_SECONDS)
        answered_share = self._results.answered_share(since)
        self._check(
            Guarantee.RECOVERY,
            answered_share >= MIN_ANSWERED_SHARE,
            f"{answered_share:.3f} of requests answered",
        )
        missing = sorted(set(self._topology.entries) - set(self._routers.ready_hosts))
        self._check(Guarantee.RECOVERY, not missing, f"not ready: {', '.join(missing)}")
        accepted = await self._operators.submit()
        self._check(Guarantee.RECOVERY, accepted, "a new configuration was not accepted")
        was_read = [await self._operators.read() for _ in range(3)]
        self._check(Guarantee.RECOVERY, any(was_read), "the configuration could not be read")


async def run_soak(
    seed: int, seconds: float, profile: Profile, keep: Path | None = None
) -> Outcome:
    """Run one soak and return its result.

    :param seconds: how long new faults are started.
    :param profile: the size of the deployment and its plan.
    :param keep: folder for the logs if a guarantee was broken; ``None`` discards them.
    """
    with contextlib.ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="soak-")))
        soak = Soak(seed, seconds, profile, folder)
        await soak.run()
        findings, log_folder = soak.tracker.findings, ""
        if findings and keep is not None:
            log_folder = _copy_logs(folder, keep / f"seed-{seed}")
            lines = [f"{at:.2f} s, {guarantee}: {detail}\n" for at, guarantee, detail in findings]
            Path(log_folder, "findings.txt").write_text("".join(lines))
        return Outcome(seed, soak.tracker.report_lines(), findings, log_folder)


def _copy_logs(folder: Path, to: Path) -> str:
    to.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        (to / log.name).write_bytes(log.read_bytes())
    return str(to)
