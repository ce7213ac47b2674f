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
from poplarspar.daemon import keep_running
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
OPERATOR_WAIT_S = 1.4
TOLD_OPERATOR_WAIT_S = 8.0
OPERATOR_READ_ALL_S = 10.0
# Where another node is missed for a while, little is lost.
NODES_WAIT_S = 8.0
NODES_READ_ALL_S = 30.0
# Entries of backend servers change all the time, so their changes are gathered for a
# while; with the wait at the store, one that leaves is noticed in time.
BACKEND_WAIT_S = 1.0
BACKEND_MARGIN_S = 0.6
BACKEND_READ_ALL_S = 60.0
# The balancer asks once a second and needs two refusals to send nobody any more.
LEAVE_NOTICE_S = 2.5
# Left of the time until SIGKILL to close what still runs.
STOP_MARGIN_S = 0.7
# Before a configuration is known, only readiness is asked for.
FIRST_LIMITS = ServerLimits(65_536, header_timeout_s=3.0, idle_timeout_s=15.0)
READY_LIMITS = ServerLimits(4_096, header_timeout_s=3.0, idle_timeout_s=30.0)
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
            settings.zone, self._cold_limit, self._nodes, self._share
        )
        self._budget = RetryBudget(
            settings.retry_share, settings.retry_slack, settings.retry_window_s
        )
        self._demand = DemandMeter()
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
        fixed = ("name", "caller_listen", "ready_listen", "peer_listen", "store")
        differing = [
            name
            for name in fixed
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        if differing:
            raise InvalidSettings(f"{', '.join(differing)}: can't change in a process")
        self._settings = settings
        self._budget.set_limits(
            settings.retry_share, settings.retry_slack, settings.retry_window_s
        )
        log_event(Event.SETTINGS_APPLIED)

    def is_ready(self) -> bool:
        """Return whether the balancer should send callers here."""
        return self._fleet_updater.ready and not self.drain.draining

    def shut_down(self) -> None:
        """Leave gracefully: let the balancer notice, then let requests finish."""
        began_at = time.monotonic()
        log_event(Event.DRAINING, running=self.drain.running)
        self.drain.begin()
        self._session.close()
        eventlet.sleep(LEAVE_NOTICE_S)
        # What callers send on kept connections from now on could not be finished
        # before the process is killed.
        self._server.stop_accepting()
        left_s = (
            began_at + self._settings.stop_timeout_s - STOP_MARGIN_S - time.monotonic()
        )
        finished = self.drain.wait_idle(max(0.0, left_s))
        log_event(Event.STOPPED, finished=finished, running=self.drain.running)

    def close(self) -> None:
        """Close all that the node holds."""
        self._stack.close()

    def _start(self) -> None:
        self._start_serving()
        self._start_following()
        self._start_planning()

    def _start_serving(self) -> None:
        settings = self._settings
        sender = Sender(self._targets, self._adapters.upstream)
        forwarder = Forwarder(
            lambda: self._fleet_updater.fleet.configuration,
            self._targets,
            sender,
            self._budget,
            self._demand,
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
            limits=self._limits,
            write_timeout_s=WRITE_TIMEOUT_S,
        )
        self._stack.callback(self._server.close)
        self._ready_listener = listen(settings.ready_listen)
        ready = HttpServer(
            self._ready_listener,
            self._answer_ready,
            connection_limit=64,
            limits=lambda: READY_LIMITS,
        )
        self._stack.callback(ready.close)
        page = MetricsPage(self.metrics, self._gauges)
        metrics = HttpServer(
            listen(settings.metrics_listen),
            page.handle,
            connection_limit=16,
            limits=lambda: READY_LIMITS,
        )
        self._stack.callback(metrics.close)

    def _start_following(self) -> None:
        outside, settings = self._adapters, self._settings
        keeper = self._fleet_updater
        self._operator = self._follow(
            outside.operator_prefix,
            self._operator_wait_s,
            0.0,
            OPERATOR_READ_ALL_S,
            keeper.replace_operator_values,
            keeper.apply_operator_changes,
        )
        self._follow(
            outside.backend_prefix,
            lambda: BACKEND_WAIT_S,
            max(0.0, settings.drain_s - BACKEND_MARGIN_S),
            BACKEND_READ_ALL_S,
            keeper.replace_backend_entries,
            keeper.apply_backend_changes,
        )
        self._session = Session(
            outside.store,
            self.name,
            settings.peer_listen,
            self._secret,
            settings.cpu_cores,
            settings.min_lease_s,
            self._nodes_changed,
        )
        self._follow(
            NODE_PREFIX,
            lambda: NODES_WAIT_S,
            0.0,
            NODES_READ_ALL_S,
            self._session.replace,
            self._session.apply,
        )
        self._stack.callback(keep_running(self._session.run).kill)

    def _follow(
        self, prefix, wait_s, pause_s, read_all_s, replace, apply
    ) -> PrefixWatcher:
        follower = PrefixWatcher(
            self._adapters.store,
            prefix,
            self._store_health,
            watch_timeout_s=wait_s,
            watch_interval_s=pause_s,
            resync_interval_s=read_all_s,
            replace=replace,
            apply=apply,
        )
        self._stack.callback(keep_running(follower.run).kill)
        return follower

    def _operator_wait_s(self) -> float:
        """Return how long a question for the operator's changes may wait."""
        planning = self._planning
        told = planning is not None and planning.is_fresh()
        if told and not self._session.is_planner:
            return TOLD_OPERATOR_WAIT_S
        return OPERATOR_WAIT_S

    def _start_planning(self) -> None:
        outside = self._adapters
        self._planning = PlanningPart(
            self.name,
            self._settings,
            self._session,
            self._operator,
            lambda: self._fleet_updater.fleet,
            self.drain,
            self._targets,
            self._demand,
            self._plan_changed,
        )
        self._planning.start(outside.reports, outside.orders, self._secret, self._stack)

    def _plan_changed(self) -> None:
        self._nodes_changed()
        self._fleet_changed()

    def _fleet_changed(self) -> None:
        fleet = self._fleet_updater.fleet
        if self._planning is not None and self._planning.is_fresh():
            opened = self._planning.plan.open_groups_by_head()
        else:
            # Without the planner, the entries of the heads tell what is open.
            opened = {
                backend.id: (backend.open_group.key, backend.engine_state.model)
                for backend in fleet.backends_by_id.values()
                if backend.open_group is not None
            }
        self._targets.update(fleet, opened)

    def _nodes(self) -> int:
        """Return how many nodes share the bounds; too many rather than too few."""
        told = self._planning.plan.node_count if self._planning else 0
        return max(1, len(self._session.capacity_by_node), told)

    def _nodes_changed(self) -> None:
        self._budget.set_node_count(self._nodes())

    def _cold_limit(self, service: ServiceSpec, backend_id: str) -> int:
        """Return this node's part of what a cold backend server may get a second."""
        settings = self._settings
        bound = service.cold_requests_per_s * settings.cold_factor + settings.cold_slack
        return self._share(int(bound), backend_id)

    def _share(self, bound: int, subject: str) -> int:
        """Return this node's part of what all nodes divide."""
        names = self._session.capacity_by_node
        return even_share(bound, self.name, names, self._nodes(), subject)

    def _limits(self) -> ServerLimits:
        configuration = self._fleet_updater.fleet.configuration
        if configuration is None:
            return FIRST_LIMITS
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
            "nodes": self._nodes(),
            "requests_running": self.drain.running,
            "configuration_version": configuration.version if configuration else 0,
            "configuration_age_seconds": self._fleet_updater.configuration_age_s(),
            "store_steady_seconds": self._store_health.healthy_s(),
            "plan_age_seconds": min(self._planning.age_s(), 1e9),
            "backend_servers": len(self._fleet_updater.fleet.backends_by_id),
            "replica_groups_serving": len(self._planning.plan.groups),
            "evacuated_zones": len(self._fleet_updater.fleet.evacuated_zones),
            "memory_peak_bytes": usage.ru_maxrss * 1024,
            "processor_seconds": usage.ru_utime + usage.ru_stime,
            **self._budget.gauges(),
        }

    def _answer_ready(self, request: Request) -> Response:
        ready = self.is_ready()
        return json_response(200 if ready else 503, {"ready": ready})
