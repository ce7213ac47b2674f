"""The node daemon: serves callers, and plans replica groups while it is the planner."""

import time
import uuid
from contextlib import ExitStack

import eventlet

from poplarspar.adapters import NodeAdapters
from poplarspar.coordination.announcements import Announcements
from poplarspar.coordination.drain import Drain
from poplarspar.coordination.duties import TrueClock, UsageExchange
from poplarspar.coordination.fleet import FleetUpdater
from poplarspar.coordination.forwarding import (
    STALL_CHECK_INTERVAL_S,
    DemandMeter,
    Forwarder,
    RetryBudget,
    Sender,
    StallDetector,
    Targets,
)
from poplarspar.coordination.quarantine import QuarantineExchange
from poplarspar.coordination.session import Session
from poplarspar.coordination.sharing import even_share
from poplarspar.coordination.store_health import StoreHealth
from poplarspar.coordination.supervision import spawn_supervised
from poplarspar.coordination.timers import TimerService
from poplarspar.duties import DutyPart
from poplarspar.events import Event
from poplarspar.exceptions import InvalidSettings
from poplarspar.gauges import fleet_gauges, process_gauges, store_gauges
from poplarspar.logs import log_event
from poplarspar.pages import start_pages
from poplarspar.planning import PlanningPart
from poplarspar.protocol.quarantine import QuarantineJson
from poplarspar.state.metrics import Metrics
from poplarspar.state.node import NodeSettings
from poplarspar.state.serving import ConfigurationBasis, ServiceSpec
from poplarspar.transport.addresses import bound_address, listen
from poplarspar.transport.server import HttpServer, ServerLimits
from poplarspar.watching import StoreWatches

QUARANTINE_CHECK_INTERVAL_S = 0.2
# The load balancer checks once a second and removes a node after two failures.
DRAIN_NOTICE_S = 2.5
# Time reserved before SIGKILL to close the requests still in flight.
STOP_MARGIN_S = 0.7
# Part of it in which requests without an answer are told that they won't get one.
ANSWER_MARGIN_S = 0.3
# Time for the last counts of usage to reach the planner, at least a part of the
# margin. A new planner takes over within seconds.
MIN_HANDOVER_S = 0.2
MAX_HANDOVER_S = 2.0
# Before the first configuration, the node receives only readiness checks.
STARTUP_LIMITS = ServerLimits(65_536, header_timeout_s=3.0, idle_timeout_s=15.0)
# A caller that reads nothing for this long occupies a connection without using it.
WRITE_TIMEOUT_S = 15.0


