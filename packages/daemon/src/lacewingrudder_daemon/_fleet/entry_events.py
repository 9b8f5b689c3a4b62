"""What an entry host reports of its decisions and beliefs."""

from __future__ import annotations

from collections.abc import Iterable

from lacewingrudder_core.checkins import KnownTarget, LifeState, ZonePeerCounts
from lacewingrudder_core.tagging import (
    EJECTION_FAILURES,
    Ejection,
    Forwarded,
    TagSegment,
    flow_tag,
)
from lacewingrudder_core.types import Endpoint, FlowKey, HostName

from ..event_sink import EventSink


class EntryEvents:
    """Turns decisions into events, each with what decided it.

    :param sink: takes the events.
    """

    def __init__(self, sink: EventSink) -> None:
        self._sink = sink

    def placed(self, segment: TagSegment, decision: Forwarded, version: int) -> None:
        """Report that a SYN, or a copy of it, went to a target."""
        self._sink.record(
            "placed" if not segment.attempt else "placed_again",
            revision=version,
            flow=_flow_text(segment.flow),
            target=str(decision.endpoint),
            detail=f"tag {decision.tag:08x}, copy {segment.attempt} of the SYN",
        )

    def ended(self, event: str, reason: str, segment: TagSegment, version: int) -> None:
        """Report that a packet was dropped or its flow reset."""
        self._sink.record(
            event,
            revision=version,
            flow=_flow_text(segment.flow),
            detail=f"{reason}, tag {segment.tag:08x}",
        )

    def targets(self, targets: Iterable[KnownTarget]) -> None:
        """Report lifetimes that are new, in another state, or whose heartbeats are missed."""
        for entry, is_fresh in targets:
            name, born = entry.lifetime
            missed = "" if is_fresh or entry.state is LifeState.GONE else ", heartbeats missed"
            detail = (
                f"{entry.state.name.lower()} as of check-in {entry.sequence}{missed},"
                f" {name} born {born}, service {entry.service}, tag {flow_tag(entry.lifetime):08x}"
            )
            self._sink.record("target_changed", target=str(entry.endpoint), detail=detail)

    def avoided(self, rows: Iterable[Ejection]) -> None:
        """Report targets and zones that new flows keep away from for a while."""
        for zone, target in rows:
            detail = f"zone {zone}, {EJECTION_FAILURES} packets in a row without an answer"
            if target is None:
                self._sink.record("zone_avoided", detail=detail)
            else:
                self._sink.record("target_avoided", target=str(target), detail=detail)

    def leaving(self, peers: ZonePeerCounts, is_blind: bool) -> None:
        """Report that this host says not ready because it is told to stop, and what it knew."""
        detail = f"{peers.ready} of {peers.known} other hosts of the zone are ready"
        if is_blind:
            detail += ", no control host answers"
        self._sink.record("leaving", detail=detail)

    def in_force(self, version: int, before: int, routes: int) -> None:
        """Report that a configuration is in force."""
        detail = f"{routes} routes, after version {before}"
        self._sink.record("in_force", revision=version, detail=detail)

    def unreadable(self, version: int, error: ValueError) -> None:
        """Report a configuration that can't be read; the one before stays in force."""
        self._sink.record("configuration_unreadable", revision=version, detail=str(error))

    def control_lost(self, control: HostName, silence: float) -> None:
        """Report that a control host does not answer."""
        self._sink.record("control_lost", target=control, detail=f"silent for {silence:.1f} s")

    def control_regained(self, control: HostName) -> None:
        """Report that a control host answers again."""
        self._sink.record("control_regained", target=control)

    def readiness(self, is_ready: bool, version: int) -> None:
        """Report that this host takes new flows, or no longer."""
        self._sink.record("ready" if is_ready else "not_ready", revision=version)

    def rejected(self, size: int, sender: str) -> None:
        """Report bytes that are no packet."""
        self._sink.record("packet_rejected", detail=f"{size} bytes from {sender}")


def _flow_text(flow: FlowKey) -> str:
    caller = Endpoint(flow.caller, flow.caller_port)
    return f"{caller}>{Endpoint(flow.service, flow.service_port)}"
