"""Choosing the members of new replica groups, and what to stage on spares."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from poplarspar.coordination.pools.picture import Worker
from poplarspar.state.serving import Engine, EngineModel

# A model may lead another by this factor before spares wait for the other one.
BALANCE = 1.5


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

    def fill(name: str, more: int = 0) -> float:
        return (count_by_model[name] + more) / max(weight_by_model[name], 1e-6)

    names = sorted(engine.models_by_name, key=fill)
    for name in names:
        if fill(name, 1) > BALANCE * max(1.0, fill(names[0], 1)):
            return None
        model = engine.models_by_name[name]
        found = _best_in_domains(model, by_domain, longest_load_s)
        if found is not None:
            return found
    return None


def _best_in_domains(
    model: EngineModel, by_domain: dict[str, list[Worker]], longest_load_s: float
) -> NewGroup | None:
    best: NewGroup | None = None
    for workers in by_domain.values():
        if len(workers) < model.members:
            continue
        quick = sorted(workers, key=lambda worker: worker.load_s(model))
        members = tuple(quick[: model.members])
        load_s = max(worker.load_s(model) for worker in members)
        if load_s > longest_load_s:
            continue
        if best is None or load_s < best.load_s:
            best = NewGroup(model, members, load_s)
    return best


def choose_staging(
    engine: Engine, worker: Worker, weight_by_model: dict[str, float]
) -> EngineModel | None:
    """Return the model that a host should have besides, None if it has all it can.

    A backend server is soon ready for the model that it served last and for those
    on its host, so the host should have another one.
    """
    hosting = worker.heard.report.hosting
    others = [m for m in engine.models_by_name.values() if m.name != hosting.model]
    if not others:
        return None
    wanted = max(others, key=lambda model: weight_by_model[model.name] * model.members)
    return None if wanted.name in hosting.staged else wanted
