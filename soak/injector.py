"""Carries out the faults of a plan."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable, Iterable

from standins.wire import Address

from .hosts import Hosts
from .links import CallProxy, HostLinks, Impairment
from .plan import CATCH_UP_SECONDS, Calm, Fault, FaultKind, Shape
from .promises import Promise
from .targets import Lifetime, Surroundings, Target, Targets

CUT = Impairment(loss=1.0)
LOSSY = Impairment(loss=0.3)
SLOW = Impairment(delay=0.15)
MOST_HERD_SECONDS = 1.5
LINGER_SECONDS = 3.5
"""How long a target serves on after its drain is confirmed."""

REUSE_SECONDS = 2.0
"""How long the address of a target that ended stays unused."""

SAME_NAME_SECONDS = 0.5
"""How soon a target that crashed starts again under its identifier."""

FIRST_TARGET_PORT = 29_000


class TargetChanges:
    """Starts, drains and crashes targets.

    :param host: address of all targets.
    """

    def __init__(
        self, host: str, targets: Targets, around: Surroundings, zones: tuple[str, ...], seed: int
    ) -> None:
        self._host = host
        self._targets = targets
        self._around = around
        self._zones = zones
        self._random = random.Random(seed)
        self._numbers = itertools.count(0x1000)
        self._born = itertools.count(1_700_000_000_000, 1000)
        self._ports = itertools.count(FIRST_TARGET_PORT)
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, service: str, zone: str = "") -> None:
        """Start a target at a new address."""
        address = (self._host, next(self._ports))
        self._put(next(self._numbers), service, zone or self._random.choice(self._zones), address)

    async def carry_out(self, kind: FaultKind) -> None:
        """Change one target that takes flows; another of its service replaces it."""
        candidates = [row for row in self._targets.living if not row.is_draining]
        target = self._random.choice(candidates)
        life = target.life
        if kind is FaultKind.TARGET_SAME_NAME:
            target.is_alive = False
            await asyncio.sleep(SAME_NAME_SECONDS)
            self._put(life.number, life.service, life.zone, target.address)
            return
        self.start(life.service, life.zone)
        if kind is FaultKind.TARGET_DRAIN:
            await target.drain()
            await asyncio.sleep(LINGER_SECONDS)
            target.judge_drained()
            await target.leave()
            return
        target.is_alive = False
        if kind is FaultKind.TARGET_REUSE:
            await asyncio.sleep(REUSE_SECONDS)
            other = "b" if life.service == "a" else "a"
            self._put(next(self._numbers), other, life.zone, target.address)

    def close(self) -> None:
        """End all targets."""
        for task in self._tasks:
            task.cancel()

    def _put(self, number: int, service: str, zone: str, address: Address) -> None:
        life = Lifetime(number, next(self._born), service, zone)
        target = Target(life, address, self._around, self._random.getrandbits(32))
        self._targets.put(target)
        task = asyncio.create_task(target.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class Injector:
    """Strikes hosts, links and targets.

    :param cuts: pairs of zones that can't reach each other now, kept up to date here.
    """

    def __init__(
        self,
        shape: Shape,
        hosts: Hosts,
        links: HostLinks,
        calls: dict[str, CallProxy],
        targets: TargetChanges,
        calm: Calm,
        cuts: list[str],
        check: Callable[[Promise, bool, str], bool],
        now: Callable[[], float],
    ) -> None:
        self._shape = shape
        self._hosts = hosts
        self._links = links
        self._calls = calls
        self._targets = targets
        self._calm = calm
        self._cuts = cuts
        self._check = check
        self._now = now
        self._ways: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.PAUSE: self._pause,
            FaultKind.KILL: self._kill,
            FaultKind.STOP: self._stop,
            FaultKind.RELOAD: self._reload,
            FaultKind.WIPE: self._wipe,
            FaultKind.HERD_KILL: self._herd_kill,
            FaultKind.DISK_FULL: self._disk_full,
            FaultKind.CUT: lambda fault: self._impair(fault, CUT, both=True),
            FaultKind.CUT_ONE_WAY: lambda fault: self._impair(fault, CUT, both=False),
            FaultKind.ZONE_CUT: self._zone_cut,
            FaultKind.DELAY: lambda fault: self._impair(fault, SLOW, both=True),
            FaultKind.LOSS: lambda fault: self._impair(fault, LOSSY, both=True),
            FaultKind.CALLS_RESET: self._calls_reset,
            FaultKind.CALLS_SILENT: self._calls_silent,
            FaultKind.ANSWERS_LOST: self._answers_lost,
        }

    async def carry_out(self, fault: Fault) -> None:
        """Carry out one fault and wait until it is over."""
        way = self._ways.get(fault.kind)
        if way is None:
            await self._targets.carry_out(fault.kind)
        else:
            await way(fault)

    def _disturb(self, hosts: Iterable[str], seconds: float) -> None:
        for host in hosts:
            self._calm.disturb(host, self._now(), seconds)

    async def _pause(self, fault: Fault) -> None:
        self._disturb([fault.victim], fault.for_seconds)
        run = self._hosts.pause(fault.victim)
        await asyncio.sleep(fault.for_seconds)
        self._hosts.resume(fault.victim, run)

    async def _kill(self, fault: Fault) -> None:
        self._disturb([fault.victim], fault.for_seconds + CATCH_UP_SECONDS)
        self._lose_power(fault.victim)
        await asyncio.sleep(fault.for_seconds)
        self._restart(fault.victim)

    async def _stop(self, fault: Fault) -> None:
        victim = fault.victim
        was_up = self._hosts.is_up(victim) and self._calm.is_calm((victim,), self._now())
        self._calm.stop(victim, self._now())
        code = await self._hosts.stop(victim)
        ended = self._now()
        await asyncio.sleep(min(fault.for_seconds, MOST_HERD_SECONDS))
        self._restart(victim)
        is_alone = self._calm.started(victim, ended, CATCH_UP_SECONDS + MOST_HERD_SECONDS)
        if was_up and is_alone:
            self._check(Promise.GRACEFUL, code == 0, f"{victim} ended with {code}")

    async def _reload(self, fault: Fault) -> None:
        self._hosts.reload(fault.victim)

    async def _wipe(self, fault: Fault) -> None:
        self._disturb([fault.victim], fault.for_seconds + CATCH_UP_SECONDS)
        self._hosts.kill(fault.victim)
        self._hosts.wipe(fault.victim)
        await asyncio.sleep(fault.for_seconds)
        self._restart(fault.victim)

    async def _herd_kill(self, fault: Fault) -> None:
        seconds = min(fault.for_seconds, MOST_HERD_SECONDS)
        everyone = (*self._shape.controls, *self._shape.entries)
        self._disturb(everyone, seconds + CATCH_UP_SECONDS)
        for host in everyone:
            self._lose_power(host)
        await asyncio.sleep(seconds)
        for host in everyone:
            self._restart(host)

    async def _disk_full(self, fault: Fault) -> None:
        self._disturb([fault.victim], fault.for_seconds)
        self._hosts.limit_disk(fault.victim, True)
        await asyncio.sleep(fault.for_seconds)
        self._hosts.limit_disk(fault.victim, False)

    async def _impair(self, fault: Fault, impairment: Impairment, both: bool) -> None:
        pairs = [(fault.victim, fault.other)]
        pairs += [(fault.other, fault.victim)] if both else []
        await self._impair_pairs(pairs, impairment, fault.for_seconds)

    async def _zone_cut(self, fault: Fault) -> None:
        everyone = (*self._shape.controls, *self._shape.entries)
        inside = [host for host in everyone if self._shape.zone(host) == fault.victim]
        outside = [host for host in everyone if host not in inside]
        pairs = list(itertools.product(inside, outside))
        self._cuts.append(fault.victim)
        await self._impair_pairs(pairs + [pair[::-1] for pair in pairs], CUT, fault.for_seconds)
        self._cuts.remove(fault.victim)

    async def _impair_pairs(
        self, pairs: list[tuple[str, str]], impairment: Impairment, seconds: float
    ) -> None:
        self._disturb({host for pair in pairs for host in pair}, seconds)
        for pair in pairs:
            self._links.impair(*pair, impairment)
        await asyncio.sleep(seconds)
        for pair in pairs:
            self._links.mend(*pair, impairment)

    async def _calls_reset(self, fault: Fault) -> None:
        self._disturb([fault.victim], 0.0)
        self._calls[fault.victim].reset()

    async def _calls_silent(self, fault: Fault) -> None:
        self._disturb([fault.victim], fault.for_seconds)
        self._calls[fault.victim].is_silent = True
        await asyncio.sleep(fault.for_seconds)
        self._calls[fault.victim].is_silent = False

    async def _answers_lost(self, fault: Fault) -> None:
        self._disturb([fault.victim], fault.for_seconds)
        self._calls[fault.victim].loses_answers = True
        await asyncio.sleep(fault.for_seconds)
        self._calls[fault.victim].loses_answers = False

    def _lose_power(self, host: str) -> None:
        """Kill a host in the middle of a write to its disk; one that does not run keeps it."""
        if self._hosts.has_started(host):
            self._hosts.kill(host)
            self._hosts.tear(host)

    def _restart(self, host: str) -> None:
        """Start a host again; one that another fault started already runs on."""
        if not self._hosts.has_started(host):
            self._hosts.start(host)
