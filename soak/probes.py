"""Probes that find out which configuration is in force on each entry host, by its markers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from .callers import CallerSocket, SynResult
from .guarantees import Guarantee
from .operators import FIRST_MARKER_PORT, Operators

MAX_APPLY_SECONDS = 3.0
"""Maximum time from the acknowledgement of a configuration until entry hosts have it in force."""

ROLLBACK_TOLERANCE_SECONDS = 0.25
"""A probe shows a rollback only if it starts this long after the newer version was seen."""

BASE_PORT = 8080
PROBE_INTERVAL_SECONDS = 0.15
RECENT_VERSION_COUNT = 6


class RouteProber:
    """Sends SYNs to routes through given entry hosts.

    :param is_undisturbed: returns whether time bounds hold for a host since a time.
    :param incarnation_of: returns the current incarnation of a host.
    """

    def __init__(
        self,
        caller_socket: CallerSocket,
        operators: Operators,
        entries: tuple[str, ...],
        is_undisturbed: Callable[[str, float], bool],
        incarnation_of: Callable[[str], int],
        check: Callable[[Guarantee, bool, str], bool],
        now: Callable[[], float],
        seed: int,
    ) -> None:
        self._caller_socket = caller_socket
        self._operators = operators
        self._entries = entries
        self._is_undisturbed = is_undisturbed
        self._incarnation_of = incarnation_of
        self._check = check
        self._now = now
        self._random = random.Random(seed)
        self._newest_seen: dict[tuple[str, int], tuple[int, float]] = {}

    async def run(self) -> None:
        """Probe markers of recent versions through random entry hosts until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            host = self._random.choice(self._entries)
            acknowledged = sorted(self._operators.acknowledged)[-RECENT_VERSION_COUNT:]
            if acknowledged:
                await self._probe(host, self._random.choice(acknowledged))

    async def _probe(self, host: str, version: int) -> None:
        """Probe a marker's route through a host, and a route that every configuration contains.

        The result for the marker is used only if the other route answers.
        """
        started_at, incarnation = self._now(), self._incarnation_of(host)
        port = FIRST_MARKER_PORT + version
        marker, base = await asyncio.gather(
            self.send_syn(host, port), self.send_syn(host, BASE_PORT)
        )
        if self._incarnation_of(host) != incarnation or base.syn_ack is None:
            return
        detail = f"version {version} through {host} at {started_at:.2f} s"
        if marker.syn_ack is not None:
            self._record_seen(host, incarnation, version)
            self._check_removed_route(host, version, started_at, detail)
        elif marker.was_reset and self._operators.is_marker_in_all_since(version):
            is_overdue = started_at - self._operators.acknowledged[version] > MAX_APPLY_SECONDS
            if is_overdue and self._is_undisturbed(host, started_at):
                self._check(Guarantee.IN_FORCE_IN_TIME, False, f"{detail}: no route for its marker")
            newest_seen, at = self._newest_seen.get((host, incarnation), (0, started_at))
            is_rollback = newest_seen >= version and started_at - at > ROLLBACK_TOLERANCE_SECONDS
            self._check(
                Guarantee.NO_ROLLBACK,
                not is_rollback,
                f"{detail}: version {newest_seen} was in force before",
            )

    def _record_seen(self, host: str, incarnation: int, version: int) -> None:
        newest_seen, _ = self._newest_seen.get((host, incarnation), (0, 0.0))
        if version >= newest_seen:
            self._newest_seen[host, incarnation] = (version, self._now())

    def _check_removed_route(self, host: str, marker: int, started_at: float, detail: str) -> None:
        if not self._is_undisturbed(host, started_at):
            return
        for version, at in self._operators.acknowledged.items():
            if version > marker and started_at - at > MAX_APPLY_SECONDS:
                is_removed = self._operators.is_marker_absent_since(marker, version)
                self._check(
                    Guarantee.IN_FORCE_IN_TIME,
                    not is_removed,
                    f"{detail}: version {version} removed its marker",
                )

    async def send_syn(self, host: str, service_port: int) -> SynResult:
        """Send a SYN to a port through one host and return the outcome, without using the flow."""
        port, queue = self._caller_socket.allocate_port()
        try:
            return await self._caller_socket.open_flow(port, queue, service_port, lambda: host)
        finally:
            self._caller_socket.release_port(port)
