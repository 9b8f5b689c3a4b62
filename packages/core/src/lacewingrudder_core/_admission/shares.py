"""Admission by guaranteed shares of a service's capacity; kinds may borrow unused shares.

A new flow is checked against two resources of its service. Both are divided evenly between the
live home hosts:

* *Flows*, limited by the targets' connection limits. A flow may last for hours and is never shed,
  so the guaranteed part of each kind is reserved for it; only the rest is open to all kinds.
* *Slots*. A slot is released at the end of each request, so unused shares can be borrowed. While
  slots are free, any kind may use them, but less urgent kinds are stopped earlier (trunk
  reservation, Key, 1990). When slots are scarce, a kind may start new flows only while its average
  use is within its share.

There is no strict priority: the most urgent kind gets its share and what the others leave unused.
"""

from __future__ import annotations

import collections
import math
from typing import NamedTuple

from .._routing.loads import LoadTracker
from .._routing.view import KindRoute, ServiceCapacity
from .policy import AdmissionOutcome, AdmissionPolicy, Admitted, RefusalReason, Refused

AVERAGE_SECONDS = 2.0
FIRST_PAYLOAD_SECONDS = 0.5
QUEUED_PER_SLOT = 1.0
LEAST_ACTIVE = 2.0
URGENCY_LEVELS = 10
RESERVED_FRACTION = 0.4
FLOOD_TOLERANCE = 1.0
MODEST_TOLERANCE = 2.0
STRETCH = 2.0
BURST_DEVIATIONS = 6.0
BURST_FLOWS = 2.0
HANDSHAKE_SECONDS = 0.25
COMPLETION_WEIGHT = 0.02


class _KindUse:
    """The resources of a service that one kind uses at this home host.

    :param share: fraction of the service's capacity guaranteed to the kind.
    """

    def __init__(self, share: float, now: float) -> None:
        self.share = share
        self.flows = 0
        self.busy = 0
        self.average = 0.0
        self.offered = 0.0
        self._young: collections.deque[float] = collections.deque()
        self._completion = 1.0
        self._awaited = 0.0
        self._updated = now

    @property
    def active(self) -> float:
        """The number of busy flows, and of flows expected to become busy soon."""
        return self.busy + self._awaited + len(self._young) * self._completion

    def advance(self, now: float) -> None:
        """Update the moving averages to the current time."""
        passed = now - self._updated
        if passed <= 0:
            return
        self._updated = now
        self.average += (self.active - self.average) * -math.expm1(-passed / AVERAGE_SECONDS)
        self.offered *= math.exp(-passed / AVERAGE_SECONDS)
        self._awaited *= math.exp(-passed / FIRST_PAYLOAD_SECONDS)
        while self._young and now - self._young[0] > HANDSHAKE_SECONDS:
            self._handshake_ended(completed=False)

    def opened(self, now: float) -> None:
        """Record a half-open flow."""
        self.flows += 1
        self._young.append(now)

    def established(self) -> None:
        """Record that the handshake of a half-open flow was completed."""
        self._awaited += 1
        self._handshake_ended(completed=True)

    def abandoned(self) -> None:
        """Record that a half-open flow ended."""
        self.flows -= 1
        self._handshake_ended(completed=False)

    def _handshake_ended(self, completed: bool) -> None:
        """Record the outcome of a handshake; it may be any of the recent handshakes."""
        if self._young:
            self._young.popleft()
            self._completion += (completed - self._completion) * COMPLETION_WEIGHT

    def request_started(self) -> None:
        """Record that a flow became busy."""
        self.busy += 1
        self._awaited = max(0.0, self._awaited - 1)


class Limits(NamedTuple):
    """The part of a service's capacity that belongs to this home host.

    :param flows: limit on open flows.
    :param active: limit on flows that are busy or expected to become busy soon.
    """

    flows: float
    active: float

    @classmethod
    def of(cls, capacity: ServiceCapacity) -> Limits:
        """Return the part of one home host, which allows a short queue for each slot."""
        active = capacity.slots * (1 + QUEUED_PER_SLOT) / capacity.homes
        return cls(capacity.flows / capacity.homes, max(LEAST_ACTIVE, active))


