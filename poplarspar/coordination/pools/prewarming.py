"""Preparing backend servers for the next loss: loads onto hosts, and warming."""

import time
from collections import Counter

from poplarspar.coordination.pools.demand import Demand
from poplarspar.coordination.pools.dispatch import OrderDispatcher
from poplarspar.coordination.pools.groups import Group, Worker
from poplarspar.coordination.pools.staging_selection import (
    StagingSelector,
    choose_model_to_warm,
)
from poplarspar.coordination.pools.term import JOIN_MARGIN_S, FormingGroup, TermState
from poplarspar.state.backends import MemberPhase
from poplarspar.state.orders import Join, Stage
from poplarspar.state.serving import Engine, EngineModel


class Prewarmer:
    """Orders the loads and the warming that are due in one round."""

    def __init__(
        self,
        engine: Engine,
        term: TermState,
        orders: OrderDispatcher,
        workers: list[Worker],
        serving_groups: list[Group],
        free: list[Worker],
        count_by_model: Counter[str],
        models_by_domain: dict[str, Counter[str]],
        needs: Demand,
    ) -> None:
        self._engine = engine
        self._term = term
        self._orders = orders
        self._workers = workers
        self._whole = serving_groups
        self._free = free
        self._models_by_domain = models_by_domain
        self._now = time.monotonic()
        term.load_budget.remove_finished(
            {w.incarnation: w.ready_models for w in workers if not w.silent}
        )
        loading = term.load_budget.loading(self._now)
        self._loader = StagingSelector(engine, needs, count_by_model, loading)

    def run(self) -> None:
        """Order all that is due."""
        self._stage()
        self._warm()

    def _stage(self) -> None:
        """Load models onto hosts, beside all other work."""
        if self._term.before_traffic and any(map(_is_joining, self._workers)):
            return
        completions = self._loader.options_for_spares(self._free)
        if not self._term.before_traffic:
            completions += self._loader.options_for_conversions(self._whole, self._free)
        for completion in sorted(completions, key=lambda one: -one.gain_per_s):
            for worker in completion.members_to_load:
                self._load(worker, completion.model, urgent=True)
        # Then spares, so that they fit more groups, and then members, for the next
        # loss among them.
        spares = {worker.id for worker in self._free}
        others = [worker for worker in self._workers if self._may_stage(worker)]
        others.sort(key=lambda worker: worker.id not in spares)
        for worker in others:
            present = self._models_by_domain.get(worker.domain, Counter())
            model = self._loader.choose_model_to_stage(worker, present)
            if model is not None:
                # One that has nothing can replace nobody.
                self._load(worker, model, urgent=not worker.ready_models)

    def _may_stage(self, worker: Worker) -> bool:
        away = worker.silent or worker.leaving or worker.evacuated
        return not away and not _is_joining(worker)

    def _load(self, worker: Worker, model: EngineModel, urgent: bool) -> None:
        """Order a load, if one more may run now."""
        loads, early = self._term.load_budget, self._term.before_traffic
        if worker.id in loads.loading(self._now):
            return
        if not loads.may_start(self._engine, self._now, early, urgent):
            return
        if self._orders.dispatch(worker.observation, Stage(model.name)):
            loads.start(worker.incarnation, model, self._now, early)

    def _warm(self) -> None:
        """Let spares get a model ready that is on their host, and leave again."""
        for worker in list(self._free):
            model = choose_model_to_warm(self._engine, worker)
            if model is None or self._orders.is_busy(worker.id):
                continue
            epoch = self._orders.tokens.next()
            join = Join(f"warm-{epoch}", epoch, model.name, (worker.id,))
            until = self._now + model.staged_load_s + JOIN_MARGIN_S
            begun = FormingGroup(join, worker.domain, until, warming=True)
            self._term.forming[(join.group, epoch)] = begun
            self._free.remove(worker)
            self._orders.dispatch(worker.observation, join, model.staged_load_s)


def _is_joining(worker: Worker) -> bool:
    place = worker.membership
    return place is not None and place.phase is MemberPhase.JOINING
