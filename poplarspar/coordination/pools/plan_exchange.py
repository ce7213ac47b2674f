"""Exchange between planner and nodes: nodes report load and poll the plan."""

import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace

import eventlet
from eventlet.event import Event as Signal

from poplarspar.coordination.pools.admission_shares import (
    AdmissionShares,
    ModelSupply,
)
from poplarspar.coordination.pools.plan_updates import LoadTotals, PlanHistory
from poplarspar.coordination.pools.urgency import UrgencyMeter
from poplarspar.state.plan import (
    ModelDemand,
    NodeLoad,
    PlannedGroup,
    PlanUpdate,
    Spare,
    StoreRevisions,
)
from poplarspar.state.rate_limits import RateLimit

# The planner answers a long poll when the plan changes, or else after a time that grows
# with the number of nodes. This bounds the planner's work in a large fleet.
MIN_POLL_S = 0.15
POLL_S_PER_NODE = 0.0025
MAX_POLL_S = 1.0
# Changes that follow each other sooner are sent together.
NOTIFY_S_PER_NODE = 0.001
# Nodes that ask within this time of each other get the same update, encoded once. In a
# fleet of up to `FRESH_UPDATE_NODES`, each gets the newest sums.
REUSE_S_PER_NODE = 0.00025
FRESH_UPDATE_NODES = 10
# The load of a node that no longer polls has ended or is unknown.
LOAD_TTL_S = 3.0
# A node keeps a limit until the backend server ends it; the plan informs new nodes.
LIMIT_TTL_S = 30.0
MAX_LIMITS = 512
# A working replica group shows progress every 30 to 150 ms.
STALLED_MS = 200


