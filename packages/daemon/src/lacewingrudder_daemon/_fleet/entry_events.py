"""Timeline events of an entry host's decisions and state changes."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from lacewingrudder_core.subscriptions import KnownTarget, LifeState, Lifetime, ZonePeerCounts
from lacewingrudder_core.tagging import (
    EJECTION_FAILURE_COUNT,
    Ejection,
    Forwarded,
    RepeatedSyn,
    TagSegment,
    flow_tag,
)
from lacewingrudder_core.types import Endpoint, FlowKey, HostName

from ..event_sink import EventSink

if TYPE_CHECKING:
    from lacewingrudder_core.notes import Evacuations


class EntryEvents:
    """Reports decisions as timeline events, with the facts that each was based on.

    :param sink: receives the events.
    """

    def __init__(self, sink: EventSink) -> None:
        self._sink = sink

    def record_placement(self, segment: TagSegment, decision: Forwarded, version: int) -> None:
        """Report that a SYN, or a retransmission of it, was forwarded to a target."""
        self._sink.record(
            "placed" if not segment.attempt else "placed_again",
            revision=version,
            flow=_flow_text(segment.flow),
            target=str(decision.endpoint),
            detail=f"tag {decision.tag:08x}, SYN attempt {segment.attempt}",
        )

    def record_repeated_syn(self, segment: TagSegment, syn: RepeatedSyn) -> None:
        """Report that a target that doesn't hold a flow got its SYN again, with the flow's tag."""
        self._sink.record(
            "syn_repeated",
            flow=_flow_text(segment.flow),
            target=str(syn.endpoint),
            detail=f"the flow is open with tag {syn.tag:08x}",
        )

    def record_drop_or_reset(
        self, event: str, reason: str, segment: TagSegment, version: int
    ) -> None:
        """Report that a packet was dropped or its flow reset."""
        self._sink.record(
            event,
            revision=version,
            flow=_flow_text(segment.flow),
            detail=f"{reason}, tag {segment.tag:08x}",
        )

    def record_silence(self, lifetime: Lifetime) -> None:
        """Report that a target left a SYN unanswered."""
        name, started_ms = lifetime
        self._sink.record("target_unanswering", detail=f"{name} born {started_ms}")

    def record_target_changes(self, targets: Iterable[KnownTarget]) -> None:
        """Report target lifetimes that are new, changed state, or miss their heartbeats."""
        for entry, has_recent_heartbeat in targets:
            name, started_ms = entry.lifetime
            missed = (
                ""
                if has_recent_heartbeat or entry.state is LifeState.GONE
                else ", heartbeats missed"
            )
            detail = (
                f"{entry.state.name.lower()} as of check-in {entry.sequence}{missed},"
                f" {name} born {started_ms}, service {entry.service},"
                f" tag {flow_tag(entry.lifetime):08x}"
            )
            self._sink.record("target_changed", target=str(entry.endpoint), detail=detail)

    def record_ejections(self, ejections: Iterable[Ejection]) -> None:
        """Report targets and zones that get no new flows for a while."""
        for zone, target in ejections:
            detail = f"zone {zone}, {EJECTION_FAILURE_COUNT} packets in a row without an answer"
            if target is None:
                self._sink.record("zone_avoided", detail=detail)
            else:
                self._sink.record("target_avoided", target=str(target), detail=detail)

    def record_leaving(self, peers: ZonePeerCounts, is_disconnected: bool) -> None:
        """Report that this host becomes not ready because it shuts down, and its zone's state."""
        detail = f"{peers.ready} of {peers.known} other hosts of the zone are ready"
        if is_disconnected:
            detail += ", no control host answers"
        self._sink.record("leaving", detail=detail)

    def record_in_force(self, version: int, before: int, routes: int) -> None:
        """Report that a configuration is in force."""
        detail = f"{routes} routes, after version {before}"
        self._sink.record("in_force", revision=version, detail=detail)

    def record_evacuations(self, evacuations: Evacuations) -> None:
        """Report that the targets of other zones than before get no new flows."""
        zones = ", ".join(evacuations.zones) or "none"
        detail = f"revision {evacuations.revision}, evacuated zones: {zones}"
        self._sink.record("evacuations_in_force", detail=detail)

    def record_unreadable(self, version: int, error: ValueError) -> None:
        """Report a configuration that cannot be decoded; the previous one stays in force."""
        self._sink.record("configuration_unreadable", revision=version, detail=str(error))

    def record_control_lost(self, control: HostName, silence: float) -> None:
        """Report that a control host no longer answers."""
        self._sink.record(
            "control_lost", target=control, detail=f"unresponsive for {silence:.1f} s"
        )

    def record_control_regained(self, control: HostName) -> None:
        """Report that a control host answers again."""
        self._sink.record("control_regained", target=control)

    def record_readiness(self, is_ready: bool, version: int) -> None:
        """Report that this host started or stopped accepting new flows."""
        self._sink.record("ready" if is_ready else "not_ready", revision=version)

    def record_rejected_packet(self, size: int, sender: str) -> None:
        """Report a datagram that is not a valid packet."""
        self._sink.record("packet_rejected", detail=f"{size} bytes from {sender}")


def _flow_text(flow: FlowKey) -> str:
    caller = Endpoint(flow.caller, flow.caller_port)
    return f"{caller}>{Endpoint(flow.service, flow.service_port)}"
