"""Giving orders, one at a time to each backend server, and what they bring about."""

import time
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

import eventlet

from poplarspar.coordination.pools.fences import Fences
from poplarspar.coordination.pools.survey import REPORT_LAG_S, Heard, Survey
from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.state.backends import (
    BackendServer,
    Hosting,
    MemberPhase,
    Membership,
)
from poplarspar.state.orders import (
    Accepted,
    Close,
    Join,
    Leave,
    Open,
    Order,
    OrderResult,
    Refused,
    Stage,
    Unanswered,
)

# Orders are answered within milliseconds, or lost.
ORDER_TIMEOUT_S = 0.4
# A backend server that served the model last joins again within this time.
REJOIN_S = 0.2
LOOK_MARGIN_S = 0.005


class OrderPort(Protocol):
    """Orders to backend servers."""

    def give(
        self,
        backend: BackendServer,
        order: Order,
        *,
        fence: int,
        accepted_before: int | None,
        timeout_s: float,
    ) -> OrderResult:
        """Give an order.

        Parameters
        ----------
        fence : int
            Orders with a lower number are refused from now on.
        accepted_before : int or None
            Orders that the backend server must have accepted before, or else it
            refuses this one; None for any number.
        """


class OrderGiver:
    """Gives orders and keeps their effect until reports show it.

    Parameters
    ----------
    fences : Fences
        Numbers of orders, which rise with each order and each planner.
    """

    def __init__(self, survey: Survey, port: OrderPort, fences: Fences) -> None:
        self._survey = survey
        self._port = port
        self.fences = fences
        self._busy_until: dict[str, float] = {}
        self.on_result: Callable[[Order, OrderResult], None] = lambda *_: None

    def is_busy(self, id: str) -> bool:
        """Return whether an order to a backend server is on its way or at work."""
        return time.monotonic() < self._busy_until.get(id, 0.0)

    def give(self, heard: Heard, order: Order) -> bool:
        """Give an order in a task of its own, unless one is on its way."""
        id = heard.backend.id
        if self.is_busy(id):
            return False
        self._busy_until[id] = time.monotonic() + ORDER_TIMEOUT_S + LOOK_MARGIN_S
        eventlet.spawn(self._give, heard, order)
        return True

    def _give(self, heard: Heard, order: Order) -> None:
        backend = heard.backend
        hosting = heard.report.hosting
        fence = self.fences.next()
        # Another planner may have ordered it elsewhere since the last report; the
        # other orders name the group that they are for.
        joins = isinstance(order, Join)
        result = self._port.give(
            backend,
            order,
            fence=fence,
            accepted_before=hosting.orders if joins else None,
            timeout_s=ORDER_TIMEOUT_S,
        )
        self._note(backend, order, result, fence)
        after = _effect(backend.id, hosting, order, result)
        self._survey.note_order(backend.id, after)
        self._busy_until[backend.id] = time.monotonic() + self._pause_s(order, result)
        self.on_result(order, result)
        if isinstance(order, Join | Open) and isinstance(result, Accepted):
            due_s = REJOIN_S + REPORT_LAG_S + LOOK_MARGIN_S
            eventlet.spawn_after(due_s, self._survey.hurry, backend.id)

    def _pause_s(self, order: Order, result: OrderResult) -> float:
        """Return how long the next order to the same backend server waits."""
        match order, result:
            case Open(), Accepted():
                # It opens by itself; a repeat would be refused.
                return 3 * REPORT_LAG_S
            case _, Accepted():
                return 0.0
            case _:
                return REPORT_LAG_S + LOOK_MARGIN_S

    def _note(
        self, backend: BackendServer, order: Order, result: OrderResult, fence: int
    ) -> None:
        name = type(order).__name__.lower()
        match result:
            case Accepted(done):
                log_event(
                    Event.ORDER_ACCEPTED,
                    backend=backend.id,
                    order=name,
                    done=done,
                    fence=fence,
                )
            case Refused(status, fenced):
                log_event(
                    Event.ORDER_REFUSED,
                    backend=backend.id,
                    order=name,
                    status=status,
                    fence=fence,
                )
                if fenced:
                    self.fences.passed_by()
            case Unanswered():
                log_event(
                    Event.ORDER_UNANSWERED, backend=backend.id, order=name, fence=fence
                )


def _effect(
    id: str, hosting: Hosting, order: Order, result: OrderResult
) -> Hosting | None:
    """Return a backend server's state after an order, None if it is not known."""
    if not isinstance(result, Accepted):
        return None
    orders = hosting.orders + 1
    match order:
        case Join(group, epoch, model, members):
            place = Membership(group, epoch, members.index(id), MemberPhase.JOINING)
            return replace(hosting, orders=orders, membership=place, model=model)
        case Close():
            phase = MemberPhase.READY if result.done else MemberPhase.CLOSING
            place = hosting.membership and replace(hosting.membership, phase=phase)
            return replace(hosting, orders=orders, membership=place)
        case Leave():
            return replace(hosting, orders=orders, membership=None)
        case Open() | Stage():
            return replace(hosting, orders=orders)
