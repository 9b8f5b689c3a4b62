"""Bounds the half-open flows of each kind of work, so that forged SYNs cannot fill the flow table.

When a kind has too many, its oldest half-open flow gives way (the random drop of RFC 4987, section
3.5, made deterministic): a real caller acknowledges within a round trip, a forged one never does.
"""

from __future__ import annotations

from ..types import FlowKey

HALF_OPEN_LIMIT = 512
HALF_OPEN_SECONDS = 5.0

KindName = tuple[str, str]


class HalfOpenFlows:
    """The half-open flows of each kind, oldest first.

    :param limit: half-open flows kept for each kind of work.
    """

    def __init__(self, limit: int = HALF_OPEN_LIMIT) -> None:
        self._limit = limit
        self._since: dict[KindName, dict[FlowKey, float]] = {}

    def add(self, service: str, kind: str, key: FlowKey, now: float) -> FlowKey | None:
        """Add a flow and return the one that has to give way, or ``None``."""
        flows = self._since.setdefault((service, kind), {})
        flows[key] = now
        if len(flows) <= self._limit:
            return None
        return next(iter(flows))

    def remove(self, service: str, kind: str, key: FlowKey) -> None:
        """Forget a flow that was established or ended; unknown ones are ignored."""
        self._since.get((service, kind), {}).pop(key, None)

    def expired(self, now: float) -> list[FlowKey]:
        """Return the flows that have been half-open for too long."""
        late: list[FlowKey] = []
        for flows in self._since.values():
            for key, since in flows.items():
                if now - since < HALF_OPEN_SECONDS:
                    break
                late.append(key)
        return late
