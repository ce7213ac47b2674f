"""Passing callers' requests on to backend servers."""

from poplarspar.coordination.forwarding.attempts import Sender
from poplarspar.coordination.forwarding.demand import DemandMeter
from poplarspar.coordination.forwarding.forwarder import Answer, Forwarder
from poplarspar.coordination.forwarding.lookup import RoutedRequest, route_request
from poplarspar.coordination.forwarding.ports import (
    Attempt,
    Exchange,
    StreamEvent,
    Upstream,
)
from poplarspar.coordination.forwarding.repeats import RepeatBudget
from poplarspar.coordination.forwarding.targets import Target, Targets

__all__ = [
    "Answer",
    "Attempt",
    "DemandMeter",
    "Exchange",
    "Forwarder",
    "RepeatBudget",
    "RoutedRequest",
    "Sender",
    "StreamEvent",
    "Target",
    "Targets",
    "Upstream",
    "route_request",
]
