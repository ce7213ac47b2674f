"""Assembly of a node with the platform's adapters."""

from poplarspar.adapters import NodeAdapters
from poplarspar.node import Node
from poplarspar.platform.backends import PlatformOrderSender, PlatformReportReader
from poplarspar.platform.callers import PlatformCallerHandler
from poplarspar.platform.duties import PlatformDutyCaller
from poplarspar.platform.keys import BACKEND_PREFIX, OPERATOR_PREFIX, PlatformDocuments
from poplarspar.platform.store import PlatformStore
from poplarspar.platform.upstream import PlatformUpstream
from poplarspar.state.node import NodeSettings


def build_node(settings: NodeSettings) -> Node:
    """Start a node that uses the platform's store and backend servers."""
    store = PlatformStore(settings.store)
    duties = settings.duties
    adapters = NodeAdapters(
        store=store,
        documents=PlatformDocuments(),
        operator_prefix=OPERATOR_PREFIX,
        backend_prefix=BACKEND_PREFIX,
        upstream=PlatformUpstream(),
        reports=PlatformReportReader(),
        orders=PlatformOrderSender(),
        caller_handler=lambda *parts: PlatformCallerHandler(*parts).handle,
        close=store.close,
        duties=PlatformDutyCaller(duties.address) if duties else None,
    )
    return Node(settings, adapters)
