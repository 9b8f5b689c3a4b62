"""The promises that a soak checks, and what it saw of them."""

from __future__ import annotations

import collections
import enum
from typing import NamedTuple

SAMPLES_KEPT = 5


class Promise(enum.StrEnum):
    """What users were promised; the value is printed."""

    UNCHANGED = "packets_arrive_as_they_were_sent"
    ROUTED = "flows_run_at_a_service_of_their_route"
    STAYS = "open_flows_stay_at_their_target"
    NO_RESET = "open_flows_of_living_targets_are_not_reset"
    DRAINED = "drained_targets_get_no_new_flows"
    DURABLE = "acknowledged_configurations_are_read_back"
    EXACT = "configurations_are_read_back_as_sent"
    IN_FORCE = "configurations_are_in_force_in_time"
    FORWARD = "no_host_goes_back_to_an_older_configuration"
    VALID = "invalid_configurations_are_refused_and_valid_ones_never"
    RUNNING = "processes_end_only_when_told"
    GRACEFUL = "planned_stops_end_in_time_with_code_0"
    RECOVERS = "everything_is_served_again_after_the_last_fault"


class Finding(NamedTuple):
    """A broken promise.

    :param at: seconds after the start of the load.
    """

    at: float
    promise: Promise
    detail: str


class Ledger:
    """How often each promise was checked and broken."""

    def __init__(self) -> None:
        self._checked: collections.Counter[Promise] = collections.Counter()
        self._findings: list[Finding] = []

    @property
    def findings(self) -> list[Finding]:
        """All broken promises."""
        return list(self._findings)

    def check(self, promise: Promise, holds: bool, at: float, detail: str) -> bool:
        """Count a check; return whether the promise held."""
        self._checked[promise] += 1
        if not holds:
            self._findings.append(Finding(at, promise, detail))
        return holds

    def lines(self) -> list[str]:
        """Return one line a promise, and samples of what broke it."""
        lines: list[str] = []
        for promise in Promise:
            broken = [row for row in self._findings if row.promise is promise]
            lines.append(f"{promise}: checked {self._checked[promise]}, broken {len(broken)}")
            lines += [f"    at {row.at:.2f} s: {row.detail}" for row in broken[:SAMPLES_KEPT]]
        return lines
