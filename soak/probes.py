"""Probes of what each entry host has in force, by routes that only some configurations have."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from .callers import Callers, Opened
from .operators import MARKER_PORT, Operators
from .promises import Promise

APPLY_SECONDS = 3.0
"""How soon after its acknowledgement a configuration is in force."""

REGRESS_SECONDS = 0.25
"""From when on after a host showed a configuration it must not show an older one."""

PLAIN_PORT = 8080
GAP_SECONDS = 0.15
AGED_VERSIONS = 6


class Prober:
    """Sends SYNs to routes through chosen hosts.

    :param is_calm: whether bounds in time hold through a host since a moment.
    :param run_number: which start of a host runs.
    """

    def __init__(
        self,
        callers: Callers,
        operators: Operators,
        entries: tuple[str, ...],
        is_calm: Callable[[str, float], bool],
        run_number: Callable[[str], int],
        check: Callable[[Promise, bool, str], bool],
        now: Callable[[], float],
        seed: int,
    ) -> None:
        self._callers = callers
        self._operators = operators
        self._entries = entries
        self._is_calm = is_calm
        self._run_number = run_number
        self._check = check
        self._now = now
        self._random = random.Random(seed)
        self._shown: dict[tuple[str, int], tuple[int, float]] = {}

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(GAP_SECONDS)
            host = self._random.choice(self._entries)
            acknowledged = sorted(self._operators.acknowledged)[-AGED_VERSIONS:]
            if acknowledged:
                await self._probe(host, self._random.choice(acknowledged))

    async def _probe(self, host: str, version: int) -> None:
        """Compare a marker's route with a route that always is, through the same host."""
        began, run = self._now(), self._run_number(host)
        port = MARKER_PORT + version
        marker, plain = await asyncio.gather(self.syn(host, port), self.syn(host, PLAIN_PORT))
        if self._run_number(host) != run or plain.answer is None:
            return
        detail = f"version {version} through {host} at {began:.2f} s"
        if marker.answer is not None:
            self._show(host, run, version)
            self._judge_dropped(host, version, began, detail)
        elif marker.was_reset and self._operators.is_kept(version):
            in_time = began - self._operators.acknowledged[version] > APPLY_SECONDS
            if in_time and self._is_calm(host, began):
                self._check(Promise.IN_FORCE, False, f"{detail}: its route is missing")
            shown, at = self._shown.get((host, run), (0, began))
            regressed = shown >= version and began - at > REGRESS_SECONDS
            self._check(Promise.FORWARD, not regressed, f"{detail}: {shown} was shown before")

    def _show(self, host: str, run: int, version: int) -> None:
        shown, _ = self._shown.get((host, run), (0, 0.0))
        if version >= shown:
            self._shown[host, run] = (version, self._now())

    def _judge_dropped(self, host: str, marker: int, began: float, detail: str) -> None:
        if not self._is_calm(host, began):
            return
        for version, at in self._operators.acknowledged.items():
            if version > marker and began - at > APPLY_SECONDS:
                dropped = self._operators.is_dropped(marker, version)
                self._check(Promise.IN_FORCE, not dropped, f"{detail}: {version} dropped it")

    async def syn(self, host: str, service_port: int) -> Opened:
        """Open a flow through one host alone, and leave it."""
        port, queue = self._callers.begin()
        try:
            return await self._callers.open(port, queue, service_port, lambda: host)
        finally:
            self._callers.end(port)
