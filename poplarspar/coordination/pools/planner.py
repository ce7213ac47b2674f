"""The planner of replica groups: forms, opens, closes and replaces them."""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import eventlet
from eventlet.event import Event as Signal

from poplarspar.coordination.pools.desk import PlanDesk
from poplarspar.coordination.pools.fences import Fences
from poplarspar.coordination.pools.forming import (
    NewGroup,
    choose_group,
    choose_staging,
)
from poplarspar.coordination.pools.loads import LoadBudget
from poplarspar.coordination.pools.picture import (
    Group,
    GroupKey,
    Worker,
    build_groups,
)
from poplarspar.coordination.pools.survey import Survey
from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.state.backends import BackendServer, MemberPhase
from poplarspar.state.orders import (
    Accepted,
    Close,
    Join,
    Leave,
    Open,
    Order,
    OrderResult,
    Refused,
    Stage,
    Unanswered,
)
from poplarspar.state.plan import PlannedGroup
from poplarspar.state.serving import Engine, Fleet, ServiceSpec

ROUND_S = 0.25
ORDER_TIMEOUT_S = 0.5
# A report that was asked for before an order shows the state before it.
JOIN_MARGIN_S = 2.0
# A backend server that served the model last joins again within this time.
REJOIN_S = 0.2
LOOK_MARGIN_S = 0.005
# A new planner first hears from everyone, since silence means a loss.
START_UP_S = 1.0
# The head ends its work this much after the rules say, at the latest.
STALL_MARGIN_S = 0.3
# Demand in replica groups from which on it is measured well enough to plan by.
MEASURED_GROUPS = 1.0
# No model is left with less than this part of the most wanted one's groups.
MOST_UNEVEN = 8.0


class OrderPort(Protocol):
    """Orders to backend servers."""

    def give(
        self,
        backend: BackendServer,
        order: Order,
        *,
        fence: int,
        accepted_before: int,
        timeout_s: float,
    ) -> OrderResult:
        """Give an order that holds only in the state that was last reported."""


@dataclass
class _Forming:
    """A replica group whose members have been ordered to join."""

    new: NewGroup
    until: float


class PoolPlanner:
    """Plans the replica groups of all model services.

    Everything is worked out anew in each round from what the backend servers
    report, so a planner that takes over goes on where the last one was.

    Parameters
    ----------
    fences : Fences
        Numbers of orders, which rise with each order and each planner.
    stall_s : float
        Time after which a replica group without one of its members gives up.
    """

    def __init__(
        self,
        survey: Survey,
        orders: OrderPort,
        fences: Fences,
        desk: PlanDesk,
        fleet: Callable[[], Fleet],
        stall_s: float,
        load_factor: float,
    ) -> None:
        self._survey = survey
        self._orders = orders
        self._fences = fences
        self._desk = desk
        self._fleet = fleet
        self._stall_s = stall_s + STALL_MARGIN_S
        self._loads = LoadBudget(load_factor)
        self._began_at: float | None = None
        self._ordered_at: dict[str, float] = {}
        self._in_flight: set[str] = set()
        self._held_until: dict[str, float] = {}
        self._forming: dict[GroupKey, _Forming] = {}
        self._left_from: set[GroupKey] = set()
        self._work_seen = False
        self._wake = Signal()

    def wake(self) -> None:
        """Plan at once, since something has changed."""
        if not self._wake.ready():
            self._wake.send()

    def plan_while(self, may_plan: Callable[[], bool]) -> None:
        """Plan for as long as this node is the planner."""
        self._began_at = time.monotonic()
        log_event(Event.PLANNER_STARTED, fence=self._fences.last)
        while may_plan():
            self._plan()
            with eventlet.Timeout(ROUND_S, False):
                self._wake.wait()
            if self._wake.ready():
                self._wake = Signal()
        log_event(Event.PLANNER_STOPPED, fence=self._fences.last)
        self.stop()

    def stop(self) -> None:
        """Forget all, since another node plans now."""
        self._desk.withdraw()
        self._survey.close()
        self._ordered_at.clear()
        self._held_until.clear()
        self._forming.clear()
        self._left_from.clear()

    def _plan(self) -> None:
        fleet = self._fleet()
        if fleet.configuration is None:
            return
        services = [
            service
            for service in fleet.configuration.services_by_name.values()
            if service.engine is not None
        ]
        names = {service.name for service in services}
        self._survey.follow(
            {
                id: backend
                for id, backend in fleet.backends_by_id.items()
                if backend.service in names
            }
        )
        if time.monotonic() < self._began_at + START_UP_S and not self._all_heard():
            return
        opened: list[PlannedGroup] = []
        for service in services:
            opened += _Round(self, service, fleet).run()
        self._desk.publish(tuple(opened))

    def suspect(self, head: str) -> None:
        """Look at a replica group on which a node sees no work."""
        heard = self._survey.by_id.get(head)
        membership = heard and heard.report and heard.report.hosting.membership
        if not membership:
            return
        for id, other in self._survey.by_id.items():
            place = other.report.hosting.membership if other.report else None
            if place is not None and place.key == membership.key:
                self._survey.suspect(id)

    def _look_again(self, backend: BackendServer, order: Order) -> None:
        """Ask for a report at the moment when an order should be done."""
        service = self._fleet().configuration.services_by_name.get(backend.service)
        if service is None or service.engine is None:
            return
        match order:
            case Open():
                due_s = service.engine.open_s
            case Join(_, _, name, _) if name in service.engine.models_by_name:
                due_s = REJOIN_S
            case _:
                return
        eventlet.spawn_after(due_s + LOOK_MARGIN_S, self._survey.hurry, backend.id)

    def _all_heard(self) -> bool:
        return bool(self._survey.by_id) and all(
            heard.report is not None for heard in self._survey.by_id.values()
        )


