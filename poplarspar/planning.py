"""A node's exchange with the planner, and its planning while it is the planner."""

import time
from collections.abc import Callable
from contextlib import ExitStack

import eventlet

from poplarspar.coordination.announcements import Announcements
from poplarspar.coordination.drain import Drain
from poplarspar.coordination.duties import UsageExchange
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
from poplarspar.coordination.pools.plan_updates import apply_update
from poplarspar.coordination.session import Session
from poplarspar.coordination.store_leases import boot_clock_s
from poplarspar.coordination.supervision import spawn_supervised
from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.protocol.spares import parse_spares, spares_text
from poplarspar.state.node import NodeSettings
from poplarspar.state.plan import FleetPlan, NodeLoad, PlanUpdate, Spare
from poplarspar.state.serving import Fleet
from poplarspar.transport.addresses import listen
from poplarspar.transport.links import LinkServer
from poplarspar.transport.plan_links import PlanPoller, PlanServer

ROLE_CHECK_INTERVAL_S = 0.2
# Spares change every few seconds. Their stored copy only saves model loads under the
# next planner.
SPARES_WRITE_INTERVAL_S = 2.0
# The planner answers within a second, so an older plan may be out of date.
PLAN_MAX_AGE_S = 1.5


class PlanningPart:
    """Follows the planner's plan, and plans while this node is the planner.

    Parameters
    ----------
    announcements : Announcements
        What nodes must read from the store; the planner sends it with the plan.
    on_plan_change : callable
        Called when the open replica groups differ from those of the last plan, or
        when the last plan was no longer fresh.

    Attributes
    ----------
    plan : FleetPlan
        Last plan received from a planner.
    """

    def __init__(
        self,
        name: str,
        settings: NodeSettings,
        session: Session,
        announcements: Announcements,
        fleet: Callable[[], Fleet],
        drain: Drain,
        targets: Targets,
        demand_meter: DemandMeter,
        usage: UsageExchange,
        on_plan_change: Callable[[], None],
    ) -> None:
        self._name = name
        self._settings = settings
        self._session = session
        self._announcements = announcements
        self._fleet = fleet
        self._drain = drain
        self._targets = targets
        self._demand_meter = demand_meter
        self._usage = usage
        self._on_plan_change = on_plan_change
        self._plan_received_at = float("-inf")
        self._has_planners_plan = False
        self._load_sent_at = float("-inf")
        self.plan = FleetPlan()
        self.fencing = FencingTokens(settings.fencing_required)

    def start(
        self, reports: ReportPort, orders: OrderPort, secret: str, stack: ExitStack
    ) -> None:
        """Start all tasks and register their cleanup with `stack`."""
        health_monitor = HealthMonitor(reports, lambda: self._planner.wake())
        self._health_monitor = health_monitor
        self._plan_exchange = PlanExchange(
            lambda head: self._planner.suspect(head),
            self._announcements.revisions,
            self._usage.reported_window,
        )
        self._planner = PoolPlanner(
            health_monitor,
            OrderDispatcher(health_monitor, orders, self.fencing),
            self._plan_exchange,
            self._fleet,
            self._previous_spares,
        )
        stack.callback(self._planner.stop)
        stack.callback(spawn_supervised(self._plan_in_turn).kill)
        stack.callback(spawn_supervised(self._keep_spares).kill)
        plan_server = PlanServer(self._exchange)
        link_server = LinkServer(
            listen(self._settings.peer_listen), secret, plan_server.serve
        )
        stack.callback(link_server.close)
        plan_poller = PlanPoller(self._name, self._session.planner_endpoint, self)
        stack.callback(spawn_supervised(plan_poller.run).kill)

    def silent_backends(self) -> set[str]:
        """Return the ids of backend servers that don't answer this planner."""
        now = time.monotonic()
        return {
            id
            for id, observation in self._health_monitor.by_id.items()
            if observation.is_silent(now)
        }

    def _exchange(self, node: str, load: NodeLoad) -> PlanUpdate:
        self._usage.totals.receive(node, load.usage)
        return self._plan_exchange.exchange(node, load)

    def plan_age_s(self) -> float:
        """Return the seconds since the last plan arrived, infinite before the first."""
        return time.monotonic() - self._plan_received_at

    def is_plan_fresh(self) -> bool:
        """Return whether the plan is recent enough to act on."""
        return self.plan_age_s() < PLAN_MAX_AGE_S

    def may_plan(self) -> bool:
        """Return whether this node may plan and send orders."""
        if not self._session.is_planner or self.fencing.superseded:
            return False
        if self._drain.draining and self._session.planner_key_released:
            # While the store can't name a successor, groups would be lost one by one.
            return False
        # Backend servers with fencing refuse orders of an old planner, so a planner
        # that can't reach the store does no harm. Without fencing, only the lease
        # prevents two planners from sending orders.
        return self._settings.fencing_required or self._session.planner_lease_valid()

    def _plan_in_turn(self) -> None:
        while True:
            if self._session.is_planner:
                self.fencing.start_term(self._session.planner_revision)
                if self.fencing.superseded:
                    # Either the watch has not reported the newer planner yet, or none
                    # exists and this node needs a new term.
                    self._session.resign()
            if self.may_plan():
                self._planner.plan_while(self.may_plan)
            eventlet.sleep(ROLE_CHECK_INTERVAL_S)

    def _previous_spares(self) -> tuple[Spare, ...]:
        """Return the spares of the last plan, or those stored by the last planner."""
        return self.plan.spares or parse_spares(self._session.read_spares())

    def _keep_spares(self) -> None:
        while True:
            if self.may_plan() and self.plan.serial:
                self._session.write_spares(spares_text(self.plan.spares))
            eventlet.sleep(SPARES_WRITE_INTERVAL_S)

    def start_link(self) -> None:
        """Ask for the whole plan, since another planner counts its own serials."""
        self._has_planners_plan = False
        self._usage.meter.start_link()

    def end_link(self) -> None:
        """Look for another planner."""
        self._announcements.lose_planner()

    def load(self) -> NodeLoad:
        """Return this node's current load, for the planner."""
        self._load_sent_at = boot_clock_s()
        return NodeLoad(
            self.plan.serial if self._has_planners_plan else 0,
            self._targets.loads(),
            self._demand_meter.demands(),
            self._targets.rate_limits.reports(),
            self._usage.meter.load(),
            self._demand_meter.class_demands(),
        )

    def apply(self, load: NodeLoad, update: PlanUpdate) -> None:
        """Apply the planner's update of the plan."""
        self._announcements.receive(update.revisions, self._load_sent_at)
        self._usage.meter.confirm(load.usage, update.reported_window)
        if not update.serial:
            # A new planner has no plan yet; the previous planner's still applies.
            self._has_planners_plan = False
            return
        plan = apply_update(self.plan, update, load)
        if plan is None:
            log_event(Event.PLAN_NOT_APPLIED, base=update.base_serial)
            self._has_planners_plan = False
            return
        self._has_planners_plan = True
        # Compares groups, since two planners may use the same serial.
        changed = (
            plan.open_groups_by_head() != self.plan.open_groups_by_head()
            or not self.is_plan_fresh()
        )
        self.plan = plan
        self._plan_received_at = time.monotonic()
        if changed:
            self._on_plan_change()
        self._targets.apply_plan(plan)
