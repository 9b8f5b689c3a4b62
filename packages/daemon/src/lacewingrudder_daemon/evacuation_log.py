"""Reports changes of the evacuated zones in the timeline and the log of lacewingrudderd."""

from __future__ import annotations

import logging

from lacewingrudder_core.notes import Evacuations

from .event_sink import EventSink

_log = logging.getLogger(__name__)


class EvacuationLog:
    """Reports the evacuated zones whenever they change; none are evacuated at first.

    :param event: the name of the event to record.
    """

    def __init__(self, events: EventSink, event: str) -> None:
        self._events = events
        self._event = event
        self._evacuations = Evacuations()

    def record(self, evacuations: Evacuations) -> None:
        """Report the evacuated zones if they changed."""
        if evacuations == self._evacuations:
            return
        self._evacuations = evacuations
        revision, zones = evacuations
        detail = f"evacuated zones: {', '.join(zones) or 'none'}"
        self._events.record(self._event, revision=revision, detail=detail)
        _log.info("%s at revision %d: %s", self._event, revision, detail)
