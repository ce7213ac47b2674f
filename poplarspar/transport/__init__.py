"""HTTP servers and clients, and authenticated links between daemons."""

from poplarspar.lazy_exports import lazy_exports

__all__, __getattr__ = lazy_exports(
    __name__,
    {
        "backends": (
            "HttpBackends",
            "HttpOrderSender",
            "HttpReportReader",
        ),
        "callers": ("CallerApi",),
        "lending": (
            "LenderLinks",
            "SlotLender",
        ),
        "links": (
            "Identity",
            "Link",
            "LinkServer",
        ),
        "operator_client": ("OperatorClient",),
        "operators": ("OperatorApi",),
        "platform": (
            "HttpStore",
            "HttpVmList",
        ),
        "server": (
            "HttpServer",
            "Request",
            "Response",
        ),
    },
)
