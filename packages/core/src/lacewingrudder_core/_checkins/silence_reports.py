"""Reports of entry hosts that targets leave SYNs unanswered, and what counts as evidence.

Packets may be lost, and one host alone may be wrong: its callers or its part of the network may
have failed. So several hosts have to report a target, and then the hosts of its zone are asked
whether it answered any of their callers meanwhile.
"""

from __future__ import annotations

from typing import NamedTuple

from ..types import HostName
from .types import Lifetime, SilenceReport, TargetEntry

MIN_REPORTS = 3
"""Unanswered SYNs that count as evidence: two in a row are too often lost by the network."""

MIN_REPORTING_HOSTS = 2
"""Hosts that must report a target. One of them must be in its zone: hosts of another zone may be
cut off from all targets there."""

REPORT_VALIDITY_SECONDS = 1.0

QUERY_TIMEOUT_SECONDS = 0.02
"""How long hosts may take to say that a target answered; they are in the target's zone."""


class _Report(NamedTuple):
    """A report of one host about one target.

    :param at: time of the unanswered SYN.
    :param is_local: whether the host is in the target's zone.
    """

    host: HostName
    at: float
    is_local: bool


class SilenceReports:
    """Recent reports by target and host, and the targets that hosts are asked about."""

    def __init__(self) -> None:
        self._reports: dict[Lifetime, list[_Report]] = {}
        self._queried: set[Lifetime] = set()

    def record(
        self, host: HostName, report: SilenceReport, target: TargetEntry, now: float
    ) -> None:
        """Record the report of a host about a target, unless its time is outdated or impossible."""
        if not 0 <= report.unanswered_seconds <= REPORT_VALIDITY_SECONDS:
            return
        at, is_local = now - report.unanswered_seconds, report.zone == target.zone
        self._reports.setdefault(report.lifetime, []).append(_Report(host, at, is_local))

    def start_query(self, lifetime: Lifetime, heard_at: float, now: float) -> float | None:
        """Start to ask about a target if there are enough reports and it isn't asked about yet.

        :param heard_at: time of the target's last heartbeat; SYNs from before don't count.
        :return: the time since the last of the unanswered SYNs, or ``None``.
        """
        if lifetime in self._queried:
            return None
        since = max(heard_at, now - REPORT_VALIDITY_SECONDS)
        rows = [row for row in self._reports.get(lifetime, ()) if row.at > since]
        if len(rows) < MIN_REPORTS or len({row.host for row in rows}) < MIN_REPORTING_HOSTS:
            return None
        if not any(row.is_local for row in rows):
            return None
        self._queried.add(lifetime)
        return now - max(row.at for row in rows)

    def refute(self, lifetime: Lifetime) -> None:
        """Forget the reports about a target, since it answered."""
        self._reports.pop(lifetime, None)
        self._queried.discard(lifetime)

    def end_query(self, lifetime: Lifetime) -> bool:
        """End a query and forget the reports; return whether no host refuted them."""
        is_unrefuted = lifetime in self._queried
        self.refute(lifetime)
        return is_unrefuted

    def expire(self, now: float) -> None:
        """Forget the targets without recent reports."""
        self._reports = {
            lifetime: recent
            for lifetime, rows in self._reports.items()
            if (recent := [row for row in rows if now - row.at <= REPORT_VALIDITY_SECONDS])
        }
