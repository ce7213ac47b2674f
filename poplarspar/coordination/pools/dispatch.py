"""Giving orders, one at a time to each backend server, and what they bring about."""

import time
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

import eventlet

from poplarspar.coordination.pools.fencing import FencingTokens
from poplarspar.coordination.pools.health_monitor import (
    MAX_REPORT_LAG_S,
    HealthMonitor,
    Observation,
)
from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.state.backends import (
    BackendServer,
    EngineState,
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
# An order that is repeated when it should be done says so at once, while reports
# show the state of some hundred milliseconds ago.
REPEATS = 4
REPEAT_PAUSE_S = 0.03
SEND_MARGIN_S = 0.005
REFUSED_MARGIN_S = 0.05


class OrderPort(Protocol):
    """Orders to backend servers."""

    def send(
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


class OrderDispatcher:
    """Gives orders and keeps their effect until reports show it.

    Parameters
    ----------
    fences : Fences
        Numbers of orders, which rise with each order and each planner.
    """

    def __init__(
        self, survey: HealthMonitor, port: OrderPort, tokens: FencingTokens
    ) -> None:
        self._survey = survey
        self._port = port
        self.tokens = tokens
        self._busy_until: dict[str, float] = {}
        self._last_order: dict[str, Order] = {}
        self._last_token_by_id: dict[str, int] = {}
        self.on_result: Callable[[Order, OrderResult], None] = lambda *_: None

    def is_busy(self, id: str) -> bool:
        """Return whether an order to a backend server is on its way or at work."""
        return time.monotonic() < self._busy_until.get(id, 0.0)

    def dispatch(
        self, heard: Observation, order: Order, duration_s: float | None = None
    ) -> bool:
        """Give an order in a task of its own, unless one is on its way.

        Parameters
        ----------
        due_s : float or None
            Time after which the order should be done, None to leave it to reports.
        """
        id = heard.backend.id
        if self.is_busy(id):
            return False
        self._busy_until[id] = time.monotonic() + ORDER_TIMEOUT_S + REPEAT_PAUSE_S
        self._last_order[id] = order
        eventlet.spawn(self._give, heard, order, duration_s)
        return True

    def _give(self, heard: Observation, order: Order, due_s: float | None) -> None:
        id = heard.backend.id
        hosting = heard.report.engine_state
        # Another planner may have ordered it elsewhere since the last report; the
        # other orders name the group that they are for.
        expected = hosting.accepted_orders if isinstance(order, Join) else None
        result = self._send(heard, order, expected)
        if isinstance(result, Refused):
            # It has no effect, and a report tells soon what is known wrongly.
            eventlet.spawn_after(MAX_REPORT_LAG_S, self._survey.probe_now, id)
        else:
            self._survey.record_order(id, _effect(id, hosting, order, result))
        self._busy_until[id] = time.monotonic() + _pause_s(order, result, due_s)
        self.on_result(order, result)
        if result == Accepted(done=False) and due_s is not None:
            self._await_done(heard, order, due_s)

    def _await_done(self, heard: Observation, order: Order, due_s: float) -> None:
        """Repeat an order from when it should be done until it says so."""
        id = heard.backend.id
        pause_s = due_s + SEND_MARGIN_S
        for _ in range(REPEATS):
            eventlet.sleep(pause_s)
            if self._last_order.get(id) is not order:
                return
            # The next order waits, since the older of two might be refused, or undo
            # what the newer one did.
            busy_until = self._busy_until[id]
            self._busy_until[id] = time.monotonic() + ORDER_TIMEOUT_S
            result = self._send(heard, order, None)
            self._busy_until[id] = busy_until
            if result == Accepted(done=True):
                after = _effect(
                    id, heard.report.engine_state, order, result, repeat=True
                )
                self._survey.record_order(id, after)
                self.on_result(order, result)
                return
            pause_s = REPEAT_PAUSE_S

    def _send(
        self, heard: Observation, order: Order, expected: int | None
    ) -> OrderResult:
        fence = self.tokens.next()
        self._last_token_by_id[heard.backend.id] = fence
        result = self._port.send(
            heard.backend,
            order,
            fence=fence,
            accepted_before=expected,
            timeout_s=ORDER_TIMEOUT_S,
        )
        self._log_result(heard.backend, order, result, fence)
        return result

    def _log_result(
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
                if fenced and fence >= self._last_token_by_id.get(backend.id, 0):
                    # No order of this planner is newer, so another one gave some.
                    self.tokens.mark_superseded()
            case Unanswered():
                log_event(
                    Event.ORDER_UNANSWERED, backend=backend.id, order=name, fence=fence
                )


def _pause_s(order: Order, result: OrderResult, due_s: float | None) -> float:
    """Return how long the next order to the same backend server waits."""
    match order, result:
        case Open(), Accepted():
            # Opening takes its time, and would begin anew with each order.
            return (due_s or 0.0) + REPEATS * REPEAT_PAUSE_S
        case _, Accepted():
            return 0.0
        case _:
            return MAX_REPORT_LAG_S + REFUSED_MARGIN_S


def _effect(
    id: str,
    hosting: EngineState,
    order: Order,
    result: OrderResult,
    repeat: bool = False,
) -> EngineState | None:
    """Return a backend server's state after an order, None if it is not known."""
    if not isinstance(result, Accepted):
        return None
    after = replace(hosting, accepted_orders=hosting.accepted_orders + (not repeat))
    match order:
        case Join(group, epoch, model, members):
            phase = MemberPhase.READY if result.done else MemberPhase.JOINING
            place = Membership(group, epoch, members.index(id), phase)
            return replace(after, membership=place, model=model)
        case Open() if result.done:
            return _in_phase(after, MemberPhase.OPEN)
        case Close():
            phase = MemberPhase.READY if result.done else MemberPhase.CLOSING
            return _in_phase(after, phase)
        case Leave():
            return replace(after, membership=None)
        case Open() | Stage():
            return after


def _in_phase(hosting: EngineState, phase: MemberPhase) -> EngineState:
    place = hosting.membership
    return replace(hosting, membership=place and replace(place, phase=phase))
