"""Choosing which replica groups the backend servers of a fabric domain form."""

import itertools
import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from poplarspar.coordination.pools.demand import Demand
from poplarspar.coordination.pools.groups import Group, Worker
from poplarspar.state.serving import Engine, EngineModel

# A member that joins with the model on its host has no other one there afterwards,
# until it is loaded again; see `Needs.worth` for the unit.
MODEL_SWITCH_COST = 0.002
# Groups of one model in a domain can replace each other's lost members.
MIXED_DOMAIN_COST = 0.002
# A group that is given up serves nobody for two seconds or so.
CONVERSION_COST = 0.04
# With more sets of groups to compare, a round would hold up a node's callers.
MAX_COMPOSITIONS = 500
# Groups of one model that may be given up at once for others.
MAX_CONVERTED_GROUPS = 2


@dataclass(frozen=True)
class NewGroup:
    """A replica group to be formed; the first member is to be its head."""

    model: EngineModel
    members: tuple[Worker, ...]
    load_s: float

    @property
    def model_switches(self) -> int:
        """How many members leave the model that they served last."""
        return sum(worker.load_s(self.model) > 0.0 for worker in self.members)


@dataclass(frozen=True)
class Formation:
    """Replica groups that backend servers of one domain could form.

    Attributes
    ----------
    gain : float
        What they are worth beside all others, less what they cost.
    """

    groups: tuple[NewGroup, ...]
    gain: float


@dataclass(frozen=True)
class Conversion:
    """Groups to give up for others that their members and spares could form."""

    retired_groups: tuple[Group, ...]
    new_groups: tuple[NewGroup, ...]
    gain: float


def workers_by_domain(workers: Iterable[Worker]) -> dict[str, list[Worker]]:
    """Return backend servers by their fabric domain."""
    found: dict[str, list[Worker]] = defaultdict(list)
    for worker in workers:
        found[worker.domain].append(worker)
    return found


