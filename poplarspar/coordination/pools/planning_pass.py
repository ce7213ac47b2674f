"""One look at the backend servers of a model service, and the orders that follow."""

import time
from collections import Counter

from poplarspar.coordination.pools.demand import Demand
from poplarspar.coordination.pools.dispatch import OrderDispatcher
from poplarspar.coordination.pools.group_lifecycle import REJOIN_S, GroupLifecycle
from poplarspar.coordination.pools.group_selection import (
    GroupSelector,
    NewGroup,
    workers_by_domain,
)
from poplarspar.coordination.pools.groups import Group, Worker, build_groups
from poplarspar.coordination.pools.health_monitor import HealthMonitor, Observation
from poplarspar.coordination.pools.plan_exchange import PlanExchange
from poplarspar.coordination.pools.prewarming import Prewarmer
from poplarspar.coordination.pools.term import (
    JOIN_MARGIN_S,
    JOIN_RETRIES,
    FormingGroup,
    TermState,
    group_name,
)
from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.state.backends import MemberPhase
from poplarspar.state.orders import Join
from poplarspar.state.plan import PlannedGroup, Spare
from poplarspar.state.serving import Engine, Fleet, ServiceSpec

STATE_LOG_PERIOD_S = 1.0
# A group that was given up serves as another one after about this time.
CONVERSION_INTERVAL_S = 2.5
# Running requests of a group that is closed end within this time.
GROUP_CLOSE_S = 5.0
# Demand in replica groups from which on it is measured well enough to plan by.
MIN_MEASURED_GROUPS = 1.0


