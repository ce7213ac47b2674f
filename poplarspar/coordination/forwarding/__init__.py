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
from poplarspar.coordination.forwarding.stalls import STALL_PERIOD_S, StallWatch
from poplarspar.coordination.forwarding.target import Target
from poplarspar.coordination.forwarding.targets import Targets

__all__ = [
    "STALL_PERIOD_S",
    "Answer",
    "Attempt",
    "DemandMeter",
    "Exchange",
    "Forwarder",
    "RepeatBudget",
    "RoutedRequest",
    "Sender",
    "StallWatch",
    "StreamEvent",
    "Target",
    "Targets",
    "Upstream",
    "route_request",
]