class _Round:
    """One look at the backend servers of one service, and what follows."""

    def __init__(
        self, planner: PoolPlanner, service: ServiceSpec, fleet: Fleet
    ) -> None:
        self._planner = planner
        self._service = service
        self._engine: Engine = service.engine
        self._now = time.monotonic()
        self._fleet = fleet
        self._workers = [
            self._see(heard)
            for heard in planner._survey.by_id.values()
            if heard.backend.service == service.name and heard.report is not None
        ]
        self._groups = build_groups(self._workers)
        self._count_by_model: Counter[str] = Counter()
        self._free: list[Worker] = []

    def run(self) -> list[PlannedGroup]:
        """Order what is due and return the groups that serve."""
        self._look_at_groups()
        self._collect_free()
        self._form()
        self._stage()
        return [
            PlannedGroup(group.head.id, *group.key, group.model)
            for group in self._groups.values()
            if group.phase is MemberPhase.OPEN and group.is_whole(self._engine)
        ]

    def _see(self, heard) -> Worker:
        backend = heard.backend
        leaving = backend.draining or not heard.listed
        out = backend.zone in self._fleet.evacuated_zones
        if heard.report.running or heard.report.waiting:
            self._planner._work_seen = True
        return Worker(heard, heard.silent(self._now), leaving, out)

    def _look_at_groups(self) -> None:
        for group in self._groups.values():
            forming = self._planner._forming.get(group.key)
            if group.is_whole(self._engine):
                self._count_by_model[group.model] += not group.is_out
                self._advance(group)
            elif forming is not None and self._may_still_form(forming):
                self._count_by_model[forming.new.model.name] += 1
            else:
                self._dissolve(group)
        for key, forming in list(self._planner._forming.items()):
            if key not in self._groups:
                if self._now < forming.until - JOIN_MARGIN_S:
                    self._count_by_model[forming.new.model.name] += 1
                else:
                    del self._planner._forming[key]

    def _may_still_form(self, forming: _Forming) -> bool:
        if self._now > forming.until:
            return False
        silent = {worker.id for worker in self._workers if worker.silent}
        return not silent & {member.id for member in forming.new.members}

    def _advance(self, group: Group) -> None:
        """Open a whole group as soon as its head is ready."""
        match group.phase:
            case MemberPhase.READY:
                name, epoch = group.key
                self._order(group.head, Open(name, epoch))
            case MemberPhase.OPEN:
                if self._planner._forming.pop(group.key, None) is not None:
                    log_event(
                        Event.GROUP_OPENED,
                        group=group.key[0],
                        epoch=group.key[1],
                        model=group.model,
                        head=group.head.id,
                    )

    def _dissolve(self, group: Group) -> None:
        """Take a broken group apart, the head first."""
        name, epoch = group.key
        if self._planner._forming.pop(group.key, None) is not None:
            log_event(Event.GROUP_ABANDONED, group=name, epoch=epoch)
        head = group.head
        if head is None and group.key in self._planner._survey.ended_groups:
            self._release_headless(group)
        elif head is None or head.silent:
            self._leave_silent_head(group)
        elif group.phase in (MemberPhase.OPEN, MemberPhase.CLOSING):
            evict = bool(group.silent_members()) or not self._is_complete(group)
            log_event(
                Event.GROUP_BROKEN,
                group=name,
                epoch=epoch,
                silent=[worker.id for worker in group.silent_members()],
                evict=evict,
            )
            if group.phase is MemberPhase.OPEN or evict:
                self._order(head, Close(name, epoch, evict))
        else:
            # Once it has left, no late order can open this group any more.
            self._order(head, Leave(name, epoch))

    def _is_complete(self, group: Group) -> bool:
        model = self._engine.models_by_name.get(group.model)
        return model is not None and len(group.members_by_rank) == model.members

    def _release_headless(self, group: Group) -> None:
        """Free the members of a group whose head has left or started anew."""
        for worker in group.members_by_rank.values():
            if not worker.silent:
                self._free.append(worker)

    def _leave_silent_head(self, group: Group) -> None:
        """Stop a group whose head may serve on, out of our sight.

        A head that lost a member gives up after `stall_s`; only then may its
        members serve elsewhere.
        """
        planner = self._planner
        if group.key not in planner._left_from:
            planner._left_from.add(group.key)
            log_event(Event.HEAD_SILENT, group=group.key[0], epoch=group.key[1])
        for worker in group.members_by_rank.values():
            if not worker.silent and worker is not group.head:
                until = self._now + planner._stall_s
                planner._held_until[worker.id] = until
                self._order(worker, Leave(*group.key))

    def _collect_free(self) -> None:
        planner = self._planner
        for worker in self._workers:
            if worker.membership is None and not worker.silent:
                self._free.append(worker)
        self._free = [
            worker
            for worker in self._free
            if not worker.leaving
            and not worker.out
            and self._now >= planner._held_until.get(worker.id, 0.0)
            and self._may_order(worker)
        ]
        forming = {
            member.id
            for group in planner._forming.values()
            for member in group.new.members
        }
        self._free = [worker for worker in self._free if worker.id not in forming]

    def _form(self) -> None:
        weights = self._weights()
        while True:
            longest_s = self._longest_load_s()
            new = choose_group(
                self._engine, self._free, self._count_by_model, weights, longest_s
            )
            if new is None:
                return
            self._join(new)

    def _weights(self) -> dict[str, float]:
        """Return how many replica groups each model needs, the least being 1."""
        demand = self._planner._desk.demand(self._service.name)
        models = self._engine.models_by_name.values()
        if sum(demand.values()) < MEASURED_GROUPS:
            demand = {model.name: model.share / model.members for model in models}
        floor = max([*demand.values(), 1e-6]) / MOST_UNEVEN
        weights = {m.name: max(floor, demand.get(m.name, 0.0)) for m in models}
        least = min(weights.values())
        return {name: weight / least for name, weight in weights.items()}

    def _longest_load_s(self) -> float:
        """Return how long members of a new group may load.

        Before the first request there is time to load from the weight store.
        """
        models = self._engine.models_by_name.values()
        if not self._planner._work_seen:
            return max(model.load_s for model in models)
        return max(model.staged_load_s for model in models)

    def _join(self, new: NewGroup) -> None:
        epoch = self._planner._fences.next()
        name = f"{new.model.name}-{epoch}"
        until = self._now + new.load_s + self._loads_margin_s(new) + JOIN_MARGIN_S
        self._planner._forming[(name, epoch)] = _Forming(new, until)
        self._count_by_model[new.model.name] += 1
        ids = tuple(worker.id for worker in new.members)
        log_event(
            Event.GROUP_FORMING, group=name, epoch=epoch, members=ids, load_s=new.load_s
        )
        for worker in new.members:
            self._free.remove(worker)
            self._order(worker, Join(name, epoch, new.model.name, ids))

    def _loads_margin_s(self, new: NewGroup) -> float:
        """Return how much longer loads may take since many run at once."""
        if new.load_s < new.model.load_s:
            return 0.0
        return new.model.load_s * len(self._workers) / self._engine.loads_at_once

    def _stage(self) -> None:
        """Load models onto the hosts of spares, for the next loss."""
        spare_ids = frozenset(worker.id for worker in self._free)
        for worker in self._free:
            neighbours = [w for w in self._workers if w.domain == worker.domain]
            model = choose_staging(self._engine, worker, neighbours, spare_ids)
            if model is None:
                continue
            if not self._planner._loads.take(self._engine, model, self._now):
                return
            self._order(worker, Stage(model.name))

    def _may_order(self, worker: Worker) -> bool:
        """Return whether the last report shows the effect of the last order."""
        planner = self._planner
        if worker.id in planner._in_flight:
            return False
        return worker.heard.heard_at >= planner._ordered_at.get(worker.id, 0.0)

    def _order(self, worker: Worker, order: Order) -> None:
        planner = self._planner
        if self._may_order(worker):
            planner._in_flight.add(worker.id)
            eventlet.spawn(_give, planner, worker, order)


def _give(planner: PoolPlanner, worker: Worker, order: Order) -> None:
    """Give one order and look at once at what it did."""
    backend = worker.heard.backend
    fence = planner._fences.next()
    try:
        result = planner._orders.give(
            backend,
            order,
            fence=fence,
            accepted_before=worker.heard.report.hosting.orders,
            timeout_s=ORDER_TIMEOUT_S,
        )
    finally:
        planner._in_flight.discard(worker.id)
        planner._ordered_at[worker.id] = time.monotonic()
    match result:
        case Accepted():
            planner._look_again(backend, order)
        case Refused(status, fenced):
            log_event(
                Event.ORDER_REFUSED,
                backend=backend.id,
                order=type(order).__name__.lower(),
                status=status,
                fence=fence,
            )
            if fenced:
                planner._fences.passed_by()
            if isinstance(order, Join):
                planner._forming.pop((order.group, order.epoch), None)
        case Unanswered():
            log_event(
                Event.ORDER_UNANSWERED,
                backend=backend.id,
                order=type(order).__name__.lower(),
                fence=fence,
            )
    planner._survey.hurry(worker.id)
    planner.wake()
