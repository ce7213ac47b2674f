"""Assignment of each backend server's capacity to an owning entry."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

from poplarspar.state.entries import EntryStatus
from poplarspar.state.ownership import Ownership, OwnerTable
from poplarspar.state.replicas import ReplicaGroup


@dataclass(frozen=True)
class OwnerInputs:
    """Inputs of the owner assignment.

    Attributes
    ----------
    previous_owner_drained : callable
        Returns whether all requests of a backend server's previous owner have
        certainly ended, so that the new owner may start.
    expired_backends : frozenset of str
        Backend servers that vanished so long ago that all their requests have
        ended.
    """

    groups: list[ReplicaGroup]
    entries_by_name: dict[str, EntryStatus]
    previous_owner_drained: Callable[[str, Ownership], bool]
    expired_backends: frozenset[str]


def plan_owners(table: OwnerTable, inputs: OwnerInputs) -> OwnerTable:
    """Return the next owner table, or `table` itself if nothing changes.

    A backend server keeps its owner while that entry is live and not shutting
    down, unless a rebalance moves it. A new owner starts only when none of the
    previous owner's requests can still run.
    """
    remaining_entries = {
        name: status.lending_address
        for name, status in inputs.entries_by_name.items()
        if not status.leaving
    }
    if not remaining_entries:
        return table
    plan = _OwnerPlan(table, inputs, sorted(remaining_entries))
    by_backend = plan.run()
    lender_address_by_entry = {
        name: inputs.entries_by_name[name].lending_address
        for name in sorted(inputs.entries_by_name)
    }
    if (
        by_backend == table.by_backend
        and lender_address_by_entry == table.lender_address_by_entry
    ):
        return table
    return OwnerTable(table.generation + 1, by_backend, lender_address_by_entry)


class _OwnerPlan:
    """Computes the ownership of each backend server for the next table."""

    def __init__(
        self, table: OwnerTable, inputs: OwnerInputs, entries: list[str]
    ) -> None:
        self._table = table
        self._inputs = inputs
        self._entries = entries
        self._generation = table.generation + 1
        self._ownership_by_backend = {
            backend: ownership
            for backend, ownership in table.by_backend.items()
            if backend not in inputs.expired_backends
        }
        self._count_by_entry: Counter[str] = Counter()
        self._counts_by_deployment: dict[str, Counter[str]] = {}

    def run(self) -> dict[str, Ownership]:
        for group in self._inputs.groups:
            if self._ownership_of(group).owner in self._entries:
                self._add_to_counts(
                    group.deployment, self._ownership_of(group).owner, 1
                )
        for group in self._inputs.groups:
            self._assign_owner(group)
        self._rebalance()
        return dict(sorted(self._ownership_by_backend.items()))

    def _ownership_of(self, group: ReplicaGroup) -> Ownership:
        return self._ownership_by_backend.get(group.name, Ownership(owner=""))

    def _assign_owner(self, group: ReplicaGroup) -> None:
        ownership = self._ownership_of(group)
        if ownership.previous and self._inputs.previous_owner_drained(
            group.name, ownership
        ):
            ownership = replace(ownership, previous="")
        if ownership.owner not in self._entries:
            # An owner that waits for the previous one has sent no requests yet.
            previous = ownership.previous or ownership.owner
            owner = self._least_loaded_entry(group.deployment)
            self._add_to_counts(group.deployment, owner, 1)
            ownership = Ownership(owner, previous, self._generation)
        self._ownership_by_backend[group.name] = ownership

    def _rebalance(self) -> None:
        """Move one backend server per deployment from the owner with the most.

        A backend server with an unfinished handover stays where it is.
        """
        for deployment, counts in self._counts_by_deployment.items():
            most_loaded = max(self._entries, key=lambda name: counts[name])
            least_loaded = min(self._entries, key=lambda name: counts[name])
            if counts[most_loaded] - counts[least_loaded] < 2:
                continue
            for group in self._inputs.groups:
                ownership = self._ownership_by_backend[group.name]
                movable = ownership.owner == most_loaded and not ownership.previous
                if group.deployment == deployment and movable:
                    handover = Ownership(least_loaded, most_loaded, self._generation)
                    self._ownership_by_backend[group.name] = handover
                    break

    def _add_to_counts(self, deployment: str, owner: str, added: int) -> None:
        self._count_by_entry[owner] += added
        self._counts_by_deployment.setdefault(deployment, Counter())[owner] += added

    def _least_loaded_entry(self, deployment: str) -> str:
        counts = self._counts_by_deployment.setdefault(deployment, Counter())
        return min(
            self._entries,
            key=lambda name: (counts[name], self._count_by_entry[name], name),
        )