class CountingAdmission(AdmissionPolicy):
    """Tracks what each kind uses; subclasses make the decision."""

    def __init__(self) -> None:
        self._services: dict[str, dict[str, _KindUse]] = {}

    def record_opened(self, route: KindRoute, now: float) -> None:
        """Count a half-open flow."""
        use = self._use(route, now)
        use.advance(now)
        use.opened(now)

    def record_closed(self, service: str, kind: str, now: float) -> None:
        """Count an established flow as ended."""
        self._advanced(service, kind, now).flows -= 1

    def record_established(self, service: str, kind: str, now: float) -> None:
        """Expect the first payload of the flow soon."""
        self._advanced(service, kind, now).established()

    def record_abandoned(self, service: str, kind: str, now: float) -> None:
        """Count a half-open flow as ended, and expect fewer of the others to become busy."""
        self._advanced(service, kind, now).abandoned()

    def record_busy(self, service: str, kind: str, now: float) -> None:
        """Count a busy flow."""
        self._advanced(service, kind, now).request_started()

    def record_idle(self, service: str, kind: str, now: float) -> None:
        """Count a busy flow as idle."""
        self._advanced(service, kind, now).busy -= 1

    def _use(self, route: KindRoute, now: float) -> _KindUse:
        uses = self._services.setdefault(route.service, {})
        use = uses.get(route.kind.name)
        if use is None:
            use = uses[route.kind.name] = _KindUse(route.kind.share, now)
        return use

    def _advanced(self, service: str, kind: str, now: float) -> _KindUse:
        use = self._services[service][kind]
        use.advance(now)
        return use

    def _uses(self, route: KindRoute, now: float) -> list[_KindUse]:
        uses = list(self._services.get(route.service, {}).values())
        for use in uses:
            use.advance(now)
        return uses


def _reserved_for_others(uses: list[_KindUse], use: _KindUse, capacity: ServiceCapacity) -> float:
    """Return the fraction of a service's flows that is reserved for the shares of other kinds."""
    if not capacity.flows:
        return 0.0
    part = capacity.flows / capacity.homes
    others = [other for other in uses if other is not use]
    used = sum(min(other.share, other.flows / part) for other in others)
    return max(0.0, min(1.0, capacity.shares) - use.share - used)


def _may_borrow(uses: list[_KindUse], limits: Limits, urgency: int) -> bool:
    """Return whether a kind of this urgency may use free slots beyond its share."""
    held_back = RESERVED_FRACTION * (1 - (urgency + 1) / URGENCY_LEVELS)
    return sum(use.active for use in uses) < limits.active * (1 - held_back)


def _within_share(uses: list[_KindUse], use: _KindUse, limits: Limits) -> bool:
    """Return whether a kind's average use is within its share, and its current use not far above.

    Queueing increases the use of all kinds equally. If the total use exceeds the limit, a share is
    therefore a fraction of the total, up to :data:`STRETCH` times the limit so that the total stays
    bounded. A kind whose fraction of recent SYNs does not exceed its share did not cause the
    shortage and gets a higher tolerance, because its use at one home host varies by chance and with
    the distribution of flows over home hosts.
    """
    total = sum(other.average for other in uses)
    whole = min(max(limits.active, total), STRETCH * limits.active)
    bound = use.share * whole
    burst = bound + BURST_DEVIATIONS * math.sqrt(bound) + BURST_FLOWS
    offered = sum(other.offered for other in uses)
    is_modest = use.offered <= use.share * offered
    tolerance = MODEST_TOLERANCE if is_modest else FLOOD_TOLERANCE
    return use.average < bound * tolerance and use.active < burst


class ShareAdmission(CountingAdmission):
    """Admits flows by guaranteed shares; unused shares may be borrowed, depending on urgency."""

    def decide(self, route: KindRoute, loads: LoadTracker, now: float) -> AdmissionOutcome:
        """Decide whether a new flow of this kind may start now."""
        if not route.capacity.flows:
            return Admitted()
        use = self._use(route, now)
        use.share = route.kind.share / max(1.0, route.capacity.shares)
        uses = self._uses(route, now)
        use.offered += 1
        limits = Limits.of(route.capacity)
        reserved = _reserved_for_others(uses, use, route.capacity)
        if sum(other.flows for other in uses) + reserved * limits.flows >= limits.flows:
            return Refused(RefusalReason.OVERLOAD)
        if _may_borrow(uses, limits, route.kind.urgency) or _within_share(uses, use, limits):
            return Admitted()
        return Refused(RefusalReason.SHARE_USED)


class SharedLimitAdmission(CountingAdmission):
    """Admits flows up to a limit shared by all kinds of a service; a baseline for comparison."""

    def decide(self, route: KindRoute, loads: LoadTracker, now: float) -> AdmissionOutcome:
        """Decide by the total use of all kinds, regardless of the kind of the flow."""
        limits = Limits.of(route.capacity)
        uses = self._uses(route, now)
        has_slots = sum(use.active for use in uses) < limits.active
        has_flows = sum(use.flows for use in uses) < limits.flows
        if has_slots and has_flows:
            return Admitted()
        return Refused(RefusalReason.OVERLOAD)
