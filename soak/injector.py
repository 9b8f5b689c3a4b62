"""Injects the faults of a plan."""

from __future__ import annotations

import asyncio
import functools
import itertools
import random
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any

from standins.wire import Address

from .evacuations import ZoneOperator
from .guarantees import Guarantee
from .hosts import HostProcesses
from .plan import CATCH_UP_SECONDS, DisturbanceTracker, Fault, FaultKind, Topology
from .proxies import CallProxy, DatagramProxy, Impairment
from .targets import Lifetime, Target, TargetEnvironment, Targets

PARTITION = Impairment(loss=1.0)
LOSSY = Impairment(loss=0.3)
DELAYED = Impairment(delay_seconds=0.15)
MAX_SHORT_DOWNTIME_SECONDS = 1.5
"""Maximum downtime of a host in a graceful restart, and of all hosts killed at once."""

DRAINING_DURATION_SECONDS = 3.5
"""How long a draining target keeps serving before it ends."""

ADDRESS_REUSE_DELAY_SECONDS = 2.0
"""How long the address of a crashed target stays unused before another target takes it."""

SAME_NAME_RESTART_DELAY_SECONDS = 0.5
"""How soon a crashed target restarts under the same identifier and address."""

HANDLER_POLL_INTERVAL_SECONDS = 0.005
START_RELOAD_DELAYS_SECONDS = (0.0, 0.02, 0.05, 0.1)
"""Pauses before the signals to reload that a starting host gets one after the other."""

CONTROL_DOWNTIME_SECONDS = 0.5
"""Downtime of each control host that is restarted in series."""

FIRST_TARGET_PORT = 29_000


