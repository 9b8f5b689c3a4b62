"""Limits the half-open flows of each kind, so that spoofed SYNs can't fill the flow table.

When a kind exceeds its limit, its oldest half-open flow is evicted (a deterministic form of the
random drop in RFC 4987, section 3.5): a real caller acknowledges within a round trip, a spoofed one
never does.
"""

from __future__ import annotations

from ..types import FlowKey

HALF_OPEN_LIMIT = 512
HALF_OPEN_SECONDS = 5.0

KindName = tuple[str, str]


class HalfOpenFlows:
    """Tracks the half-open flows of each kind, oldest first.

    :param limit: maximum number of half-open flows of each kind.
    """

    def __init__(self, limit: int = HALF_OPEN_LIMIT) -> None:
        self._limit = limit
        self._since: dict[KindName, dict[FlowKey, float]] = {}

    def add(self, service: str, kind: str, key: FlowKey, now: float) -> FlowKey | None:
        """Add a flow and return the flow to evict, or ``None`` if the limit is not exceeded."""
        flows = self._since.setdefault((service, kind), {})
        flows[key] = now
        if len(flows) <= self._limit:
            return None
        return next(iter(flows))

    def remove(self, service: str, kind: str, key: FlowKey) -> None:
        """Remove a flow that was established or ended; an unknown flow is ignored."""
        self._since.get((service, kind), {}).pop(key, None)

    def expired(self, now: float) -> list[FlowKey]:
        """Return the flows that have been half-open for :data:`HALF_OPEN_SECONDS` or longer."""
        late: list[FlowKey] = []
        for flows in self._since.values():
            for key, since in flows.items():
                if now - since < HALF_OPEN_SECONDS:
                    break
                late.append(key)
        return late
