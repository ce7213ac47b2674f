"""Pages of a node for the load balancer and for collectors of metrics."""

import socket
from collections.abc import Callable
from contextlib import ExitStack

from poplarspar.state.metrics import Metrics
from poplarspar.state.node import NodeSettings
from poplarspar.transport.addresses import listen
from poplarspar.transport.metrics import MetricsPage
from poplarspar.transport.server import (
    HttpServer,
    Request,
    Response,
    ServerLimits,
    json_response,
)

PROBE_LIMITS = ServerLimits(4_096, header_timeout_s=3.0, idle_timeout_s=30.0)


def start_pages(
    settings: NodeSettings,
    is_ready: Callable[[], bool],
    metrics: Metrics,
    gauges: Callable[[], dict[str, float]],
    stack: ExitStack,
) -> socket.socket:
    """Serve the pages until `stack` closes, and return the readiness check's socket."""

    def handle_ready(request: Request) -> Response:
        ready = is_ready()
        return json_response(200 if ready else 503, {"ready": ready})

    listener = listen(settings.ready_listen)
    ready_server = HttpServer(
        listener, handle_ready, connection_limit=64, limits=lambda: PROBE_LIMITS
    )
    stack.callback(ready_server.close)
    metrics_server = HttpServer(
        listen(settings.metrics_listen),
        MetricsPage(metrics, gauges).handle,
        connection_limit=16,
        limits=lambda: PROBE_LIMITS,
    )
    stack.callback(metrics_server.close)
    return listener
