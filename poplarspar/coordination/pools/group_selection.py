"""Selection of the replica groups that backend servers of a fabric domain form."""

import itertools
import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from poplarspar.coordination.pools.demand import Demand
from poplarspar.coordination.pools.groups import Group, Worker
from poplarspar.state.serving import Engine, EngineModel

# A member that loads the model staged on its host has no other model there until the
# planner stages one again. Costs are in the unit of `Demand.utility`, at most for one
# member or domain, and else in a fleet of which all members or domains bear them.
MAX_MODEL_SWITCH_COST = 0.002
FLEET_MODEL_SWITCH_COST = 0.1
# In a domain with groups of one model only, groups can exchange members to replace
# lost ones.
MAX_MIXED_DOMAIN_COST = 0.002
FLEET_MIXED_DOMAIN_COST = 0.012
# The members of a retired group serve no requests for about two seconds. Cost as a
# share of the utility that a group of its model has on average.
CONVERSION_COST = 0.25
# With more compositions to compare, a planning pass would delay requests on its node.
MAX_COMPOSITIONS = 500


@dataclass(frozen=True)
class FleetSize:
    """Numbers of backend servers of a service and of their fabric domains."""

    backends: int
    domains: int

    @classmethod
    def of(cls, workers: Iterable[Worker]) -> "FleetSize":
        """Return the size of the fleet of these backend servers."""
        by_domain = workers_by_domain(workers)
        return cls(sum(map(len, by_domain.values())), len(by_domain))


@dataclass(frozen=True)
class NewGroup:
    """A replica group that the planner may form; the first member becomes its head."""

    model: EngineModel
    members: tuple[Worker, ...]
    load_s: float

    @property
    def model_switches(self) -> int:
        """Number of members that did not serve this model last."""
        return sum(worker.load_s(self.model) > 0.0 for worker in self.members)


@dataclass(frozen=True)
class Formation:
    """Replica groups that backend servers of one domain can form.

    Attributes
    ----------
    gain : float
        Utility that these groups add to the present ones, less their costs.
    """

    groups: tuple[NewGroup, ...]
    gain: float


@dataclass(frozen=True)
class Conversion:
    """Groups to retire, and groups that their members and spares form instead."""

    retired_groups: tuple[Group, ...]
    new_groups: tuple[NewGroup, ...]
    gain: float


def head_first(members: Iterable[Worker]) -> tuple[Worker, ...]:
    """Return members with the oldest first, which all nodes know as a head."""
    return tuple(sorted(members, key=lambda worker: worker.incarnation[1]))


def conversion_cost(demand: Demand, count_by_model: Counter[str], model: str) -> float:
    """Return the cost of retiring one group of a model, besides its utility."""
    count = max(1, count_by_model[model])
    all_groups = Counter({model: count})
    return CONVERSION_COST * demand.gain(Counter(), all_groups) / count


def workers_by_domain(workers: Iterable[Worker]) -> dict[str, list[Worker]]:
    """Return backend servers keyed by fabric domain."""
    by_domain: dict[str, list[Worker]] = defaultdict(list)
    for worker in workers:
        by_domain[worker.domain].append(worker)
    return by_domain


