"""Finds the target of a flow that no live entry host knows, by probing the targets.

A target that has the flow acknowledges an empty segment below its window (RFC 9293, section 3.8.4);
one that does not answers with a reset. No payload of the caller is forwarded until a target has
acknowledged.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..types import Endpoint, FlowKey, TargetName
from .table import WINDOW_BYTES
from .types import RST, SEQUENCE_MASK, SYN, FlowEffect, Probe, Segment

SEARCHES_MAX = 1024
CANDIDATES_MAX = 16
PACKETS_HELD_MAX = 8
ANSWER_SECONDS = 0.25
SECOND_SIGHT_SECONDS = 0.2
SEARCH_SECONDS = 3.0


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

    __slots__ = ("key", "segment", "packets", "candidates", "asked", "asked_at", "began", "silent")

    def __init__(self, key: FlowKey, segment: Segment, now: float) -> None:
        self.key = key
        self.segment = segment
        self.packets: list[bytes] = []
        self.candidates: list[Candidate] = []
        self.asked: Candidate | None = None
        self.asked_at = now
        self.began = now
        self.silent = False

    def is_answered_by(self, segment: Segment) -> bool:
        """Return whether a target's segment shows that the target has the flow."""
        if segment.flags & (SYN | RST):
            return False
        return _near(segment.ack, self.segment.seq) and _near(segment.seq, self.segment.ack)

    def is_denied_by(self, segment: Segment) -> bool:
        """Return whether a segment shows that the probed target does not have this flow."""
        asked = self.asked
        if asked is None or asked.endpoint != segment.source:
            return False
        return not self.is_answered_by(segment)


class SearchBook:
    """All searches of a host, and the targets that sent segments of unknown flows."""

    def __init__(self) -> None:
        self._searches: dict[FlowKey, Search] = {}
        self._sightings: dict[FlowKey, tuple[TargetName, float]] = {}

    def get(self, key: FlowKey) -> Search | None:
        """Return the search for a flow, or ``None``."""
        return self._searches.get(key)

    def begin(
        self, key: FlowKey, segment: Segment, candidates: Iterable[Candidate], now: float
    ) -> Search | None:
        """Start a search; return ``None`` if there are too many searches or no candidates."""
        if len(self._searches) >= SEARCHES_MAX:
            return None
        search = Search(key, segment, now)
        search.candidates = list(candidates)[:CANDIDATES_MAX]
        if not search.candidates:
            return None
        self._searches[key] = search
        return search

    def hold(self, search: Search, packet: bytes) -> None:
        """Buffer a packet until the target is found."""
        if len(search.packets) < PACKETS_HELD_MAX:
            search.packets.append(packet)

    def ask_next(self, search: Search, now: float) -> list[FlowEffect]:
        """Probe the next candidate; the result is empty if none is left."""
        if not search.candidates:
            self.end(search.key)
            return []
        search.asked = search.candidates.pop(0)
        search.asked_at = now
        segment = search.segment
        seq = (segment.seq - 1) & SEQUENCE_MASK
        return [Probe(segment.source, search.asked.endpoint, seq, segment.ack)]

    def end(self, key: FlowKey) -> None:
        """Remove a search."""
        self._searches.pop(key, None)
        self._sightings.pop(key, None)

    def sighted(self, key: FlowKey, target: TargetName, now: float) -> bool:
        """Record a target's segment of an unknown flow.

        :return: whether the target also sent one :data:`SECOND_SIGHT_SECONDS` or more before.
        """
        seen = self._sightings.get(key)
        if seen is not None and seen[0] == target:
            return now - seen[1] >= SECOND_SIGHT_SECONDS
        if len(self._sightings) < SEARCHES_MAX:
            self._sightings[key] = (target, now)
        return False

    def sighting(self, key: FlowKey) -> TargetName | None:
        """Return the target that sent segments of an unknown flow, or ``None``."""
        seen = self._sightings.get(key)
        return seen[0] if seen is not None else None

    def tick(self, now: float) -> list[FlowEffect]:
        """Probe the next candidate where the last did not answer; remove old sightings."""
        effects: list[FlowEffect] = []
        for search in list(self._searches.values()):
            if now - search.asked_at >= ANSWER_SECONDS:
                search.silent = True
                effects += self.ask_next(search, now)
        late = [key for key, (_, at) in self._sightings.items() if now - at > SEARCH_SECONDS]
        for key in late:
            del self._sightings[key]
        return effects


def _near(number: int, other: int) -> bool:
    return (number - other + WINDOW_BYTES // 2) & SEQUENCE_MASK < WINDOW_BYTES