class PlanningPass:
    """Plans the replica groups of one service once.

    Everything is worked out anew from what the backend servers report and what
    the planner remembers of its term.
    """

    def __init__(
        self,
        service: ServiceSpec,
        fleet: Fleet,
        term: TermState,
        survey: HealthMonitor,
        orders: OrderDispatcher,
        desk: PlanExchange,
    ) -> None:
        self._service = service
        self._engine: Engine = service.engine
        self._fleet = fleet
        self._term = term
        self._orders = orders
        self._now = time.monotonic()
        self._workers = [
            self._see(heard)
            for heard in survey.by_id.values()
            if heard.backend.service == service.name and heard.report is not None
        ]
        term.apply_inherited_spares(self._workers, self._engine)
        demand = desk.demand_by_model(service.name)
        if sum(demand.values()) > 0.0:
            term.before_traffic = False
        self._needs = self._work_out_needs(demand)
        self._groups = build_groups(self._workers)
        self._upkeep = GroupLifecycle(
            self._engine, term, survey, orders, self._workers, self._groups
        )
        self._free: list[Worker] = []

    def run(self) -> None:
        """Order all that is due."""
        self._upkeep.run()
        self._collect_free()
        self._form()
        self._drop_slow()
        self._convert()
        Prewarmer(
            self._engine,
            self._term,
            self._orders,
            self._workers,
            self._whole(),
            self._free,
            self._upkeep.count_by_model,
            self._upkeep.models_by_domain,
            self._needs,
        ).run()
        self._log_state()

    def planned_groups(self) -> list[PlannedGroup]:
        """Return the groups that may be sent requests."""
        return [
            PlannedGroup(
                group.head.id,
                *group.key,
                group.model,
                slowdown=round(group.slowdown, 1),
            )
            for group in self._groups.values()
            if group.phase is MemberPhase.OPEN and self._upkeep.should_serve(group)
        ]

    def planned_spares(self) -> list[Spare]:
        """Return what a next planner would not learn from reports."""
        loading = self._term.load_budget.loading(self._now)
        found = []
        for worker in self._workers:
            report = worker.observation.report
            last = report.engine_state.model if worker.membership is None else ""
            spare = Spare(
                report.id, report.started_ms, last, loading.get(report.id, "")
            )
            if spare.last_model or spare.staging_model:
                found.append(spare)
        return found

    def _see(self, heard: Observation) -> Worker:
        backend = heard.backend
        out = backend.zone in self._fleet.evacuated_zones
        if heard.report.running or heard.report.waiting:
            self._term.before_traffic = False
        return Worker(
            heard,
            silent=heard.is_silent(self._now),
            draining=backend.draining,
            unlisted=not heard.listed,
            evacuated=out,
        )

    def _work_out_needs(self, demand: dict[str, float]) -> Demand:
        models = self._engine.models_by_name.values()
        if sum(demand.values()) < MIN_MEASURED_GROUPS:
            return Demand.expected(
                {model.name: model.members for model in models},
                {model.name: model.share for model in models},
                len(self._workers),
            )
        return Demand.measured({m.name: demand.get(m.name, 0.0) for m in models})

    def _collect_free(self) -> None:
        free = self._upkeep.released_members + [
            worker
            for worker in self._workers
            if worker.membership is None and not worker.silent
        ]
        forming = {
            id for begun in self._term.forming.values() for id in begun.join.members
        }
        self._free = [
            worker
            for worker in free
            if not worker.leaving
            and not worker.evacuated
            and not worker.slow
            and worker.id not in forming
            and not self._orders.is_busy(worker.id)
        ]

    def _chooser(self, longest_load_s: float, mixed: bool = True) -> GroupSelector:
        return GroupSelector(
            self._engine,
            self._needs,
            self._upkeep.count_by_model,
            self._upkeep.models_by_domain,
            longest_load_s,
            mixed,
        )

    def _form(self) -> None:
        # Domains that are all free get one model each, as far as there are enough.
        fresh = self._term.before_traffic
        while True:
            domains = len(workers_by_domain(self._free))
            mixed = not fresh or domains < len(self._engine.models_by_name)
            chooser = self._chooser(self._longest_load_s(), mixed)
            formation = chooser.choose_formation(self._free)
            if formation is None:
                return
            for new in formation.groups:
                self._join(new)

    def _convert(self) -> None:
        """Give up a group of a model with plenty for one with too few."""
        term = self._term
        if term.before_traffic:
            # What callers want shows some seconds after the first request.
            term.converted_at = self._now
        forming = any(not begun.warming for begun in term.forming.values())
        if self._now < term.converted_at + CONVERSION_INTERVAL_S or forming:
            return
        chooser = self._chooser(self._longest_staged_load_s())
        conversion = chooser.choose_conversion(self._whole(), self._free)
        if conversion is None:
            return
        term.converted_at = self._now
        for group in conversion.retired_groups:
            log_event(
                Event.GROUP_GIVEN_UP,
                group=group.key[0],
                epoch=group.key[1],
                gain=round(conversion.gain, 3),
                **self._balance(),
            )
            self._upkeep.retire(group)
        # Their members are kept for the new groups, and ordered to join as they
        # come free, lest the first of them form the old model's groups again.
        for new in conversion.new_groups:
            self._register(new, GROUP_CLOSE_S)

    def _whole(self) -> list[Group]:
        """Return the groups that serve and may be given up."""
        return [
            group
            for group in self._groups.values()
            if group.phase is MemberPhase.OPEN
            and self._upkeep.should_serve(group)
            and not group.is_evacuated
        ]

    def _drop_slow(self) -> None:
        """Give up a group with a slow member if a spare can take its place."""
        spares = Counter(worker.domain for worker in self._free)
        for group in self._groups.values():
            slow = [w for w in group.members_by_rank.values() if w.slow]
            if not slow or not self._upkeep.should_serve(group):
                continue
            if group.phase is MemberPhase.OPEN and spares[group.domain] >= len(slow):
                spares[group.domain] -= len(slow)
                log_event(
                    Event.GROUP_SLOW,
                    group=group.key[0],
                    epoch=group.key[1],
                    slow=[worker.id for worker in slow],
                )
                self._upkeep.retire(group)

    def _longest_load_s(self) -> float:
        """Return how long members of a new group may load.

        Before the first request there is time to load from the weight store.
        """
        if self._term.before_traffic:
            return max(m.load_s for m in self._engine.models_by_name.values())
        return self._longest_staged_load_s()

    def _longest_staged_load_s(self) -> float:
        return max(m.staged_load_s for m in self._engine.models_by_name.values())

    def _join(self, new: NewGroup) -> None:
        """Form a group of backend servers that are free."""
        join = self._register(new)
        for worker in new.members:
            self._free.remove(worker)
            load_s = worker.load_s(new.model)
            due_s = None if load_s >= new.model.load_s else load_s or REJOIN_S
            self._orders.dispatch(worker.observation, join, due_s)

    def _register(self, new: NewGroup, wait_s: float = 0.0) -> Join:
        """Keep backend servers for a group, and return the order to join it.

        Parameters
        ----------
        wait_s : float
            Time until all of them are free.
        """
        epoch = self._orders.tokens.next()
        ids = tuple(worker.id for worker in new.members)
        join = Join(group_name(new.model.name, epoch), epoch, new.model.name, ids)
        load_s = new.load_s + self._load_margin_s(new)
        until = self._now + wait_s + load_s + JOIN_MARGIN_S
        domain = new.members[0].domain
        # Members that are not free yet get their first order as a repeated one.
        repeats = JOIN_RETRIES + (len(ids) if wait_s else 0)
        begun = FormingGroup(join, domain, until, join_retries_left=repeats)
        self._term.forming[(join.group, epoch)] = begun
        log_event(
            Event.GROUP_FORMING,
            group=join.group,
            epoch=epoch,
            members=ids,
            load_s=new.load_s,
            free=len(self._free),
            **self._balance(),
        )
        self._upkeep.count_by_model[new.model.name] += 1
        self._upkeep.models_by_domain[domain][new.model.name] += 1
        return join

    def _load_margin_s(self, new: NewGroup) -> float:
        """Return how much longer loads may take since many run at once."""
        if new.load_s < new.model.load_s:
            return 0.0
        return new.model.load_s * len(self._workers) / self._engine.concurrent_loads

    def _balance(self) -> dict[str, dict]:
        """Return groups by model, had and needed, for the log."""
        return {
            "count_by_model": dict(+self._upkeep.count_by_model),
            "needed_by_model": {
                model: round(groups, 2)
                for model, groups in self._needs.groups_by_model.items()
            },
        }

    def _log_state(self) -> None:
        if self._now < self._term.state_logged_at + STATE_LOG_PERIOD_S:
            return
        self._term.state_logged_at = self._now
        log_event(
            Event.POOL_STATE,
            service=self._service.name,
            backends=len(self._workers),
            silent=sum(worker.silent for worker in self._workers),
            leaving=sum(worker.leaving for worker in self._workers),
            spares_by_kind=dict(Counter(_spare_text(w) for w in self._free)),
            groups=len(self._groups),
            serving_by_model=dict(
                Counter(group.model for group in self.planned_groups())
            ),
            loading=len(self._term.load_budget.loading(self._now)),
            **self._balance(),
        )


def _spare_text(worker: Worker) -> str:
    """Return a spare's domain, last model and staged models, for the log."""
    hosting = worker.observation.report.engine_state
    staged = ",".join(hosting.staged_models)
    return f"{hosting.domain} last={hosting.model} staged={staged}"
