"""Conversion of a process's metrics to the Prometheus text format."""

from collections.abc import Callable, Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from poplarspar.state.metrics import PERCENTILES, Metrics

PREFIX = "poplarspar_"
MICROSECONDS_SUFFIX = "_us"


class _ProcessCollector(Collector):
    """Converts a process's metrics into metric families at each scrape."""

    def __init__(
        self, metrics: Metrics, gauges: Callable[[], dict[str, float]]
    ) -> None:
        self._metrics = metrics
        self._gauges = gauges

    def collect(self) -> Iterator:
        """Yield all metric families."""
        for name, count in sorted(self._metrics.count_by_name.items()):
            yield CounterMetricFamily(PREFIX + name, f"Count of {name}.", value=count)
        for name, value in sorted(self._gauges().items()):
            yield GaugeMetricFamily(PREFIX + name, f"Present {name}.", value=value)
        for name, histogram in sorted(self._metrics.histogram_by_name.items()):
            base_name = name.removesuffix(MICROSECONDS_SUFFIX) + "_seconds"
            family = SummaryMetricFamily(
                PREFIX + base_name, f"Percentiles of {base_name}."
            )
            metric = PREFIX + base_name
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / 1e6
                labels = {"quantile": str(percentile / 100)}
                family.add_sample(metric, labels, value)
            count = histogram.get_total_count()
            total_s = histogram.get_mean_value() * count / 1e6 if count else 0.0
            family.add_sample(f"{metric}_count", {}, count)
            family.add_sample(f"{metric}_sum", {}, total_s)
            yield family


def metrics_text(metrics: Metrics, gauges: Callable[[], dict[str, float]]) -> bytes:
    """Return all metrics as text."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_ProcessCollector(metrics, gauges))
    return generate_latest(registry)
