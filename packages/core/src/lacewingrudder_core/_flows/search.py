"""Finds the target of a flow that no live entry host knows, by probing the targets.

A target that has the flow acknowledges an empty segment below its window (RFC 9293, section 3.8.4);
a target without the flow answers with a reset. No payload of the caller is forwarded until a
target has acknowledged a probe.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..types import Endpoint, FlowKey, TargetName
from .table import WINDOW_BYTES
from .types import RST, SEQUENCE_MASK, SYN, FlowEffect, Probe, Segment

MAX_SEARCHES = 1024
MAX_CANDIDATES = 16
MAX_BUFFERED_PACKETS = 8
PROBE_TIMEOUT_SECONDS = 0.25
# A target that still sends segments of an unknown flow this long after its first one has the flow.
SEGMENT_CONFIRMATION_SECONDS = 0.2
SEGMENT_RETENTION_SECONDS = 3.0  # how long a target is remembered after that first segment


class Candidate:
    """A target that may have the flow."""

    __slots__ = ("target", "endpoint")

    def __init__(self, target: TargetName, endpoint: Endpoint) -> None:
        self.target = target
        self.endpoint = endpoint


class Search:
    """The search for one flow's target.

    :param segment: the caller's segment that started the search.
    """

    __slots__ = (
        "key",
        "segment",
        "packets",
        "candidates",
        "probed",
        "probed_at",
        "started_at",
        "has_unanswered_probe",
    )

    def __init__(self, key: FlowKey, segment: Segment, now: float) -> None:
        self.key = key
        self.segment = segment
        self.packets: list[bytes] = []
        self.candidates: list[Candidate] = []
        self.probed: Candidate | None = None
        self.probed_at = now
        self.started_at = now
        self.has_unanswered_probe = False

    def is_answered_by(self, segment: Segment) -> bool:
        """Return whether a target's segment shows that the target has the flow."""
        if segment.flags & (SYN | RST):
            return False
        return _is_in_window(segment.ack, self.segment.seq) and _is_in_window(
            segment.seq, self.segment.ack
        )

    def is_rejected_by(self, segment: Segment) -> bool:
        """Return whether a segment shows that the probed target does not have this flow."""
        asked = self.probed
        if asked is None or asked.endpoint != segment.source:
            return False
        return not self.is_answered_by(segment)


class SearchTable:
    """All searches of a host, and the targets that sent segments of unknown flows."""

    def __init__(self) -> None:
        self._searches: dict[FlowKey, Search] = {}
        self._sending_targets: dict[FlowKey, tuple[TargetName, float]] = {}

    def get(self, key: FlowKey) -> Search | None:
        """Return the search for a flow, or ``None``."""
        return self._searches.get(key)

    def start(
        self, key: FlowKey, segment: Segment, candidates: Iterable[Candidate], now: float
    ) -> Search | None:
        """Start a search; return ``None`` if there are too many searches or no candidates."""
        if len(self._searches) >= MAX_SEARCHES:
            return None
        search = Search(key, segment, now)
        search.candidates = list(candidates)[:MAX_CANDIDATES]
        if not search.candidates:
            return None
        self._searches[key] = search
        return search

    def buffer(self, search: Search, packet: bytes) -> None:
        """Buffer a packet until the target is found; discard it if the buffer is full."""
        if len(search.packets) < MAX_BUFFERED_PACKETS:
            search.packets.append(packet)

    def probe_next(self, search: Search, now: float) -> list[FlowEffect]:
        """Probe the next candidate; if none is left, end the search and return an empty list."""
        if not search.candidates:
            self.remove(search.key)
            return []
        search.probed = search.candidates.pop(0)
        search.probed_at = now
        segment = search.segment
        seq = (segment.seq - 1) & SEQUENCE_MASK
        return [Probe(segment.source, search.probed.endpoint, seq, segment.ack)]

    def remove(self, key: FlowKey) -> None:
        """Remove the search for a flow, and the target that sent segments of it."""
        self._searches.pop(key, None)
        self._sending_targets.pop(key, None)

    def record_target_segment(self, key: FlowKey, target: TargetName, now: float) -> bool:
        """Record a target's segment of an unknown flow.

        :return: whether the target had sent the first such segment at least
            :data:`SEGMENT_CONFIRMATION_SECONDS` earlier.
        """
        seen = self._sending_targets.get(key)
        if seen is not None and seen[0] == target:
            return now - seen[1] >= SEGMENT_CONFIRMATION_SECONDS
        if len(self._sending_targets) < MAX_SEARCHES:
            self._sending_targets[key] = (target, now)
        return False

    def sending_target(self, key: FlowKey) -> TargetName | None:
        """Return the target that sent segments of an unknown flow, or ``None``."""
        seen = self._sending_targets.get(key)
        return seen[0] if seen is not None else None

    def tick(self, now: float) -> list[FlowEffect]:
        """Probe the next candidate of each search whose last probe timed out.

        Also forgets targets whose first segment of an unknown flow arrived more than
        :data:`SEGMENT_RETENTION_SECONDS` ago.
        """
        effects: list[FlowEffect] = []
        for search in list(self._searches.values()):
            if now - search.probed_at >= PROBE_TIMEOUT_SECONDS:
                search.has_unanswered_probe = True
                effects += self.probe_next(search, now)
        expired = [
            key
            for key, (_, at) in self._sending_targets.items()
            if now - at > SEGMENT_RETENTION_SECONDS
        ]
        for key in expired:
            del self._sending_targets[key]
        return effects


def _is_in_window(number: int, other: int) -> bool:
    return (number - other + WINDOW_BYTES // 2) & SEQUENCE_MASK < WINDOW_BYTES