class TargetInjector:
    """Starts, drains and crashes targets.

    :param host: IP address of all targets.
    """

    def __init__(
        self,
        host: str,
        targets: Targets,
        environment: TargetEnvironment,
        zones: tuple[str, ...],
        seed: int,
    ) -> None:
        self._host = host
        self._targets = targets
        self._environment = environment
        self._zones = zones
        self._random = random.Random(seed)
        self._numbers = itertools.count(0x1000)
        self._start_times = itertools.count(1_700_000_000_000, 1000)
        self._ports = itertools.count(FIRST_TARGET_PORT)
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, service: str, zone: str = "") -> None:
        """Start a target at a new address."""
        address = (self._host, next(self._ports))
        self._add_target(
            next(self._numbers), service, zone or self._random.choice(self._zones), address
        )

    async def inject(self, kind: FaultKind) -> None:
        """Drain or crash a random target that accepts new flows, and replace it.

        A crash under the same name restarts it at its address; otherwise a target of the same
        service at a new address replaces it. With address reuse, a target of the other service
        then takes the old address.
        """
        candidates = [each for each in self._targets.alive_targets if not each.is_draining]
        target = self._random.choice(candidates)
        lifetime = target.lifetime
        if kind is FaultKind.TARGET_SAME_NAME:
            target.is_alive = False
            await asyncio.sleep(SAME_NAME_RESTART_DELAY_SECONDS)
            self._add_target(lifetime.number, lifetime.service, lifetime.zone, target.address)
            return
        if kind is FaultKind.TARGET_COLD:
            await target.check_in_cold(is_evacuated=False)
            return
        self.start(lifetime.service, lifetime.zone)
        if kind is FaultKind.TARGET_DRAIN:
            await target.drain()
            await asyncio.sleep(DRAINING_DURATION_SECONDS)
            target.record_drain_held()
            await target.deregister()
            return
        target.is_alive = False
        if kind is FaultKind.TARGET_REUSE:
            await asyncio.sleep(ADDRESS_REUSE_DELAY_SECONDS)
            other_service = "b" if lifetime.service == "a" else "a"
            self._add_target(next(self._numbers), other_service, lifetime.zone, target.address)

    def make_zone_cold(self, zone: str) -> None:
        """Let all targets of a zone become cold again under their identifiers."""
        for target in self._targets.alive_targets:
            if target.lifetime.zone == zone:
                self._spawn(target.check_in_cold(is_evacuated=True))

    def close(self) -> None:
        """Cancel the tasks of all targets."""
        for task in self._tasks:
            task.cancel()

    def _add_target(self, number: int, service: str, zone: str, address: Address) -> None:
        lifetime = Lifetime(number, next(self._start_times), service, zone)
        target = Target(lifetime, address, self._environment, self._random.getrandbits(32))
        self._targets.add(target)
        self._spawn(target.run())

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class Injector:
    """Injects faults into hosts, links and targets.

    :param partitioned_zones: zones that are partitioned from all others; updated here.
    """

    def __init__(
        self,
        topology: Topology,
        hosts: HostProcesses,
        datagram_proxy: DatagramProxy,
        call_proxies: dict[str, CallProxy],
        target_injector: TargetInjector,
        zone_operator: ZoneOperator,
        disturbances: DisturbanceTracker,
        partitioned_zones: list[str],
        check: Callable[[Guarantee, bool, str], bool],
        now: Callable[[], float],
    ) -> None:
        self._topology = topology
        self._hosts = hosts
        self._datagram_proxy = datagram_proxy
        self._call_proxies = call_proxies
        self._target_injector = target_injector
        self._zone_operator = zone_operator
        self._disturbances = disturbances
        self._partitioned_zones = partitioned_zones
        self._check = check
        self._now = now
        self._evacuation_count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._handlers: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.PAUSE: self._pause,
            FaultKind.KILL: self._kill,
            FaultKind.STOP: self._stop,
            FaultKind.RELOAD: self._reload,
            FaultKind.WIPE: self._wipe,
            FaultKind.HERD_KILL: self._kill_all_hosts,
            FaultKind.DISK_FULL: self._fill_disk,
            FaultKind.CUT: lambda fault: self._impair(fault, PARTITION, is_two_way=True),
            FaultKind.CUT_ONE_WAY: lambda fault: self._impair(fault, PARTITION, is_two_way=False),
            FaultKind.ZONE_CUT: self._partition_zone,
            FaultKind.DELAY: lambda fault: self._impair(fault, DELAYED, is_two_way=True),
            FaultKind.LOSS: lambda fault: self._impair(fault, LOSSY, is_two_way=True),
            FaultKind.CALLS_RESET: self._reset_calls,
            FaultKind.CALLS_SILENT: self._silence_calls,
            FaultKind.ANSWERS_LOST: self._drop_responses,
            FaultKind.ZONE_EVACUATION: self._evacuate_zone,
            FaultKind.LEADER_KILL: self._kill_leader,
            FaultKind.CONTROLS_RESTART: self._restart_controls,
            FaultKind.ENTRIES_RESTART: self._restart_entries,
        }

    async def inject(self, fault: Fault) -> None:
        """Inject a fault and wait until it ends."""
        handler = self._handlers.get(fault.kind)
        if handler is None:
            await self._target_injector.inject(fault.kind)
        else:
            await handler(fault)

    def _record_disturbance(self, hosts: Iterable[str], seconds: float) -> None:
        for host in hosts:
            self._disturbances.record_disturbance(host, self._now(), seconds)

    async def _pause(self, fault: Fault) -> None:
        self._record_disturbance([fault.subject], fault.duration_seconds)
        incarnation = self._hosts.pause(fault.subject)
        await asyncio.sleep(fault.duration_seconds)
        self._hosts.resume(fault.subject, incarnation)

    async def _kill(self, fault: Fault) -> None:
        self._record_disturbance([fault.subject], fault.duration_seconds + CATCH_UP_SECONDS)
        self._kill_mid_write(fault.subject)
        await asyncio.sleep(fault.duration_seconds)
        self._restart(fault.subject)

    async def _stop(self, fault: Fault) -> None:
        subject = fault.subject
        was_undisturbed = self._hosts.is_responsive(subject) and self._disturbances.is_undisturbed(
            (subject,), self._now()
        )
        self._disturbances.record_stop(subject, self._now())
        code = await self._hosts.stop(subject)
        ended = self._now()
        await asyncio.sleep(min(fault.duration_seconds, MAX_SHORT_DOWNTIME_SECONDS))
        self._restart(subject)
        had_no_other_fault = self._disturbances.record_restart(
            subject, ended, CATCH_UP_SECONDS + MAX_SHORT_DOWNTIME_SECONDS
        )
        if was_undisturbed and had_no_other_fault:
            self._check(
                Guarantee.GRACEFUL_SHUTDOWN, code == 0, f"{subject} exited with code {code}"
            )

    async def _reload(self, fault: Fault) -> None:
        self._hosts.reload(fault.subject)

    async def _wipe(self, fault: Fault) -> None:
        self._record_disturbance([fault.subject], fault.duration_seconds + CATCH_UP_SECONDS)
        self._hosts.kill(fault.subject)
        self._hosts.delete_data(fault.subject)
        await asyncio.sleep(fault.duration_seconds)
        self._restart(fault.subject)

    async def _kill_all_hosts(self, fault: Fault) -> None:
        seconds = min(fault.duration_seconds, MAX_SHORT_DOWNTIME_SECONDS)
        all_hosts = (*self._topology.controls, *self._topology.entries)
        self._record_disturbance(all_hosts, seconds + CATCH_UP_SECONDS)
        for host in all_hosts:
            self._kill_mid_write(host)
        await asyncio.sleep(seconds)
        for host in all_hosts:
            self._restart(host)

    async def _evacuate_zone(self, fault: Fault) -> None:
        """Evacuate a zone; before every second restore, its targets become cold again."""
        self._evacuation_count += 1
        make_cold = functools.partial(self._target_injector.make_zone_cold, fault.subject)
        prepare_restore = make_cold if self._evacuation_count % 2 else None
        await self._zone_operator.evacuate(fault.subject, fault.duration_seconds, prepare_restore)

    async def _kill_leader(self, fault: Fault) -> None:
        await self._kill(fault._replace(subject=self._hosts.find_leader()))

    async def _restart_controls(self, fault: Fault) -> None:
        for host in self._topology.controls:
            await self._stop(
                fault._replace(subject=host, duration_seconds=CONTROL_DOWNTIME_SECONDS)
            )

    async def _restart_entries(self, fault: Fault) -> None:
        """Restart all entry hosts of a zone together."""
        hosts = [
            host for host in self._topology.entries if self._topology.zone_of(host) == fault.subject
        ]
        await asyncio.gather(*(self._stop(fault._replace(subject=host)) for host in hosts))

    async def _fill_disk(self, fault: Fault) -> None:
        self._record_disturbance([fault.subject], fault.duration_seconds)
        self._hosts.set_disk_full(fault.subject, True)
        await asyncio.sleep(fault.duration_seconds)
        self._hosts.set_disk_full(fault.subject, False)

    async def _impair(self, fault: Fault, impairment: Impairment, is_two_way: bool) -> None:
        pairs = [(fault.subject, fault.peer)]
        pairs += [(fault.peer, fault.subject)] if is_two_way else []
        await self._impair_pairs(pairs, impairment, fault.duration_seconds)

    async def _partition_zone(self, fault: Fault) -> None:
        all_hosts = (*self._topology.controls, *self._topology.entries)
        inside = [host for host in all_hosts if self._topology.zone_of(host) == fault.subject]
        outside = [host for host in all_hosts if host not in inside]
        pairs = list(itertools.product(inside, outside))
        self._partitioned_zones.append(fault.subject)
        await self._impair_pairs(
            pairs + [pair[::-1] for pair in pairs], PARTITION, fault.duration_seconds
        )
        self._partitioned_zones.remove(fault.subject)

    async def _impair_pairs(
        self, pairs: list[tuple[str, str]], impairment: Impairment, seconds: float
    ) -> None:
        self._record_disturbance({host for pair in pairs for host in pair}, seconds)
        for pair in pairs:
            self._datagram_proxy.add_impairment(*pair, impairment)
        await asyncio.sleep(seconds)
        for pair in pairs:
            self._datagram_proxy.remove_impairment(*pair, impairment)

    async def _reset_calls(self, fault: Fault) -> None:
        self._record_disturbance([fault.subject], 0.0)
        self._call_proxies[fault.subject].reset_connections()

    async def _silence_calls(self, fault: Fault) -> None:
        self._record_disturbance([fault.subject], fault.duration_seconds)
        self._call_proxies[fault.subject].is_unresponsive = True
        await asyncio.sleep(fault.duration_seconds)
        self._call_proxies[fault.subject].is_unresponsive = False

    async def _drop_responses(self, fault: Fault) -> None:
        self._record_disturbance([fault.subject], fault.duration_seconds)
        self._call_proxies[fault.subject].drops_responses = True
        await asyncio.sleep(fault.duration_seconds)
        self._call_proxies[fault.subject].drops_responses = False

    def _kill_mid_write(self, host: str) -> None:
        """Kill a host and leave a torn write on its disk; do nothing if it has no process."""
        if self._hosts.is_running(host):
            self._hosts.kill(host)
            self._hosts.append_torn_write(host)

    def _restart(self, host: str) -> None:
        """Start a host that has no process, and signal it while it starts."""
        if self._hosts.is_running(host):
            return
        self._hosts.start(host)
        task = asyncio.create_task(self._reload_while_starting(host))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _reload_while_starting(self, host: str) -> None:
        """Signal a host to reload again and again, once it has set its handler."""
        incarnation = self._hosts.incarnation_of(host)
        while not self._hosts.handles_reload(host):
            if not self._is_incarnation(host, incarnation):
                return
            await asyncio.sleep(HANDLER_POLL_INTERVAL_SECONDS)
        for delay in START_RELOAD_DELAYS_SECONDS:
            await asyncio.sleep(delay)
            if self._is_incarnation(host, incarnation):
                self._hosts.reload(host)

    def _is_incarnation(self, host: str, incarnation: int) -> bool:
        is_current = self._hosts.incarnation_of(host) == incarnation
        return is_current and self._hosts.is_running(host)
