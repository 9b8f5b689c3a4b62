"""The life cycle of a target at the owner of its lease, as the chart ``target.json`` has it."""

from __future__ import annotations

from ..chart import StateChart
from ..types import ACCEPTING_STATES, FULL_WEIGHT, HostName, OrderAction, TargetRecord, TargetState
from .announcements import Announcement
from .lease import DRAINED_WEIGHT, WARMING_WEIGHTS, Lease, next_weight
from .records import RecordBook


class LifeCycle:
    """Takes records from one state to the next.

    :param owner: this host.
    :param chart: the life cycle.
    :param book: what is known of other targets.
    """

    def __init__(self, owner: HostName, chart: StateChart, book: RecordBook) -> None:
        self._owner = owner
        self._chart = chart
        self._book = book

    def next(self, state: TargetState, event: str) -> TargetState:
        """Return the state that follows an event."""
        return TargetState(self._chart.next(state, event).state)

    def begun(self, announcement: Announcement, known: TargetRecord | None) -> TargetRecord:
        """Return the record that an accepted announcement starts with.

        :return: ``known`` itself if the announcement only renews.
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

    def lost(self, record: TargetRecord) -> TargetRecord:
        """Return the record of a target whose lease expired."""
        return record._replace(state=self.next(record.state, "expire"))

    def restored(self, record: TargetRecord, lease: Lease, now: float) -> TargetRecord | None:
        """Return the record of a target that no order stops any more, if that changes it."""
        transition = self._chart.next(record.state, OrderAction.RESTORE.value)
        if not transition.allowed:
            return None
        lease.stepped(now)
        return record._replace(state=TargetState(transition.state), weight=WARMING_WEIGHTS[0])

    def progress(self, record: TargetRecord, lease: Lease, now: float) -> TargetRecord:
        """Return the record after what the target said and the time that passed."""
        if lease.said is TargetState.DRAINING:
            return record._replace(state=self.next(record.state, "drain"), weight=DRAINED_WEIGHT)
        if record.state is TargetState.ANNOUNCED:
            return self._admit(record, lease, now)
        if record.state is TargetState.WARMING:
            return self._warm(record, lease, now)
        if record.flaps and lease.is_stable(now):
            record = record._replace(flaps=0)
        return record._replace(load=lease.load_level(record.load, now))

    def _admit(self, record: TargetRecord, lease: Lease, now: float) -> TargetRecord:
        if not lease.hold_is_over(now) and self._others_work(record):
            return record
        lease.stepped(now)
        return record._replace(state=self.next(record.state, "admit"), weight=WARMING_WEIGHTS[0])

    def _warm(self, record: TargetRecord, lease: Lease, now: float) -> TargetRecord:
        if lease.said is not TargetState.SERVING or not lease.step_is_over(now):
            return record
        lease.stepped(now)
        weight = next_weight(record.weight)
        state = self.next(record.state, "warm") if weight == FULL_WEIGHT else record.state
        return record._replace(state=state, weight=weight)

    def _others_work(self, record: TargetRecord) -> bool:
        return any(
            other.target.service == record.target.service
            and other.target.name != record.target.name
            and other.state in ACCEPTING_STATES
            for other in self._book.records
        )
