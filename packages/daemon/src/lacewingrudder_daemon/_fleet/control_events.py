"""Log lines of a control host about its targets and subscribers."""

from __future__ import annotations

from lacewingrudder_core import checkins
from lacewingrudder_core.checkins import CheckInOutcome, CheckInReply, TargetEntry

from .event_log import EventLog


class ControlEvents:
    """Records the effects of check-ins in the event log; heartbeats alone are not recorded."""

    def __init__(self, events: EventLog) -> None:
        self._events = events

    def record(self, effect: checkins.CheckInEffect) -> None:
        """Record an effect, if it changes what this host believes or confirms."""
        match effect:
            case CheckInReply():
                self._record_reply(effect)
            case checkins.Departed(entry, is_confirmed):
                confirmation = "confirmation received" if is_confirmed else "no confirmation"
                self._record_target("target_departed", entry, confirmation)
            case checkins.Expired(entry):
                self._record_target("target_silent", entry)
            case checkins.ReportedSilent(entry):
                self._record_target("target_reported_silent", entry)
            case checkins.SubscriberLost(host):
                self._events.record("subscriber_lost", target=host)
            case checkins.SubscriberAppeared(host):
                self._events.record("subscriber_found", target=host)

    def _record_reply(self, reply: CheckInReply) -> None:
        if reply.outcome is CheckInOutcome.RENEWED:
            return
        replication = "replicated" if reply.is_replicated else "not replicated"
        detail = f"{reply.outcome}, {replication}, call {reply.token}"
        self._events.record("checked_in", detail=detail)

    def _record_target(self, event: str, entry: TargetEntry, reason: str = "") -> None:
        name, started_ms = entry.lifetime
        detail = f"{name} born {started_ms}, last check-in {entry.sequence}"
        if reason:
            detail = f"{detail}, {reason}"
        self._events.record(event, target=str(entry.endpoint), detail=detail)
