"""A node's part in planning: its exchange with the planner, and its own turns."""

import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import replace

import eventlet

from poplarspar.coordination.drain import Drain
from poplarspar.coordination.forwarding import DemandMeter, Targets
from poplarspar.coordination.pools import (
    FencingTokens,
    HealthMonitor,
    OrderDispatcher,
    OrderPort,
    PlanExchange,
    PoolPlanner,
    ReportPort,
)
from poplarspar.coordination.prefix_watcher import PrefixWatcher
from poplarspar.coordination.session import Session
from poplarspar.daemon import keep_running
from poplarspar.protocol.spares import parse_spares, spares_text
from poplarspar.state.node import NodeSettings
from poplarspar.state.plan import FleetPlan, NodeLoad, Spare
from poplarspar.state.serving import Fleet
from poplarspar.transport.addresses import listen
from poplarspar.transport.links import LinkServer
from poplarspar.transport.plan_links import PlanPoller, PlanServer

PLANNER_POLL_S = 0.2
# Spares change every few seconds; what is kept of them saves loads, nothing more.
SPARES_PERIOD_S = 2.0
# The planner answers within a second; a plan that is older may be out of date.
PLAN_AGE_S = 1.5


class PlanningPart:
    """Keeps a node linked to the planner, and plans when it is the node's turn.

    Parameters
    ----------
    operator : PrefixWatcher
        Follower of what the operator writes; the planner tells others of it.
    changed : callable
        Called when the replica groups of the plan differ from the last one's.

    Attributes
    ----------
    plan : FleetPlan
        What the planner told last.
    """

    def __init__(
        self,
        name: str,
        settings: NodeSettings,
        session: Session,
        operator: PrefixWatcher,
        fleet: Callable[[], Fleet],
        drain: Drain,
        targets: Targets,
        demand: DemandMeter,
        changed: Callable[[], None],
    ) -> None:
        self._name = name
        self._settings = settings
        self._session = session
        self._operator = operator
        self._fleet = fleet
        self._drain = drain
        self._targets = targets
        self._demand = demand
        self._changed = changed
        self._plan_at = float("-inf")
        self.plan = FleetPlan()
        self.fencing = FencingTokens()

    def start(
        self, reports: ReportPort, orders: OrderPort, secret: str, stack: ExitStack
    ) -> None:
        """Start all tasks; the stack owns what must be closed."""
        survey = HealthMonitor(reports, lambda: self._planner.wake())
        self._desk = PlanExchange(lambda head: self._planner.suspect(head))
        self._planner = PoolPlanner(
            survey,
            OrderDispatcher(survey, orders, self.fencing),
            self._desk,
            self._fleet,
            self._told,
        )
        stack.callback(self._planner.stop)
        stack.callback(keep_running(self._plan_in_turn).kill)
        stack.callback(keep_running(self._keep_spares).kill)
        server = PlanServer(self._answer_node)
        links = LinkServer(listen(self._settings.peer_listen), secret, server.serve)
        stack.callback(links.close)
        link = PlanPoller(
            self._name, self._session.planner_endpoint, self._load, self._apply
        )
        stack.callback(keep_running(link.run).kill)

    def age_s(self) -> float:
        """Return for how long the planner has told nothing."""
        return time.monotonic() - self._plan_at

    def is_fresh(self) -> bool:
        """Return whether the plan can be acted on."""
        return self.age_s() < PLAN_AGE_S

    def may_plan(self) -> bool:
        """Return whether it is this node's turn."""
        if not self._session.is_planner or self.fencing.superseded:
            return False
        if self._drain.draining:
            return False
        # Where old orders are refused, a planner that the store does not reach
        # does no harm; elsewhere only its lease keeps two from giving orders.
        return self._settings.fencing_required or self._session.planner_lease_valid()

    def _plan_in_turn(self) -> None:
        while True:
            if self._session.is_planner:
                self.fencing.start_term(self._session.planner_revision)
                if self.fencing.superseded:
                    # The store's word of another planner is late, or there is none.
                    self._session.resign()
            if self.may_plan():
                self._planner.plan_while(self.may_plan)
            eventlet.sleep(PLANNER_POLL_S)

    def _told(self) -> tuple[Spare, ...]:
        """Return what the last planner told of backend servers."""
        return self.plan.spares or parse_spares(self._session.read_spares())

    def _keep_spares(self) -> None:
        while True:
            if self.may_plan() and self.plan.serial:
                self._session.write_spares(spares_text(self.plan.spares))
            eventlet.sleep(SPARES_PERIOD_S)

    def _answer_node(self, name: str, load: NodeLoad) -> FleetPlan:
        plan = self._desk.exchange(name, load)
        return replace(plan, operator_revision=self._operator.newest_revision)

    def _load(self) -> NodeLoad:
        return NodeLoad(self.plan.serial, self._targets.loads(), self._demand.demands())

    def _apply(self, plan: FleetPlan) -> None:
        self._operator.catch_up_to(plan.operator_revision)
        if not plan.serial:
            # A new planner knows nothing yet; what the last one told still holds.
            return
        # Two planners may use the same serial.
        changed = (
            plan.open_groups_by_head() != self.plan.open_groups_by_head()
            or not self.is_fresh()
        )
        self.plan = plan
        self._plan_at = time.monotonic()
        if changed:
            self._changed()
        self._targets.apply_plan(plan)