class GroupSelector:
    """Chooses groups by what they are worth to callers.

    Parameters
    ----------
    count_by_model : Counter
        Replica groups that serve or are being formed.
    models_by_domain : dict of str to Counter
        The same groups in each fabric domain.
    longest_load_s : float
        Longest time that a member of a new group may take to load its model.
    mixed : bool
        Whether groups of several models may be formed at once in a domain.
    """

    def __init__(
        self,
        engine: Engine,
        needs: Demand,
        count_by_model: Counter[str],
        models_by_domain: dict[str, Counter[str]],
        max_load_s: float,
        allow_mixed_domains: bool = True,
    ) -> None:
        self._engine = engine
        self._needs = needs
        self._count_by_model = count_by_model
        self._models_by_domain = models_by_domain
        self._longest_load_s = max_load_s
        self._mixed = allow_mixed_domains
        self._smallest = min(m.members for m in engine.models_by_name.values())

    def choose_formation(self, free: Iterable[Worker]) -> Formation | None:
        """Return the groups of the domain where new ones are worth most."""
        found = [
            formation
            for domain, workers in workers_by_domain(free).items()
            if (formation := self._best(domain, workers, self._count_by_model))
        ]
        return max(found, key=lambda formation: formation.gain, default=None)

    def choose_conversion(
        self, serving_groups: Iterable[Group], free: Iterable[Worker]
    ) -> Conversion | None:
        """Return the groups that are best given up for others in their domain."""
        free_by_domain = workers_by_domain(free)
        groups_by_place: dict[tuple[str, str], list[Group]] = defaultdict(list)
        for group in serving_groups:
            groups_by_place[(group.domain, group.model)].append(group)
        best: Conversion | None = None
        for (domain, model), groups in groups_by_place.items():
            for count in range(1, min(MAX_CONVERTED_GROUPS, len(groups)) + 1):
                found = self._convert(
                    domain, model, tuple(groups[:count]), free_by_domain[domain]
                )
                if found is not None and (best is None or found.gain > best.gain):
                    best = found
        return best

    def _convert(
        self, domain: str, model: str, given_up: tuple[Group, ...], free: list[Worker]
    ) -> Conversion | None:
        """Return what comes of giving groups up, None if it is worth nothing."""
        lost = Counter({model: -len(given_up)})
        after = Counter(self._count_by_model)
        after.update(lost)
        members = [w for group in given_up for w in group.members_by_rank.values()]
        formation = self._best(domain, members + free, after)
        if formation is None:
            return None
        loss = self._needs.gain(self._count_by_model, lost)
        gain = loss + formation.gain - CONVERSION_COST * len(given_up)
        return Conversion(given_up, formation.groups, gain) if gain > 0.0 else None

    def _best(
        self, domain: str, workers: list[Worker], count_by_model: Counter[str]
    ) -> Formation | None:
        """Return the groups that some backend servers of a domain form best."""
        if len(workers) < self._smallest:
            return None
        best: Formation | None = None
        for counts in self._candidate_compositions(workers):
            change = Counter(counts)
            gain = self._needs.gain(count_by_model, change)
            present = self._models_by_domain.get(domain, Counter())
            kinds = len(+change | +present) - 1
            gain -= MIXED_DOMAIN_COST * kinds
            if gain <= (best.gain if best else 0.0):
                continue
            groups = self._assign(counts, workers)
            if groups is None:
                continue
            gain -= MODEL_SWITCH_COST * sum(group.model_switches for group in groups)
            if gain > (best.gain if best else 0.0):
                best = Formation(groups, gain)
        return best

    def _candidate_compositions(
        self, workers: Sequence[Worker]
    ) -> Iterator[dict[str, int]]:
        """Yield numbers of groups by model that may be possible."""
        most = {
            name: self._able(model, workers) // model.members
            for name, model in self._engine.models_by_name.items()
        }
        ranges = [range(count + 1) for count in most.values()]
        if not self._mixed or math.prod(map(len, ranges)) > MAX_COMPOSITIONS:
            # Other models have their turn with what these groups leave.
            for name, count in most.items():
                yield from ({name: number} for number in range(1, count + 1))
            return
        for counts in itertools.product(*ranges):
            composition = dict(zip(most, counts, strict=True))
            if 0 < self._members_of(composition) <= len(workers):
                yield composition

    def _able(self, model: EngineModel, workers: Sequence[Worker]) -> int:
        """Return how many backend servers get a model ready in time."""
        return sum(w.load_s(model) <= self._longest_load_s for w in workers)

    def _members_of(self, composition: dict[str, int]) -> int:
        """Return how many backend servers some groups take."""
        models = self._engine.models_by_name
        return sum(models[name].members * n for name, n in composition.items())

    def _assign(
        self, counts: dict[str, int], workers: Sequence[Worker]
    ) -> tuple[NewGroup, ...] | None:
        """Return the members of each group, None if there are not enough."""
        wanted = [self._engine.models_by_name[n] for n, c in counts.items() if c]
        left = list(workers)
        groups = []
        for model in sorted(wanted, key=lambda m: self._slack(m, counts, workers)):
            for _ in range(counts[model.name]):
                members = self._members(model, wanted, left)
                if members is None:
                    return None
                left = [worker for worker in left if worker not in members]
                load_s = max(worker.load_s(model) for worker in members)
                groups.append(NewGroup(model, members, load_s))
        return tuple(groups)

    def _slack(
        self, model: EngineModel, counts: dict[str, int], workers: Sequence[Worker]
    ) -> int:
        return self._able(model, workers) - counts[model.name] * model.members

    def _members(
        self, model: EngineModel, wanted: list[EngineModel], left: list[Worker]
    ) -> tuple[Worker, ...] | None:
        """Return those that are ready soonest and that others miss least."""

        def order(worker: Worker) -> tuple[float, int]:
            others = sum(
                worker.load_s(other) <= self._longest_load_s
                for other in wanted
                if other is not model
            )
            return worker.load_s(model), others

        able = [w for w in left if w.load_s(model) <= self._longest_load_s]
        members = tuple(sorted(able, key=order)[: model.members])
        return members if len(members) == model.members else None