class PlanExchange:
    """Answers the long polls of nodes with the plan and sums up their load.

    Parameters
    ----------
    on_stall : callable
        Called with the head of a replica group whenever a node reports that the
        group has stalled.
    store_revisions : callable
        Returns the `StoreRevisions` that updates carry.
    reported_window : callable
        Returns the newest window whose usage is reported, 0 for none.
    """

    def __init__(
        self,
        on_stall: Callable[[str], None],
        store_revisions: Callable[[], StoreRevisions] = StoreRevisions,
        reported_window: Callable[[], int] = lambda: 0,
    ) -> None:
        self._on_stall = on_stall
        self._store_revisions = store_revisions
        self._reported_window = reported_window
        self._history = PlanHistory()
        self._totals = LoadTotals()
        self._admission_shares = AdmissionShares()
        self._urgency_by_service: dict[str, UrgencyMeter] = defaultdict(UrgencyMeter)
        self._changed = Signal()
        self._notified_at = float("-inf")
        self._is_notice_due = False
        self._load_by_node: dict[str, tuple[float, NodeLoad]] = {}
        self._limit_by_incarnation: dict[tuple[str, int], RateLimit] = {}
        self._update_by_base: dict[int, tuple[float, PlanUpdate]] = {}

    def publish(
        self,
        groups: tuple[PlannedGroup, ...],
        spares: tuple[Spare, ...],
        supplies: tuple[ModelSupply, ...] = (),
    ) -> None:
        """Set the replica groups that serve, also by model, and the plan's spares.

        The planner calls this several times a second, also without a change.
        """
        self._admission_shares.set_supplies(supplies)
        previous = self._history.groups_by_key
        self._history.publish(groups, spares)
        # Spares alone are no reason to answer before the end of the poll.
        self._is_notice_due |= self._history.groups_by_key != previous
        pause_s = NOTIFY_S_PER_NODE * len(self._load_by_node)
        if self._is_notice_due and time.monotonic() > self._notified_at + pause_s:
            self._is_notice_due = False
            self._notified_at = time.monotonic()
            self.notify_nodes()

    def notify_nodes(self) -> None:
        """Answer all waiting polls."""
        self._update_by_base.clear()
        changed, self._changed = self._changed, Signal()
        changed.send()

    def withdraw(self) -> None:
        """Discard the plan and the loads when another node becomes the planner."""
        self._history.withdraw()
        self._totals = LoadTotals()
        self._admission_shares.clear()
        self._urgency_by_service.clear()
        self._load_by_node.clear()
        self._update_by_base.clear()

    def exchange(self, node: str, load: NodeLoad) -> PlanUpdate:
        """Store a node's load; return the update on a change or after a time limit."""
        self._load_by_node[node] = (time.monotonic(), load)
        self._totals.set(node, load, STALLED_MS)
        self._admission_shares.record(node, load.class_demands)
        for group in load.groups:
            if group.stalled_ms > STALLED_MS:
                self._on_stall(group.head)
        self._record_limits(load)
        if self._history.has_current_groups(load.plan_serial):
            self._wait_for_change()
        return self._update_since(load.plan_serial)

    def demand_by_model(self, service: str) -> dict[str, float]:
        """Return the demand for each model of a service, in replica groups."""
        return {
            demand.model: demand.groups
            for demand in self._demands()
            if demand.service == service
        }

    def urgency_by_model(self, service: str) -> dict[str, float]:
        """Return the weight of each model's callers, empty without priorities."""
        demands = self._admission_shares.demands_by_model(service)
        if not demands:
            return {}
        meter = self._urgency_by_service[service]
        meter.update(demands, time.monotonic())
        return meter.weights()

    def _demands(self) -> tuple[ModelDemand, ...]:
        total: dict[tuple[str, str], float] = defaultdict(float)
        for load in self._recent_loads().values():
            for demand in load.demands:
                total[(demand.service, demand.model)] += demand.groups
        return tuple(ModelDemand(*key, groups) for key, groups in total.items())

    def _record_limits(self, load: NodeLoad) -> None:
        for limit in load.rate_limits:
            known = self._limit_by_incarnation.get(limit.incarnation)
            if known is None or limit.observed_at > known.observed_at:
                self._limit_by_incarnation[limit.incarnation] = limit

    def _recent_limits(self) -> tuple[RateLimit, ...]:
        since = time.monotonic() - LIMIT_TTL_S
        recent = [
            limit
            for limit in self._limit_by_incarnation.values()
            if limit.observed_at > since
        ]
        recent.sort(key=lambda limit: -limit.observed_at)
        del recent[MAX_LIMITS:]
        self._limit_by_incarnation = {limit.incarnation: limit for limit in recent}
        return tuple(recent)

    def _wait_for_change(self) -> None:
        poll_s = max(MIN_POLL_S, POLL_S_PER_NODE * len(self._load_by_node))
        with eventlet.Timeout(min(poll_s, MAX_POLL_S), False):
            self._changed.wait()

    def _recent_loads(self) -> dict[str, NodeLoad]:
        since = time.monotonic() - LOAD_TTL_S
        for node, (at, _) in list(self._load_by_node.items()):
            if at < since:
                del self._load_by_node[node]
                self._totals.remove(node)
        return {node: load for node, (_, load) in self._load_by_node.items()}

    def _update_since(self, base_serial: int) -> PlanUpdate:
        """Return the update from a plan to the current one, built for many nodes."""
        now = time.monotonic()
        built_at, update = self._update_by_base.get(base_serial, (float("-inf"), None))
        node_count = len(self._recent_loads())
        reuse_s = REUSE_S_PER_NODE * max(0, node_count - FRESH_UPDATE_NODES)
        is_current = update is not None and update.serial == self._history.serial
        if is_current and now < built_at + reuse_s:
            return update
        update = replace(
            self._history.update_since(base_serial),
            node_count=node_count,
            totals=self._totals.totals(sorted(self._history.groups_by_key)),
            revisions=self._store_revisions(),
            rate_limits=self._recent_limits(),
            demands=self._demands(),
            reported_window=self._reported_window(),
            admitted_shares=self._admission_shares.shares(self._totals.totals),
        )
        self._update_by_base[base_serial] = (now, update)
        return update
