"""The sizes of deployment that a soak can run, each with its plan of faults."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from .plan import (
    MEAN_EXTRA_GAP_SECONDS,
    MIN_GAP_SECONDS,
    Fault,
    FaultKind,
    Topology,
    make_orders,
    make_plan,
)

MIN_RESTART_GAP_SECONDS = 6.0
"""Minimum time between two restarts of several hosts, so that these become ready in between."""

_GROWN_KINDS = (
    FaultKind.TARGET_DRAIN,
    FaultKind.TARGET_DRAIN,
    FaultKind.TARGET_DRAIN,
    FaultKind.TARGET_SAME_NAME,
    FaultKind.LEADER_KILL,
    FaultKind.CONTROLS_RESTART,
    FaultKind.ENTRIES_RESTART,
)


class Profile(NamedTuple):
    """The size of a soak's deployment and its plan.

    :param target_count: number of targets of both services.
    :param flow_count: number of flows that callers keep open to each service.
    :param has_proxies: whether proxies forward the messages of hosts and the calls to them; without
        faults of links, one process for all of these messages would only slow a larger deployment.
    :param probe_interval_seconds: how often routers probe the readiness of each entry host.
    :param make_plan: returns the faults for a seed and a duration in seconds.
    """

    control_count: int
    entry_count: int
    target_count: int
    flow_count: int
    make_plan: Callable[[int, float, Topology], list[Fault]]
    has_proxies: bool = True
    probe_interval_seconds: float = 0.5

    @property
    def topology(self) -> Topology:
        """The hosts of this profile across three zones."""
        return Topology.with_hosts(self.control_count, self.entry_count)


def make_grown_plan(seed: int, seconds: float, topology: Topology) -> list[Fault]:
    """Return the faults of a larger deployment in the order of their start.

    Leaders are killed, control hosts restarted in series, entry hosts of one zone restarted
    together, and targets leave. The orders of operators come in between.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    starts_at, next_restart_at = 1.0, 0.0
    while starts_at < seconds:
        kind = rng.choice(_GROWN_KINDS)
        if kind in (FaultKind.CONTROLS_RESTART, FaultKind.ENTRIES_RESTART):
            if starts_at < next_restart_at:
                kind = FaultKind.TARGET_DRAIN
            else:
                next_restart_at = starts_at + MIN_RESTART_GAP_SECONDS
        subject = rng.choice(topology.zones) if kind is FaultKind.ENTRIES_RESTART else ""
        faults.append(Fault(starts_at, kind, subject, "", rng.uniform(0.5, 3.0)))
        starts_at += MIN_GAP_SECONDS + rng.expovariate(1 / MEAN_EXTRA_GAP_SECONDS)
    return sorted(faults + make_orders(seed, seconds, topology))


PROFILES = {
    "default": Profile(3, 4, 12, 8, make_plan),
    "grown": Profile(6, 58, 75, 24, make_grown_plan, has_proxies=False, probe_interval_seconds=1.0),
}
