"""Counters, latencies and gauges of a process, as text for common collectors."""

from collections.abc import Callable, Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from poplarspar.state.metrics import PERCENTILES, Metrics
from poplarspar.transport.server import Request, Response

PREFIX = "poplarspar_"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MICROSECONDS = "_us"


class _ProcessCollector(Collector):
    """Turns a process's metrics into families when they are asked for."""

    def __init__(
        self, metrics: Metrics, gauges: Callable[[], dict[str, float]]
    ) -> None:
        self._metrics = metrics
        self._gauges = gauges

    def collect(self) -> Iterator:
        """Yield all families."""
        for name, count in sorted(self._metrics.count_by_name.items()):
            yield CounterMetricFamily(PREFIX + name, f"Count of {name}.", value=count)
        for name, value in sorted(self._gauges().items()):
            yield GaugeMetricFamily(PREFIX + name, f"Present {name}.", value=value)
        for name, histogram in sorted(self._metrics.histogram_by_name.items()):
            seconds = name.removesuffix(MICROSECONDS) + "_seconds"
            family = SummaryMetricFamily(PREFIX + seconds, f"Percentiles of {seconds}.")
            labelled = PREFIX + seconds
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / 1e6
                labels = {"quantile": str(percentile / 100)}
                family.add_sample(labelled, labels, value)
            count = histogram.get_total_count()
            total_s = histogram.get_mean_value() * count / 1e6 if count else 0.0
            family.add_sample(f"{labelled}_count", {}, count)
            family.add_sample(f"{labelled}_sum", {}, total_s)
            yield family


class MetricsPage:
    """Answers collectors.

    Parameters
    ----------
    gauges : callable
        Returns present values by name; names carry their units.
    """

    def __init__(
        self, metrics: Metrics, gauges: Callable[[], dict[str, float]]
    ) -> None:
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(_ProcessCollector(metrics, gauges))

    def handle(self, request: Request) -> Response:
        """Answer one request, whatever its path."""
        return Response(200, generate_latest(self._registry), CONTENT_TYPE)
