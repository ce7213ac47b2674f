"""Selection of the models that hosts stage, for new groups and replacements."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from poplarspar.coordination.pools.demand import Demand
from poplarspar.coordination.pools.group_selection import (
    conversion_cost,
    workers_by_domain,
)
from poplarspar.coordination.pools.groups import Group, Worker
from poplarspar.state.serving import Engine, EngineModel

# Members are lost in pairs; this many spares replace those of two losses.
ENOUGH_READY_SPARES = 4
# A model whose further groups are worth less than this share of another's has a
# surplus, which makes up for losses.
MIN_REPAIR_GAIN_RATIO = 0.1


@dataclass(frozen=True)
class StagingOption:
    """Loads that enable backend servers of one domain to form a replica group.

    Attributes
    ----------
    members_to_load : tuple of Worker
        Members that have to load the model.
    gain_per_s : float
        Utility that the group adds, per second of loading.
    """

    model: EngineModel
    members: tuple[Worker, ...]
    members_to_load: tuple[Worker, ...]
    gain_per_s: float


class StagingSelector:
    """Selects loads by the utility that they add for callers.

    Parameters
    ----------
    count_by_model : Counter
        Number of replica groups that serve or are forming.
    loading_by_id : dict of str to str
        Models that hosts are loading, by backend server.
    """

    def __init__(
        self,
        engine: Engine,
        demand: Demand,
        count_by_model: Counter[str],
        loading_by_id: dict[str, str],
    ) -> None:
        self._engine = engine
        self._demand = demand
        self._count_by_model = count_by_model
        self._loading_by_id = loading_by_id

    def options_for_spares(self, free: Iterable[Worker]) -> list[StagingOption]:
        """Return loads that enable spares to form groups, highest gain first."""
        options = [
            option
            for workers in workers_by_domain(free).values()
            for option in self._options_in_domain(workers)
        ]
        return sorted(options, key=lambda option: -option.gain_per_s)

    def options_for_conversions(
        self, serving_groups: Iterable[Group], free: Iterable[Worker]
    ) -> list[StagingOption]:
        """Return loads that enable members of groups to form one of another model.

        The groups continue to serve while their members load.
        """
        free_by_domain = workers_by_domain(free)
        groups_by_key: dict[tuple[str, str], list[Group]] = defaultdict(list)
        for group in serving_groups:
            if not group.is_far:
                groups_by_key[(group.domain, group.model)].append(group)
        options = []
        for (domain, old_model), groups in groups_by_key.items():
            for model in self._engine.models_by_name.values():
                if model.name != old_model:
                    options += self._options_for_model(
                        model, old_model, groups, free_by_domain[domain]
                    )
        return sorted(options, key=lambda option: -option.gain_per_s)

    def _options_for_model(
        self,
        model: EngineModel,
        old_model: str,
        groups: list[Group],
        free: list[Worker],
    ) -> list[StagingOption]:
        """Return the best option to replace one or more groups by one of a model."""
        options = []
        members_each = self._engine.models_by_name[old_model].members
        max_retired = math.ceil(model.members / members_each)
        cost = conversion_cost(self._demand, self._count_by_model, old_model)
        for count in range(1, min(max_retired, len(groups)) + 1):
            retired = groups[:count]
            members = [w for group in retired for w in group.members_by_rank.values()]
            change = Counter({old_model: -count})
            counts_after = Counter(self._count_by_model)
            counts_after.update(change)
            loss = self._demand.gain(self._count_by_model, change) - cost * count
            option = self._find_option(model, members + free, counts_after, loss)
            if (
                option is not None
                and option.members_to_load
                and option.gain_per_s > 0.0
            ):
                options.append(option)
        return sorted(options, key=lambda option: -option.gain_per_s)[:1]

    def _options_in_domain(self, workers: list[Worker]) -> list[StagingOption]:
        counts = Counter(self._count_by_model)
        left = list(workers)
        found = []
        while True:
            options = [
                option
                for model in self._engine.models_by_name.values()
                if (option := self._find_option(model, left, counts)) is not None
            ]
            if not options:
                return found
            best = max(options, key=lambda option: option.gain_per_s)
            if best.members_to_load:
                found.append(best)
            counts[best.model.name] += 1
            used_ids = {worker.id for worker in best.members}
            left = [worker for worker in left if worker.id not in used_ids]

    def _find_option(
        self,
        model: EngineModel,
        workers: list[Worker],
        counts: Counter[str],
        loss: float = 0.0,
    ) -> StagingOption | None:
        """Return the members that must load a model, None with too few workers.

        Parameters
        ----------
        loss : float
            Change in utility when the planner retires a group for this one, less the
            cost of that; 0 without such a group.
        """
        ready = [worker for worker in workers if self._has_or_loads(worker, model)]
        others = [
            worker
            for worker in workers
            if not self._has_or_loads(worker, model)
            and worker.id not in self._loading_by_id
        ]
        missing_count = max(0, model.members - len(ready))
        if missing_count > len(others):
            return None
        # Backend servers without a ready model come first, since they can't lose one.
        others.sort(key=lambda worker: len(worker.ready_models))
        missing = tuple(others[:missing_count])
        gain = self._demand.gain(counts, Counter({model.name: 1})) + loss
        loading_s = model.load_s * missing_count + model.staged_load_s
        members = (*ready[: model.members], *missing)
        return StagingOption(model, members, missing, gain / max(loading_s, 1e-3))

    def _has_or_loads(self, worker: Worker, model: EngineModel) -> bool:
        if worker.load_s(model) <= model.staged_load_s:
            return True
        return self._loading_by_id.get(worker.id) == model.name

    def choose_model_to_stage(
        self, worker: Worker, present: Counter[str], ready_spares: Counter[str]
    ) -> EngineModel | None:
        """Return the model that a host should stage, None if it needs no other.

        A backend server can soon serve the model that it served last and the models
        staged on its host, so the host should stage a model other than the last
        one. A backend server that has not served yet should replace a lost member,
        so its host stages the model with the most groups in its domain, unless other
        spares there are ready for that.

        Parameters
        ----------
        present : Counter
            Number of replica groups in its domain, by model.
        ready_spares : Counter
            Number of spares in its domain that are ready for a model, by model.
        """
        state = worker.observation.report.engine_state
        models = list(self._engine.models_by_name.values())
        others = [model for model in models if model.name != state.model]
        if not others or any(model.name in state.staged_models for model in others):
            return None
        neediest = max(others, key=lambda model: self._gain_of_one(model.name))
        if not state.model and +present:
            most_present, _ = present.most_common(1)[0]
            is_worth_repair = self._gain_of_one(most_present) > (
                MIN_REPAIR_GAIN_RATIO * self._gain_of_one(neediest.name)
            )
            if ready_spares[most_present] < ENOUGH_READY_SPARES and is_worth_repair:
                return self._engine.models_by_name.get(most_present)
        return neediest

    def _gain_of_one(self, model: str) -> float:
        """Return the utility of one more group of a model."""
        return self._demand.gain(self._count_by_model, Counter({model: 1}))


def choose_model_to_warm(engine: Engine, worker: Worker) -> EngineModel | None:
    """Return the staged model that a spare should load by joining and leaving a group.

    The spare later joins a group of that model sooner, and its host can stage
    another model.
    """
    state = worker.observation.report.engine_state
    if state.model:
        return None
    return next(
        (m for m in engine.models_by_name.values() if m.name in state.staged_models),
        None,
    )