class Node:
    """A node process; `close` stops everything that it started."""

    def __init__(self, settings: NodeSettings, adapters: NodeAdapters) -> None:
        self._settings = settings
        self._adapters = adapters
        self._stack = ExitStack()
        self._stack.callback(adapters.close)
        self.name = f"{settings.name}.{uuid.uuid4().hex[:8]}"
        self.metrics = Metrics()
        self.drain = Drain()
        self._store_health = StoreHealth()
        self._fleet_updater = FleetUpdater(
            adapters.documents, self._store_health, self._fleet_changed
        )
        self._targets = Targets(
            settings.zone, self._cold_rate_limit, self._node_count, self._node_share
        )
        self._retry_budget = RetryBudget(
            settings.retry_share, settings.retry_slack, settings.retry_window_s
        )
        self._demand_meter = DemandMeter()
        self._quarantine_exchange = QuarantineExchange(
            adapters.store,
            QuarantineJson(),
            self.name,
            lambda: self._session.is_planner,
            lambda: self._announcements.conviction_delay_s(),
        )
        self._planning: PlanningPart | None = None
        self._duties: DutyPart | None = None
        self._usage = UsageExchange(settings.duties, TrueClock())
        self._secret = uuid.uuid4().hex
        self._start()

    @property
    def addresses(self) -> dict[str, str]:
        """Bound addresses by server name."""
        return {
            "http": bound_address(self._caller_listener),
            "ready": bound_address(self._ready_listener),
        }

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply changed settings.

        Raises
        ------
        InvalidSettings
            If a setting differs that only a new process can apply.
        """
        fixed_settings = (
            "name",
            "caller_listen",
            "ready_listen",
            "peer_listen",
            "store",
            "duties",
        )
        changed_names = [
            name
            for name in fixed_settings
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        if changed_names:
            raise InvalidSettings(
                f"{', '.join(changed_names)}: a change requires a restart"
            )
        self._settings = settings
        self._retry_budget.set_limits(
            settings.retry_share, settings.retry_slack, settings.retry_window_s
        )
        log_event(Event.SETTINGS_APPLIED)

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this node."""
        return self._fleet_updater.ready and not self.drain.draining

    def shut_down(self) -> None:
        """Wait until the load balancer removes this node, then finish its requests."""
        ends_at = time.monotonic() + self._settings.stop_timeout_s - STOP_MARGIN_S
        log_event(Event.DRAINING, running=self.drain.running)
        self.drain.begin()
        # Waits for no answer of the store: callers may send requests until their
        # connections are closed, and these need the rest of the time.
        self._session.close()
        eventlet.sleep(DRAIN_NOTICE_S)
        # Requests that arrive on keep-alive connections from now on could not finish
        # before SIGKILL.
        self._server.stop_accepting()
        log_event(Event.CALLERS_DISCONNECTED, running=self.drain.running)
        finished = self._server.wait_ended(ends_at - time.monotonic())
        if not finished:
            self.drain.interrupt()
            self._server.wait_ended(ANSWER_MARGIN_S)
        handover_s = max(MIN_HANDOVER_S, ends_at - time.monotonic())
        self._usage.wait_handed_on(min(MAX_HANDOVER_S, handover_s))
        self._session.wait_released(ends_at - time.monotonic())
        log_event(Event.STOPPED, finished=finished, running=self.drain.running)

    def close(self) -> None:
        """Stop all tasks and close all connections and listeners."""
        self._stack.close()

    def _start(self) -> None:
        self._timers = TimerService()
        self._stack.callback(self._timers.close)
        self._start_serving()
        self._start_watchers()
        self._start_planning()
        self._start_duties()

    def _start_serving(self) -> None:
        settings = self._settings
        sender = Sender(self._targets, self._adapters.upstream)
        forwarder = Forwarder(
            lambda: self._fleet_updater.fleet.configuration,
            self._targets,
            sender,
            self._retry_budget,
            self._demand_meter,
            self._quarantine_exchange.quarantine,
            self._configuration_basis,
            self._usage.meter.record,
        )
        timers = self._timers
        timers.every(STALL_CHECK_INTERVAL_S, StallDetector(self._targets).check)
        timers.every(
            QUARANTINE_CHECK_INTERVAL_S, self._quarantine_exchange.quarantine.check
        )
        handler = self._adapters.caller_handler(forwarder, self.drain, self.metrics)
        self._caller_listener = listen(settings.caller_listen)
        self._server = HttpServer(
            self._caller_listener,
            handler,
            connection_limit=settings.connection_limit,
            limits=self._server_limits,
            write_timeout_s=WRITE_TIMEOUT_S,
        )
        self._stack.callback(self._server.close)
        self._ready_listener = start_pages(
            settings, self.is_ready, self.metrics, self._gauges, self._stack
        )

    def _start_watchers(self) -> None:
        adapters, settings = self._adapters, self._settings
        self._session = Session(
            adapters.store,
            self.name,
            settings.peer_listen,
            self._secret,
            settings.cpu_cores,
            settings.min_lease_s,
            self._nodes_changed,
        )
        adapters.store.on_restore(self._session.renew_keys)
        adapters.store.on_restore(self._quarantine_exchange.share_again)
        self._announcements = Announcements(
            self._store_health,
            self._session,
            self._fleet_updater,
            self._quarantine_exchange,
            self._node_count,
            self._plan_age_s,
            adapters.store.reconnect,
        )
        adapters.store.on_restore(self._store_health.record_restore)
        adapters.store.on_restore(self._fleet_updater.hold_withdrawals)
        watches = StoreWatches(
            adapters.store,
            self._store_health,
            self._stack,
            self._timers,
            self._follows_plan,
            lambda: self._session.is_planner,
            self._announcements,
        )
        watches.start(
            adapters.operator_prefix,
            adapters.backend_prefix,
            self._fleet_updater,
            settings.drain_s,
            self._session,
            self._quarantine_exchange,
            self.metrics.count,
        )
        self._stack.callback(spawn_supervised(self._session.run).kill)
        self._stack.callback(spawn_supervised(self._quarantine_exchange.run).kill)

    def _follows_plan(self) -> bool:
        """Return whether this node gets fresh plans from another node."""
        planning = self._planning
        has_fresh_plan = planning is not None and planning.is_plan_fresh()
        return has_fresh_plan and not self._session.is_planner

    def _plan_age_s(self) -> float:
        return self._planning.plan_age_s() if self._planning else float("inf")

    def _start_planning(self) -> None:
        adapters = self._adapters
        self._planning = PlanningPart(
            self.name,
            self._settings,
            self._session,
            self._announcements,
            lambda: self._fleet_updater.fleet,
            self.drain,
            self._targets,
            self._demand_meter,
            self._usage,
            self._plan_changed,
        )
        self._planning.start(
            adapters.reports, adapters.orders, self._secret, self._stack
        )

    def _start_duties(self) -> None:
        settings, port = self._settings, self._adapters.duties
        if settings.duties is None or port is None:
            return
        self._duties = DutyPart(
            settings.name,
            settings.duties,
            port,
            self._session,
            self.drain,
            self._adapters.store,
            self._usage,
            lambda: self._fleet_updater.fleet,
            self._planning,
        )
        self._duties.start(self._stack)

    def _plan_changed(self) -> None:
        self._nodes_changed()
        self._fleet_changed()

    def _fleet_changed(self) -> None:
        fleet = self._fleet_updater.fleet
        if self._planning is not None and self._planning.is_plan_fresh():
            open_group_by_head = self._planning.plan.open_groups_by_head()
        else:
            # Without a fresh plan, use the open groups in the entries of their heads.
            open_group_by_head = {
                backend.id: (backend.open_group.key, backend.engine_state.model)
                for backend in fleet.backends_by_id.values()
                if backend.open_group is not None
            }
        self._targets.update(fleet, open_group_by_head)
        if not open_group_by_head.keys() <= fleet.backends_by_id.keys():
            # A backend server has become a head since this node last read the entries.
            self._announcements.watchers.backends.watch_now()

    def _node_count(self) -> int:
        """Return how many nodes share the limits; an overestimate is safe."""
        planned_count = self._planning.plan.node_count if self._planning else 0
        return max(1, len(self._session.capacity_by_node), planned_count)

    def _nodes_changed(self) -> None:
        self._retry_budget.set_node_count(self._node_count())

    def _cold_rate_limit(self, service: ServiceSpec, backend_id: str) -> int:
        """Return this node's request limit for a cold backend server, per second."""
        settings = self._settings
        total_limit = (
            service.cold_requests_per_s * settings.cold_factor + settings.cold_slack
        )
        return self._node_share(int(total_limit), backend_id)

    def _node_share(self, total: int, subject: str) -> int:
        """Return this node's share of a total that all nodes divide."""
        known_nodes = self._session.capacity_by_node
        return even_share(total, self.name, known_nodes, self._node_count(), subject)

    def _server_limits(self) -> ServerLimits:
        configuration = self._fleet_updater.fleet.configuration
        if configuration is None:
            return STARTUP_LIMITS
        limits = configuration.limits
        return ServerLimits(
            limits.body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
            limits.header_bytes,
        )

    def _configuration_basis(self) -> ConfigurationBasis:
        """Return what this node knows of the configuration now."""
        configuration = self._fleet_updater.fleet.configuration
        if configuration is None:
            return ConfigurationBasis()
        return ConfigurationBasis(
            version=configuration.version,
            age_s=self._fleet_updater.configuration_age_s(),
            answered_s=self._announcements.watchers.operator.answered_s(),
        )

    def _gauges(self) -> dict[str, float]:
        """Return the gauges of the metrics page."""
        return {
            "ready": self.is_ready(),
            "nodes": self._node_count(),
            "requests_running": self.drain.running,
            **store_gauges(
                self._configuration_basis(),
                self._adapters.store.era,
                self._store_health,
                self._announcements,
            ),
            **fleet_gauges(
                self._session,
                self._planning,
                self._fleet_updater,
                self._targets,
                self._quarantine_exchange.quarantine,
            ),
            **process_gauges(),
            **self._retry_budget.gauges(),
            **(self._duties.gauges() if self._duties else {}),
            **self._targets.waiting.gauges(),
            **self._targets.admission.gauges(),
        }
