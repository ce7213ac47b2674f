"""Counters and latency histograms of one process."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50, 95, 99)


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


@dataclass(frozen=True)
class MetricsSummary:
    """Counters, and percentiles in microseconds, by name."""

    count_by_name: dict[str, int]
    percentiles_by_name: dict[str, dict[str, int]]


@dataclass
class Metrics:
    """Counters and histograms of a process; names include their units."""

    count_by_name: Counter = field(default_factory=Counter)
    histogram_by_name: dict[str, HdrHistogram] = field(default_factory=dict)

    def count(self, name: str, by: int = 1) -> None:
        """Add `by` to the counter `name`."""
        self.count_by_name[name] += by

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to the histogram `name`; the name ends in ``_us``."""
        histogram = self.histogram_by_name.setdefault(name, new_histogram())
        histogram.record_value(max(LOWEST_US, int(seconds * 1e6)))

    def summary(self) -> MetricsSummary:
        """Return all counters and the percentiles of all histograms."""
        return MetricsSummary(
            dict(sorted(self.count_by_name.items())),
            {
                name: _percentiles(histogram)
                for name, histogram in sorted(self.histogram_by_name.items())
            },
        )


def _percentiles(histogram: HdrHistogram) -> dict[str, int]:
    return {
        f"p{percentile}": histogram.get_value_at_percentile(percentile)
        for percentile in PERCENTILES
    }
