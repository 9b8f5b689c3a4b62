"""Admission by guaranteed shares: each kind of work keeps its own, and lends what it does not use.

A new flow is checked against two resources of its service, both split evenly over the live homes:

* *Flows*, bounded by the targets' connection limits. A flow may last for hours and is never shed,
  so a kind's guaranteed part is kept free for it; only the rest is open to all.
* *Slots*. A slot comes back with the end of a request, so unused parts are lent. While slots are
  free every kind may take them; the less urgent stop earlier (trunk reservation, Key, 1990). When
  they are short, a kind starts new flows only while its average use is within its share.

No kind is ever served strictly first: the most urgent one gets its share and what others leave.
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
    """What one kind of work uses at this home.

    :param share: guaranteed fraction of its service.
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
        """Busy flows, and those expected to become busy soon."""
        return self.busy + self._awaited + len(self._young) * self._completion

    def advance(self, now: float) -> None:
        """Bring the averages up to this moment."""
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
        """Take note of a half-open flow."""
        self.flows += 1
        self._young.append(now)

    def established(self) -> None:
        """Take note that a half-open flow's handshake was completed."""
        self._awaited += 1
        self._handshake_ended(completed=True)

    def abandoned(self) -> None:
        """Take note that a half-open flow ended."""
        self.flows -= 1
        self._handshake_ended(completed=False)

    def _handshake_ended(self, completed: bool) -> None:
        """Count an outcome; which of the young handshakes it was does not matter."""
        if self._young:
            self._young.popleft()
            self._completion += (completed - self._completion) * COMPLETION_WEIGHT

    def request_started(self) -> None:
        """Take note that a flow became busy."""
        self.busy += 1
        self._awaited = max(0.0, self._awaited - 1)


class Limits(NamedTuple):
    """This home's part of a service's capacity.

    :param active: flows that are busy or about to be.
    """

    flows: float
    active: float

    @classmethod
    def of(cls, capacity: ServiceCapacity) -> Limits:
        """Return one home's part, with room for a short queue at each slot."""
        active = capacity.slots * (1 + QUEUED_PER_SLOT) / capacity.homes
        return cls(capacity.flows / capacity.homes, max(LEAST_ACTIVE, active))


class CountingAdmission(AdmissionPolicy):
    """Keeps what each kind of work uses; what follows from it is left to the subclass."""

    def __init__(self) -> None:
        self._services: dict[str, dict[str, _KindUse]] = {}

    def record_opened(self, route: KindRoute, now: float) -> None:
        """Count a half-open flow."""
        use = self._use(route, now)
        use.advance(now)
        use.opened(now)

    def record_closed(self, service: str, kind: str, now: float) -> None:
        """Count a flow as ended."""
        self._advanced(service, kind, now).flows -= 1

    def record_established(self, service: str, kind: str, now: float) -> None:
        """Expect the first payload soon."""
        self._advanced(service, kind, now).established()

    def record_abandoned(self, service: str, kind: str, now: float) -> None:
        """Count a half-open flow as ended, and expect less of the others."""
        self._advanced(service, kind, now).abandoned()

    def record_busy(self, service: str, kind: str, now: float) -> None:
        """Count a busy flow."""
        self._advanced(service, kind, now).request_started()

    def record_idle(self, service: str, kind: str, now: float) -> None:
        """Count a busy flow less."""
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
    """Return the fraction of a service's flows kept free for the other kinds' shares."""
    if not capacity.flows:
        return 0.0
    part = capacity.flows / capacity.homes
    others = [other for other in uses if other is not use]
    used = sum(min(other.share, other.flows / part) for other in others)
    return max(0.0, min(1.0, capacity.shares) - use.share - used)


def _may_borrow(uses: list[_KindUse], limits: Limits, urgency: int) -> bool:
    """Return whether slots are free for a kind of this urgency, whatever its share."""
    held_back = RESERVED_FRACTION * (1 - (urgency + 1) / URGENCY_LEVELS)
    return sum(use.active for use in uses) < limits.active * (1 - held_back)


def _within_share(uses: list[_KindUse], use: _KindUse, limits: Limits) -> bool:
    """Return whether a kind's average use is within its share, and its use now not far beyond.

    Waiting lengthens the use of all kinds alike, so a share counts against the sum of all uses
    when that is above the limit, up to a bound that keeps the sum itself in check. A kind whose
    part of the recent SYNs is no more than its share did not cause the shortage and may use more:
    chance and the split over the homes let its use here vary.
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
    """Admits by guaranteed shares, lent while unused, and by urgency beyond them."""

    def decide(self, route: KindRoute, loads: LoadTracker, now: float) -> AdmissionOutcome:
        """Return whether a new flow of this kind may start now."""
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
    """Admits up to one limit that all kinds of a service share; a baseline."""

    def decide(self, route: KindRoute, loads: LoadTracker, now: float) -> AdmissionOutcome:
        """Return whether slots and flows are free."""
        limits = Limits.of(route.capacity)
        uses = self._uses(route, now)
        has_slots = sum(use.active for use in uses) < limits.active
        has_flows = sum(use.flows for use in uses) < limits.flows
        if has_slots and has_flows:
            return Admitted()
        return Refused(RefusalReason.OVERLOAD)
