"""The planner's exchange with the nodes: their work for the plan."""

import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import replace

import eventlet
from eventlet.event import Event as Signal

from poplarspar.state.plan import FleetPlan, NodeLoad, PlannedGroup, Spare

# Nodes are answered at once when the plan changes, else after a time that grows with
# their number, so that the planner's own work stays bounded in a large fleet.
SHORTEST_HOLD_S = 0.15
HOLD_PER_NODE_S = 0.006
LONGEST_HOLD_S = 1.0
# The work of a node that stopped asking is over or unknown.
LOAD_AGE_S = 3.0
# A replica group that works shows it every 30 to 150 ms.
STALLED_MS = 200


class PlanExchange:
    """Answers nodes with the plan and keeps what they tell.

    Parameters
    ----------
    stalled : callable
        Called with the head of a replica group on which a node sees no work.
    """

    def __init__(self, on_stall: Callable[[str], None]) -> None:
        self._stalled = on_stall
        self._plan = FleetPlan()
        self._changed = Signal()
        self._load_by_node: dict[str, tuple[float, NodeLoad]] = {}

    def publish(
        self, groups: tuple[PlannedGroup, ...], spares: tuple[Spare, ...]
    ) -> None:
        """Tell all nodes which replica groups serve, and which servers are spare."""
        changes = groups != self._plan.groups or _lives(spares) != _lives(
            self._plan.spares
        )
        serial = self._plan.serial + (changes or not self._plan.serial)
        self._plan = FleetPlan(serial, 0, groups, spares)
        if changes:
            self.notify_nodes()

    def notify_nodes(self) -> None:
        """Answer all nodes that wait for a change."""
        changed, self._changed = self._changed, Signal()
        changed.send()

    def withdraw(self) -> None:
        """Tell nothing any more, since another node plans now."""
        self._plan = FleetPlan()
        self._load_by_node.clear()

    def exchange(self, node: str, load: NodeLoad) -> FleetPlan:
        """Take a node's work and return the plan, soon or when it changes."""
        self._load_by_node[node] = (time.monotonic(), load)
        for group in load.groups:
            if group.stalled_ms > STALLED_MS:
                self._stalled(group.head)
        if load.plan_serial == self._plan.serial:
            self._wait_for_change()
        return self._plan_for(node)

    def demand_by_model(self, service: str) -> dict[str, float]:
        """Return how many replica groups each model of a service would fill."""
        total: dict[str, float] = defaultdict(float)
        for load in self._recent().values():
            for demand in load.demands:
                if demand.service == service:
                    total[demand.model] += demand.groups
        return dict(total)

    def _wait_for_change(self) -> None:
        hold_s = max(SHORTEST_HOLD_S, HOLD_PER_NODE_S * len(self._load_by_node))
        with eventlet.Timeout(min(hold_s, LONGEST_HOLD_S), False):
            self._changed.wait()

    def _recent(self) -> dict[str, NodeLoad]:
        since = time.monotonic() - LOAD_AGE_S
        self._load_by_node = {
            node: (at, load)
            for node, (at, load) in self._load_by_node.items()
            if at > since
        }
        return {node: load for node, (_, load) in self._load_by_node.items()}

    def _plan_for(self, node: str) -> FleetPlan:
        loads = self._recent()
        in_flight: Counter = Counter()
        reading: Counter = Counter()
        stalled = set()
        for name, load in loads.items():
            for group in load.groups:
                key = (group.head, group.epoch)
                if name != node:
                    in_flight[key] += group.in_flight
                    reading[key] += group.reading_tokens
                if group.stalled_ms > STALLED_MS:
                    stalled.add(key)
        groups = tuple(
            replace(
                group,
                in_flight=in_flight[(group.head, group.epoch)],
                reading_tokens=reading[(group.head, group.epoch)],
                stalled=(group.head, group.epoch) in stalled,
            )
            for group in self._plan.groups
        )
        return replace(self._plan, node_count=len(loads), groups=groups)


def _lives(spares: tuple[Spare, ...]) -> set[tuple[str, int]]:
    return {(spare.backend, spare.started_ms) for spare in spares}
