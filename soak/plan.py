"""The schedule of one soak: which faults strike whom and when, from a seed alone."""

from __future__ import annotations

import enum
import random
from typing import NamedTuple

CONTACT_SECONDS = 4.0
"""How long a host has to run undisturbed before bounds in time hold for it."""

CATCH_UP_SECONDS = 4.0
"""How long a host that lost its disk still counts as lost after its return."""

RECOVERY_SECONDS = 12.0
"""How soon after the last fault everything serves again."""

LEAST_GAP_SECONDS = 0.2
MEAN_GAP_SECONDS = 1.2
STORM_SECONDS = 8.0
"""How long faults of all kinds follow each other."""

LULL_SECONDS = 14.0
"""How long only planned work goes on then: long enough for bounds in time to hold again."""

LONGEST_FAULT_SECONDS = 5.0


class FaultKind(enum.StrEnum):
    """What is done to a host, to a link or to targets."""

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


class Fault(NamedTuple):
    """One fault.

    :param at: seconds after the start of the load.
    :param victim: a host or a zone by name, or empty.
    :param other: the far end of a link, or empty.
    :param for_seconds: how long it lasts.
    """

    at: float
    kind: FaultKind
    victim: str
    other: str
    for_seconds: float

    @property
    def until(self) -> float:
        """When it is over."""
        return self.at + self.for_seconds


class Shape(NamedTuple):
    """The system that a soak runs; names stand for processes.

    :param zones: of controls and entries, in turn.
    """

    controls: tuple[str, ...]
    entries: tuple[str, ...]
    zones: tuple[str, ...]

    def zone(self, host: str) -> str:
        """Return the availability zone of a host."""
        row = self.controls if host in self.controls else self.entries
        return self.zones[row.index(host) % len(self.zones)]

    @classmethod
    def of(cls, entries: int) -> Shape:
        """Return three control hosts and some entry hosts over three zones."""
        return cls(
            ("c1", "c2", "c3"),
            tuple(f"e{number}" for number in range(1, entries + 1)),
            ("za", "zb", "zc"),
        )


_PLANNED_KINDS = (
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


def make_plan(seed: int, seconds: float, shape: Shape) -> list[Fault]:
    """Return the faults of a soak, by their time.

    They come in series and overlap; between the series there is planned work on entry hosts
    and targets alone, so that the bounds that hold for undisturbed hosts are checked as well.
    One disk at most is lost at a time, which is what three control hosts have to bear.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    at = 1.0
    disk_free = 0.0
    while at < seconds:
        is_storm = at % (STORM_SECONDS + LULL_SECONDS) < STORM_SECONDS
        fault = _draw(rng, at, shape) if is_storm else _draw_planned(rng, at, shape)
        if fault.kind is FaultKind.WIPE and at < disk_free:
            fault = fault._replace(kind=FaultKind.KILL)
        if fault.kind is FaultKind.WIPE:
            disk_free = fault.until + CATCH_UP_SECONDS + RECOVERY_SECONDS
        faults.append(fault)
        at += LEAST_GAP_SECONDS + rng.expovariate(1 / MEAN_GAP_SECONDS)
    return faults


def _draw(rng: random.Random, at: float, shape: Shape) -> Fault:
    kind = rng.choice(list(FaultKind))
    victim = rng.choice(_victims(kind, shape))
    others = [host for host in (*shape.controls, *shape.entries) if host != victim]
    other = rng.choice(others) if kind in _LINK_KINDS else ""
    return Fault(at, kind, victim, other, rng.uniform(0.3, LONGEST_FAULT_SECONDS))


def _draw_planned(rng: random.Random, at: float, shape: Shape) -> Fault:
    kind = rng.choice(_PLANNED_KINDS)
    victim = "" if kind in _TARGET_KINDS else rng.choice(shape.entries)
    return Fault(at, kind, victim, "", LEAST_GAP_SECONDS)


def _victims(kind: FaultKind, shape: Shape) -> tuple[str, ...]:
    if kind in _CONTROL_KINDS:
        return shape.controls
    if kind is FaultKind.ZONE_CUT:
        return shape.zones
    if kind in _TARGET_KINDS or kind is FaultKind.HERD_KILL:
        return ("",)
    return (*shape.controls, *shape.entries)


class Calm:
    """Tells through whom bounds in time hold at a moment; moments are the soak's own clock's."""

    def __init__(self) -> None:
        self._disturbed: dict[str, float] = {}
        self._stops: dict[str, float] = {}
        self._struck: dict[str, float] = {}

    def disturb(self, host: str, now: float, seconds: float) -> None:
        """Take in that a host is disturbed for a while."""
        self._struck[host] = now
        self._disturbed[host] = max(now + seconds, self._disturbed.get(host, now))

    def stop(self, host: str, now: float) -> None:
        """Take in that a host is told to stop; it is disturbed until it has started again."""
        self._stops[host] = now

    def started(self, host: str, now: float, seconds: float) -> bool:
        """End a stop; return whether nothing else struck the host meanwhile."""
        stopped = self._stops.pop(host, now)
        is_alone = self._struck.get(host, float("-inf")) < stopped
        self._disturbed[host] = max(now + seconds, self._disturbed.get(host, now))
        return is_alone

    def is_calm(self, hosts: tuple[str, ...], since: float) -> bool:
        """Return whether hosts were undisturbed from well before a moment until now."""
        return not any(
            host in self._stops
            or self._disturbed.get(host, float("-inf")) + CONTACT_SECONDS >= since
            for host in hosts
        )
