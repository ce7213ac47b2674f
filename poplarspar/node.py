"""The node daemon: serves callers, and plans replica groups when it is its turn."""

import resource
import time
import uuid
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass

import eventlet

from poplarspar.coordination.drain import Drain
from poplarspar.coordination.fleet import FleetDocuments, FleetUpdater
from poplarspar.coordination.forwarding import (
    STALL_CHECK_INTERVAL_S,
    DemandMeter,
    Forwarder,
    RetryBudget,
    Sender,
    StallDetector,
    Targets,
    Upstream,
)
from poplarspar.coordination.pools import (
    OrderPort,
    ReportPort,
)
from poplarspar.coordination.ports import WatchedStore
from poplarspar.coordination.prefix_watcher import PrefixWatcher, StoreHealth
from poplarspar.coordination.session import NODE_PREFIX, Session
from poplarspar.coordination.sharing import even_share
from poplarspar.coordination.timers import TimerService
from poplarspar.daemon import spawn_supervised
from poplarspar.events import Event
from poplarspar.exceptions import InvalidSettings
from poplarspar.logs import log_event
from poplarspar.planning import PlanningPart
from poplarspar.state.metrics import Metrics
from poplarspar.state.node import NodeSettings
from poplarspar.state.serving import ServiceSpec
from poplarspar.transport.addresses import bound_address, listen
from poplarspar.transport.metrics import MetricsPage
from poplarspar.transport.server import (
    Handler,
    HttpServer,
    Request,
    Response,
    ServerLimits,
    json_response,
)

# A watch that went deaf is found when it is asked anew, and a configuration is to be
# in force within two seconds. One node does so for all: the planner, which tells the
# others when they have missed something.
OPERATOR_WATCH_TIMEOUT_S = 1.4
RELAXED_OPERATOR_WATCH_TIMEOUT_S = 8.0
OPERATOR_RESYNC_INTERVAL_S = 10.0
# Where another node is missed for a while, little is lost.
NODES_WATCH_TIMEOUT_S = 8.0
NODES_RESYNC_INTERVAL_S = 30.0
# Entries of backend servers change all the time, so their changes are gathered for a
# while; with the wait at the store, one that leaves is noticed in time.
BACKEND_WATCH_TIMEOUT_S = 1.0
BACKEND_WATCH_MARGIN_S = 0.6
BACKEND_RESYNC_INTERVAL_S = 60.0
# The balancer asks once a second and needs two refusals to send nobody any more.
DRAIN_NOTICE_S = 2.5
# Left of the time until SIGKILL to close what still runs.
STOP_MARGIN_S = 0.7
# Before a configuration is known, only readiness is asked for.
STARTUP_LIMITS = ServerLimits(65_536, header_timeout_s=3.0, idle_timeout_s=15.0)
PROBE_LIMITS = ServerLimits(4_096, header_timeout_s=3.0, idle_timeout_s=30.0)
# Callers that read nothing for this long hold a connection for nobody.
WRITE_TIMEOUT_S = 15.0


@dataclass(frozen=True)
class NodeAdapters:
    """All that connects a node with the world outside."""

    store: WatchedStore
    documents: FleetDocuments
    operator_prefix: str
    backend_prefix: str
    upstream: Upstream
    reports: ReportPort
    orders: OrderPort
    caller_handler: Callable[[Forwarder, Drain, Metrics], Handler]
    close: Callable[[], None]


