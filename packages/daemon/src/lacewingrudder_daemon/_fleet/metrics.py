"""Metrics of the processes of a fleet, served in the Prometheus text format."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import NamedTuple

from lacewingrudder_core.latencies import LatencyHistogram

from .http import HttpHandler, HttpRequest, HttpResponse

METRICS_PATH = "/metrics"
TEXT_HEADERS = (("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),)


class MetricsSnapshot(NamedTuple):
    """The current metrics of a process.

    :param events: number of events reported by event name, including suppressed ones.
    :param gauges: current values by metric name.
    :param counters: monotonic counters by metric name without ``_total``.
    :param latencies: latency histograms by metric name.
    """

    events: Mapping[str, int]
    gauges: Mapping[str, float]
    counters: Mapping[str, float]
    latencies: Mapping[str, LatencyHistogram]


class MetricsHandler(HttpHandler):
    """Answers requests for the current metrics.

    :param collect_metrics: returns the current metrics.
    """

    def __init__(self, collect_metrics: Callable[[], MetricsSnapshot]) -> None:
        self._collect = collect_metrics

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer a scrape.

        The text is rendered in a worker thread, because the first scrape imports the Prometheus
        library, which would delay the event loop.
        """
        if request.path.partition("?")[0] != METRICS_PATH:
            return HttpResponse(404)
        loop = asyncio.get_running_loop()
        body = await loop.run_in_executor(None, _render, self._collect())
        return HttpResponse(200, body, TEXT_HEADERS)


def _render(snapshot: MetricsSnapshot) -> bytes:
    """Return the metrics in the Prometheus text format."""
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import (
        CounterMetricFamily,
        GaugeMetricFamily,
        HistogramMetricFamily,
        Metric,
    )
    from prometheus_client.registry import Collector

    class SnapshotCollector(Collector):
        """Collects the given metrics."""

        def collect(self) -> list[Metric]:
            events = CounterMetricFamily("lwr_events", "Events by name.", labels=["event"])
            for name, count in dict(snapshot.events).items():
                events.add_metric([name], count)
            families: list[Metric] = [events]
            for name, value in snapshot.gauges.items():
                families.append(GaugeMetricFamily(f"lwr_{name}", name, value=value))
            for name, value in snapshot.counters.items():
                families.append(CounterMetricFamily(f"lwr_{name}", name, value=value))
            for name, latencies in snapshot.latencies.items():
                families.append(
                    HistogramMetricFamily(
                        f"lwr_{name}",
                        name,
                        buckets=latencies.cumulative_counts(),
                        sum_value=latencies.sum,
                    )
                )
            return families

    registry = CollectorRegistry()
    registry.register(SnapshotCollector())
    return generate_latest(registry)
