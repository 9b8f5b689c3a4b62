"""State transitions of a target at the owner of its lease, as the chart ``target.json`` defines."""

from __future__ import annotations

from ..chart import StateChart
from ..types import ACCEPTING_STATES, FULL_WEIGHT, HostName, OrderAction, TargetRecord, TargetState
from .announcements import Announcement
from .lease import DRAINED_WEIGHT, WARMING_WEIGHTS, Lease, next_weight
from .records import RecordStore


class LifeCycle:
    """Computes the records that follow from announcements, orders and the passing of time.

    :param owner: the name of this host.
    :param chart: the state machine.
    :param records: the known records of targets.
    """

    def __init__(self, owner: HostName, chart: StateChart, records: RecordStore) -> None:
        self._owner = owner
        self._chart = chart
        self._records = records

    def next(self, state: TargetState, event: str) -> TargetState:
        """Return the state that follows an event."""
        return TargetState(self._chart.next(state, event).state)

    def start(self, announcement: Announcement, known: TargetRecord | None) -> TargetRecord:
        """Return the record of a new, restarted or returned target that announced itself.

        :return: ``known`` itself if the announcement only renews the lease.
        """
        target = announcement.target
        if known is None:
            state = TargetState(self._chart.initial)
            return TargetRecord(target, state, 0, 0.0, self._owner, weight=WARMING_WEIGHTS[0])
        if target.incarnation > known.target.incarnation:
            return TargetRecord(
                target,
                self.next(known.state, "restart"),
                0,
                0.0,
                self._owner,
                weight=WARMING_WEIGHTS[0],
                flaps=known.flaps + (target.service == known.target.service),
            )
        if known.state is TargetState.LOST:
            return known._replace(
                state=self.next(known.state, "announce"),
                owner=self._owner,
                weight=WARMING_WEIGHTS[0],
                flaps=known.flaps + 1,
            )
        return known

    def expire(self, record: TargetRecord) -> TargetRecord:
        """Return the record of a target whose lease expired."""
        return record._replace(state=self.next(record.state, "expire"))

    def restore(self, record: TargetRecord, lease: Lease, now: float) -> TargetRecord | None:
        """Return the record of a target whose order was lifted, and restart its slow start.

        :return: ``None`` if the state machine has no such transition from the target's state.
        """
        transition = self._chart.next(record.state, OrderAction.RESTORE.value)
        if not transition.is_allowed:
            return None
        lease.restart_step_timer(now)
        return record._replace(state=TargetState(transition.state), weight=WARMING_WEIGHTS[0])

    def progress(self, record: TargetRecord, lease: Lease, now: float) -> TargetRecord:
        """Return the record that follows from the latest announcement and the lease's timers."""
        if lease.announced_state is TargetState.DRAINING:
            return record._replace(state=self.next(record.state, "drain"), weight=DRAINED_WEIGHT)
        if record.state is TargetState.ANNOUNCED:
            return self._admit(record, lease, now)
        if record.state is TargetState.WARMING:
            return self._warm(record, lease, now)
        if record.flaps and lease.is_stable(now):
            record = record._replace(flaps=0)
        return record._replace(load=lease.load_level(record.load, now))

    def _admit(self, record: TargetRecord, lease: Lease, now: float) -> TargetRecord:
        if not lease.is_hold_down_over(now) and self._others_accept_flows(record):
            return record
        lease.restart_step_timer(now)
        return record._replace(state=self.next(record.state, "admit"), weight=WARMING_WEIGHTS[0])

    def _warm(self, record: TargetRecord, lease: Lease, now: float) -> TargetRecord:
        if lease.announced_state is not TargetState.SERVING or not lease.is_step_over(now):
            return record
        lease.restart_step_timer(now)
        weight = next_weight(record.weight)
        state = self.next(record.state, "warm") if weight == FULL_WEIGHT else record.state
        return record._replace(state=state, weight=weight)

    def _others_accept_flows(self, record: TargetRecord) -> bool:
        return any(
            other.target.service == record.target.service
            and other.target.name != record.target.name
            and other.state in ACCEPTING_STATES
            for other in self._records.records
        )
