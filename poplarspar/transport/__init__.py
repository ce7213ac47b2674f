"""Sockets: HTTP servers and clients, and links between daemons."""

from poplarspar.transport.backends import (
    HttpBackends,
    HttpOrderSender,
    HttpReportReader,
)
from poplarspar.transport.callers import (
    CallerApi,
)
from poplarspar.transport.lending import (
    LenderLinks,
    SlotLender,
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
    "HttpOrderSender",
    "HttpReportReader",
    "HttpServer",
    "HttpStore",
    "HttpVmList",
    "Identity",
    "LenderLinks",
    "Link",
    "LinkServer",
    "SlotLender",
    "OperatorApi",
    "OperatorClient",
    "Request",
    "Response",
]
