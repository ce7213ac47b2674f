"""Dispatch of orders, one at a time to each backend server."""

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
from poplarspar.coordination.pools.membership_orders import MembershipOrders
from poplarspar.coordination.supervision import spawn_logged
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

# A backend server answers an order within milliseconds, or the order is lost.
ORDER_TIMEOUT_S = 0.4
# The answer to a repeated order shows at once whether the order is done, while reports
# lag by up to a few hundred milliseconds.
MAX_REPEATS = 4
REPEAT_INTERVAL_S = 0.03
# A group that is to open waits for its members to confirm their membership.
CONFIRMATION_TRIES = 4
CONFIRMATION_TIMEOUT_S = 0.1
COMPLETION_MARGIN_S = 0.005
REFUSED_MARGIN_S = 0.05


class OrderPort(Protocol):
    """Sends orders to backend servers."""

    def send(
        self,
        backend: BackendServer,
        order: Order,
        *,
        fence: int,
        accepted_before: int | None,
        timeout_s: float,
    ) -> OrderResult:
        """Send an order and return its result.

        Parameters
        ----------
        fence : int
            Fencing token; the backend server refuses later orders with a lower one.
        accepted_before : int or None
            Number of orders that the backend server must have accepted before; it
            refuses the order otherwise. None accepts any number.
        """


class OrderDispatcher:
    """Sends orders and records their effect until reports reflect it.

    Parameters
    ----------
    tokens : FencingTokens
        Source of fencing tokens, one for each order sent.
    """

    def __init__(
        self, health_monitor: HealthMonitor, port: OrderPort, tokens: FencingTokens
    ) -> None:
        self._health_monitor = health_monitor
        self._port = port
        self.tokens = tokens
        self._in_flight_ids: set[str] = set()
        self._busy_until_by_id: dict[str, float] = {}
        self._last_order_by_id: dict[str, Order] = {}
        self._last_token_by_id: dict[str, int] = {}
        self.membership_orders = MembershipOrders(tokens)
        self.on_result: Callable[[Order, OrderResult], None] = lambda *_: None

    def is_busy(self, id: str) -> bool:
        """Return whether an order to a backend server is in flight or running.

        An order is in flight until its exchange has ended. A second one would leave
        open which of them the backend server accepts last.
        """
        if id in self._in_flight_ids:
            return True
        return time.monotonic() < self._busy_until_by_id.get(id, 0.0)

    def last_order(self, id: str) -> Order | None:
        """Return the last order to a backend server, which it may not have accepted."""
        return self._last_order_by_id.get(id)

    def dispatch(
        self, observation: Observation, order: Order, duration_s: float | None = None
    ) -> bool:
        """Send an order in a new task, unless the backend server is busy.

        Parameters
        ----------
        duration_s : float or None
            Expected time until the order is done, None if only reports show its end.

        Returns
        -------
        bool
            Whether the order is sent.
        """
        id = observation.backend.id
        if self.is_busy(id):
            return False
        self._in_flight_ids.add(id)
        self._last_order_by_id[id] = order
        spawn_logged(self._dispatch, observation, order, duration_s)
        return True

    def confirm(self, observation: Observation, join: Join) -> None:
        """Order a member to join the group that it reports, unless it is busy.

        This changes nothing but that the member then refuses earlier orders, so the
        order is sent again soon if it is not answered.
        """
        id = observation.backend.id
        if self.is_busy(id):
            return
        self._in_flight_ids.add(id)
        self._last_order_by_id[id] = join
        tries, timeout_s = CONFIRMATION_TRIES, CONFIRMATION_TIMEOUT_S
        spawn_logged(self._dispatch, observation, join, None, tries, timeout_s)

    def _dispatch(
        self,
        observation: Observation,
        order: Order,
        duration_s: float | None,
        tries: int = 1,
        timeout_s: float = ORDER_TIMEOUT_S,
    ) -> None:
        id = observation.backend.id
        engine_state = observation.report.engine_state
        # Since the last report, another planner may have ordered the backend server
        # into a group. Open, Close and Leave are safe, since they name their group.
        expected = engine_state.accepted_orders if isinstance(order, Join) else None
        sent = None
        if isinstance(order, (Join, Leave)):
            sent = self.membership_orders.record_sent(id, order)
        result = Unanswered()
        try:
            while tries and isinstance(result, Unanswered):
                result = self._send(observation, order, expected, timeout_s)
                tries -= 1
        finally:
            self._in_flight_ids.discard(id)
        if sent is not None and isinstance(result, Accepted):
            sent.accepted_token = self._last_token_by_id[id]
        if isinstance(result, Refused):
            # A refused order has no effect; a probe corrects the outdated state.
            eventlet.spawn_after(MAX_REPORT_LAG_S, self._health_monitor.probe_now, id)
        else:
            self._health_monitor.record_order(
                id, _state_after(id, engine_state, order, result)
            )
        self._busy_until_by_id[id] = time.monotonic() + _busy_s(
            order, result, duration_s
        )
        self.on_result(order, result)
        if result == Accepted(done=False) and duration_s is not None:
            self._confirm(observation, order, duration_s)

    def _confirm(
        self, observation: Observation, order: Order, duration_s: float
    ) -> None:
        """Repeat an order after its expected duration until an answer confirms it."""
        id = observation.backend.id
        pause_s = duration_s + COMPLETION_MARGIN_S
        for _ in range(MAX_REPEATS):
            eventlet.sleep(pause_s)
            if self._last_order_by_id.get(id) is not order:
                return
            # The next order waits for this repeat: the backend server might refuse the
            # older of the two, or the older might undo the newer.
            self._in_flight_ids.add(id)
            try:
                result = self._send(observation, order, None, ORDER_TIMEOUT_S)
            finally:
                self._in_flight_ids.discard(id)
            if result == Accepted(done=True):
                after = _state_after(
                    id, observation.report.engine_state, order, result, repeat=True
                )
                self._health_monitor.record_order(id, after)
                self.on_result(order, result)
                return
            pause_s = REPEAT_INTERVAL_S

    def _send(
        self,
        observation: Observation,
        order: Order,
        expected: int | None,
        timeout_s: float,
    ) -> OrderResult:
        fence = self.tokens.next()
        self._last_token_by_id[observation.backend.id] = fence
        result = self._port.send(
            observation.backend,
            order,
            fence=fence,
            accepted_before=expected,
            timeout_s=timeout_s,
        )
        self._log_result(observation.backend, order, result, fence)
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
                # A group of an earlier term may be older than the last one that the
                # backend server joined.
                is_outdated = isinstance(order, Join) and not self.tokens.is_of_term(
                    order.epoch
                )
                is_last = fence >= self._last_token_by_id.get(backend.id, 0)
                if fenced and is_last and not is_outdated:
                    # This planner sent no newer order, so another planner did.
                    self.tokens.mark_superseded()
            case Unanswered():
                log_event(
                    Event.ORDER_UNANSWERED, backend=backend.id, order=name, fence=fence
                )


