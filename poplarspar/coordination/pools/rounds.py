"""One look at the backend servers of a model service, and the orders that follow."""

import time
from collections import Counter

from poplarspar.coordination.pools.desk import PlanDesk
from poplarspar.coordination.pools.forming import (
    NewGroup,
    choose_conversion,
    choose_group,
)
from poplarspar.coordination.pools.giving import OrderGiver
from poplarspar.coordination.pools.picture import Group, Worker, build_groups
from poplarspar.coordination.pools.preparing import Preparation
from poplarspar.coordination.pools.survey import Heard, Survey
from poplarspar.coordination.pools.term import JOIN_MARGIN_S, Forming, Term
from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.state.backends import MemberPhase
from poplarspar.state.orders import Close, Join, Leave, Open, Order
from poplarspar.state.plan import PlannedGroup, Spare
from poplarspar.state.serving import Engine, Fleet, ServiceSpec

STATE_LOG_S = 1.0
# A backend server that served the model last joins again within this time.
REJOIN_S = 0.2
# A change of the mix shows in the demand within some seconds.
CONVERSION_PAUSE_S = 5.0
# Demand in replica groups from which on it is measured well enough to plan by.
MEASURED_GROUPS = 1.0
# No model is left with less than this part of the most wanted one's groups.
MOST_UNEVEN = 8.0


