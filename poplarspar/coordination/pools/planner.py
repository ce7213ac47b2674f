"""The planner of replica groups: forms, opens, closes and replaces them."""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import eventlet
from eventlet.event import Event as Signal

from poplarspar.coordination.pools.desk import PlanDesk
from poplarspar.coordination.pools.forming import (
    NewGroup,
    choose_group,
    choose_staging,
)
from poplarspar.coordination.pools.giving import OrderGiver
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
from poplarspar.state.backends import MemberPhase
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
)
from poplarspar.state.plan import PlannedGroup
from poplarspar.state.serving import Engine, Fleet, ServiceSpec

ROUND_S = 0.25
# Reports of members that are ready lag, and orders may be lost and given again.
JOIN_MARGIN_S = 2.0
# A backend server that served the model last joins again within this time.
REJOIN_S = 0.2
# Fresh backend servers are listed within a second or two after one another.
LISTING_S = 0.6
# A new planner first hears from everyone, since silence means a loss.
START_UP_S = 1.0
START_FAILURES = 2
# The head ends its work this much after the rules say, at the latest.
STALL_MARGIN_S = 0.3
# Demand in replica groups from which on it is measured well enough to plan by.
MEASURED_GROUPS = 1.0
# No model is left with less than this part of the most wanted one's groups.
MOST_UNEVEN = 8.0


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
    stall_s : float
        Time after which a replica group without one of its members gives up.
    """

    def __init__(
        self,
        survey: Survey,
        orders: OrderGiver,
        desk: PlanDesk,
        fleet: Callable[[], Fleet],
        stall_s: float,
    ) -> None:
        self._survey = survey
        self._orders = orders
        orders.on_result = self._take_result
        self._desk = desk
        self._fleet = fleet
        self._stall_s = stall_s + STALL_MARGIN_S
        self._loads = LoadBudget()
        self._began_at = float("-inf")
        self._started = False
        self._listed = 0
        self._listed_at = float("-inf")
        self._held_until: dict[str, float] = {}
        self._forming: dict[GroupKey, _Forming] = {}
        self._left_from: set[GroupKey] = set()
        self._closed: set[GroupKey] = set()
        self._broken: set[GroupKey] = set()
        self._before_traffic = False
        self._wake = Signal()

    def wake(self) -> None:
        """Plan at once, since something has changed."""
        if not self._wake.ready():
            self._wake.send()

    def plan_while(self, may_plan: Callable[[], bool]) -> None:
        """Plan for as long as this node is the planner."""
        self._began_at = time.monotonic()
        self._started = False
        self._listed = 0
        log_event(Event.PLANNER_STARTED, fence=self._orders.fences.last)
        while may_plan():
            self._plan()
            with eventlet.Timeout(ROUND_S, False):
                self._wake.wait()
            if self._wake.ready():
                self._wake = Signal()
        log_event(Event.PLANNER_STOPPED, fence=self._orders.fences.last)
        self.stop()

    def stop(self) -> None:
        """Forget all, since another node plans now."""
        self._desk.withdraw()
        self._survey.close()
        self._held_until.clear()
        self._forming.clear()
        self._left_from.clear()
        self._closed.clear()
        self._broken.clear()

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
        if not self._started and not self._may_start():
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

    def _take_result(self, order: Order, result: OrderResult) -> None:
        match order, result:
            case Join(group, epoch), Refused():
                self._forming.pop((group, epoch), None)
            case Close(group, epoch), Accepted():
                # The number of this order keeps late ones from opening it again.
                self._closed.add((group, epoch))
        self.wake()

    def _may_start(self) -> bool:
        """Return whether enough has been heard to take silence for a loss."""
        now = time.monotonic()
        heard = self._survey.by_id
        if len(heard) != self._listed:
            self._listed = len(heard)
            self._listed_at = now
        reports = [found.report for found in heard.values()]
        untouched = bool(reports) and all(
            report is None or not report.hosting.orders for report in reports
        )
        # Backend servers that have all just started are still being listed, and
        # groups are better chosen among all of them.
        quiet_s = LISTING_S if untouched else 0.0
        if now < self._listed_at + quiet_s or not reports:
            return False
        awaited = any(
            found.report is None and found.failures < START_FAILURES
            for found in heard.values()
        )
        if awaited and now < self._began_at + START_UP_S:
            return False
        self._started = True
        self._before_traffic = untouched
        return True


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
            self._planner._before_traffic = False
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
                if self._now < forming.until:
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
                self._order(group.head, Open(name, epoch), self._engine.open_s)
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
            self._release(group)
        elif head is None or head.silent:
            self._leave_silent_head(group)
        elif group.phase in (MemberPhase.OPEN, MemberPhase.CLOSING):
            evict = bool(group.silent_members()) or not self._is_complete(group)
            self._note_broken(group, evict)
            asked = group.key in self._planner._closed
            if head.heard.is_settled() or not asked:
                self._order(head, Close(name, epoch, evict), 0.0 if evict else None)
        elif group.key in self._planner._closed:
            self._release(group)
        else:
            # Once it has left, no late order can open this group any more.
            self._order(head, Leave(name, epoch))

    def _note_broken(self, group: Group, evict: bool) -> None:
        if group.key in self._planner._broken:
            return
        self._planner._broken.add(group.key)
        log_event(
            Event.GROUP_BROKEN,
            group=group.key[0],
            epoch=group.key[1],
            silent=[worker.id for worker in group.silent_members()],
            evict=evict,
        )

    def _is_complete(self, group: Group) -> bool:
        model = self._engine.models_by_name.get(group.model)
        return model is not None and len(group.members_by_rank) == model.members

    def _release(self, group: Group) -> None:
        """Free the members of a group that can serve no more."""
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
            and not planner._orders.is_busy(worker.id)
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
        if self._planner._before_traffic:
            return max(model.load_s for model in models)
        return max(model.staged_load_s for model in models)

    def _join(self, new: NewGroup) -> None:
        epoch = self._planner._orders.fences.next()
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
            load_s = worker.load_s(new.model)
            due_s = None if load_s >= new.model.load_s else load_s or REJOIN_S
            self._order(worker, Join(name, epoch, new.model.name, ids), due_s)

    def _loads_margin_s(self, new: NewGroup) -> float:
        """Return how much longer loads may take since many run at once."""
        if new.load_s < new.model.load_s:
            return 0.0
        return new.model.load_s * len(self._workers) / self._engine.loads_at_once

    def _stage(self) -> None:
        """Load models onto hosts, beside all other work, for the next loss."""
        planner = self._planner
        joining = any(_is_joining(worker) for worker in self._workers)
        if planner._before_traffic and joining:
            return
        weights = self._weights()
        spares = {worker.id for worker in self._free}
        wanting = [
            (worker.id not in spares, worker, model)
            for worker in self._workers
            if not (worker.silent or worker.leaving or worker.out)
            and not _is_joining(worker)
            and not planner._orders.is_busy(worker.id)
            and not planner._loads.is_loading(worker.id, self._now)
            and (model := choose_staging(self._engine, worker, weights)) is not None
        ]
        # Spares first: without a model on their host they are of no use.
        wanting.sort(key=lambda item: item[0])
        for _, worker, model in wanting:
            if not planner._loads.may_begin(
                self._engine, self._now, planner._before_traffic
            ):
                return
            if self._order(worker, Stage(model.name)):
                early = planner._before_traffic
                planner._loads.begin(worker.id, model, self._now, early)

    def _order(self, worker: Worker, order: Order, due_s: float | None = None) -> bool:
        return self._planner._orders.give(worker.heard, order, due_s)


def _is_joining(worker: Worker) -> bool:
    place = worker.membership
    return place is not None and place.phase is MemberPhase.JOINING
