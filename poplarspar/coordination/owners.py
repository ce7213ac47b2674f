"""Choosing the entry that owns each backend server's capacity."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

from poplarspar.state.entries import EntryStatus
from poplarspar.state.ownership import Ownership, OwnerTable
from poplarspar.state.replicas import ReplicaGroup


@dataclass(frozen=True)
class OwnerInputs:
    """What the choice of owners depends on.

    Attributes
    ----------
    may_clear : callable
        Says whether all requests of a line's previous owner are sure to have
        ended, so that the new owner may start.
    gone : frozenset of str
        Backend servers that vanished so long ago that nothing runs there.
    """

    groups: list[ReplicaGroup]
    entries_by_name: dict[str, EntryStatus]
    previous_owner_drained: Callable[[str, Ownership], bool]
    expired_backends: frozenset[str]


def plan_owners(table: OwnerTable, inputs: OwnerInputs) -> OwnerTable:
    """Return the owner table that should hold next, the same if nothing changes.

    A backend server keeps its owner while that entry lives. A new owner starts
    only when none of the previous owner's requests can still run.
    """
    candidates = {
        name: status.lending_address
        for name, status in inputs.entries_by_name.items()
        if not status.leaving
    }
    if not candidates:
        return table
    plan = _OwnerPlan(table, inputs, sorted(candidates))
    lines = plan.run()
    lenders = {
        name: inputs.entries_by_name[name].lending_address
        for name in sorted(inputs.entries_by_name)
    }
    if lines == table.by_backend and lenders == table.lender_address_by_entry:
        return table
    return OwnerTable(table.generation + 1, lines, lenders)


class _OwnerPlan:
    def __init__(
        self, table: OwnerTable, inputs: OwnerInputs, candidates: list[str]
    ) -> None:
        self._table = table
        self._inputs = inputs
        self._candidates = candidates
        self._generation = table.generation + 1
        self._lines = {
            backend: line
            for backend, line in table.by_backend.items()
            if backend not in inputs.expired_backends
        }
        self._total: Counter[str] = Counter()
        self._by_deployment: dict[str, Counter[str]] = {}

    def run(self) -> dict[str, Ownership]:
        for group in self._inputs.groups:
            if self._line(group).owner in self._candidates:
                self._count(group.deployment, self._line(group).owner, 1)
        for group in self._inputs.groups:
            self._settle(group)
        self._balance()
        return dict(sorted(self._lines.items()))

    def _line(self, group: ReplicaGroup) -> Ownership:
        return self._lines.get(group.name, Ownership(owner=""))

    def _settle(self, group: ReplicaGroup) -> None:
        line = self._line(group)
        if line.previous and self._inputs.previous_owner_drained(group.name, line):
            line = replace(line, previous="")
        if line.owner not in self._candidates:
            previous = line.previous or line.owner
            owner = self._least_loaded(group.deployment)
            self._count(group.deployment, owner, 1)
            line = Ownership(owner, previous, self._generation)
        self._lines[group.name] = line

    def _balance(self) -> None:
        """Move one backend server per deployment from the fullest owner."""
        for deployment, counts in self._by_deployment.items():
            fullest = max(self._candidates, key=lambda name: counts[name])
            emptiest = min(self._candidates, key=lambda name: counts[name])
            if counts[fullest] - counts[emptiest] < 2:
                continue
            for group in self._inputs.groups:
                line = self._lines[group.name]
                held = line.owner == fullest and not line.previous
                if group.deployment == deployment and held:
                    moved = Ownership(emptiest, fullest, self._generation)
                    self._lines[group.name] = moved
                    break

    def _count(self, deployment: str, owner: str, by: int) -> None:
        self._total[owner] += by
        self._by_deployment.setdefault(deployment, Counter())[owner] += by

    def _least_loaded(self, deployment: str) -> str:
        counts = self._by_deployment.setdefault(deployment, Counter())
        return min(
            self._candidates, key=lambda name: (counts[name], self._total[name], name)
        )
