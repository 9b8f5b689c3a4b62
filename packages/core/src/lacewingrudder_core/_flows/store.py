"""Keeps the flow table, the pins and the load and admission counters consistent."""

from __future__ import annotations

import math
from collections.abc import Iterator

from .._routing.homes import HomeTable
from .._routing.view import KindRoute, RoutingView
from ..hashing import flow_hash
from ..types import Endpoint, FlowKey, HostName, TargetName
from .generations import TableGenerations
from .pins import PinStore
from .table import Flow, FlowState, FlowTable
from .types import Replicate, Segment
from .usage import UsageTracker

CLOSED_FLOW_RETENTION_SECONDS = 5.0
MEMBERSHIP_STABLE_SECONDS = 2.0
MIN_RETRANSMISSION_DELAY_SECONDS = 0.9  # a copy sooner after the payload doesn't count
MAX_REPINS_PER_TICK = 2000


class FlowStore:
    """Opens, moves, closes and removes flows, and updates pins and counters with them.

    :param name: the name of this host.
    :param usage_tracker: counts what each flow uses.
    """

    def __init__(self, name: HostName, view: RoutingView, usage_tracker: UsageTracker) -> None:
        self._name = name
        self._usage_tracker = usage_tracker
        self._repin_keys: Iterator[FlowKey] = iter(())
        self._must_repin = False
        self._stable_at = -math.inf
        self.generations = TableGenerations()
        self.generations.update(view)
        self.homes: HomeTable = view.homes
        self.table = FlowTable()
        self.pins = PinStore(name)

    def change_view(self, view: RoutingView, homes: HomeTable, now: float) -> None:
        """Apply a new routing view.

        :param homes: the host ranking to use, which may exclude this host.
        """
        if self.generations.update(view):
            self._must_repin = True
        if homes is not self.homes:
            self.change_homes(homes, now)

    def change_homes(self, homes: HomeTable, now: float) -> None:
        """Apply a new ranking of the hosts."""
        self._must_repin = True
        self._stable_at = now + MEMBERSHIP_STABLE_SECONDS
        self.pins.change_homes(self.homes, homes)
        self.homes = homes

    def is_membership_stable(self, now: float) -> bool:
        """Return whether the hosts have been the same for :data:`MEMBERSHIP_STABLE_SECONDS`.

        Until then, another host may also act as the home of a flow and receive some of its
        packets, so a missing answer proves nothing.
        """
        return now >= self._stable_at

    def hash_of(self, key: FlowKey) -> int:
        """Return the hash that determines a flow's home and its target in the table."""
        flow = self.table.get(key)
        return flow.flow_hash if flow is not None else flow_hash(key)

    def update_home(self, flow: Flow) -> bool:
        """Update whether this host is the flow's home under the current ranking, and return it.

        A change of the ranking stops the timer for unanswered payload, because answers may have
        reached another host.
        """
        if flow.homes is not self.homes:
            flow.homes = self.homes
            self.stop_waiting(flow)
            flow.is_home = self.homes.rank(flow.flow_hash).home == self._name
            if not flow.is_home:
                self.record_response(flow, flow.last_seen)
        return flow.is_home

    def open(
        self, route: KindRoute, key: FlowKey, target: TargetName, endpoint: Endpoint, now: float
    ) -> tuple[Flow, Flow | None]:
        """Add a half-open flow.

        :return: the flow, and the half-open flow that has to be evicted for it, if any.
        """
        usage, evicted = self._usage_tracker.record_opened(route, key, target, now)
        flow = Flow(key, flow_hash(key), target, endpoint, usage, self.homes, now)
        self.table.add(flow)
        return flow, self.table.get(evicted) if evicted is not None else None

    def adopt(
        self,
        route: KindRoute,
        key: FlowKey,
        target: TargetName,
        endpoint: Endpoint,
        now: float,
    ) -> Flow:
        """Add an established flow that another host served before.

        The sequence numbers still have to be set with :meth:`Flow.resume`.
        """
        known = self.table.get(key)
        if known is not None:
            self.remove(known, now)
        usage = self._usage_tracker.record_adopted(route, key, target, now)
        flow = Flow(key, flow_hash(key), target, endpoint, usage, self.homes, now)
        flow.state = FlowState.ESTABLISHED
        self.table.add(flow)
        self._update_pin(flow)
        return flow

    def establish(self, flow: Flow, now: float) -> None:
        """Mark a flow as established: the caller acknowledged the target's SYN-ACK."""
        flow.state = FlowState.ESTABLISHED
        flow.syn_packet = b""
        self._usage_tracker.record_established(flow.usage, flow.key, now)
        self._update_pin(flow)

    def move(self, flow: Flow, target: TargetName, endpoint: Endpoint) -> None:
        """Move a half-open flow to another target."""
        flow.abandoned_targets = (*flow.abandoned_targets, flow.target)
        flow.target = target
        flow.endpoint = endpoint
        self._usage_tracker.record_moved(flow.usage, target)

    def record_request(self, flow: Flow, segment: Segment, now: float) -> None:
        """Record payload from the caller.

        A retransmission of payload that was already answered makes the flow neither busy nor
        waiting.
        """
        flow.has_payload = True
        is_new = flow.record_payload(segment)
        if not is_new and flow.waiting_since is None:
            return
        if flow.waiting_since is not None:
            is_late = now - flow.waiting_since >= MIN_RETRANSMISSION_DELAY_SECONDS
            flow.retransmissions += is_late and segment.seq == flow.waiting_seq
        else:
            flow.waiting_since = now
            flow.waiting_seq = segment.seq
            flow.retransmissions = 0
            self.table.waiting[flow.key] = flow
        if is_new:
            self._usage_tracker.record_request(flow.usage, now)

    def stop_waiting(self, flow: Flow) -> None:
        """Stop the timer for unanswered payload of the caller."""
        flow.waiting_since = None
        self.table.waiting.pop(flow.key, None)

    def record_response(self, flow: Flow, now: float) -> None:
        """Record payload from the target."""
        self._usage_tracker.record_response(flow.usage, now)

    def close(self, flow: Flow, now: float) -> None:
        """Close a flow but track it for a while for segments that are still in flight."""
        if flow.state is FlowState.CLOSED:
            return
        self._usage_tracker.record_ended(flow.usage, flow.key, now)
        self._unpin(flow)
        self.table.remove(flow)
        flow.state = FlowState.CLOSED
        flow.last_seen = now
        self.table.add(flow)
        self.table.closed[flow.key] = flow

    def remove(self, flow: Flow, now: float) -> None:
        """Close a flow and remove it at once."""
        if flow.state is not FlowState.CLOSED:
            self._usage_tracker.record_ended(flow.usage, flow.key, now)
            self._unpin(flow)
        self.table.remove(flow)

    def tick(self, now: float) -> list[Replicate]:
        """Remove flows that closed a while ago, update pins and return the pins to send now."""
        expired = []
        for flow in self.table.closed.values():
            if now - flow.last_seen < CLOSED_FLOW_RETENTION_SECONDS:
                break
            expired.append(flow)
        for flow in expired:
            self.table.remove(flow)
        self._update_pins()
        return [Replicate(due.host, due.pins) for due in self.pins.pop_due(now)]

    def _update_pins(self) -> None:
        """Update the pins of up to :data:`MAX_REPINS_PER_TICK` flows after a change.

        If the tables or the ranking change during a pass over all flows, another pass follows.
        """
        for _ in range(MAX_REPINS_PER_TICK):
            key = next(self._repin_keys, None)
            if key is None:
                break
            flow = self.table.get(key)
            if flow is not None and flow.state is FlowState.ESTABLISHED:
                self._update_pin(flow)
        else:
            return
        if self._must_repin:
            self._must_repin = False
            self._repin_keys = iter(self.table.keys())

    def _update_pin(self, flow: Flow) -> None:
        if not self.update_home(flow):
            return
        pinned = flow.target != self.generations.newest_choice(flow.key)
        if pinned:
            self.pins.pin(flow.flow_hash, flow.target, self.homes)
        elif flow.is_pinned:
            self.pins.unpin(flow.flow_hash, self.homes)
        flow.is_pinned = pinned

    def _unpin(self, flow: Flow) -> None:
        if flow.is_pinned and self.update_home(flow):
            self.pins.unpin(flow.flow_hash, self.homes)
