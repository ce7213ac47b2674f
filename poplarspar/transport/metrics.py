"""HTTP page with a process's metrics, for collectors."""

from collections.abc import Callable

from poplarspar.state.metrics import Metrics
from poplarspar.transport.server import Request, Response

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class MetricsPage:
    """HTTP handler that serves the metrics.

    Parameters
    ----------
    gauges : callable
        Returns the current values by name; the names include their units.
    """

    def __init__(
        self, metrics: Metrics, gauges: Callable[[], dict[str, float]]
    ) -> None:
        self._metrics = metrics
        self._gauges = gauges

    def handle(self, request: Request) -> Response:
        """Answer one request, whatever its path."""
        # The library isn't needed until a collector asks, if one does at all.
        from poplarspar.protocol.metrics import metrics_text

        return Response(200, metrics_text(self._metrics, self._gauges), CONTENT_TYPE)
