"""Links between the nodes and the planner."""

from collections.abc import Callable
from typing import Protocol

import eventlet

from poplarspar.events import Event
from poplarspar.exceptions import ProtocolError, TransportError
from poplarspar.logs import log_event
from poplarspar.state.plan import NodeLoad, PlanUpdate
from poplarspar.transport.links import Identity, Link, connect

# The planner answers within a second; after this time-out, the node closes the link.
ANSWER_TIMEOUT_S = 1.6
IDLE_LINK_TIMEOUT_S = 5.0
RECONNECT_DELAY_S = 0.2


class PlanReceiver(Protocol):
    """The part of a node that follows the plan."""

    def start_link(self) -> None:
        """Forget which plan the planner last sent, before the first load."""

    def end_link(self) -> None:
        """Look for another planner, since the link has ended."""

    def load(self) -> NodeLoad:
        """Return this node's current load."""

    def apply(self, load: NodeLoad, update: PlanUpdate) -> None:
        """Apply the update that answers a load."""


class PlanServer:
    """Answers nodes' load reports with updates of the plan, at the planner.

    Parameters
    ----------
    answer : callable
        Returns the update for a node, given the node's name and load. Nodes may share
        one update.
    """

    def __init__(self, answer: Callable[[str, NodeLoad], PlanUpdate]) -> None:
        self._answer = answer
        self._frame_by_base: dict[int, tuple[PlanUpdate, bytes]] = {}

    def serve(self, link: Link, name: str) -> None:
        """Serve the link of one node until it ends."""
        while True:
            match link.receive(IDLE_LINK_TIMEOUT_S):
                case NodeLoad() as load:
                    link.send_frame(self._frame(link, self._answer(name, load)))
                case other:
                    raise ProtocolError(f"unexpected {type(other).__name__}")

    def _frame(self, link: Link, update: PlanUpdate) -> bytes:
        """Return the frame of an update, encoded once for all nodes that share it."""
        known_update, frame = self._frame_by_base.get(update.base_serial, (None, b""))
        if known_update is not update:
            frame = link.frame(update)
            self._frame_by_base = {
                base: known
                for base, known in self._frame_by_base.items()
                if known[0].serial == update.serial
            }
            self._frame_by_base[update.base_serial] = (update, frame)
        return frame


class PlanPoller:
    """Sends a node's load to the planner and hands on the updates that it returns.

    Parameters
    ----------
    planner_endpoint : callable
        Returns the planner's address and secret, both empty if there is no planner.
    """

    def __init__(
        self,
        name: str,
        planner_endpoint: Callable[[], tuple[str, str]],
        receiver: PlanReceiver,
    ) -> None:
        self._name = name
        self._planner_endpoint = planner_endpoint
        self._receiver = receiver
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
        self._receiver.start_link()
        try:
            while self._planner_endpoint() == (address, secret):
                load = self._receiver.load()
                match link.request(load, ANSWER_TIMEOUT_S):
                    case PlanUpdate() as update:
                        self._lost_address = ""
                        self._receiver.apply(load, update)
                    case other:
                        raise ProtocolError(f"unexpected {type(other).__name__}")
        finally:
            link.close()
            self._receiver.end_link()
