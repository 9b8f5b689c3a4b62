"""Metrics of a fleet's processes, served as Prometheus text."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import NamedTuple

from lacewingrudder_core.latencies import LatencyHistogram

from .http import HttpHandler, HttpRequest, HttpResponse

METRICS_PATH = "/metrics"
TEXT_TYPE = (("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),)


class Measures(NamedTuple):
    """What a process counts.

    :param events: how often each event was reported, those left out of the log included.
    :param gauges: present values by name.
    :param counters: values that only grow, by name without ``_total``.
    :param latencies: histograms by name, in seconds.
    """

    events: Mapping[str, int]
    gauges: Mapping[str, float]
    counters: Mapping[str, float]
    latencies: Mapping[str, LatencyHistogram]


class MetricsHandler(HttpHandler):
    """Answers with the metrics as they are now.

    :param measure: reads them.
    """

    def __init__(self, measure: Callable[[], Measures]) -> None:
        self._measure = measure

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer a scrape; the library is imported for the first one, beside the other work."""
        if request.path.partition("?")[0] != METRICS_PATH:
            return HttpResponse(404)
        loop = asyncio.get_running_loop()
        body = await loop.run_in_executor(None, _text, self._measure())
        return HttpResponse(200, body, TEXT_TYPE)


def _text(measures: Measures) -> bytes:
    """Return measures in the text format."""
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import (
        CounterMetricFamily,
        GaugeMetricFamily,
        HistogramMetricFamily,
        Metric,
    )
    from prometheus_client.registry import Collector

    class Snapshot(Collector):
        """Yields the measures once."""

        def collect(self) -> list[Metric]:
            events = CounterMetricFamily("lwr_events", "Events by name.", labels=["event"])
            for name, count in dict(measures.events).items():
                events.add_metric([name], count)
            families: list[Metric] = [events]
            for name, value in measures.gauges.items():
                families.append(GaugeMetricFamily(f"lwr_{name}", name, value=value))
            for name, value in measures.counters.items():
                families.append(CounterMetricFamily(f"lwr_{name}", name, value=value))
            for name, latencies in measures.latencies.items():
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
    registry.register(Snapshot())
    return generate_latest(registry)
