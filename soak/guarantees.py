"""The guarantees that a soak checks, and the record of these checks."""

from __future__ import annotations

import collections
import enum
from typing import NamedTuple

MAX_SAMPLE_COUNT = 5


class Guarantee(enum.StrEnum):
    """A guarantee of the system to its users; its value is printed."""

    PACKETS_UNCHANGED = "packets_arrive_as_they_were_sent"
    ROUTING = "flows_run_at_a_service_of_their_route"
    FLOW_AFFINITY = "open_flows_stay_at_their_target"
    NO_RESET = "open_flows_of_living_targets_are_not_reset"
    NO_FLOWS_AFTER_DRAIN = "drained_targets_get_no_new_flows"
    ZONE_EVACUATED = "evacuated_zones_get_no_new_flows"
    COLD_LIMIT = "cold_targets_get_few_new_flows"
    ORDERS_ACCEPTED = "orders_for_zones_are_never_refused"
    DURABLE = "acknowledged_configurations_are_read_back"
    READ_AS_SENT = "configurations_are_read_back_as_sent"
    IN_FORCE_IN_TIME = "configurations_are_in_force_in_time"
    NO_ROLLBACK = "no_host_goes_back_to_an_older_configuration"
    VALIDATION = "invalid_configurations_are_refused_and_valid_ones_never"
    NO_UNEXPECTED_EXIT = "processes_end_only_when_told"
    GRACEFUL_SHUTDOWN = "planned_stops_end_in_time_with_code_0"
    RECOVERY = "everything_is_served_again_after_the_last_fault"


class Finding(NamedTuple):
    """A broken guarantee.

    :param at: seconds after the start of the load.
    """

    at: float
    guarantee: Guarantee
    detail: str


class GuaranteeTracker:
    """Counts the checks of each guarantee and records the failed ones."""

    def __init__(self) -> None:
        self._checked: collections.Counter[Guarantee] = collections.Counter()
        self._findings: list[Finding] = []

    @property
    def findings(self) -> list[Finding]:
        """All failed checks."""
        return list(self._findings)

    def check(self, guarantee: Guarantee, holds: bool, at: float, detail: str) -> bool:
        """Record a check; return whether the guarantee held."""
        self._checked[guarantee] += 1
        if not holds:
            self._findings.append(Finding(at, guarantee, detail))
        return holds

    def report_lines(self) -> list[str]:
        """Return one line per guarantee, followed by up to ``MAX_SAMPLE_COUNT`` of its findings."""
        lines: list[str] = []
        for guarantee in Guarantee:
            guarantee_findings = [
                finding for finding in self._findings if finding.guarantee is guarantee
            ]
            lines.append(
                f"{guarantee}: checked {self._checked[guarantee]}, broken {len(guarantee_findings)}"
            )
            lines += [
                f"    at {finding.at:.2f} s: {finding.detail}"
                for finding in guarantee_findings[:MAX_SAMPLE_COUNT]
            ]
        return lines
