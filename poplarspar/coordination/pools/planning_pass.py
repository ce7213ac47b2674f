"""One planning pass: reads the reports of a model service and orders changes."""

import time
from collections import Counter

from poplarspar.coordination.pools.admission_shares import ModelSupply
from poplarspar.coordination.pools.demand import Demand
from poplarspar.coordination.pools.dispatch import OrderDispatcher
from poplarspar.coordination.pools.far_groups import FarGroups, replaced_groups
from poplarspar.coordination.pools.group_lifecycle import REJOIN_S, GroupLifecycle
from poplarspar.coordination.pools.group_selection import (
    FleetSize,
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
# The backend servers of a retired group serve another model after about this time.
CONVERSION_INTERVAL_S = 2.5
# The running requests of a closed group end within this time.
GROUP_CLOSE_S = 5.0


class PlanningPass:
    """Plans the replica groups of one service once.

    Each pass derives everything anew from the reports of the backend servers and
    the `TermState` of the planner.
    """

    def __init__(
        self,
        service: ServiceSpec,
        fleet: Fleet,
        term: TermState,
        health_monitor: HealthMonitor,
        dispatcher: OrderDispatcher,
        plan_exchange: PlanExchange,
    ) -> None:
        self._service = service
        self._engine: Engine = service.engine
        self._fleet = fleet
        self._term = term
        self._dispatcher = dispatcher
        self._now = time.monotonic()
        self._workers = [
            self._build_worker(observation)
            for observation in health_monitor.by_id.values()
            if observation.backend.service == service.name
            and observation.report is not None
        ]
        term.apply_inherited_spares(self._workers, self._engine)
        demand = plan_exchange.demand_by_model(service.name)
        if sum(demand.values()) > 0.0:
            term.before_traffic = False
        self._demand = Demand.estimated(
            self._engine, demand, len(self._workers)
        ).weighted(plan_exchange.urgency_by_model(service.name))
        self._fleet_size = FleetSize.of(self._workers)
        self._groups = build_groups(self._workers)
        self._lifecycle = GroupLifecycle(
            self._engine, term, health_monitor, dispatcher, self._workers, self._groups
        )
        self._free: list[Worker] = []

    def run(self) -> None:
        """Send all orders that are due."""
        self._lifecycle.run()
        self._collect_free_workers()
        self._form_groups()
        self._form_far_groups()
        self._retire_far_groups()
        self._retire_slow_groups()
        self._convert_groups()
        Prewarmer(
            self._engine,
            self._term,
            self._dispatcher,
            self._workers,
            self._convertible_groups(),
            self._free,
            self._lifecycle.count_by_model,
            self._lifecycle.models_by_domain,
            self._demand,
        ).run()
        self._log_state()

    def planned_groups(self) -> list[PlannedGroup]:
        """Return the groups that may receive requests."""
        return [
            PlannedGroup(
                group.head.id,
                *group.key,
                group.model,
                slowdown=round(self._slowdown(group), 1),
            )
            for group in self._open_groups()
        ]

    def supplies(self) -> list[ModelSupply]:
        """Return the groups that may receive requests, by model."""
        by_model: dict[str, list[PlannedGroup]] = {}
        for group in self.planned_groups():
            by_model.setdefault(group.model, []).append(group)
        return [
            ModelSupply(self._service.name, model, self._engine, tuple(groups))
            for model, groups in by_model.items()
        ]

    def _slowdown(self, group: Group) -> float:
        return group.slowdown * (self._engine.far_factor if group.is_far else 1.0)

    def planned_spares(self) -> list[Spare]:
        """Return the state of spares that the next planner can't read from reports."""
        loading = self._term.load_budget.loading(self._now)
        spares = []
        for worker in self._workers:
            report = worker.observation.report
            last_model = report.engine_state.model if worker.membership is None else ""
            spare = Spare(
                report.id, report.started_ms, last_model, loading.get(report.id, "")
            )
            if spare.last_model or spare.staging_model:
                spares.append(spare)
        return spares

    def _build_worker(self, observation: Observation) -> Worker:
        backend = observation.backend
        zone_evacuated = backend.zone in self._fleet.evacuated_zones
        if observation.report.running or observation.report.waiting:
            self._term.before_traffic = False
        return Worker(
            observation,
            silent=observation.is_silent(self._now),
            draining=backend.draining or observation.report.leaving,
            unlisted=not observation.listed,
            evacuated=zone_evacuated,
        )

    def _collect_free_workers(self) -> None:
        candidates = self._lifecycle.released_members + [
            worker
            for worker in self._workers
            if worker.membership is None and not worker.silent
        ]
        reserved_ids = {
            id
            for forming_group in self._term.forming.values()
            for id in forming_group.join.members
        }
        self._free = [
            worker
            for worker in candidates
            if not worker.leaving
            and not worker.evacuated
            and not worker.slow
            and not worker.doubtful
            and worker.id not in reserved_ids
            and not self._dispatcher.is_busy(worker.id)
        ]

    def _group_selector(
        self, max_load_s: float, allow_mixed_domains: bool = True
    ) -> GroupSelector:
        return GroupSelector(
            self._engine,
            self._demand,
            self._lifecycle.count_by_model,
            self._lifecycle.models_by_domain,
            self._fleet_size,
            max_load_s,
            allow_mixed_domains,
        )

    def _form_groups(self) -> None:
        # Before the first request, each domain forms groups of one model only, if
        # there are enough domains for all models.
        before_traffic = self._term.before_traffic
        while True:
            domain_count = len(workers_by_domain(self._free))
            allow_mixed_domains = not before_traffic or domain_count < len(
                self._engine.models_by_name
            )
            selector = self._group_selector(self._max_load_s(), allow_mixed_domains)
            formation = selector.choose_formation(self._free)
            if formation is None:
                return
            for new in formation.groups:
                self._order_joins(new)

    def _form_far_groups(self) -> None:
        if self._term.before_traffic:
            return
        far_groups = FarGroups(
            self._engine, self._demand, self._lifecycle, self._max_staged_load_s()
        )
        for model in far_groups.missing_models():
            new = far_groups.choose(model, self._free)
            if new is not None:
                self._order_joins(new)

    def _retire_far_groups(self) -> None:
        for group in replaced_groups(self._open_groups()):
            self._log_given_up(group)
            self._lifecycle.retire(group)

    def _convert_groups(self) -> None:
        """Retire groups of a model with a surplus to form groups of another model."""
        term = self._term
        if term.before_traffic:
            # The measured demand becomes usable some seconds after the first request.
            term.converted_at = self._now
        if self._now < term.converted_at + CONVERSION_INTERVAL_S:
            return
        selector = self._group_selector(self._max_staged_load_s())
        # A domain whose members are still joining may soon need no conversion.
        settling_domains = {
            forming_group.domain
            for forming_group in term.forming.values()
            if not forming_group.warming
        }
        conversion = selector.choose_conversion(
            (g for g in self._convertible_groups() if g.domain not in settling_domains),
            self._free,
        )
        if conversion is None:
            return
        term.converted_at = self._now
        for group in conversion.retired_groups:
            self._log_given_up(group, gain=round(conversion.gain, 3))
            self._lifecycle.retire(group)
        # The planner reserves the members for the new groups now and orders each to
        # join once it is free. Otherwise the members that are free first would form
        # groups of the old model again.
        for new in conversion.new_groups:
            self._reserve_members(new, GROUP_CLOSE_S)

    def _log_given_up(self, group: Group, **fields: float) -> None:
        name, epoch = group.key
        log_event(
            Event.GROUP_GIVEN_UP,
            group=name,
            epoch=epoch,
            **fields,
            **self._supply_fields(),
        )

    def _open_groups(self) -> list[Group]:
        return [
            group
            for group in self._groups.values()
            if group.phase is MemberPhase.OPEN and self._lifecycle.should_serve(group)
        ]

    def _convertible_groups(self) -> list[Group]:
        """Return the open groups that a conversion may retire."""
        return [group for group in self._open_groups() if not group.is_evacuated]

    def _retire_slow_groups(self) -> None:
        """Retire groups with slow members if spares can replace all of these."""
        spares = Counter(worker.domain for worker in self._free)
        for group in self._groups.values():
            slow = [w for w in group.members_by_rank.values() if w.slow]
            if not slow or not self._lifecycle.should_serve(group):
                continue
            if group.phase is MemberPhase.OPEN and spares[group.domain] >= len(slow):
                spares[group.domain] -= len(slow)
                log_event(
                    Event.GROUP_SLOW,
                    group=group.key[0],
                    epoch=group.key[1],
                    slow=[worker.id for worker in slow],
                )
                self._lifecycle.retire(group)

    def _max_load_s(self) -> float:
        """Return the longest time that members of a new group may load.

        Before the first request, members may also load from the weight store.
        """
        if self._term.before_traffic:
            return max(m.load_s for m in self._engine.models_by_name.values())
        return self._max_staged_load_s()

    def _max_staged_load_s(self) -> float:
        return max(m.staged_load_s for m in self._engine.models_by_name.values())

    def _order_joins(self, new: NewGroup) -> None:
        """Order free backend servers to join a new group."""
        join = self._reserve_members(new)
        joining_ids = set(join.members)
        self._free = [worker for worker in self._free if worker.id not in joining_ids]
        for worker in new.members:
            load_s = worker.load_s(new.model)
            duration_s = None if load_s >= new.model.load_s else load_s or REJOIN_S
            self._dispatcher.dispatch(worker.observation, join, duration_s)

    def _reserve_members(self, new: NewGroup, wait_s: float = 0.0) -> Join:
        """Reserve backend servers for a group and return the order to join it.

        Parameters
        ----------
        wait_s : float
            Time until all of these backend servers are free.
        """
        epoch = self._dispatcher.tokens.next()
        ids = tuple(worker.id for worker in new.members)
        join = Join(group_name(new.model.name, epoch), epoch, new.model.name, ids)
        load_s = new.load_s + self._load_margin_s(new)
        deadline = self._now + wait_s + load_s + JOIN_MARGIN_S
        domain = new.members[0].domain
        # A member that is not free yet receives its first order as a retry.
        join_retries = max(JOIN_RETRIES, len(ids) // 2) + (len(ids) if wait_s else 0)
        forming_group = FormingGroup(
            join, domain, deadline, join_retries_left=join_retries
        )
        self._term.forming[(join.group, epoch)] = forming_group
        log_event(
            Event.GROUP_FORMING,
            group=join.group,
            epoch=epoch,
            members=ids,
            load_s=new.load_s,
            free=len(self._free),
            **self._supply_fields(),
        )
        self._lifecycle.count_by_model[new.model.name] += 1
        self._lifecycle.models_by_domain[domain][new.model.name] += 1
        return join

    def _load_margin_s(self, new: NewGroup) -> float:
        """Return the additional load time when many members load at once."""
        if new.load_s < new.model.load_s:
            return 0.0
        return new.model.load_s * len(self._workers) / self._engine.concurrent_loads

    def _supply_fields(self) -> dict[str, dict]:
        """Return log fields with the present and the needed groups of each model."""
        return {
            "count_by_model": dict(+self._lifecycle.count_by_model),
            "needed_by_model": {
                model: round(groups, 2)
                for model, groups in self._demand.groups_by_model.items()
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
            spares_by_kind=dict(Counter(_describe_spare(w) for w in self._free)),
            groups=len(self._groups),
            serving_by_model=dict(
                Counter(group.model for group in self.planned_groups())
            ),
            loading=len(self._term.load_budget.loading(self._now)),
            **self._supply_fields(),
        )


def _describe_spare(worker: Worker) -> str:
    """Return a spare's domain, last model and staged models, for the log."""
    engine_state = worker.observation.report.engine_state
    staged = ",".join(engine_state.staged_models)
    return f"{engine_state.domain} last={engine_state.model} staged={staged}"
