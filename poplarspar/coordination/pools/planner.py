"""The planner, which forms, opens, closes and replaces replica groups."""

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
# A pass reads the state of all backend servers, so passes of a large fleet start less
# often, and its node also serves callers.
PASS_INTERVAL_S_PER_BACKEND = 50e-6
# Backend servers that start together enter the platform's list over one or two
# seconds.
LISTING_QUIET_S = 0.6
# A new planner first waits for a report from every backend server, since it treats
# a missing report as a loss.
START_UP_TIMEOUT_S = 1.0
START_UP_FAILURES = 2


class PoolPlanner:
    """Plans the replica groups of all model services while this node is the planner.

    Parameters
    ----------
    previous_spares : callable
        Returns the spares that the previous planner published.
    """

    def __init__(
        self,
        health_monitor: HealthMonitor,
        dispatcher: OrderDispatcher,
        plan_exchange: PlanExchange,
        fleet: Callable[[], Fleet],
        previous_spares: Callable[[], tuple[Spare, ...]],
    ) -> None:
        self._health_monitor = health_monitor
        self._dispatcher = dispatcher
        dispatcher.on_result = self._handle_order_result
        self._plan_exchange = plan_exchange
        self._fleet = fleet
        self._previous_spares = previous_spares
        self._term = TermState(float("-inf"))
        self._planning_started = False
        self._listed_count = 0
        self._listed_changed_at = float("-inf")
        self._wake = Signal()

    def wake(self) -> None:
        """Start the next planning pass at once, after a change."""
        if not self._wake.ready():
            self._wake.send()

    def plan_while(self, may_plan: Callable[[], bool]) -> None:
        """Run planning passes until `may_plan` returns False."""
        inherited_spares = {
            (spare.backend, spare.started_ms): spare
            for spare in self._previous_spares()
        }
        self._term = TermState(time.monotonic(), inherited_spares)
        self._planning_started = False
        self._listed_count = 0
        log_event(
            Event.PLANNER_STARTED,
            fence=self._dispatcher.tokens.last,
            spares_told=len(inherited_spares),
        )
        while may_plan():
            self._plan()
            eventlet.sleep(
                PASS_INTERVAL_S_PER_BACKEND * len(self._health_monitor.by_id)
            )
            with eventlet.Timeout(PLAN_PERIOD_S, False):
                self._wake.wait()
            if self._wake.ready():
                self._wake = Signal()
        log_event(Event.PLANNER_STOPPED, fence=self._dispatcher.tokens.last)
        self.stop()

    def stop(self) -> None:
        """Withdraw the plan and stop monitoring; another node plans from now on."""
        self._plan_exchange.withdraw()
        self._health_monitor.close()

    def suspect(self, head: str) -> None:
        """Probe all members of a replica group that a node reports as stalled."""
        observation = self._health_monitor.by_id.get(head)
        if observation is not None and observation.is_suspected(time.monotonic()):
            # Many nodes report the same stall.
            return
        membership = (
            observation
            and observation.report
            and observation.report.engine_state.membership
        )
        if not membership:
            return
        for id, other in self._health_monitor.by_id.items():
            other_membership = (
                other.report.engine_state.membership if other.report else None
            )
            if other_membership is not None and other_membership.key == membership.key:
                self._health_monitor.suspect(id)

    def _plan(self) -> None:
        fleet = self._fleet()
        if fleet.configuration is None:
            return
        services = [
            service
            for service in fleet.configuration.services_by_name.values()
            if service.engine is not None
        ]
        self._update_monitored_backends(fleet, services)
        if not self._planning_started and not self._may_start_planning():
            return
        passes = [
            PlanningPass(
                service,
                fleet,
                self._term,
                self._health_monitor,
                self._dispatcher,
                self._plan_exchange,
            )
            for service in services
        ]
        for planning_pass in passes:
            planning_pass.run()
        self._plan_exchange.publish(
            tuple(
                group
                for planning_pass in passes
                for group in planning_pass.planned_groups()
            ),
            tuple(
                spare
                for planning_pass in passes
                for spare in planning_pass.planned_spares()
            ),
            tuple(
                supply
                for planning_pass in passes
                for supply in planning_pass.supplies()
            ),
        )

    def _update_monitored_backends(
        self, fleet: Fleet, services: list[ServiceSpec]
    ) -> None:
        names = {service.name for service in services}
        self._health_monitor.set_backends(
            {
                id: backend
                for id, backend in fleet.backends_by_id.items()
                if backend.service in names
            }
        )

    def _handle_order_result(self, order: Order, result: OrderResult) -> None:
        match order, result:
            case Join(group, epoch), Refused():
                # The planner may order a refused spare again once a report shows why.
                forming_group = self._term.forming.get((group, epoch))
                if forming_group is not None and forming_group.warming:
                    del self._term.forming[(group, epoch)]
                elif result.fenced:
                    # The backend server has seen a later epoch, so it can't confirm
                    # its membership, and the group may not open again.
                    self._term.retired.add((group, epoch))
            case Close(group, epoch), Accepted():
                # The fencing token of this order makes the head refuse a late
                # order that would open the group again.
                self._term.closed.add((group, epoch))
        self.wake()

    def _may_start_planning(self) -> bool:
        """Return whether enough reports arrived to treat a missing one as a loss."""
        now = time.monotonic()
        observations = self._health_monitor.by_id
        if len(observations) != self._listed_count:
            self._listed_count = len(observations)
            self._listed_changed_at = now
        reports = [observation.report for observation in observations.values()]
        no_orders_yet = bool(reports) and all(
            report is None or not report.engine_state.accepted_orders
            for report in reports
        )
        # If no backend server has accepted an order, all have just started and more
        # may enter the list; the planner chooses better groups among all of them.
        quiet_s = LISTING_QUIET_S if no_orders_yet else 0.0
        if now < self._listed_changed_at + quiet_s or not reports:
            return False
        reports_pending = any(
            not observation.reflects_last_order()
            and observation.failures < START_UP_FAILURES
            for observation in observations.values()
        )
        if reports_pending and now < self._term.started_at + START_UP_TIMEOUT_S:
            return False
        self._planning_started = True
        self._term.before_traffic = no_orders_yet
        log_event(
            Event.PLANNER_READY,
            backends=len(reports),
            unheard=reports.count(None),
            untouched=no_orders_yet,
        )
        return True
