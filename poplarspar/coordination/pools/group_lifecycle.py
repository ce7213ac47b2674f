"""The life of replica groups: opened when whole, taken apart when broken."""

import time
from collections import Counter, defaultdict

from poplarspar.coordination.pools.dispatch import OrderDispatcher
from poplarspar.coordination.pools.groups import Group, Worker
from poplarspar.coordination.pools.health_monitor import HealthMonitor
from poplarspar.coordination.pools.term import (
    JOIN_MARGIN_S,
    FormingGroup,
    TermState,
    model_of_group,
)
from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.state.backends import MemberPhase
from poplarspar.state.orders import Close, Join, Leave, Open, Order
from poplarspar.state.serving import Engine

# A backend server that served the model last joins again within this time.
REJOIN_S = 0.2
# A backend server that is about to stop gets new work for no longer than this.
DRAINING_ADMISSION_S = 2.0
# Groups that another planner was forming are finished within this time of a term.
ADOPTION_WINDOW_S = 2.0


class GroupLifecycle:
    """Orders what the groups of one service need in one round.

    Attributes
    ----------
    count_by_model : Counter
        Replica groups that serve or are being formed.
    models_by_domain : dict of str to Counter
        The same in each fabric domain.
    released : list of Worker
        Members of groups that can serve no more.
    """

    def __init__(
        self,
        engine: Engine,
        term: TermState,
        survey: HealthMonitor,
        orders: OrderDispatcher,
        workers: list[Worker],
        groups: dict,
    ) -> None:
        self._engine = engine
        self._term = term
        self._survey = survey
        self._orders = orders
        self._workers_by_id = {worker.id: worker for worker in workers}
        self._groups = groups
        self._spares = [
            worker
            for worker in workers
            if worker.membership is None
            and not (worker.silent or worker.leaving or worker.evacuated or worker.slow)
        ]
        self._now = time.monotonic()
        self.count_by_model: Counter[str] = Counter()
        self.models_by_domain: dict[str, Counter[str]] = defaultdict(Counter)
        self.released_members: list[Worker] = []

    def run(self) -> None:
        """Look at each group, and order what it needs."""
        for group in self._groups.values():
            begun = self._term.forming.get(group.key) or self._adopt(group)
            if self.should_serve(group):
                self._count(group.model, group.domain, not group.is_evacuated)
                self._advance(group)
            elif begun is None or not self._may_still_form(begun, group):
                self.dissolve(group)
        for key, begun in list(self._term.forming.items()):
            group = self._groups.get(key)
            if group is None and self._now > begun.deadline:
                del self._term.forming[key]
            elif group is None or not self.should_serve(group):
                self._continue(begun)

    def should_serve(self, group: Group) -> bool:
        """Return whether a group is whole and is to serve on."""
        if group.key in self._term.retired or not group.is_healthy(self._engine):
            return False
        return not group.draining_count or not self._is_due(group)

    def _is_due(self, group: Group) -> bool:
        """Return whether draining members are to be replaced, or spared more work."""
        since = min(
            w.observation.draining_since for w in group.members_by_rank.values()
        )
        if self._now > since + DRAINING_ADMISSION_S:
            return True
        model = self._engine.models_by_name[group.model]
        ready = sum(
            worker.domain == group.domain and worker.load_s(model) == 0.0
            for worker in self._spares
        )
        return ready >= group.draining_count

    def retire(self, group: Group) -> None:
        """Take a group that could serve on apart."""
        self._term.retired.add(group.key)
        self._count(group.model, group.domain, -1)
        self.dissolve(group)

    def _count(self, model: str, domain: str, change: int) -> None:
        self.count_by_model[model] += change
        self.models_by_domain[domain][model] += change

    def _adopt(self, group: Group) -> FormingGroup | None:
        """Return what is left to do for a group that the last planner began."""
        if self._now > self._term.started_at + ADOPTION_WINDOW_S:
            return None
        model = self._engine.models_by_name.get(model_of_group(group.key[0]))
        ranks = set(group.members_by_rank)
        if model is None or ranks != set(range(model.members)):
            return None
        members = tuple(group.members_by_rank[rank] for rank in sorted(ranks))
        if any(
            worker.silent
            or worker.leaving
            or worker.membership.phase not in (MemberPhase.JOINING, MemberPhase.READY)
            for worker in members
        ):
            return None
        until = self._now + model.staged_load_s + JOIN_MARGIN_S
        ids = tuple(worker.id for worker in members)
        begun = FormingGroup(
            Join(*group.key, model.name, ids), members[0].domain, until
        )
        self._term.forming[group.key] = begun
        return begun

    def _may_still_form(self, begun: FormingGroup, group: Group) -> bool:
        if self._now > begun.deadline:
            return False
        if begun.warming and group.phase is MemberPhase.READY:
            return False
        return not any(self._is_lost(id) for id in begun.join.members)

    def _is_lost(self, id: str) -> bool:
        worker = self._workers_by_id.get(id)
        return worker is None or worker.silent

    def _continue(self, begun: FormingGroup) -> None:
        """Wait for a group that forms; repeat orders to join that were lost."""
        if begun.warming:
            return
        self._count(begun.join.model, begun.domain, 1)
        for id in begun.join.members:
            worker = self._workers_by_id.get(id)
            if worker is None or worker.silent or self._orders.is_busy(id):
                continue
            free = worker.membership is None or worker in self.released_members
            if free and worker.observation.reflects_last_order():
                self._repeat_join(worker, begun)

    def _repeat_join(self, worker: Worker, begun: FormingGroup) -> None:
        if not begun.join_retries_left:
            return
        begun.join_retries_left -= 1
        model = self._engine.models_by_name[begun.join.model]
        load_s = worker.load_s(model)
        begun.deadline = max(begun.deadline, self._now + load_s + JOIN_MARGIN_S)
        self._order(worker, begun.join, load_s or REJOIN_S)

    def _advance(self, group: Group) -> None:
        """Open a whole group as soon as its head is ready."""
        name, epoch = group.key
        match group.phase:
            case MemberPhase.READY:
                # It may have been closed before, for a member that seemed lost.
                self._term.closed.discard(group.key)
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

    def dissolve(self, group: Group) -> None:
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
            if ending or not group.head.observation.reflects_last_order():
                return
        self._order(group.head, Close(name, epoch, evict), 0.0 if evict else None)

    def _is_complete(self, group: Group) -> bool:
        model = self._engine.models_by_name.get(group.model)
        return model is not None and len(group.members_by_rank) == model.members

    def _release(self, group: Group) -> None:
        """Free the members of a group that can serve no more."""
        for worker in group.members_by_rank.values():
            if not worker.silent:
                self.released_members.append(worker)

    def _leave_silent_head(self, group: Group) -> None:
        """Take the members out of a group whose head can't be asked to close.

        If it lives, out of our sight, it stands still without them.
        """
        if group.key not in self._term.silent_heads:
            self._term.silent_heads.add(group.key)
            log_event(Event.HEAD_SILENT, group=group.key[0], epoch=group.key[1])
        for worker in group.members_by_rank.values():
            if not worker.silent and worker is not group.head:
                self._order(worker, Leave(*group.key))

    def _order(self, worker: Worker, order: Order, due_s: float | None = None) -> bool:
        return self._orders.dispatch(worker.observation, order, due_s)
