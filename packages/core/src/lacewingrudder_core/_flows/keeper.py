"""Keeps the flow table, the pins and the load and admission counters consistent."""

from __future__ import annotations

import math
from collections.abc import Iterator

from .._routing.homes import HomeTable
from .._routing.view import KindRoute, RoutingView
from ..hashing import flow_hash
from ..types import Endpoint, FlowKey, HostName, TargetName
from .generations import TableGenerations
from .pins import PinBook
from .table import Flow, FlowState, FlowTable
from .types import Replicate, Segment
from .use import UseBook

CLOSED_SECONDS = 5.0
SETTLE_SECONDS = 2.0
RESENT_SECONDS = 0.9
REPINS_PER_TICK = 2000


class FlowKeeper:
    """Applies every change of a flow: opening, another target, closing or another home.

    :param name: the name of this host.
    :param uses: counts what each flow uses.
    """

    def __init__(self, name: HostName, view: RoutingView, uses: UseBook) -> None:
        self._name = name
        self._uses = uses
        self._repins: Iterator[FlowKey] = iter(())
        self._must_repin = False
        self._settled_at = -math.inf
        self.generations = TableGenerations()
        self.generations.update(view)
        self.homes: HomeTable = view.homes
        self.table = FlowTable()
        self.pins = PinBook(name)

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
        self._settled_at = now + SETTLE_SECONDS
        self.pins.rehome(self.homes, homes)
        self.homes = homes

    def is_settled(self, now: float) -> bool:
        """Return whether the membership has been stable for a while.

        Until then, another host may also act as the home of a flow and receive some of its
        packets, so a missing answer proves nothing.
        """
        return now >= self._settled_at

    def digest(self, key: FlowKey) -> int:
        """Return the hash that determines a flow's home and its target in the table."""
        flow = self.table.get(key)
        return flow.digest if flow is not None else flow_hash(key)

    def is_home(self, flow: Flow) -> bool:
        """Return whether this host is the flow's home under the current ranking.

        After a change of the ranking, the timer for unanswered payload starts again, because
        answers may have reached another host.
        """
        if flow.homes is not self.homes:
            flow.homes = self.homes
            self.heard(flow)
            flow.is_home = self.homes.rank(flow.digest).home == self._name
            if not flow.is_home:
                self.answered(flow, flow.last_seen)
        return flow.is_home

    def open(
        self, route: KindRoute, key: FlowKey, target: TargetName, endpoint: Endpoint, now: float
    ) -> tuple[Flow, Flow | None]:
        """Add a half-open flow.

        :return: the flow, and the half-open flow that has to be evicted for it, if any.
        """
        use, given_up = self._uses.opened(route, key, target, now)
        flow = Flow(key, flow_hash(key), target, endpoint, use, self.homes, now)
        self.table.add(flow)
        return flow, self.table.get(given_up) if given_up is not None else None

    def adopt(
        self,
        route: KindRoute,
        key: FlowKey,
        target: TargetName,
        endpoint: Endpoint,
        now: float,
    ) -> Flow:
        """Add an established flow that another host served before.

        Whoever calls this sets the sequence numbers with :meth:`Flow.resume`.
        """
        known = self.table.get(key)
        if known is not None:
            self.forget(known, now)
        use = self._uses.adopted(route, key, target, now)
        flow = Flow(key, flow_hash(key), target, endpoint, use, self.homes, now)
        flow.state = FlowState.ESTABLISHED
        self.table.add(flow)
        self._pin(flow)
        return flow

    def establish(self, flow: Flow, now: float) -> None:
        """Mark a flow as established: the caller acknowledged the target's SYN-ACK."""
        flow.state = FlowState.ESTABLISHED
        flow.syn = b""
        self._uses.acknowledged(flow.use, flow.key, now)
        self._pin(flow)

    def move(self, flow: Flow, target: TargetName, endpoint: Endpoint) -> None:
        """Move a half-open flow to another target."""
        flow.abandoned = (*flow.abandoned, flow.target)
        flow.target = target
        flow.endpoint = endpoint
        self._uses.moved(flow.use, target)

    def asked(self, flow: Flow, segment: Segment, now: float) -> None:
        """Record payload from the caller.

        A retransmission of payload that was already answered makes the flow neither busy nor
        waiting.
        """
        flow.has_payload = True
        is_new = flow.is_new(segment)
        if not is_new and flow.asked_at is None:
            return
        if flow.asked_at is not None:
            is_late = now - flow.asked_at >= RESENT_SECONDS
            flow.resent += is_late and segment.seq == flow.asked_seq
        else:
            flow.asked_at = now
            flow.asked_seq = segment.seq
            flow.resent = 0
            self.table.waiting[flow.key] = flow
        if is_new:
            self._uses.caller_sent(flow.use, now)

    def heard(self, flow: Flow) -> None:
        """Record that the target reacted to the caller's payload."""
        flow.asked_at = None
        self.table.waiting.pop(flow.key, None)

    def answered(self, flow: Flow, now: float) -> None:
        """Record payload from the target."""
        self._uses.target_sent(flow.use, now)

    def close(self, flow: Flow, now: float) -> None:
        """Close a flow but keep it for a while for segments that are still in flight."""
        if flow.state is FlowState.CLOSED:
            return
        self._uses.ended(flow.use, flow.key, now)
        self._unpin(flow)
        self.table.remove(flow)
        flow.state = FlowState.CLOSED
        flow.last_seen = now
        self.table.add(flow)
        self.table.closed[flow.key] = flow

    def forget(self, flow: Flow, now: float) -> None:
        """Close a flow and remove it at once."""
        if flow.state is not FlowState.CLOSED:
            self._uses.ended(flow.use, flow.key, now)
            self._unpin(flow)
        self.table.remove(flow)

    def tick(self, now: float) -> list[Replicate]:
        """Remove flows that closed a while ago, update pins and return those that are due."""
        late = []
        for flow in self.table.closed.values():
            if now - flow.last_seen < CLOSED_SECONDS:
                break
            late.append(flow)
        for flow in late:
            self.table.remove(flow)
        self._repin()
        return [Replicate(due.host, due.pins) for due in self.pins.due(now)]

    def _repin(self) -> None:
        """Check some of the flows after a change; a later change waits for the next pass."""
        for _ in range(REPINS_PER_TICK):
            key = next(self._repins, None)
            if key is None:
                break
            flow = self.table.get(key)
            if flow is not None and flow.state is FlowState.ESTABLISHED:
                self._pin(flow)
        else:
            return
        if self._must_repin:
            self._must_repin = False
            self._repins = iter(self.table.keys())

    def _pin(self, flow: Flow) -> None:
        if not self.is_home(flow):
            return
        pinned = flow.target != self.generations.expected(flow.key)
        if pinned:
            self.pins.pin(flow.digest, flow.target, self.homes)
        elif flow.is_pinned:
            self.pins.unpin(flow.digest, self.homes)
        flow.is_pinned = pinned

    def _unpin(self, flow: Flow) -> None:
        if flow.is_pinned and self.is_home(flow):
            self.pins.unpin(flow.digest, self.homes)
