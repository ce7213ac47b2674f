"""Choosing what to load onto hosts, so that spares can form groups and replace."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from poplarspar.coordination.pools.demand import Demand
from poplarspar.coordination.pools.group_selection import (
    CONVERSION_COST,
    workers_by_domain,
)
from poplarspar.coordination.pools.groups import Group, Worker
from poplarspar.state.serving import Engine, EngineModel


@dataclass(frozen=True)
class StagingOption:
    """Loads that let spares of one domain form a replica group.

    Attributes
    ----------
    rate : float
        What the group is worth for each second of loading.
    """

    model: EngineModel
    members: tuple[Worker, ...]
    members_to_load: tuple[Worker, ...]
    gain_per_s: float


class StagingSelector:
    """Chooses loads by what they are worth to callers.

    Parameters
    ----------
    count_by_model : Counter
        Replica groups that serve or are being formed.
    loading_by_id : dict of str to str
        Models that are being loaded onto hosts.
    """

    def __init__(
        self,
        engine: Engine,
        needs: Demand,
        count_by_model: Counter[str],
        loading_by_id: dict[str, str],
    ) -> None:
        self._engine = engine
        self._needs = needs
        self._count_by_model = count_by_model
        self._loading_by_id = loading_by_id

    def options_for_spares(self, free: Iterable[Worker]) -> list[StagingOption]:
        """Return loads that let spares form groups, what is worth most first."""
        found = [
            completion
            for workers in workers_by_domain(free).values()
            for completion in self._completions(workers)
        ]
        return sorted(found, key=lambda completion: -completion.gain_per_s)

    def options_for_conversions(
        self, serving_groups: Iterable[Group], free: Iterable[Worker]
    ) -> list[StagingOption]:
        """Return loads that let members of a group form one of another model.

        The group serves on while its members load.
        """
        free_by_domain = workers_by_domain(free)
        found = []
        for group in serving_groups:
            members = list(group.members_by_rank.values())
            given_up = Counter(self._count_by_model)
            given_up[group.model] -= 1
            loss = self._needs.gain(self._count_by_model, Counter({group.model: -1}))
            for model in self._engine.models_by_name.values():
                if model.name == group.model:
                    continue
                way = self._way(
                    model, members + free_by_domain[group.domain], given_up, loss
                )
                if way is not None and way.members_to_load and way.gain_per_s > 0.0:
                    found.append(way)
        return sorted(found, key=lambda completion: -completion.gain_per_s)

    def _completions(self, workers: list[Worker]) -> list[StagingOption]:
        counts = Counter(self._count_by_model)
        left = list(workers)
        found = []
        while True:
            ways = [
                way
                for model in self._engine.models_by_name.values()
                if (way := self._way(model, left, counts)) is not None
            ]
            if not ways:
                return found
            best = max(ways, key=lambda way: way.gain_per_s)
            if best.members_to_load:
                found.append(best)
            counts[best.model.name] += 1
            left = [worker for worker in left if worker not in best.members]

    def _way(
        self,
        model: EngineModel,
        workers: list[Worker],
        counts: Counter[str],
        loss: float = 0.0,
    ) -> StagingOption | None:
        """Return who would have to load a model, None if there are too few.

        Parameters
        ----------
        loss : float
            What a group is worth that is given up for it, negative; 0 for none.
        """
        able = [worker for worker in workers if self._is_able(worker, model)]
        others = [
            worker
            for worker in workers
            if worker not in able and worker.id not in self._loading_by_id
        ]
        lacking = max(0, model.members - len(able))
        if lacking > len(others):
            return None
        # Those that have nothing yet lose nothing by it.
        others.sort(key=lambda worker: len(worker.ready_models))
        missing = tuple(others[:lacking])
        gain = self._needs.gain(counts, Counter({model.name: 1})) + loss
        if loss:
            gain -= CONVERSION_COST
        loading_s = model.load_s * lacking + model.staged_load_s
        members = (*able[: model.members], *missing)
        return StagingOption(model, members, missing, gain / max(loading_s, 1e-3))

    def _is_able(self, worker: Worker, model: EngineModel) -> bool:
        if worker.load_s(model) <= model.staged_load_s:
            return True
        return self._loading_by_id.get(worker.id) == model.name

    def choose_model_to_stage(
        self, worker: Worker, present: Counter[str]
    ) -> EngineModel | None:
        """Return the model that a host should have besides, None if it has all.

        A backend server is soon ready for the model that it served last and for
        those on its host, so the host should have another one. A fresh one is to
        replace a member, so it gets what its domain serves.

        Parameters
        ----------
        present : Counter
            Replica groups of its domain, by model.
        """
        hosting = worker.observation.report.engine_state
        models = list(self._engine.models_by_name.values())
        others = [model for model in models if model.name != hosting.model]
        if not others or any(model.name in hosting.staged_models for model in others):
            return None
        if not hosting.model and +present:
            return self._engine.models_by_name.get(present.most_common(1)[0][0])
        one = {model.name: Counter({model.name: 1}) for model in others}
        return max(
            others,
            key=lambda model: self._needs.gain(self._count_by_model, one[model.name]),
        )


def choose_model_to_warm(engine: Engine, worker: Worker) -> EngineModel | None:
    """Return the model that a spare should get ready and leave again.

    It joins a group of that model sooner then, and its host is free for another.
    """
    hosting = worker.observation.report.engine_state
    if hosting.model:
        return None
    return next(
        (m for m in engine.models_by_name.values() if m.name in hosting.staged_models),
        None,
    )
