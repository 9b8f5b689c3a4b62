"""The metrics of an entry host."""

from __future__ import annotations

from lacewingrudder_core.tagging import TagForwarder

from .event_log import EventLog
from .message_socket import MessageSocket
from .metrics import MetricsSnapshot


def collect_entry_metrics(
    forwarder: TagForwarder, message_socket: MessageSocket, events: EventLog, is_ready: bool
) -> MetricsSnapshot:
    """Return the current metrics of an entry host."""
    return MetricsSnapshot(
        events.counts,
        {
            "flows": forwarder.flow_tracker.flow_count,
            "version": forwarder.version,
            "ready": is_ready,
            "evacuated_zones": len(forwarder.evacuations.zones),
        },
        {
            "message_bytes_sent": message_socket.sent_bytes,
            "messages_rejected": message_socket.rejected_message_count,
        },
        {
            "open_seconds": forwarder.open_seconds,
            "answer_seconds": forwarder.flow_tracker.answer_seconds,
        },
    )
