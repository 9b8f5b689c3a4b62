"""Prometheus metrics of a lacewingrudderd process."""

from __future__ import annotations

from collections.abc import Iterable

from lacewingrudder_core.notes import Evacuations
from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from ._links.counts import Rejection
from ._links.hub import LinkHub
from .control_task import ControlTask
from .entry_task import EntryTask


class ProcessMetrics(Collector):
    """Collects the metrics from the components of a process on each scrape."""

    def __init__(
        self, hub: LinkHub, entry: EntryTask | None, control: ControlTask | None = None
    ) -> None:
        self._hub = hub
        self._entry = entry
        self._control = control
        self._registry = CollectorRegistry()
        self._registry.register(self)

    @property
    def registry(self) -> CollectorRegistry:
        """The registry that this collector is registered with."""
        return self._registry

    def collect(self) -> Iterable[Metric]:
        """Yield the current metrics."""
        yield from _link_metrics(self._hub)
        if self._control is not None:
            yield from _control_metrics(self._control)
        if self._entry is None:
            return
        yield GaugeMetricFamily(
            "lwr_flows", "Flows that this host keeps.", value=self._entry.core.flow_count
        )
        yield GaugeMetricFamily(
            "lwr_pins",
            "Flows on another target than the table gives.",
            value=self._entry.core.pin_count,
        )
        yield GaugeMetricFamily(
            "lwr_revision", "Revision in force.", value=self._entry.core.revision
        )
        yield GaugeMetricFamily(
            "lwr_members", "Live entry hosts.", value=self._entry.core.member_count
        )
        yield _evacuated_zones("lwr_zone_evacuated", "in force", self._entry.core.evacuations)
        yield GaugeMetricFamily(
            "lwr_serving_targets",
            "Targets that take new flows.",
            value=self._entry.core.serving_target_count,
        )
        yield GaugeMetricFamily(
            "lwr_ejected_targets",
            "Targets that get no new flow of this host, on its own evidence.",
            value=self._entry.ejected_target_count,
        )
        yield CounterMetricFamily(
            "lwr_rejected_announcements",
            "Announcements of targets that were not taken.",
            value=self._entry.rejected_announcement_count,
        )
        drops = CounterMetricFamily("lwr_dropped_packets", "Packets dropped.", labels=["reason"])
        for reason, count in self._entry.drops.items():
            drops.add_metric([reason], count)
        yield drops
        verdicts = CounterMetricFamily(
            "lwr_verdicts", "Flows that ended otherwise.", labels=["verdict", "reason"]
        )
        for (verdict, reason), count in self._entry.verdicts.items():
            verdicts.add_metric([verdict, reason], count)
        yield verdicts


def _link_metrics(hub: LinkHub) -> Iterable[Metric]:
    yield CounterMetricFamily(
        "lwr_link_sent_bytes", "Bytes sent to other processes.", value=hub.bytes_sent
    )
    by_purpose = (
        ("lwr_link_purpose_sent_bytes", "Bytes sent, by purpose.", hub.counts.sent_bytes),
        ("lwr_link_purpose_received_bytes", "Bytes received.", hub.counts.received_bytes),
    )
    for name, documentation, counts in by_purpose:
        family = CounterMetricFamily(name, documentation, labels=["purpose"])
        for purpose, count in counts.items():
            family.add_metric([purpose], count)
        yield family
    rejections = CounterMetricFamily(
        "lwr_link_rejections", "Links closed or not taken.", labels=["reason"]
    )
    for reason in Rejection:
        rejections.add_metric([reason], hub.counts.rejections[reason])
    yield rejections
    yield GaugeMetricFamily("lwr_linked_hosts", "Hosts with a link.", value=hub.linked_host_count)
    yield CounterMetricFamily(
        "lwr_link_dropped_messages",
        "Messages that gave way as their receiver was too slow.",
        value=hub.dropped_message_count,
    )


def _control_metrics(control: ControlTask) -> Iterable[Metric]:
    replica = control.core.replica
    yield GaugeMetricFamily(
        "lwr_control_revision", "Revision committed.", value=replica.catalogue.revision
    )
    yield GaugeMetricFamily("lwr_control_term", "Term of the log.", value=replica.state.term)
    yield _evacuated_zones(
        "lwr_control_zone_evacuated", "committed", control.core.catalogue.evacuations
    )
    roles = GaugeMetricFamily("lwr_control_role", "1 for the present role.", labels=["role"])
    roles.add_metric([replica.role], 1)
    yield roles


def _evacuated_zones(name: str, state: str, evacuations: Evacuations) -> Metric:
    """Return a gauge with one sample for each evacuated zone, and none for other zones."""
    documentation = f"1 for each zone whose evacuation is {state}."
    family = GaugeMetricFamily(name, documentation, labels=["zone"])
    for zone in evacuations.zones:
        family.add_metric([zone], 1)
    return family
