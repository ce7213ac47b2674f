"""Links between the nodes and the planner."""

from collections.abc import Callable

import eventlet

from poplarspar.events import Event
from poplarspar.exceptions import ProtocolError, TransportError
from poplarspar.logs import log_event
from poplarspar.state.plan import FleetPlan, NodeLoad
from poplarspar.transport.links import Identity, Link, connect

# The planner answers within a second; a link without an answer is cut.
ANSWER_TIMEOUT_S = 1.6
IDLE_TIMEOUT_S = 5.0
PAUSE_S = 0.2


class PlanServer:
    """Serves the links of nodes at the planner.

    Parameters
    ----------
    answer : callable
        Takes a node's name and load and returns the plan for it.
    """

    def __init__(self, answer: Callable[[str, NodeLoad], FleetPlan]) -> None:
        self._answer = answer

    def serve(self, link: Link, name: str) -> None:
        """Serve one node's link until it ends."""
        while True:
            match link.receive(IDLE_TIMEOUT_S):
                case NodeLoad() as load:
                    link.send(self._answer(name, load))
                case other:
                    raise ProtocolError(f"unexpected {type(other).__name__}")


class PlanPoller:
    """Keeps a node linked to the planner.

    Parameters
    ----------
    planner : callable
        Returns the planner's address and secret, empty texts if there is none.
    load : callable
        Returns this node's work.
    apply : callable
        Takes the plan.
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
        self._lost = ""

    def run(self) -> None:
        """Ask the planner for as long as the process lives."""
        while True:
            address, secret = self._planner_endpoint()
            if address:
                try:
                    self._follow_one(address, secret)
                except (TransportError, ProtocolError) as error:
                    self._note_loss(address, str(error))
            eventlet.sleep(PAUSE_S)

    def _note_loss(self, address: str, cause: str) -> None:
        if address != self._lost:
            self._lost = address
            log_event(Event.PLANNER_LOST, address=address, cause=cause)

    def _follow_one(self, address: str, secret: str) -> None:
        link = connect(address, Identity(self._name, secret))
        try:
            while self._planner_endpoint() == (address, secret):
                match link.request(self._load(), ANSWER_TIMEOUT_S):
                    case FleetPlan() as plan:
                        self._lost = ""
                        self._apply(plan)
                    case other:
                        raise ProtocolError(f"unexpected {type(other).__name__}")
        finally:
            link.close()
