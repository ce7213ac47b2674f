"""The planner of replica groups: forms, opens, closes and replaces them."""

import time
from collections.abc import Callable

import eventlet
from eventlet.event import Event as Signal

from poplarspar.coordination.pools.dispatch import OrderDispatcher
from poplarspar.coordination.pools.health_monitor import HealthMonitor
from poplarspar.coordination.pools.plan_exchange import PlanExchange
from poplarspar.coordination.pools.planning_pass import PlanningPass
from poplarspar.coordination.pools.term import TermState
from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.state.orders import Accepted, Close, Join, Order, OrderResult, Refused
from poplarspar.state.plan import Spare
from poplarspar.state.serving import Fleet, ServiceSpec

PLAN_PERIOD_S = 0.25
# Fresh backend servers are listed within a second or two after one another.
LISTING_QUIET_S = 0.6
# A new planner first hears from everyone, since silence means a loss.
START_UP_TIMEOUT_S = 1.0
START_UP_FAILURES = 2


class PoolPlanner:
    """Plans the replica groups of all model services while it is this node's turn.

    Parameters
    ----------
    told : callable
        Returns what the last planner told of backend servers.
    """

    def __init__(
        self,
        survey: HealthMonitor,
        orders: OrderDispatcher,
        desk: PlanExchange,
        fleet: Callable[[], Fleet],
        previous_spares: Callable[[], tuple[Spare, ...]],
    ) -> None:
        self._survey = survey
        self._orders = orders
        orders.on_result = self._take_result
        self._desk = desk
        self._fleet = fleet
        self._told = previous_spares
        self._term = TermState(float("-inf"))
        self._started = False
        self._listed = 0
        self._listed_at = float("-inf")
        self._wake = Signal()

    def wake(self) -> None:
        """Plan at once, since something has changed."""
        if not self._wake.ready():
            self._wake.send()

    def plan_while(self, may_plan: Callable[[], bool]) -> None:
        """Plan for as long as this node is the planner."""
        told = {(spare.backend, spare.started_ms): spare for spare in self._told()}
        self._term = TermState(time.monotonic(), told)
        self._started = False
        self._listed = 0
        log_event(
            Event.PLANNER_STARTED,
            fence=self._orders.tokens.last,
            spares_told=len(told),
        )
        while may_plan():
            self._plan()
            with eventlet.Timeout(PLAN_PERIOD_S, False):
                self._wake.wait()
            if self._wake.ready():
                self._wake = Signal()
        log_event(Event.PLANNER_STOPPED, fence=self._orders.tokens.last)
        self.stop()

    def stop(self) -> None:
        """Stop, since another node plans now."""
        self._desk.withdraw()
        self._survey.close()

    def suspect(self, head: str) -> None:
        """Look at a replica group on which a node sees no work."""
        heard = self._survey.by_id.get(head)
        membership = heard and heard.report and heard.report.engine_state.membership
        if not membership:
            return
        for id, other in self._survey.by_id.items():
            place = other.report.engine_state.membership if other.report else None
            if place is not None and place.key == membership.key:
                self._survey.suspect(id)

    def _plan(self) -> None:
        fleet = self._fleet()
        if fleet.configuration is None:
            return
        services = [
            service
            for service in fleet.configuration.services_by_name.values()
            if service.engine is not None
        ]
        self._follow(fleet, services)
        if not self._started and not self._may_start():
            return
        rounds = [
            PlanningPass(
                service, fleet, self._term, self._survey, self._orders, self._desk
            )
            for service in services
        ]
        for step in rounds:
            step.run()
        self._desk.publish(
            tuple(group for step in rounds for group in step.planned_groups()),
            tuple(spare for step in rounds for spare in step.planned_spares()),
        )

    def _follow(self, fleet: Fleet, services: list[ServiceSpec]) -> None:
        names = {service.name for service in services}
        self._survey.set_backends(
            {
                id: backend
                for id, backend in fleet.backends_by_id.items()
                if backend.service in names
            }
        )

    def _take_result(self, order: Order, result: OrderResult) -> None:
        match order, result:
            case Join(group, epoch), Refused():
                # A refused member may be ordered again, once a report shows why.
                begun = self._term.forming.get((group, epoch))
                if begun is not None and begun.warming:
                    del self._term.forming[(group, epoch)]
            case Close(group, epoch), Accepted():
                # The number of this order keeps late ones from opening it again.
                self._term.closed.add((group, epoch))
        self.wake()

    def _may_start(self) -> bool:
        """Return whether enough has been heard to take silence for a loss."""
        now = time.monotonic()
        heard = self._survey.by_id
        if len(heard) != self._listed:
            self._listed = len(heard)
            self._listed_at = now
        reports = [found.report for found in heard.values()]
        untouched = bool(reports) and all(
            report is None or not report.engine_state.accepted_orders
            for report in reports
        )
        # Backend servers that have all just started are still being listed, and
        # groups are better chosen among all of them.
        quiet_s = LISTING_QUIET_S if untouched else 0.0
        if now < self._listed_at + quiet_s or not reports:
            return False
        awaited = any(
            not found.reflects_last_order() and found.failures < START_UP_FAILURES
            for found in heard.values()
        )
        if awaited and now < self._term.started_at + START_UP_TIMEOUT_S:
            return False
        self._started = True
        self._term.before_traffic = untouched
        log_event(
            Event.PLANNER_READY,
            backends=len(reports),
            unheard=reports.count(None),
            untouched=untouched,
        )
        return True
