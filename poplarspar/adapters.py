"""What a node is assembled with."""

from collections.abc import Callable
from dataclasses import dataclass

from poplarspar.coordination.drain import Drain
from poplarspar.coordination.duties import DutyPort
from poplarspar.coordination.fleet import FleetDocuments
from poplarspar.coordination.forwarding import Forwarder, Upstream
from poplarspar.coordination.pools import OrderPort, ReportPort
from poplarspar.coordination.store_ports import WatchedStore
from poplarspar.state.metrics import Metrics
from poplarspar.transport.server import Handler


@dataclass(frozen=True)
class NodeAdapters:
    """Connections of a node to the store, backend servers and callers.

    Attributes
    ----------
    duties : DutyPort or None
        None where the platform asks for no duties.
    """

    store: WatchedStore
    documents: FleetDocuments
    operator_prefix: str
    backend_prefix: str
    upstream: Upstream
    reports: ReportPort
    orders: OrderPort
    caller_handler: Callable[[Forwarder, Drain, Metrics], Handler]
    close: Callable[[], None]
    duties: DutyPort | None = None
