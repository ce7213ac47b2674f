"""Links between the nodes and the planner."""

from collections.abc import Callable

import eventlet

from poplarspar.events import Event
from poplarspar.exceptions import ProtocolError, TransportError
from poplarspar.logs import log_event
from poplarspar.state.plan import FleetPlan, NodeLoad
from poplarspar.transport.links import Identity, Link, connect

# The planner answers within a second; after this time-out, the node closes the link.
ANSWER_TIMEOUT_S = 1.6
IDLE_LINK_TIMEOUT_S = 5.0
RECONNECT_DELAY_S = 0.2


class PlanServer:
    """Answers nodes' load reports with plans, at the planner.

    Parameters
    ----------
    answer : callable
        Returns the plan for a node, given the node's name and load.
    """

    def __init__(self, answer: Callable[[str, NodeLoad], FleetPlan]) -> None:
        self._answer = answer

    def serve(self, link: Link, name: str) -> None:
        """Serve the link of one node until it ends."""
        while True:
            match link.receive(IDLE_LINK_TIMEOUT_S):
                case NodeLoad() as load:
                    link.send(self._answer(name, load))
                case other:
                    raise ProtocolError(f"unexpected {type(other).__name__}")


class PlanPoller:
    """Sends a node's load to the planner and applies the plans that it returns.

    Parameters
    ----------
    planner_endpoint : callable
        Returns the planner's address and secret, both empty if there is no planner.
    load : callable
        Returns this node's current load.
    apply : callable
        Applies a plan.
    """

    def __init__(
        self,
        name: str,
        planner_endpoint: Callable[[], tuple[str, str]],
        load: Callable[[], NodeLoad],
        apply: Callable[[FleetPlan], None],
    ) -> None:
        self._name = name
        self._planner_endpoint = planner_endpoint
        self._load = load
        self._apply = apply
        self._lost_address = ""

    def run(self) -> None:
        """Poll the current planner, without end."""
        while True:
            address, secret = self._planner_endpoint()
            if address:
                try:
                    self._poll_until_lost(address, secret)
                except (TransportError, ProtocolError) as error:
                    self._log_loss(address, str(error))
            eventlet.sleep(RECONNECT_DELAY_S)

    def _log_loss(self, address: str, cause: str) -> None:
        if address != self._lost_address:
            self._lost_address = address
            log_event(Event.PLANNER_LOST, address=address, cause=cause)

    def _poll_until_lost(self, address: str, secret: str) -> None:
        link = connect(address, Identity(self._name, secret))
        try:
            while self._planner_endpoint() == (address, secret):
                match link.request(self._load(), ANSWER_TIMEOUT_S):
                    case FleetPlan() as plan:
                        self._lost_address = ""
                        self._apply(plan)
                    case other:
                        raise ProtocolError(f"unexpected {type(other).__name__}")
        finally:
            link.close()