class Round:
    """Plans the replica groups of one service once.

    Everything is worked out anew from what the backend servers report and what
    the planner remembers of its term.
    """

    def __init__(
        self,
        service: ServiceSpec,
        fleet: Fleet,
        term: Term,
        survey: Survey,
        orders: OrderGiver,
        desk: PlanDesk,
    ) -> None:
        self._service = service
        self._engine: Engine = service.engine
        self._fleet = fleet
        self._term = term
        self._survey = survey
        self._orders = orders
        self._desk = desk
        self._now = time.monotonic()
        self._workers = [
            self._see(heard)
            for heard in survey.by_id.values()
            if heard.backend.service == service.name and heard.report is not None
        ]
        term.meet(self._workers)
        if sum(desk.demand(service.name).values()) > 0.0:
            term.before_traffic = False
        self._groups = build_groups(self._workers)
        self._count_by_model: Counter[str] = Counter()
        self._free: list[Worker] = []

    def run(self) -> None:
        """Order all that is due."""
        self._look_at_groups()
        self._collect_free()
        self._form()
        self._drop_slow()
        self._convert()
        Preparation(
            self._engine,
            self._term,
            self._orders,
            self._workers,
            self._free,
            self._count_by_model,
            self._weights(),
        ).run()
        self._log_state()

    def _log_state(self) -> None:
        if self._now < self._term.logged_at + STATE_LOG_S:
            return
        self._term.logged_at = self._now
        log_event(
            Event.POOL_STATE,
            service=self._service.name,
            backends=len(self._workers),
            silent=sum(worker.silent for worker in self._workers),
            leaving=sum(worker.leaving for worker in self._workers),
            free=len(self._free),
            spares=[_spare_text(worker) for worker in self._free],
            groups=len(self._groups),
            serving_by_model=dict(Counter(group.model for group in self.serving())),
            weight_by_model={
                name: round(weight, 2) for name, weight in self._weights().items()
            },
        )

    def serving(self) -> list[PlannedGroup]:
        """Return the groups that may be sent requests."""
        return [
            PlannedGroup(
                group.head.id, *group.key, group.model, pace=round(group.pace, 1)
            )
            for group in self._groups.values()
            if group.phase is MemberPhase.OPEN and self._is_kept(group)
        ]

    def spares(self) -> list[Spare]:
        """Return the backend servers in no group that were in one before."""
        reports = [w.heard.report for w in self._workers if w.membership is None]
        return [
            Spare(report.id, report.started_ms, report.hosting.model)
            for report in reports
            if report.hosting.model
        ]

    def _see(self, heard: Heard) -> Worker:
        backend = heard.backend
        leaving = backend.draining or not heard.listed
        out = backend.zone in self._fleet.evacuated_zones
        if heard.report.running or heard.report.waiting:
            self._term.before_traffic = False
        return Worker(heard, heard.silent(self._now), leaving, out)

    def _look_at_groups(self) -> None:
        forming = self._term.forming
        for group in self._groups.values():
            begun = forming.get(group.key)
            if self._is_kept(group):
                self._count_by_model[group.model] += not group.is_out
                self._advance(group)
            elif begun is not None and self._may_still_form(begun, group):
                self._count_by_model[begun.new.model.name] += not begun.warming
            else:
                self._dissolve(group)
        for key, begun in list(forming.items()):
            if key in self._groups:
                continue
            if self._now < begun.until:
                self._count_by_model[begun.new.model.name] += not begun.warming
            else:
                del forming[key]

    def _is_kept(self, group: Group) -> bool:
        """Return whether a group is whole and is to serve on."""
        given_up = group.key in self._term.given_up
        return group.is_whole(self._engine) and not given_up

    def _may_still_form(self, begun: Forming, group: Group) -> bool:
        if self._now > begun.until:
            return False
        if begun.warming and group.phase is MemberPhase.READY:
            return False
        silent = {worker.id for worker in self._workers if worker.silent}
        return not silent & {member.id for member in begun.new.members}

    def _advance(self, group: Group) -> None:
        """Open a whole group as soon as its head is ready."""
        name, epoch = group.key
        match group.phase:
            case MemberPhase.READY:
                self._order(group.head, Open(name, epoch), self._engine.open_s)
            case MemberPhase.OPEN:
                if self._term.forming.pop(group.key, None) is not None:
                    log_event(
                        Event.GROUP_OPENED,
                        group=name,
                        epoch=epoch,
                        model=group.model,
                        head=group.head.id,
                    )

    def _dissolve(self, group: Group) -> None:
        """Take a broken group apart, the head first."""
        name, epoch = group.key
        begun = self._term.forming.pop(group.key, None)
        if begun is not None and not begun.warming:
            log_event(Event.GROUP_ABANDONED, group=name, epoch=epoch)
        head = group.head
        if head is None and group.key in self._survey.ended_groups:
            self._release(group)
        elif head is None or head.silent:
            self._leave_silent_head(group)
        elif group.phase in (MemberPhase.OPEN, MemberPhase.CLOSING):
            self._close(group)
        elif group.key in self._term.closed:
            self._release(group)
        else:
            # Once it has left, no late order can open this group any more.
            self._order(head, Leave(name, epoch))

    def _close(self, group: Group) -> None:
        name, epoch = group.key
        evict = bool(group.silent_members()) or not self._is_complete(group)
        if group.key not in self._term.broken:
            self._term.broken.add(group.key)
            log_event(
                Event.GROUP_BROKEN,
                group=name,
                epoch=epoch,
                silent=[worker.id for worker in group.silent_members()],
                evict=evict,
            )
        if group.key in self._term.closed:
            # Running requests may end first, unless nothing moves any more.
            ending = group.phase is MemberPhase.CLOSING and not evict
            if ending or not group.head.heard.is_settled():
                return
        self._order(group.head, Close(name, epoch, evict), 0.0 if evict else None)

    def _is_complete(self, group: Group) -> bool:
        model = self._engine.models_by_name.get(group.model)
        return model is not None and len(group.members_by_rank) == model.members

    def _release(self, group: Group) -> None:
        """Free the members of a group that can serve no more."""
        for worker in group.members_by_rank.values():
            if not worker.silent:
                self._free.append(worker)

    def _leave_silent_head(self, group: Group) -> None:
        """Take the members out of a group whose head can't be asked to close.

        If it lives, out of our sight, it stands still without them.
        """
        if group.key not in self._term.headless:
            self._term.headless.add(group.key)
            log_event(Event.HEAD_SILENT, group=group.key[0], epoch=group.key[1])
        for worker in group.members_by_rank.values():
            if not worker.silent and worker is not group.head:
                self._order(worker, Leave(*group.key))

    def _collect_free(self) -> None:
        for worker in self._workers:
            if worker.membership is None and not worker.silent:
                self._free.append(worker)
        forming = {
            member.id
            for begun in self._term.forming.values()
            for member in begun.new.members
        }
        self._free = [
            worker
            for worker in self._free
            if not worker.leaving
            and not worker.out
            and not worker.slow
            and worker.id not in forming
            and not self._orders.is_busy(worker.id)
        ]

    def _form(self) -> None:
        weights = self._weights()
        while True:
            new = choose_group(
                self._engine,
                self._free,
                self._count_by_model,
                weights,
                self._longest_load_s(),
            )
            if new is None:
                return
            self._join(new, weights)

    def _convert(self) -> None:
        """Give up a group of a model with plenty for one with too few."""
        term = self._term
        if term.before_traffic:
            # What callers want shows some seconds after the first request.
            term.converted_at = self._now
        forming = any(not begun.warming for begun in term.forming.values())
        if self._now < term.converted_at + CONVERSION_PAUSE_S or forming:
            return
        whole = [
            group
            for group in self._groups.values()
            if group.phase is MemberPhase.OPEN
            and group.is_whole(self._engine)
            and not group.is_out
        ]
        group = choose_conversion(
            self._engine, whole, self._free, self._count_by_model, self._weights()
        )
        if group is None:
            return
        term.converted_at = self._now
        term.given_up.add(group.key)
        log_event(
            Event.GROUP_GIVEN_UP,
            group=group.key[0],
            epoch=group.key[1],
            count_by_model=dict(self._count_by_model),
        )
        self._dissolve(group)

    def _drop_slow(self) -> None:
        """Give up a group with a slow member if a spare can take its place."""
        spares = Counter(worker.domain for worker in self._free)
        for group in self._groups.values():
            slow = [w for w in group.members_by_rank.values() if w.slow]
            if not slow or not self._is_kept(group):
                continue
            if group.phase is MemberPhase.OPEN and spares[slow[0].domain] >= len(slow):
                spares[slow[0].domain] -= len(slow)
                self._term.given_up.add(group.key)
                log_event(
                    Event.GROUP_SLOW,
                    group=group.key[0],
                    epoch=group.key[1],
                    slow=[worker.id for worker in slow],
                )
                self._dissolve(group)

    def _weights(self) -> dict[str, float]:
        """Return how many replica groups each model needs, the least being 1."""
        demand = self._desk.demand(self._service.name)
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
        if self._term.before_traffic:
            return max(model.load_s for model in models)
        return max(model.staged_load_s for model in models)

    def _join(self, new: NewGroup, weights: dict[str, float]) -> None:
        epoch = self._orders.fences.next()
        name = f"{new.model.name}-{epoch}"
        until = self._now + new.load_s + self._load_margin_s(new) + JOIN_MARGIN_S
        self._term.forming[(name, epoch)] = Forming(new, until)
        ids = tuple(worker.id for worker in new.members)
        log_event(
            Event.GROUP_FORMING,
            group=name,
            epoch=epoch,
            members=ids,
            load_s=new.load_s,
            count_by_model=dict(self._count_by_model),
            weight_by_model={name: round(w, 2) for name, w in weights.items()},
            free=len(self._free),
        )
        self._count_by_model[new.model.name] += 1
        for worker in new.members:
            self._free.remove(worker)
            load_s = worker.load_s(new.model)
            due_s = None if load_s >= new.model.load_s else load_s or REJOIN_S
            self._order(worker, Join(name, epoch, new.model.name, ids), due_s)

    def _load_margin_s(self, new: NewGroup) -> float:
        """Return how much longer loads may take since many run at once."""
        if new.load_s < new.model.load_s:
            return 0.0
        return new.model.load_s * len(self._workers) / self._engine.loads_at_once

    def _order(self, worker: Worker, order: Order, due_s: float | None = None) -> bool:
        return self._orders.give(worker.heard, order, due_s)


def _spare_text(worker: Worker) -> str:
    """Return a spare's domain, last model and staged models, for the log."""
    hosting = worker.heard.report.hosting
    staged = ",".join(hosting.staged)
    return f"{hosting.domain} last={hosting.model} staged={staged}"