class GroupSelector:
    """Selects groups by the utility that they add for callers.

    Parameters
    ----------
    count_by_model : Counter
        Number of replica groups that serve or are forming.
    models_by_domain : dict of str to Counter
        The same numbers, by model, for each fabric domain.
    fleet_size : FleetSize
        Size of the fleet, which bears the costs of a change.
    max_load_s : float
        Longest time that a member of a new group may take to load its model.
    allow_mixed_domains : bool
        Whether one formation may contain groups of several models in a domain.
    """

    def __init__(
        self,
        engine: Engine,
        demand: Demand,
        count_by_model: Counter[str],
        models_by_domain: dict[str, Counter[str]],
        fleet_size: FleetSize,
        max_load_s: float,
        allow_mixed_domains: bool = True,
    ) -> None:
        self._engine = engine
        self._demand = demand
        self._count_by_model = count_by_model
        self._models_by_domain = models_by_domain
        self._switch_cost = min(
            MAX_MODEL_SWITCH_COST, FLEET_MODEL_SWITCH_COST / max(1, fleet_size.backends)
        )
        self._mixed_domain_cost = min(
            MAX_MIXED_DOMAIN_COST, FLEET_MIXED_DOMAIN_COST / max(1, fleet_size.domains)
        )
        self._max_load_s = max_load_s
        self._allow_mixed = allow_mixed_domains
        self._min_group_size = min(m.members for m in engine.models_by_name.values())

    def choose_formation(self, free: Iterable[Worker]) -> Formation | None:
        """Return the formation with the highest gain over all domains."""
        formations = [
            formation
            for domain, workers in workers_by_domain(free).items()
            if (
                formation := self._best_formation(domain, workers, self._count_by_model)
            )
        ]
        return max(formations, key=lambda formation: formation.gain, default=None)

    def choose_conversion(
        self, serving_groups: Iterable[Group], free: Iterable[Worker]
    ) -> Conversion | None:
        """Return the conversion with the highest gain, None if none has a gain."""
        free_by_domain = workers_by_domain(free)
        groups_by_key: dict[tuple[str, str], list[Group]] = defaultdict(list)
        for group in serving_groups:
            for domain in group.domains:
                groups_by_key[(domain, group.model)].append(group)
        best: Conversion | None = None
        for (domain, model), groups in groups_by_key.items():
            for count in range(1, min(self._max_retired(model), len(groups)) + 1):
                conversion = self._evaluate_conversion(
                    domain, model, tuple(groups[:count]), free_by_domain[domain]
                )
                if conversion is not None and (
                    best is None or conversion.gain > best.gain
                ):
                    best = conversion
        return best

    def _max_retired(self, model: str) -> int:
        """Return how many groups of a model one conversion may retire.

        Their members are enough for a group of the largest model, or two of the model's
        own groups are.
        """
        models = self._engine.models_by_name
        largest = max(m.members for m in models.values())
        return max(2, math.ceil(largest / models[model].members))

    def _evaluate_conversion(
        self, domain: str, model: str, retired: tuple[Group, ...], free: list[Worker]
    ) -> Conversion | None:
        """Return the conversion that retires these groups, None without a gain."""
        change = Counter({model: -sum(not group.is_far for group in retired)})
        after = Counter(self._count_by_model)
        after.update(change)
        members = [
            worker
            for group in retired
            for worker in group.members_by_rank.values()
            if worker.domain == domain
        ]
        formation = self._best_formation(domain, members + free, after)
        if formation is None:
            return None
        loss = self._demand.gain(self._count_by_model, change)
        cost = conversion_cost(self._demand, self._count_by_model, model)
        gain = loss + formation.gain - cost * len(retired)
        return Conversion(retired, formation.groups, gain) if gain > 0.0 else None

    def _best_formation(
        self, domain: str, workers: list[Worker], count_by_model: Counter[str]
    ) -> Formation | None:
        """Return the formation of these backend servers with the highest gain."""
        if len(workers) < self._min_group_size:
            return None
        present = self._models_by_domain.get(domain, Counter())
        candidates = []
        for counts in self._candidate_compositions(workers):
            change = Counter(counts)
            gain = self._demand.gain(count_by_model, change)
            gain -= self._mixed_domain_cost * (len(+change | +present) - 1)
            candidates.append((gain, counts))
        best: Formation | None = None
        for gain, counts in sorted(candidates, key=lambda item: -item[0]):
            if gain <= (best.gain if best else 0.0):
                # Loads only reduce the gains of this and of all further candidates.
                break
            groups = self._assign_members(counts, workers)
            if groups is None:
                continue
            gain -= self._switch_cost * sum(group.model_switches for group in groups)
            if gain > (best.gain if best else 0.0):
                best = Formation(groups, gain)
        return best

    def _candidate_compositions(
        self, workers: Sequence[Worker]
    ) -> Iterator[dict[str, int]]:
        """Yield candidate compositions: numbers of groups by model."""
        max_counts = {
            name: self._count_loadable(model, workers) // model.members
            for name, model in self._engine.models_by_name.items()
        }
        ranges = [range(count + 1) for count in max_counts.values()]
        if not self._allow_mixed or math.prod(map(len, ranges)) > MAX_COMPOSITIONS:
            # Later formations use the remaining backend servers for other models.
            for name, count in max_counts.items():
                yield from ({name: number} for number in range(1, count + 1))
            return
        for counts in itertools.product(*ranges):
            composition = dict(zip(max_counts, counts, strict=True))
            if 0 < self._count_members(composition) <= len(workers):
                yield composition

    def _count_loadable(self, model: EngineModel, workers: Sequence[Worker]) -> int:
        """Return how many backend servers can load a model within the time limit."""
        return sum(w.load_s(model) <= self._max_load_s for w in workers)

    def _count_members(self, composition: dict[str, int]) -> int:
        """Return how many backend servers a composition needs."""
        models = self._engine.models_by_name
        return sum(models[name].members * n for name, n in composition.items())

    def _assign_members(
        self, counts: dict[str, int], workers: Sequence[Worker]
    ) -> tuple[NewGroup, ...] | None:
        """Return groups with their members, None with too few backend servers."""
        models = [self._engine.models_by_name[n] for n, c in counts.items() if c]
        left = list(workers)
        groups = []
        for model in sorted(models, key=lambda m: self._surplus(m, counts, workers)):
            for _ in range(counts[model.name]):
                members = self._select_members(model, models, left)
                if members is None:
                    return None
                taken_ids = {worker.id for worker in members}
                left = [worker for worker in left if worker.id not in taken_ids]
                load_s = max(worker.load_s(model) for worker in members)
                groups.append(NewGroup(model, members, load_s))
        return tuple(groups)

    def _surplus(
        self, model: EngineModel, counts: dict[str, int], workers: Sequence[Worker]
    ) -> int:
        return self._count_loadable(model, workers) - counts[model.name] * model.members

    def _select_members(
        self, model: EngineModel, models: list[EngineModel], left: list[Worker]
    ) -> tuple[Worker, ...] | None:
        """Return the candidates that load fastest.

        Of equally fast ones, the selector prefers those that can load the fewest other
        models.
        """

        def preference(worker: Worker) -> tuple[float, int]:
            other_models = sum(
                worker.load_s(other) <= self._max_load_s
                for other in models
                if other is not model
            )
            return worker.load_s(model), other_models

        candidates = [w for w in left if w.load_s(model) <= self._max_load_s]
        members = sorted(candidates, key=preference)[: model.members]
        return head_first(members) if len(members) == model.members else None
