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

# Time constant of the moving averages.
AVERAGING_TIME_CONSTANT_SECONDS = 2.0
# Time constant with which the number of flows that are expected to send a first payload decays.
FIRST_PAYLOAD_TIME_CONSTANT_SECONDS = 0.5
QUEUED_FLOWS_PER_SLOT = 1.0
# Lower bound of the limit on active flows at one home host, however small its part.
MIN_ACTIVE_FLOWS = 2.0
URGENCY_LEVELS = 10
# Upper bound of the fraction of slots that a kind leaves free for more urgent kinds.
MAX_RESERVED_FRACTION = 0.4
# Average use allowed to a kind, as a multiple of its share, depending on its part of recent SYNs.
OVER_SHARE_TOLERANCE = 1.0
WITHIN_SHARE_TOLERANCE = 2.0
# Upper bound of the limit that shares are fractions of, as a multiple of the real limit.
MAX_LIMIT_FACTOR = 2.0
# Current use allowed above the share: standard deviations of a Poisson count, and a constant.
BURST_DEVIATIONS = 6.0
BURST_FLOWS = 2.0
# Handshakes that take longer count as not completed.
HANDSHAKE_TIMEOUT_SECONDS = 0.25
# Weight of one outcome in the moving average of completed handshakes.
COMPLETION_WEIGHT = 0.02


class _KindUsage:
    """The resources of a service that one kind uses at this home host.

    :param share: fraction of the service's capacity guaranteed to the kind.
    """

    def __init__(self, share: float, now: float) -> None:
        self.share = share
        self.flow_count = 0
        self.busy_count = 0
        self.average_active = 0.0
        self.offered_syns = 0.0
        self._open_handshakes: collections.deque[float] = collections.deque()
        self._completion_rate = 1.0
        self._expected_busy = 0.0
        self._updated_at = now

    @property
    def active_count(self) -> float:
        """The number of busy flows, and of flows expected to become busy soon."""
        return (
            self.busy_count
            + self._expected_busy
            + len(self._open_handshakes) * self._completion_rate
        )

    def advance(self, now: float) -> None:
        """Update the moving averages to the current time."""
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        self._updated_at = now
        self.average_active += (self.active_count - self.average_active) * -math.expm1(
            -elapsed / AVERAGING_TIME_CONSTANT_SECONDS
        )
        self.offered_syns *= math.exp(-elapsed / AVERAGING_TIME_CONSTANT_SECONDS)
        self._expected_busy *= math.exp(-elapsed / FIRST_PAYLOAD_TIME_CONSTANT_SECONDS)
        while self._open_handshakes and now - self._open_handshakes[0] > HANDSHAKE_TIMEOUT_SECONDS:
            self._record_handshake_outcome(completed=False)

    def record_opened(self, now: float) -> None:
        """Record a half-open flow."""
        self.flow_count += 1
        self._open_handshakes.append(now)

    def record_established(self) -> None:
        """Record that the handshake of a half-open flow was completed."""
        self._expected_busy += 1
        self._record_handshake_outcome(completed=True)

    def record_abandoned(self) -> None:
        """Record that a half-open flow ended."""
        self.flow_count -= 1
        self._record_handshake_outcome(completed=False)

    def _record_handshake_outcome(self, completed: bool) -> None:
        """Record the outcome of one of the open handshakes; which one it was does not matter."""
        if self._open_handshakes:
            self._open_handshakes.popleft()
            self._completion_rate += (completed - self._completion_rate) * COMPLETION_WEIGHT

    def record_busy_flow(self) -> None:
        """Record that a flow became busy."""
        self.busy_count += 1
        self._expected_busy = max(0.0, self._expected_busy - 1)


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
        active = capacity.slots * (1 + QUEUED_FLOWS_PER_SLOT) / capacity.homes
        return cls(capacity.flows / capacity.homes, max(MIN_ACTIVE_FLOWS, active))


