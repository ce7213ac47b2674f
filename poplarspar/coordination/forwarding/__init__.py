"""Forwarding of callers' requests to backend servers."""

from poplarspar.coordination.forwarding.attempts import Sender
from poplarspar.coordination.forwarding.demand import DemandMeter
from poplarspar.coordination.forwarding.forwarder import Answer, Forwarder
from poplarspar.coordination.forwarding.notices import Leaving, Notice, Pause
from poplarspar.coordination.forwarding.ports import (
    Attempt,
    Exchange,
    StreamEvent,
    Upstream,
)
from poplarspar.coordination.forwarding.rate_limits import (
    NamedLimit,
    NoLimit,
    ObservedLimit,
    UnreadableLimit,
)
from poplarspar.coordination.forwarding.retry_budget import RetryBudget
from poplarspar.coordination.forwarding.routing import RoutedRequest, route_request
from poplarspar.coordination.forwarding.stall_detector import (
    STALL_CHECK_INTERVAL_S,
    StallDetector,
)
from poplarspar.coordination.forwarding.target import Target
from poplarspar.coordination.forwarding.targets import Targets

__all__ = [
    "STALL_CHECK_INTERVAL_S",
    "Answer",
    "Attempt",
    "DemandMeter",
    "Exchange",
    "Forwarder",
    "Leaving",
    "NamedLimit",
    "NoLimit",
    "Notice",
    "ObservedLimit",
    "Pause",
    "RetryBudget",
    "RoutedRequest",
    "Sender",
    "StallDetector",
    "StreamEvent",
    "Target",
    "Targets",
    "UnreadableLimit",
    "Upstream",
    "route_request",
]
