"""Replica groups across fabric domains, for models that no domain can hold."""

import math
from collections.abc import Iterable

from poplarspar.coordination.pools.demand import Demand
from poplarspar.coordination.pools.group_lifecycle import GroupLifecycle
from poplarspar.coordination.pools.group_selection import (
    NewGroup,
    head_first,
    workers_by_domain,
)
from poplarspar.coordination.pools.groups import Group, Worker
from poplarspar.state.serving import Engine, EngineModel


class FarGroups:
    """Decides which groups across domains serve.

    They serve slowly, but callers of the model need not wait until a domain has loaded
    it.
    """

    def __init__(
        self,
        engine: Engine,
        demand: Demand,
        lifecycle: GroupLifecycle,
        max_load_s: float,
    ) -> None:
        self._engine = engine
        self._demand = demand
        self._lifecycle = lifecycle
        self._max_load_s = max_load_s

    def missing_models(self) -> list[EngineModel]:
        """Return the models that need one more group across domains."""
        lifecycle = self._lifecycle
        missing = []
        for name, model in self._engine.models_by_name.items():
            needed = math.ceil(
                self._demand.groups_by_model[name] * self._engine.far_factor
            )
            has_local_groups = lifecycle.count_by_model[name] > 0
            if not has_local_groups and lifecycle.far_count_by_model[name] < needed:
                missing.append(model)
        return missing

    def choose(self, model: EngineModel, free: Iterable[Worker]) -> NewGroup | None:
        """Return a group of as few domains as possible, None with too few servers."""
        ready_by_domain = workers_by_domain(
            worker for worker in free if worker.load_s(model) <= self._max_load_s
        )
        largest_first = sorted(ready_by_domain.values(), key=len, reverse=True)
        ready = [worker for workers in largest_first for worker in workers]
        if len(ready) < model.members:
            return None
        # The head is of the largest part, whose domain counts as the group's.
        largest = head_first(largest_first[0][: model.members])
        members = (*largest, *ready[len(largest) : model.members])
        return NewGroup(model, members, max(w.load_s(model) for w in members))


def replaced_groups(serving: list[Group]) -> list[Group]:
    """Return the groups across domains whose model a domain serves by now."""
    local_models = {group.model for group in serving if not group.is_far}
    return [group for group in serving if group.is_far and group.model in local_models]
