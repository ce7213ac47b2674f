"""Preparing backend servers for the next loss: loads onto hosts, and warming."""

import time
from collections import Counter

from poplarspar.coordination.pools.forming import (
    NewGroup,
    choose_completions,
    choose_staging,
    choose_warming,
)
from poplarspar.coordination.pools.giving import OrderGiver
from poplarspar.coordination.pools.picture import Worker
from poplarspar.coordination.pools.term import JOIN_MARGIN_S, Forming, Term
from poplarspar.state.backends import MemberPhase
from poplarspar.state.orders import Join, Stage
from poplarspar.state.serving import Engine, EngineModel


class Preparation:
    """Orders the loads and the warming that are due in one round."""

    def __init__(
        self,
        engine: Engine,
        term: Term,
        orders: OrderGiver,
        workers: list[Worker],
        free: list[Worker],
        count_by_model: Counter[str],
        weight_by_model: dict[str, float],
    ) -> None:
        self._engine = engine
        self._term = term
        self._orders = orders
        self._workers = workers
        self._free = free
        self._count_by_model = count_by_model
        self._weights = weight_by_model
        self._now = time.monotonic()

    def run(self) -> None:
        """Order all that is due."""
        self._stage()
        self._warm()

    def _stage(self) -> None:
        """Load models onto hosts, beside all other work."""
        term = self._term
        joining = any(_is_joining(worker) for worker in self._workers)
        if term.before_traffic and joining:
            return
        for worker, model in self._wanted_loads():
            early = term.before_traffic
            if not term.loads.may_begin(self._engine, self._now, early):
                return
            if self._orders.give(worker.heard, Stage(model.name)):
                term.loads.begin(worker.id, model, self._now, early)

    def _wanted_loads(self) -> list[tuple[Worker, EngineModel]]:
        """Return loads, those that are worth most first."""
        loading = self._term.loads.loading(self._now)
        wanted = choose_completions(
            self._engine, self._free, loading, self._count_by_model, self._weights
        )
        spares = {worker.id for worker in self._free}
        others = [
            worker
            for worker in self._workers
            if not (worker.silent or worker.leaving or worker.out)
            and not _is_joining(worker)
            and worker.id not in loading
        ]
        # Then spares, so that they fit more groups, and then members, for the next
        # loss among them.
        others.sort(key=lambda worker: worker.id not in spares)
        for worker in others:
            model = choose_staging(
                self._engine, worker, self._count_by_model, self._weights
            )
            if model is not None:
                wanted.append((worker, model))
        return wanted

    def _warm(self) -> None:
        """Let spares get a model ready that is on their host, and leave again."""
        for worker in list(self._free):
            model = choose_warming(self._engine, worker)
            if model is None or self._orders.is_busy(worker.id):
                continue
            epoch = self._orders.fences.next()
            key = (f"warm-{epoch}", epoch)
            until = self._now + model.staged_load_s + JOIN_MARGIN_S
            new = NewGroup(model, (worker,), model.staged_load_s)
            self._term.forming[key] = Forming(new, until, warming=True)
            self._free.remove(worker)
            order = Join(*key, model.name, (worker.id,))
            self._orders.give(worker.heard, order, model.staged_load_s)


def _is_joining(worker: Worker) -> bool:
    place = worker.membership
    return place is not None and place.phase is MemberPhase.JOINING
