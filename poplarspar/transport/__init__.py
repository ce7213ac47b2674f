"""Sockets: HTTP servers and clients, and links between daemons."""

from poplarspar.transport.backends import (
    HttpBackends,
    HttpOrders,
    HttpReports,
)
from poplarspar.transport.callers import (
    CallerApi,
)
from poplarspar.transport.lending import (
    LenderLinks,
    LoanDesk,
)
from poplarspar.transport.links import (
    Identity,
    Link,
    LinkServer,
)
from poplarspar.transport.operator_client import (
    OperatorClient,
)
from poplarspar.transport.operators import (
    OperatorApi,
)
from poplarspar.transport.platform import (
    HttpStore,
    HttpVmList,
)
from poplarspar.transport.server import (
    HttpServer,
    Request,
    Response,
)

__all__ = [
    "CallerApi",
    "HttpBackends",
    "HttpOrders",
    "HttpReports",
    "HttpServer",
    "HttpStore",
    "HttpVmList",
    "Identity",
    "LenderLinks",
    "Link",
    "LinkServer",
    "LoanDesk",
    "OperatorApi",
    "OperatorClient",
    "Request",
    "Response",
]
