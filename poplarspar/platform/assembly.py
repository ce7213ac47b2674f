"""A node that is connected with the platform."""

from poplarspar.node import Node, NodeAdapters
from poplarspar.platform.callers import PlatformCallers
from poplarspar.platform.keys import BACKEND_PREFIX, OPERATOR_PREFIX, PlatformDocuments
from poplarspar.platform.store import PlatformStore
from poplarspar.platform.upstream import PlatformUpstream
from poplarspar.platform.workers import PlatformOrders, PlatformReports
from poplarspar.state.node import NodeSettings


def build_node(settings: NodeSettings) -> Node:
    """Start a node on the platform."""
    store = PlatformStore(settings.store)
    outside = NodeAdapters(
        store=store,
        documents=PlatformDocuments(),
        operator_prefix=OPERATOR_PREFIX,
        backend_prefix=BACKEND_PREFIX,
        upstream=PlatformUpstream(),
        reports=PlatformReports(),
        orders=PlatformOrders(),
        caller_handler=lambda *parts: PlatformCallers(*parts).handle,
        close=store.close,
    )
    return Node(settings, outside)
