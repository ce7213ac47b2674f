"""Exchange between planner and nodes: nodes report load and poll the plan."""

import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import replace

import eventlet
from eventlet.event import Event as Signal

from poplarspar.state.plan import FleetPlan, NodeLoad, PlannedGroup, Spare
from poplarspar.state.rate_limits import RateLimit

# The planner answers a long poll when the plan changes, or else after a time that grows
# with the number of nodes. This bounds the planner's work in a large fleet.
MIN_POLL_S = 0.15
POLL_S_PER_NODE = 0.006
MAX_POLL_S = 1.0
# The load of a node that no longer polls has ended or is unknown.
LOAD_TTL_S = 3.0
# A node keeps a limit until the backend server ends it; the plan informs new nodes.
LIMIT_TTL_S = 30.0
MAX_LIMITS = 512
# A working replica group shows progress every 30 to 150 ms.
STALLED_MS = 200


class PlanExchange:
    """Answers the long polls of nodes with the plan and stores their load.

    Parameters
    ----------
    on_stall : callable
        Called with the head of a replica group whenever a node reports that the
        group has stalled.
    """

    def __init__(self, on_stall: Callable[[str], None]) -> None:
        self._on_stall = on_stall
        self._plan = FleetPlan()
        self._changed = Signal()
        self._load_by_node: dict[str, tuple[float, NodeLoad]] = {}
        self._limit_by_incarnation: dict[tuple[str, int], RateLimit] = {}

    def publish(
        self, groups: tuple[PlannedGroup, ...], spares: tuple[Spare, ...]
    ) -> None:
        """Set the replica groups that serve and the spares of the plan."""
        is_changed = groups != self._plan.groups or _incarnations(
            spares
        ) != _incarnations(self._plan.spares)
        serial = self._plan.serial + (is_changed or not self._plan.serial)
        self._plan = FleetPlan(serial, 0, groups, spares)
        if is_changed:
            self.notify_nodes()

    def notify_nodes(self) -> None:
        """Answer all waiting polls."""
        changed, self._changed = self._changed, Signal()
        changed.send()

    def withdraw(self) -> None:
        """Discard the plan and the loads when another node becomes the planner."""
        self._plan = FleetPlan()
        self._load_by_node.clear()

    def exchange(self, node: str, load: NodeLoad) -> FleetPlan:
        """Store a node's load; return the plan on a change or after a time limit."""
        self._load_by_node[node] = (time.monotonic(), load)
        for group in load.groups:
            if group.stalled_ms > STALLED_MS:
                self._on_stall(group.head)
        self._record_limits(load)
        if load.plan_serial == self._plan.serial:
            self._wait_for_change()
        return self._plan_for(node)

    def demand_by_model(self, service: str) -> dict[str, float]:
        """Return the demand for each model of a service, in replica groups."""
        total: dict[str, float] = defaultdict(float)
        for load in self._recent_loads().values():
            for demand in load.demands:
                if demand.service == service:
                    total[demand.model] += demand.groups
        return dict(total)

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
        self._load_by_node = {
            node: (at, load)
            for node, (at, load) in self._load_by_node.items()
            if at > since
        }
        return {node: load for node, (_, load) in self._load_by_node.items()}

    def _plan_for(self, node: str) -> FleetPlan:
        loads = self._recent_loads()
        in_flight: Counter = Counter()
        prefill_tokens: Counter = Counter()
        stalled = set()
        for name, load in loads.items():
            for group in load.groups:
                key = (group.head, group.epoch)
                if name != node:
                    in_flight[key] += group.in_flight
                    prefill_tokens[key] += group.reading_tokens
                if group.stalled_ms > STALLED_MS:
                    stalled.add(key)
        groups = tuple(
            replace(
                group,
                in_flight=in_flight[(group.head, group.epoch)],
                reading_tokens=prefill_tokens[(group.head, group.epoch)],
                stalled=(group.head, group.epoch) in stalled,
            )
            for group in self._plan.groups
        )
        return replace(
            self._plan,
            node_count=len(loads),
            groups=groups,
            rate_limits=self._recent_limits(),
        )


def _incarnations(spares: tuple[Spare, ...]) -> set[tuple[str, int]]:
    return {(spare.backend, spare.started_ms) for spare in spares}
