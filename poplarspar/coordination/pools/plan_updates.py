"""Differences between plans, so that what nodes receive grows with what changed."""

from collections import Counter, OrderedDict
from dataclasses import dataclass, replace

from poplarspar.state.plan import (
    FleetPlan,
    GroupKey,
    GroupTotal,
    NodeLoad,
    PlannedGroup,
    PlanUpdate,
    Spare,
    SpareKey,
)

# A node that misses more plans than this receives the whole plan.
KEPT_PLANS = 32


@dataclass(frozen=True)
class _PlanContent:
    """The parts of one plan that change rarely, by their keys."""

    groups_by_key: dict[GroupKey, PlannedGroup]
    spares_by_key: dict[SpareKey, Spare]


_NO_CONTENT = _PlanContent({}, {})


class PlanHistory:
    """The current plan and its predecessors, with a serial for each.

    Attributes
    ----------
    serial : int
        Serial of the current plan, 0 without one. Serials never repeat within a
        process.
    """

    def __init__(self) -> None:
        self._last_serial = 0
        self._content_by_serial: OrderedDict[int, _PlanContent] = OrderedDict()
        self.serial = 0

    @property
    def groups_by_key(self) -> dict[GroupKey, PlannedGroup]:
        """Replica groups of the current plan."""
        return self._content(self.serial).groups_by_key

    def has_current_groups(self, serial: int) -> bool:
        """Return whether a plan has the same groups as the current one."""
        known = serial == self.serial or serial in self._content_by_serial
        return known and self._content(serial).groups_by_key == self.groups_by_key

    def _content(self, serial: int) -> _PlanContent:
        return self._content_by_serial.get(serial, _NO_CONTENT)

    def publish(
        self, groups: tuple[PlannedGroup, ...], spares: tuple[Spare, ...]
    ) -> bool:
        """Set the current plan and return whether it differs from the last one."""
        content = _PlanContent(
            {group.key: group for group in groups},
            {spare.key: spare for spare in spares},
        )
        if self.serial and self._content_by_serial[self.serial] == content:
            return False
        self._last_serial += 1
        self.serial = self._last_serial
        self._content_by_serial[self.serial] = content
        while len(self._content_by_serial) > KEPT_PLANS:
            self._content_by_serial.popitem(last=False)
        return True

    def withdraw(self) -> None:
        """Discard the current plan and its predecessors."""
        self._content_by_serial.clear()
        self.serial = 0

    def update_since(self, base_serial: int) -> PlanUpdate:
        """Return the changes since a plan, or the whole plan if it is not known."""
        if not self.serial:
            return PlanUpdate()
        if base_serial not in self._content_by_serial:
            base_serial = 0
        base, current = self._content(base_serial), self._content(self.serial)
        groups, removed_groups = _difference(base.groups_by_key, current.groups_by_key)
        spares, removed_spares = _difference(base.spares_by_key, current.spares_by_key)
        return PlanUpdate(
            serial=self.serial,
            base_serial=base_serial,
            groups=groups,
            removed_groups=removed_groups,
            spares=spares,
            removed_spares=removed_spares,
        )


def _difference(base: dict, current: dict) -> tuple[tuple, tuple]:
    """Return new or changed values, and keys that no longer exist."""
    changed = tuple(
        value for key, value in current.items() if base.get(key, None) != value
    )
    return changed, tuple(key for key in base if key not in current)


class LoadTotals:
    """Sums of the load that all nodes report, kept up to date by each report."""

    def __init__(self) -> None:
        self._load_by_node: dict[str, NodeLoad] = {}
        self._stalled_by_node: dict[str, frozenset[GroupKey]] = {}
        self._in_flight: Counter[GroupKey] = Counter()
        self._reading_tokens: Counter[GroupKey] = Counter()
        self._stalls: Counter[GroupKey] = Counter()

    def set(self, node: str, load: NodeLoad, stalled_ms: int) -> None:
        """Replace a node's load; a group stalls after `stalled_ms` without progress."""
        self.remove(node)
        self._load_by_node[node] = load
        self._add(load, 1)
        stalled = frozenset(g.key for g in load.groups if g.stalled_ms > stalled_ms)
        self._stalled_by_node[node] = stalled
        self._stalls.update(stalled)

    def remove(self, node: str) -> None:
        """Forget a node's load."""
        load = self._load_by_node.pop(node, None)
        if load is None:
            return
        self._add(load, -1)
        self._stalls.subtract(self._stalled_by_node.pop(node))
        for group in load.groups:
            if not self._in_flight[group.key]:
                # Keys of groups that have ended would accumulate.
                for counter in (self._in_flight, self._reading_tokens, self._stalls):
                    counter.pop(group.key, None)

    def _add(self, load: NodeLoad, sign: int) -> None:
        for group in load.groups:
            self._in_flight[group.key] += sign * group.in_flight
            self._reading_tokens[group.key] += sign * group.reading_tokens

    def totals(self, keys: list[GroupKey]) -> tuple[GroupTotal, ...]:
        """Return the load of these groups, in their order."""
        return tuple(
            GroupTotal(
                self._in_flight[key],
                max(0, self._reading_tokens[key]),
                self._stalls[key] > 0,
            )
            for key in keys
        )


def apply_update(
    plan: FleetPlan, update: PlanUpdate, own_load: NodeLoad
) -> FleetPlan | None:
    """Return the plan after an update, None if the update has another base.

    Parameters
    ----------
    own_load : NodeLoad
        Load that the receiver reported; the totals contain it.
    """
    if update.base_serial and update.base_serial != plan.serial:
        return None
    groups_by_key = {}
    spares_by_key = {}
    if update.base_serial:
        groups_by_key = {group.key: group for group in plan.groups}
        spares_by_key = {spare.key: spare for spare in plan.spares}
    groups_by_key.update({group.key: group for group in update.groups})
    spares_by_key.update({spare.key: spare for spare in update.spares})
    for key in update.removed_groups:
        groups_by_key.pop(key, None)
    for key in update.removed_spares:
        spares_by_key.pop(key, None)
    if len(update.totals) != len(groups_by_key):
        return None
    own_by_key = {group.key: group for group in own_load.groups}
    return FleetPlan(
        update.serial,
        update.node_count,
        tuple(
            _with_load(groups_by_key[key], total, own_by_key.get(key))
            for key, total in zip(sorted(groups_by_key), update.totals, strict=True)
        ),
        tuple(spares_by_key.values()),
        update.rate_limits,
        update.demands,
        update.admitted_shares,
    )


def _with_load(group: PlannedGroup, total: GroupTotal, own) -> PlannedGroup:
    in_flight, reading_tokens = total.in_flight, total.reading_tokens
    if own is not None:
        in_flight = max(0, in_flight - own.in_flight)
        reading_tokens = max(0, reading_tokens - own.reading_tokens)
    return replace(
        group,
        in_flight=in_flight,
        reading_tokens=reading_tokens,
        stalled=total.stalled,
    )
