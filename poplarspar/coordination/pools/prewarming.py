"""Prewarming for the next loss: staging models on hosts and warming spares."""

import time
from collections import Counter, defaultdict

from poplarspar.coordination.pools.demand import Demand
from poplarspar.coordination.pools.dispatch import OrderDispatcher
from poplarspar.coordination.pools.groups import Group, Worker
from poplarspar.coordination.pools.load_budget import Purpose
from poplarspar.coordination.pools.staging_selection import (
    StagingSelector,
    choose_model_to_warm,
)
from poplarspar.coordination.pools.term import JOIN_MARGIN_S, FormingGroup, TermState
from poplarspar.state.backends import MemberPhase
from poplarspar.state.orders import Join, Stage
from poplarspar.state.serving import Engine, EngineModel


class Prewarmer:
    """Orders the staging and the warming that are due in one planning pass."""

    def __init__(
        self,
        engine: Engine,
        term: TermState,
        dispatcher: OrderDispatcher,
        workers: list[Worker],
        serving_groups: list[Group],
        free: list[Worker],
        count_by_model: Counter[str],
        models_by_domain: dict[str, Counter[str]],
        demand: Demand,
    ) -> None:
        self._engine = engine
        self._term = term
        self._dispatcher = dispatcher
        self._workers = workers
        self._serving_groups = serving_groups
        self._free = free
        self._models_by_domain = models_by_domain
        self._now = time.monotonic()
        term.load_budget.remove_finished(
            {w.incarnation: w.ready_models for w in workers if not w.silent}
        )
        loading = term.load_budget.loading(self._now)
        self._selector = StagingSelector(engine, demand, count_by_model, loading)

    def run(self) -> None:
        """Send all orders that are due."""
        self._stage_models()
        self._warm_spares()

    def _stage_models(self) -> None:
        """Stage models on hosts while their backend servers continue other work."""
        if self._term.before_traffic and any(map(_is_joining, self._workers)):
            return
        # Members of a group across domains join one of their own domain once that is
        # complete.
        far_members = [
            worker
            for group in self._serving_groups
            if group.is_far
            for worker in group.members_by_rank.values()
        ]
        options = self._selector.options_for_spares(self._free + far_members)
        if not self._term.before_traffic:
            options += self._selector.options_for_conversions(
                self._serving_groups, self._free
            )
        for option in sorted(options, key=lambda option: -option.gain_per_s):
            for worker in option.members_to_load:
                self._order_load(worker, option.model, Purpose.GROUP)
        # Spares come next, so that they suit more groups, then members, so that the
        # survivors of the next loss suit more groups.
        spares = {worker.id for worker in self._free}
        ready_by_domain: dict[str, Counter[str]] = defaultdict(Counter)
        for worker in self._free:
            ready_by_domain[worker.domain].update(worker.ready_models)
        others = [worker for worker in self._workers if self._may_stage(worker)]
        others.sort(key=lambda worker: worker.id not in spares)
        for worker in others:
            present = self._models_by_domain.get(worker.domain, Counter())
            model = self._selector.choose_model_to_stage(
                worker, present, ready_by_domain[worker.domain]
            )
            if model is not None:
                # A backend server without a ready model can't replace a lost member.
                purpose = Purpose.SECOND if worker.ready_models else Purpose.FIRST
                self._order_load(worker, model, purpose)

    def _may_stage(self, worker: Worker) -> bool:
        unavailable = worker.silent or worker.leaving or worker.evacuated
        return not unavailable and not _is_joining(worker)

    def _order_load(self, worker: Worker, model: EngineModel, purpose: Purpose) -> None:
        """Order a load if the load budget allows one more now."""
        budget, before_traffic = self._term.load_budget, self._term.before_traffic
        if worker.id in budget.loading(self._now):
            return
        if not budget.may_start(self._engine, self._now, before_traffic, purpose):
            return
        if self._dispatcher.dispatch(worker.observation, Stage(model.name)):
            budget.start(worker.incarnation, model, self._now, before_traffic)

    def _warm_spares(self) -> None:
        """Order spares to load a staged model by joining and leaving a group."""
        for worker in list(self._free):
            model = choose_model_to_warm(self._engine, worker)
            if model is None or self._dispatcher.is_busy(worker.id):
                continue
            epoch = self._dispatcher.tokens.next()
            join = Join(f"warm-{epoch}", epoch, model.name, (worker.id,))
            deadline = self._now + model.staged_load_s + JOIN_MARGIN_S
            forming_group = FormingGroup(join, worker.domain, deadline, warming=True)
            self._term.forming[(join.group, epoch)] = forming_group
            self._free.remove(worker)
            self._dispatcher.dispatch(worker.observation, join, model.staged_load_s)


def _is_joining(worker: Worker) -> bool:
    membership = worker.membership
    return membership is not None and membership.phase is MemberPhase.JOINING