class Node:
    """One node process; `close` ends everything it started."""

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
        self._planning: PlanningPart | None = None
        self._secret = uuid.uuid4().hex
        self._start()

    @property
    def addresses(self) -> dict[str, str]:
        """Addresses by what is served there."""
        return {
            "http": bound_address(self._caller_listener),
            "ready": bound_address(self._ready_listener),
        }

    def apply_settings(self, settings: NodeSettings) -> None:
        """Act on changed settings.

        Raises
        ------
        InvalidSettings
            If an address or name differs, which takes a new process.
        """
        fixed_settings = (
            "name",
            "caller_listen",
            "ready_listen",
            "peer_listen",
            "store",
        )
        changed_names = [
            name
            for name in fixed_settings
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        if changed_names:
            raise InvalidSettings(
                f"{', '.join(changed_names)}: can't change in a process"
            )
        self._settings = settings
        self._retry_budget.set_limits(
            settings.retry_share, settings.retry_slack, settings.retry_window_s
        )
        log_event(Event.SETTINGS_APPLIED)

    def is_ready(self) -> bool:
        """Return whether the balancer should send callers here."""
        return self._fleet_updater.ready and not self.drain.draining

    def shut_down(self) -> None:
        """Leave gracefully: let the balancer notice, then let requests finish."""
        started_at = time.monotonic()
        log_event(Event.DRAINING, running=self.drain.running)
        self.drain.begin()
        self._session.close()
        eventlet.sleep(DRAIN_NOTICE_S)
        # What callers send on kept connections from now on could not be finished
        # before the process is killed.
        self._server.stop_accepting()
        remaining_s = (
            started_at
            + self._settings.stop_timeout_s
            - STOP_MARGIN_S
            - time.monotonic()
        )
        finished = self.drain.wait_idle(max(0.0, remaining_s))
        log_event(Event.STOPPED, finished=finished, running=self.drain.running)

    def close(self) -> None:
        """Close all that the node holds."""
        self._stack.close()

    def _start(self) -> None:
        self._start_serving()
        self._start_watchers()
        self._start_planning()

    def _start_serving(self) -> None:
        settings = self._settings
        sender = Sender(self._targets, self._adapters.upstream)
        forwarder = Forwarder(
            lambda: self._fleet_updater.fleet.configuration,
            self._targets,
            sender,
            self._retry_budget,
            self._demand_meter,
        )
        timers = TimerService()
        self._stack.callback(timers.close)
        timers.every(STALL_CHECK_INTERVAL_S, StallDetector(self._targets).check)
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
        self._ready_listener = listen(settings.ready_listen)
        ready_server = HttpServer(
            self._ready_listener,
            self._handle_ready,
            connection_limit=64,
            limits=lambda: PROBE_LIMITS,
        )
        self._stack.callback(ready_server.close)
        metrics_page = MetricsPage(self.metrics, self._gauges)
        metrics_server = HttpServer(
            listen(settings.metrics_listen),
            metrics_page.handle,
            connection_limit=16,
            limits=lambda: PROBE_LIMITS,
        )
        self._stack.callback(metrics_server.close)

    def _start_watchers(self) -> None:
        adapters, settings = self._adapters, self._settings
        updater = self._fleet_updater
        self._operator_watcher = self._start_watcher(
            adapters.operator_prefix,
            self._operator_watch_timeout_s,
            0.0,
            OPERATOR_RESYNC_INTERVAL_S,
            updater.replace_operator_values,
            updater.apply_operator_changes,
        )
        self._start_watcher(
            adapters.backend_prefix,
            lambda: BACKEND_WATCH_TIMEOUT_S,
            max(0.0, settings.drain_s - BACKEND_WATCH_MARGIN_S),
            BACKEND_RESYNC_INTERVAL_S,
            updater.replace_backend_entries,
            updater.apply_backend_changes,
        )
        self._session = Session(
            adapters.store,
            self.name,
            settings.peer_listen,
            self._secret,
            settings.cpu_cores,
            settings.min_lease_s,
            self._nodes_changed,
        )
        self._start_watcher(
            NODE_PREFIX,
            lambda: NODES_WATCH_TIMEOUT_S,
            0.0,
            NODES_RESYNC_INTERVAL_S,
            self._session.replace,
            self._session.apply,
        )
        self._stack.callback(spawn_supervised(self._session.run).kill)

    def _start_watcher(
        self,
        prefix,
        watch_timeout_s,
        watch_interval_s,
        resync_interval_s,
        replace,
        apply,
    ) -> PrefixWatcher:
        watcher = PrefixWatcher(
            self._adapters.store,
            prefix,
            self._store_health,
            watch_timeout_s=watch_timeout_s,
            watch_interval_s=watch_interval_s,
            resync_interval_s=resync_interval_s,
            replace=replace,
            apply=apply,
        )
        self._stack.callback(spawn_supervised(watcher.run).kill)
        return watcher

    def _operator_watch_timeout_s(self) -> float:
        """Return how long a question for the operator's changes may wait."""
        planning = self._planning
        has_fresh_plan = planning is not None and planning.is_plan_fresh()
        if has_fresh_plan and not self._session.is_planner:
            return RELAXED_OPERATOR_WATCH_TIMEOUT_S
        return OPERATOR_WATCH_TIMEOUT_S

    def _start_planning(self) -> None:
        adapters = self._adapters
        self._planning = PlanningPart(
            self.name,
            self._settings,
            self._session,
            self._operator_watcher,
            lambda: self._fleet_updater.fleet,
            self.drain,
            self._targets,
            self._demand_meter,
            self._plan_changed,
        )
        self._planning.start(
            adapters.reports, adapters.orders, self._secret, self._stack
        )

    def _plan_changed(self) -> None:
        self._nodes_changed()
        self._fleet_changed()

    def _fleet_changed(self) -> None:
        fleet = self._fleet_updater.fleet
        if self._planning is not None and self._planning.is_plan_fresh():
            open_group_by_head = self._planning.plan.open_groups_by_head()
        else:
            # Without the planner, the entries of the heads tell what is open.
            open_group_by_head = {
                backend.id: (backend.open_group.key, backend.engine_state.model)
                for backend in fleet.backends_by_id.values()
                if backend.open_group is not None
            }
        self._targets.update(fleet, open_group_by_head)

    def _node_count(self) -> int:
        """Return how many nodes share the bounds; too many rather than too few."""
        planned_count = self._planning.plan.node_count if self._planning else 0
        return max(1, len(self._session.capacity_by_node), planned_count)

    def _nodes_changed(self) -> None:
        self._retry_budget.set_node_count(self._node_count())

    def _cold_rate_limit(self, service: ServiceSpec, backend_id: str) -> int:
        """Return this node's part of what a cold backend server may get a second."""
        settings = self._settings
        total_limit = (
            service.cold_requests_per_s * settings.cold_factor + settings.cold_slack
        )
        return self._node_share(int(total_limit), backend_id)

    def _node_share(self, total: int, subject: str) -> int:
        """Return this node's part of what all nodes divide."""
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

    def _gauges(self) -> dict[str, float]:
        """Return what is known now, for the metrics page."""
        configuration = self._fleet_updater.fleet.configuration
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "ready": self.is_ready(),
            "planner": self._session.is_planner,
            "nodes": self._node_count(),
            "requests_running": self.drain.running,
            "configuration_version": configuration.version if configuration else 0,
            "configuration_age_seconds": self._fleet_updater.configuration_age_s(),
            "store_steady_seconds": self._store_health.healthy_s(),
            "plan_age_seconds": min(self._planning.plan_age_s(), 1e9),
            "backend_servers": len(self._fleet_updater.fleet.backends_by_id),
            "replica_groups_serving": len(self._planning.plan.groups),
            "evacuated_zones": len(self._fleet_updater.fleet.evacuated_zones),
            "memory_peak_bytes": usage.ru_maxrss * 1024,
            "processor_seconds": usage.ru_utime + usage.ru_stime,
            **self._retry_budget.gauges(),
        }

    def _handle_ready(self, request: Request) -> Response:
        ready = self.is_ready()
        return json_response(200 if ready else 503, {"ready": ready})
