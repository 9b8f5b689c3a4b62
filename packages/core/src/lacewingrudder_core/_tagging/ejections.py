"""Ejection of targets and zones that leave packets unanswered, as this host sees it."""

from __future__ import annotations

from collections.abc import Callable

from .._checkins.types import TargetEntry
from ..types import ZoneName
from .candidates import Candidate
from .outlier_detection import OutlierDetector
from .types import Ejection


class Ejections:
    """Tracks unanswered packets by target, and by zone for the zones of other hosts.

    :param zone: zone of this host.
    """

    def __init__(self, zone: ZoneName) -> None:
        self._zone = zone
        self._targets: OutlierDetector[int] = OutlierDetector()
        self._zones: OutlierDetector[ZoneName] = OutlierDetector()
        self._new: list[Ejection] = []

    def pop_new(self) -> list[Ejection]:
        """Return the targets and zones that were ejected since the last call."""
        new, self._new = self._new, []
        return new

    def is_ejected(self, candidate: Candidate, now: float) -> bool:
        """Return whether new flows avoid a target."""
        zone = candidate.entry.zone
        return self._targets.is_ejected(candidate.tag, now) or self._zones.is_ejected(zone, now)

    def record_failure(self, tag: int, entry: TargetEntry, now: float) -> None:
        """Record that a target did not answer.

        If the target is in another zone than this host, the failure also counts against that zone,
        since the network path to it may be down.
        """
        if self._targets.record_failure(tag, now):
            self._new.append(Ejection(entry.zone, entry.endpoint))
        if entry.zone != self._zone and self._zones.record_failure(entry.zone, now):
            self._new.append(Ejection(entry.zone, None))

    def record_answer(self, tag: int, zone: ZoneName) -> None:
        """Record that a target answered."""
        self._targets.record_answer(tag)
        self._zones.record_answer(zone)

    def retain_known(self, is_known: Callable[[int], bool]) -> None:
        """Forget the tags of targets that are no longer known."""
        self._targets.retain_known(is_known)
