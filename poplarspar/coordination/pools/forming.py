"""Choosing the members of new replica groups, and what to stage on spares."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from poplarspar.coordination.pools.picture import Group, Worker
from poplarspar.state.serving import Engine, EngineModel

# A backend server that fits into no group is worth this much more time to load.
LEFT_OVER_S = 1.0
# Demand is measured this well only, and a change costs seconds of a group's work.
CONVERSION_GAIN = 1.15


@dataclass(frozen=True)
class NewGroup:
    """A replica group to be formed; the first member is to be its head."""

    model: EngineModel
    members: tuple[Worker, ...]
    load_s: float


def choose_group(
    engine: Engine,
    free: Iterable[Worker],
    count_by_model: Counter[str],
    weight_by_model: dict[str, float],
    longest_load_s: float,
) -> NewGroup | None:
    """Return the replica group that is missed most and can be formed soon.

    Parameters
    ----------
    free : iterable of Worker
        Backend servers that are in no replica group.
    count_by_model : Counter
        Replica groups that serve or are being formed.
    weight_by_model : dict of str to float
        How many replica groups each model needs, up to a common factor.
    longest_load_s : float
        Longest time that a member may take to load its model.
    """
    by_domain: dict[str, list[Worker]] = defaultdict(list)
    for worker in free:
        by_domain[worker.domain].append(worker)

    def fill(name: str) -> float:
        return count_by_model[name] / weight_by_model[name]

    for name in sorted(engine.models_by_name, key=fill):
        model = engine.models_by_name[name]
        found = _best_in_domains(engine, model, by_domain, longest_load_s)
        if found is not None:
            return found
    return None


def _best_in_domains(
    engine: Engine,
    model: EngineModel,
    by_domain: dict[str, list[Worker]],
    longest_load_s: float,
) -> NewGroup | None:
    sizes = {other.members for other in engine.models_by_name.values()}
    best: NewGroup | None = None
    best_cost = float("inf")
    for workers in by_domain.values():
        if len(workers) < model.members:
            continue
        quick = sorted(workers, key=lambda worker: worker.load_s(model))
        members = tuple(quick[: model.members])
        load_s = max(worker.load_s(model) for worker in members)
        if load_s > longest_load_s:
            continue
        left = _left_over(len(workers) - model.members, sizes)
        cost = load_s + LEFT_OVER_S * left
        if cost < best_cost:
            best, best_cost = NewGroup(model, members, load_s), cost
    return best


def _left_over(count: int, sizes: set[int]) -> int:
    """Return how many backend servers at least would be in no group."""
    reachable = {0}
    for total in range(1, count + 1):
        if any(total - size in reachable for size in sizes):
            reachable.add(total)
    return count - max(reachable)


def choose_conversion(
    engine: Engine,
    groups: Iterable[Group],
    free: Iterable[Worker],
    count_by_model: Counter[str],
    weight_by_model: dict[str, float],
) -> Group | None:
    """Return a group to give up for one or more of another model in its domain.

    That is worth it for a model with too few groups, if the one that gives still
    has the larger part of what it needs afterwards; or if more groups come of it
    and no model has less of what it needs than the worst one had before.
    """
    spares = defaultdict(list)
    for worker in free:
        spares[worker.domain].append(worker)

    def fill(name: str, more: int) -> float:
        return (count_by_model[name] + more) / weight_by_model[name]

    worst = min(fill(name, 0) for name in engine.models_by_name)
    for group in groups:
        left = fill(group.model, -1)
        members = list(group.members_by_rank.values())
        found = members + spares[members[0].domain]
        for model in engine.models_by_name.values():
            if model.name == group.model:
                continue
            quick = [w for w in found if w.load_s(model) <= model.staged_load_s]
            formed = len(quick) // model.members
            helps = formed >= 1 and left >= fill(model.name, 1) * CONVERSION_GAIN
            if helps or (formed >= 2 and left >= worst):
                return group
    return None


def choose_completions(
    engine: Engine,
    free: Iterable[Worker],
    loading_by_id: dict[str, str],
    count_by_model: Counter[str],
    weight_by_model: dict[str, float],
) -> list[tuple[Worker, EngineModel]]:
    """Return the loads that let spares form groups, the shortest way first.

    Parameters
    ----------
    loading_by_id : dict of str to str
        Models that are being loaded onto hosts.
    """
    by_domain: dict[str, list[Worker]] = defaultdict(list)
    for worker in free:
        by_domain[worker.domain].append(worker)
    plans = []
    for workers in by_domain.values():
        ways = [
            way
            for model in engine.models_by_name.values()
            if (way := _way_to_group(model, workers, loading_by_id)) is not None
        ]
        if not ways or any(not missing for _, missing in ways):
            # None is possible, or one will form without more loads.
            continue
        model, missing = min(ways, key=lambda way: way[0].load_s * len(way[1]))
        fill = count_by_model[model.name] / weight_by_model[model.name]
        plans.append((model.load_s * len(missing), fill, model, missing))
    plans.sort(key=lambda plan: plan[:2])
    return [(worker, model) for _, _, model, missing in plans for worker in missing]


def _way_to_group(
    model: EngineModel, workers: list[Worker], loading_by_id: dict[str, str]
) -> tuple[EngineModel, list[Worker]] | None:
    """Return who would have to load a model, None if there are too few."""
    able = [
        worker
        for worker in workers
        if worker.load_s(model) <= model.staged_load_s
        or loading_by_id.get(worker.id) == model.name
    ]
    others = [w for w in workers if w not in able and w.id not in loading_by_id]
    lacking = model.members - len(able)
    if lacking > len(others):
        return None
    # Those that have nothing yet lose nothing by it.
    others.sort(key=lambda worker: len(worker.heard.report.hosting.staged))
    return model, others[: max(0, lacking)]


def choose_staging(
    engine: Engine,
    worker: Worker,
    count_by_model: Counter[str],
    weight_by_model: dict[str, float],
) -> EngineModel | None:
    """Return the model that a host should have besides, None if it has all it can.

    A backend server is soon ready for the model that it served last and for those
    on its host, so the host should have another one.
    """
    hosting = worker.heard.report.hosting
    others = [m for m in engine.models_by_name.values() if m.name != hosting.model]
    if not others or any(model.name in hosting.staged for model in others):
        return None
    return min(
        others, key=lambda m: (count_by_model[m.name] + 1) / weight_by_model[m.name]
    )


def choose_warming(engine: Engine, worker: Worker) -> EngineModel | None:
    """Return the model that a spare should get ready and leave again.

    It joins a group of that model sooner then, and its host is free for another.
    """
    hosting = worker.heard.report.hosting
    if hosting.model:
        return None
    return next(
        (m for m in engine.models_by_name.values() if m.name in hosting.staged), None
    )
