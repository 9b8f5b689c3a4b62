"""Limits the half-open flows of each kind, so that spoofed SYNs can't fill the flow table.

When a kind exceeds its limit, its oldest half-open flow is evicted (a deterministic form of the
random drop in RFC 4987, section 3.5): a real caller acknowledges within a round trip, a spoofed one
never does.
"""

from __future__ import annotations

from ..types import FlowKey

MAX_HALF_OPEN_FLOWS = 512
HALF_OPEN_TIMEOUT_SECONDS = 5.0

KindKey = tuple[str, str]


class HalfOpenFlows:
    """Tracks the half-open flows of each kind, oldest first.

    :param limit: maximum number of half-open flows of each kind.
    """

    def __init__(self, limit: int = MAX_HALF_OPEN_FLOWS) -> None:
        self._limit = limit
        self._opened_at: dict[KindKey, dict[FlowKey, float]] = {}

    def add(self, service: str, kind: str, key: FlowKey, now: float) -> FlowKey | None:
        """Add a flow and return the flow to evict, or ``None`` if the limit is not exceeded."""
        flows = self._opened_at.setdefault((service, kind), {})
        flows[key] = now
        if len(flows) <= self._limit:
            return None
        return next(iter(flows))

    def remove(self, service: str, kind: str, key: FlowKey) -> None:
        """Remove a flow that was established or ended; an unknown flow is ignored."""
        self._opened_at.get((service, kind), {}).pop(key, None)

    def find_timed_out(self, now: float) -> list[FlowKey]:
        """Return the flows that have been half-open for longer than the timeout."""
        timed_out: list[FlowKey] = []
        for flows in self._opened_at.values():
            for key, opened_at in flows.items():
                if now - opened_at < HALF_OPEN_TIMEOUT_SECONDS:
                    break
                timed_out.append(key)
        return timed_out