def _busy_s(order: Order, result: OrderResult, duration_s: float | None) -> float:
    """Return how long a backend server stays busy after an order, in seconds."""
    match order, result:
        case Open(), Accepted():
            # Each further order would restart the opening of the group.
            return (duration_s or 0.0) + MAX_REPEATS * REPEAT_INTERVAL_S
        case _, Accepted():
            return 0.0
        case _:
            return MAX_REPORT_LAG_S + REFUSED_MARGIN_S


def _state_after(
    id: str,
    engine_state: EngineState,
    order: Order,
    result: OrderResult,
    repeat: bool = False,
) -> EngineState | None:
    """Return a backend server's state after an order, None if unknown."""
    if not isinstance(result, Accepted):
        return None
    # A join takes longer than its answer, so one that is done has begun nothing.
    counts = not repeat and not (isinstance(order, Join) and result.done)
    after = replace(engine_state, accepted_orders=engine_state.accepted_orders + counts)
    match order:
        case Join(group, epoch, model, members):
            phase = MemberPhase.READY if result.done else MemberPhase.JOINING
            membership = Membership(group, epoch, members.index(id), phase)
            return replace(after, membership=membership, model=model)
        case Open() if result.done:
            return _with_phase(after, MemberPhase.OPEN)
        case Close():
            phase = MemberPhase.READY if result.done else MemberPhase.CLOSING
            return _with_phase(after, phase)
        case Leave():
            return replace(after, membership=None)
        case Open() | Stage():
            return after


def _with_phase(engine_state: EngineState, phase: MemberPhase) -> EngineState:
    membership = engine_state.membership
    return replace(
        engine_state, membership=membership and replace(membership, phase=phase)
    )