class UsageTrackingAdmission(AdmissionPolicy):
    """Tracks what each kind uses; subclasses make the decision."""

    def __init__(self) -> None:
        self._usages_by_service: dict[str, dict[str, _KindUsage]] = {}

    def record_opened(self, route: KindRoute, now: float) -> None:
        """Count a half-open flow."""
        usage = self._usage(route, now)
        usage.advance(now)
        usage.record_opened(now)

    def record_closed(self, service: str, kind: str, now: float) -> None:
        """Count an established flow as ended."""
        self._current_usage(service, kind, now).flow_count -= 1

    def record_established(self, service: str, kind: str, now: float) -> None:
        """Expect the first payload of the flow soon."""
        self._current_usage(service, kind, now).record_established()

    def record_abandoned(self, service: str, kind: str, now: float) -> None:
        """Count a half-open flow as ended, and expect fewer of the others to become busy."""
        self._current_usage(service, kind, now).record_abandoned()

    def record_busy(self, service: str, kind: str, now: float) -> None:
        """Count a busy flow."""
        self._current_usage(service, kind, now).record_busy_flow()

    def record_idle(self, service: str, kind: str, now: float) -> None:
        """Count a busy flow as idle."""
        self._current_usage(service, kind, now).busy_count -= 1

    def _usage(self, route: KindRoute, now: float) -> _KindUsage:
        usages = self._usages_by_service.setdefault(route.service, {})
        usage = usages.get(route.kind.name)
        if usage is None:
            usage = usages[route.kind.name] = _KindUsage(route.kind.share, now)
        return usage

    def _current_usage(self, service: str, kind: str, now: float) -> _KindUsage:
        usage = self._usages_by_service[service][kind]
        usage.advance(now)
        return usage

    def _usages_of_service(self, route: KindRoute, now: float) -> list[_KindUsage]:
        usages = list(self._usages_by_service.get(route.service, {}).values())
        for usage in usages:
            usage.advance(now)
        return usages


def _reserved_for_others(
    usages: list[_KindUsage], usage: _KindUsage, capacity: ServiceCapacity
) -> float:
    """Return the fraction of a service's flows that is reserved for the shares of other kinds."""
    if not capacity.flows:
        return 0.0
    flows_per_home = capacity.flows / capacity.homes
    others = [other for other in usages if other is not usage]
    used = sum(min(other.share, other.flow_count / flows_per_home) for other in others)
    return max(0.0, min(1.0, capacity.shares) - usage.share - used)


def _may_borrow(usages: list[_KindUsage], limits: Limits, urgency: int) -> bool:
    """Return whether a kind of this urgency may use free slots beyond its share."""
    reserved = MAX_RESERVED_FRACTION * (1 - (urgency + 1) / URGENCY_LEVELS)
    return sum(usage.active_count for usage in usages) < limits.active * (1 - reserved)


def _is_within_share(usages: list[_KindUsage], usage: _KindUsage, limits: Limits) -> bool:
    """Return whether a kind's average use is within its share, and its current use not far above.

    Queueing increases the use of all kinds equally. If the total use exceeds the limit, a share is
    therefore a fraction of the total, up to :data:`MAX_LIMIT_FACTOR` times the limit, so that the
    total stays bounded. A kind whose fraction of recent SYNs does not exceed its share did not
    cause the shortage and gets a higher tolerance, because its use at one home host varies by
    chance and with the distribution of flows over home hosts.
    """
    total = sum(other.average_active for other in usages)
    effective_limit = min(max(limits.active, total), MAX_LIMIT_FACTOR * limits.active)
    allowed = usage.share * effective_limit
    burst = allowed + BURST_DEVIATIONS * math.sqrt(allowed) + BURST_FLOWS
    offered_syns = sum(other.offered_syns for other in usages)
    is_offering_within_share = usage.offered_syns <= usage.share * offered_syns
    tolerance = WITHIN_SHARE_TOLERANCE if is_offering_within_share else OVER_SHARE_TOLERANCE
    return usage.average_active < allowed * tolerance and usage.active_count < burst


class ShareAdmission(UsageTrackingAdmission):
    """Admits flows by guaranteed shares; unused shares may be borrowed, depending on urgency."""

    def decide(self, route: KindRoute, loads: LoadTracker, now: float) -> AdmissionOutcome:
        """Decide whether a new flow of this kind may start now."""
        if not route.capacity.flows:
            return Admitted()
        usage = self._usage(route, now)
        usage.share = route.kind.share / max(1.0, route.capacity.shares)
        usages = self._usages_of_service(route, now)
        usage.offered_syns += 1
        limits = Limits.of(route.capacity)
        reserved = _reserved_for_others(usages, usage, route.capacity)
        if sum(other.flow_count for other in usages) + reserved * limits.flows >= limits.flows:
            return Refused(RefusalReason.OVERLOAD)
        if _may_borrow(usages, limits, route.kind.urgency) or _is_within_share(
            usages, usage, limits
        ):
            return Admitted()
        return Refused(RefusalReason.SHARE_USED)


class SharedLimitAdmission(UsageTrackingAdmission):
    """Admits flows up to a limit shared by all kinds of a service; a baseline for comparison."""

    def decide(self, route: KindRoute, loads: LoadTracker, now: float) -> AdmissionOutcome:
        """Decide by the total use of all kinds, regardless of the kind of the flow."""
        limits = Limits.of(route.capacity)
        usages = self._usages_of_service(route, now)
        has_slots = sum(usage.active_count for usage in usages) < limits.active
        has_flows = sum(usage.flow_count for usage in usages) < limits.flows
        if has_slots and has_flows:
            return Admitted()
        return Refused(RefusalReason.OVERLOAD)
