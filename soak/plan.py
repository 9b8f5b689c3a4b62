"""The schedule of faults of a soak, determined by its seed, and the hosts disturbed by them."""

from __future__ import annotations

import enum
import random
from typing import NamedTuple

SETTLE_SECONDS = 4.0
"""How long a host must run undisturbed before time bounds hold for it."""

CATCH_UP_SECONDS = 4.0
"""How long a host counts as disturbed after its restart from a kill, a wipe or a stop."""

MAX_RECOVERY_SECONDS = 12.0
"""Maximum time from the end of the last fault until the whole system serves again."""

MIN_GAP_SECONDS = 0.2
MEAN_EXTRA_GAP_SECONDS = 1.2
"""Mean of the random time that is added to ``MIN_GAP_SECONDS`` between two starts of faults."""

FAULT_PHASE_SECONDS = 8.0
"""Length of a phase with faults of all kinds."""

MAINTENANCE_PHASE_SECONDS = 14.0
"""Length of a phase with planned maintenance only; long enough for time bounds to hold again."""

MAX_FAULT_SECONDS = 5.0
EVACUATION_RANGE_SECONDS = (6.5, 9.0)
"""Duration of an evacuation; 5 s of it pass before its guarantee holds."""

MAX_ORDER_GAP_SECONDS = 2.5
"""Maximum time from one evacuation until the next."""


class FaultKind(enum.StrEnum):
    """Kind of a fault of a host, a link, a zone or targets."""

    PAUSE = "pause"
    KILL = "kill"
    STOP = "stop"
    RELOAD = "reload"
    WIPE = "wipe"
    HERD_KILL = "herd_kill"
    DISK_FULL = "disk_full"
    CUT = "cut"
    CUT_ONE_WAY = "cut_one_way"
    ZONE_CUT = "zone_cut"
    DELAY = "delay"
    LOSS = "loss"
    CALLS_RESET = "calls_reset"
    CALLS_SILENT = "calls_silent"
    ANSWERS_LOST = "answers_lost"
    TARGET_DRAIN = "target_drain"
    TARGET_CRASH = "target_crash"
    TARGET_SAME_NAME = "target_same_name"
    TARGET_REUSE = "target_reuse"
    ZONE_EVACUATION = "zone_evacuation"
    TARGET_COLD = "target_cold"
    LEADER_KILL = "leader_kill"
    CONTROLS_RESTART = "controls_restart"
    ENTRIES_RESTART = "entries_restart"


class Fault(NamedTuple):
    """A scheduled fault.

    :param starts_at: seconds after the start of the load.
    :param subject: name of the affected host or zone; empty for targets or all hosts.
    :param peer: name of the host at the other end of the link; empty unless a link is impaired.
    """

    starts_at: float
    kind: FaultKind
    subject: str
    peer: str
    duration_seconds: float

    @property
    def ends_at(self) -> float:
        """When the fault ends, in seconds after the start of the load."""
        return self.starts_at + self.duration_seconds


class Topology(NamedTuple):
    """Names of the control hosts, entry hosts and zones of a soak.

    :param zones: control hosts and entry hosts are each assigned to them round-robin.
    """

    controls: tuple[str, ...]
    entries: tuple[str, ...]
    zones: tuple[str, ...]

    def zone_of(self, host: str) -> str:
        """Return the availability zone of a host."""
        group = self.controls if host in self.controls else self.entries
        return self.zones[group.index(host) % len(self.zones)]

    @classmethod
    def with_entry_hosts(cls, entries: int) -> Topology:
        """Return three control hosts and a number of entry hosts across three zones."""
        return cls.with_hosts(3, entries)

    @classmethod
    def with_hosts(cls, controls: int, entries: int) -> Topology:
        """Return numbers of control hosts and entry hosts across three zones."""
        return cls(
            tuple(f"c{number}" for number in range(1, controls + 1)),
            tuple(f"e{number}" for number in range(1, entries + 1)),
            ("za", "zb", "zc"),
        )


ORDER_KINDS = frozenset({FaultKind.ZONE_EVACUATION, FaultKind.TARGET_COLD})
"""Kinds that are drawn by themselves, so that the faults of a seed stay as they were."""

GROWN_KINDS = frozenset(
    {FaultKind.LEADER_KILL, FaultKind.CONTROLS_RESTART, FaultKind.ENTRIES_RESTART}
)
"""Kinds of the profile of a larger deployment alone."""

_FAULT_KINDS = tuple(kind for kind in FaultKind if kind not in ORDER_KINDS | GROWN_KINDS)
_MAINTENANCE_KINDS = (
    FaultKind.TARGET_DRAIN,
    FaultKind.TARGET_DRAIN,
    FaultKind.TARGET_SAME_NAME,
    FaultKind.RELOAD,
    FaultKind.STOP,
)
_CONTROL_KINDS = frozenset(
    {
        FaultKind.WIPE,
        FaultKind.DISK_FULL,
        FaultKind.CALLS_RESET,
        FaultKind.CALLS_SILENT,
        FaultKind.ANSWERS_LOST,
    }
)
_LINK_KINDS = frozenset(
    {FaultKind.CUT, FaultKind.CUT_ONE_WAY, FaultKind.DELAY, FaultKind.LOSS},
)
_TARGET_KINDS = frozenset(
    {
        FaultKind.TARGET_DRAIN,
        FaultKind.TARGET_CRASH,
        FaultKind.TARGET_SAME_NAME,
        FaultKind.TARGET_REUSE,
    }
)


def make_plan(seed: int, seconds: float, topology: Topology) -> list[Fault]:
    """Return the faults of a soak in the order of their start.

    Phases of overlapping faults alternate with phases of planned maintenance of entry hosts and
    targets, in which the time bounds for undisturbed hosts are checked as well.
    At most one disk is lost at a time, because three control hosts tolerate the loss of one.
    After a wipe, the disk counts as lost until ``CATCH_UP_SECONDS + MAX_RECOVERY_SECONDS`` after
    the end of the fault; a wipe before that becomes a kill.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    starts_at = 1.0
    next_wipe_at = 0.0
    while starts_at < seconds:
        is_fault_phase = (
            starts_at % (FAULT_PHASE_SECONDS + MAINTENANCE_PHASE_SECONDS) < FAULT_PHASE_SECONDS
        )
        fault = (
            _random_fault(rng, starts_at, topology)
            if is_fault_phase
            else _random_maintenance(rng, starts_at, topology)
        )
        if fault.kind is FaultKind.WIPE and starts_at < next_wipe_at:
            fault = fault._replace(kind=FaultKind.KILL)
        if fault.kind is FaultKind.WIPE:
            next_wipe_at = fault.ends_at + CATCH_UP_SECONDS + MAX_RECOVERY_SECONDS
        faults.append(fault)
        starts_at += MIN_GAP_SECONDS + rng.expovariate(1 / MEAN_EXTRA_GAP_SECONDS)
    return sorted(faults + make_orders(seed, seconds, topology))


def make_orders(seed: int, seconds: float, topology: Topology) -> list[Fault]:
    """Return the evacuations of zones, one at a time, and the targets that become cold again."""
    rng = random.Random(f"{seed}/orders")
    orders: list[Fault] = []
    starts_at = rng.uniform(0.5, MAX_ORDER_GAP_SECONDS)
    while starts_at < seconds:
        duration = rng.uniform(*EVACUATION_RANGE_SECONDS)
        zone = rng.choice(topology.zones)
        orders.append(Fault(starts_at, FaultKind.ZONE_EVACUATION, zone, "", duration))
        cold_at = rng.uniform(starts_at, starts_at + duration)
        orders.append(Fault(cold_at, FaultKind.TARGET_COLD, "", "", 0.0))
        starts_at += duration + rng.uniform(0.5, MAX_ORDER_GAP_SECONDS)
    return [order for order in orders if order.ends_at < seconds]


def _random_fault(rng: random.Random, starts_at: float, topology: Topology) -> Fault:
    kind = rng.choice(_FAULT_KINDS)
    subject = rng.choice(_possible_subjects(kind, topology))
    peers = [host for host in (*topology.controls, *topology.entries) if host != subject]
    peer = rng.choice(peers) if kind in _LINK_KINDS else ""
    return Fault(starts_at, kind, subject, peer, rng.uniform(0.3, MAX_FAULT_SECONDS))


def _random_maintenance(rng: random.Random, starts_at: float, topology: Topology) -> Fault:
    kind = rng.choice(_MAINTENANCE_KINDS)
    subject = "" if kind in _TARGET_KINDS else rng.choice(topology.entries)
    return Fault(starts_at, kind, subject, "", MIN_GAP_SECONDS)


def _possible_subjects(kind: FaultKind, topology: Topology) -> tuple[str, ...]:
    if kind in _CONTROL_KINDS:
        return topology.controls
    if kind is FaultKind.ZONE_CUT:
        return topology.zones
    if kind in _TARGET_KINDS or kind is FaultKind.HERD_KILL:
        return ("",)
    return (*topology.controls, *topology.entries)


class DisturbanceTracker:
    """Tracks which hosts are disturbed; time bounds hold only for undisturbed ones.

    All times are seconds after the start of the load.
    """

    def __init__(self) -> None:
        self._disturbed_until: dict[str, float] = {}
        self._stopped_at: dict[str, float] = {}
        self._last_disturbed: dict[str, float] = {}

    def record_disturbance(self, host: str, now: float, seconds: float) -> None:
        """Record that a fault disturbs a host for some seconds."""
        self._last_disturbed[host] = now
        self._disturbed_until[host] = max(now + seconds, self._disturbed_until.get(host, now))

    def record_stop(self, host: str, now: float) -> None:
        """Record that a host was asked to stop; it is disturbed until its restart is recorded."""
        self._stopped_at[host] = now

    def record_restart(self, host: str, now: float, seconds: float) -> bool:
        """Record that a stopped host was restarted; return whether no fault disturbed it meanwhile.

        :param now: when the host's process ended.
        :param seconds: how long the host counts as disturbed from then on.
        """
        stopped = self._stopped_at.pop(host, now)
        had_no_fault = self._last_disturbed.get(host, float("-inf")) < stopped
        self._disturbed_until[host] = max(now + seconds, self._disturbed_until.get(host, now))
        return had_no_fault

    def is_undisturbed(self, hosts: tuple[str, ...], since: float) -> bool:
        """Return whether the hosts were undisturbed since ``SETTLE_SECONDS`` before a time."""
        return not any(
            host in self._stopped_at
            or self._disturbed_until.get(host, float("-inf")) + SETTLE_SECONDS >= since
            for host in hosts
        )
