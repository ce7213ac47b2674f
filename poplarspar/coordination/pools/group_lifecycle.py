"""The life cycle of replica groups: forming, opening, closing and dissolving."""

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
# A group admits new requests for at most this time after a member starts to drain.
DRAINING_ADMISSION_S = 2.0
# Within this time of its term, a new planner adopts the groups that the previous
# planner was forming.
ADOPTION_WINDOW_S = 2.0


class GroupLifecycle:
    """Orders the changes that the groups of one service need in one planning pass.

    Attributes
    ----------
    count_by_model : Counter
        Number of replica groups that serve or are forming.
    models_by_domain : dict of str to Counter
        The same numbers, by model, for each fabric domain.
    far_count_by_model : Counter
        Number of groups that serve across domains, which `count_by_model` leaves out:
        they are slow, and only serve until a domain can hold their model again.
    released_members : list of Worker
        Members of groups that can no longer serve.
    """

    def __init__(
        self,
        engine: Engine,
        term: TermState,
        health_monitor: HealthMonitor,
        dispatcher: OrderDispatcher,
        workers: list[Worker],
        groups: dict,
    ) -> None:
        self._engine = engine
        self._term = term
        self._health_monitor = health_monitor
        self._dispatcher = dispatcher
        self._membership_orders = dispatcher.membership_orders
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
        self.far_count_by_model: Counter[str] = Counter()
        self.released_members: list[Worker] = []

    def run(self) -> None:
        """Count the groups and order the next step for each."""
        for group in self._groups.values():
            forming_group = self._term.forming.get(group.key) or self._adopt(group)
            if self.should_serve(group):
                if group.is_far:
                    self.far_count_by_model[group.model] += not group.is_evacuated
                else:
                    counted = not group.is_evacuated
                    self._add_to_counts(group.model, group.domain, counted)
                self._open_if_ready(group)
            elif forming_group is None or not self._may_still_form(
                forming_group, group
            ):
                self.dissolve(group)
        for key, forming_group in list(self._term.forming.items()):
            group = self._groups.get(key)
            if group is None and self._now > forming_group.deadline:
                del self._term.forming[key]
            elif group is None or not self.should_serve(group):
                self._continue_forming(forming_group)

    def should_serve(self, group: Group) -> bool:
        """Return whether a group is complete and should continue to serve."""
        if group.key in self._term.retired or not group.is_healthy(self._engine):
            return False
        return not group.draining_count or not self._must_replace_draining(group)

    def _must_replace_draining(self, group: Group) -> bool:
        """Return whether a group with draining members should stop serving.

        After `DRAINING_ADMISSION_S` it receives no more work; before that, the planner
        replaces the draining members once enough spares are ready.
        """
        draining_since = min(
            w.observation.draining_since for w in group.members_by_rank.values()
        )
        if self._now > draining_since + DRAINING_ADMISSION_S:
            return True
        model = self._engine.models_by_name[group.model]
        ready_spares = sum(
            worker.domain == group.domain and worker.load_s(model) == 0.0
            for worker in self._spares
        )
        return ready_spares >= group.draining_count

    def retire(self, group: Group) -> None:
        """Dissolve a group that could continue to serve."""
        self._term.retired.add(group.key)
        if group.is_far:
            self.far_count_by_model[group.model] -= 1
        else:
            self._add_to_counts(group.model, group.domain, -1)
        self.dissolve(group)

    def _add_to_counts(self, model: str, domain: str, change: int) -> None:
        self.count_by_model[model] += change
        self.models_by_domain[domain][model] += change

    def _adopt(self, group: Group) -> FormingGroup | None:
        """Adopt a group that the previous planner was forming, if it can still form."""
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
        deadline = self._now + model.staged_load_s + JOIN_MARGIN_S
        ids = tuple(worker.id for worker in members)
        forming_group = FormingGroup(
            Join(*group.key, model.name, ids), members[0].domain, deadline
        )
        self._term.forming[group.key] = forming_group
        return forming_group

    def _may_still_form(self, forming_group: FormingGroup, group: Group) -> bool:
        if self._now > forming_group.deadline:
            return False
        if forming_group.warming and group.phase is MemberPhase.READY:
            return False
        return not any(self._is_lost(id) for id in forming_group.join.members)

    def _is_lost(self, id: str) -> bool:
        worker = self._workers_by_id.get(id)
        return worker is None or worker.silent

    def _continue_forming(self, forming_group: FormingGroup) -> None:
        """Count a group that is forming and retry its lost orders to join."""
        if forming_group.warming:
            return
        self._add_to_counts(forming_group.join.model, forming_group.domain, 1)
        released_ids = {worker.id for worker in self.released_members}
        for id in forming_group.join.members:
            worker = self._workers_by_id.get(id)
            if worker is None or worker.silent or self._dispatcher.is_busy(id):
                continue
            free = worker.membership is None or worker.id in released_ids
            if free and worker.observation.reflects_last_order():
                self._retry_join(worker, forming_group)

    def _retry_join(self, worker: Worker, forming_group: FormingGroup) -> None:
        if not forming_group.join_retries_left:
            return
        forming_group.join_retries_left -= 1
        model = self._engine.models_by_name[forming_group.join.model]
        load_s = worker.load_s(model)
        forming_group.deadline = max(
            forming_group.deadline, self._now + load_s + JOIN_MARGIN_S
        )
        self._send_order(worker, forming_group.join, load_s or REJOIN_S)

    def _open_if_ready(self, group: Group) -> None:
        """Open a complete group when its head is ready."""
        name, epoch = group.key
        match group.phase:
            case MemberPhase.READY if self._confirm_members(group):
                # The planner may have closed the group while a member was silent.
                self._term.closed.discard(group.key)
                self._send_order(group.head, Open(name, epoch), self._engine.open_s)
            case MemberPhase.OPEN:
                self._refuse_late_orders(group)
                if self._term.forming.pop(group.key, None) is not None:
                    log_event(
                        Event.GROUP_OPENED,
                        group=name,
                        epoch=epoch,
                        model=group.model,
                        head=group.head.id,
                    )

    def _confirm_members(self, group: Group) -> bool:
        """Return whether no late order can make a member leave a ready group.

        The orders may be this planner's, after it released the members, or those of an
        earlier planner. Members that could accept one are ordered to join their group
        again. The head refuses such orders once it has accepted the order to open.
        """
        unconfirmed = [
            worker
            for rank, worker in group.members_by_rank.items()
            if rank and not self._membership_orders.are_settled(worker.id, *group.key)
        ]
        if unconfirmed and not self._dispatcher.tokens.enforced:
            # Only the epoch of a new group makes the members refuse late orders.
            self._term.retired.add(group.key)
            return False
        self._order_to_stay(group, unconfirmed)
        return not unconfirmed

    def _refuse_late_orders(self, group: Group) -> None:
        """Make the members of an open group refuse late orders to end it.

        The planner sent them while it could not reach a member, or the head.
        """
        if isinstance(self._dispatcher.last_order(group.head.id), Close):
            self._send_order(group.head, Open(*group.key))
        leaving = [
            worker
            for rank, worker in group.members_by_rank.items()
            if rank and self._membership_orders.may_end(worker.id, *group.key)
        ]
        self._order_to_stay(group, leaving)

    def _order_to_stay(self, group: Group, workers: list[Worker]) -> None:
        """Order members to join the group that they are in, which changes nothing."""
        ids = tuple(group.members_by_rank[rank].id for rank in range(group.size))
        for worker in workers:
            join = Join(*group.key, group.model, ids)
            self._dispatcher.confirm(worker.observation, join)

    def dissolve(self, group: Group) -> None:
        """Order a broken group to end, the head first, then release its members."""
        name, epoch = group.key
        forming_group = self._term.forming.pop(group.key, None)
        if forming_group is not None and not forming_group.warming:
            log_event(Event.GROUP_ABANDONED, group=name, epoch=epoch)
        head = group.head
        if head is None and group.key in self._health_monitor.ended_groups:
            self._release_members(group)
        elif head is None or head.silent:
            self._detach_from_silent_head(group)
        elif group.phase in (MemberPhase.OPEN, MemberPhase.CLOSING):
            self._close(group)
        elif group.key in self._term.closed:
            self._release_members(group)
        else:
            # After the head has left, no late order can open this group.
            self._send_order(head, Leave(name, epoch))

    def _close(self, group: Group) -> None:
        name, epoch = group.key
        evict = bool(group.silent_members()) or not self._has_all_ranks(group)
        if group.key not in self._term.broken:
            self._term.broken.add(group.key)
            log_event(
                Event.GROUP_BROKEN,
                group=name,
                epoch=epoch,
                silent=[worker.id for worker in group.silent_members()],
                evict=evict,
            )
            if group.silent_members():
                self._verify_members(group)
        if group.key in self._term.closed:
            # Running requests may end first, unless a lost member has stalled them.
            requests_ending = group.phase is MemberPhase.CLOSING and not evict
            if requests_ending or not group.head.observation.reflects_last_order():
                return
        self._send_order(group.head, Close(name, epoch, evict), 0.0 if evict else None)

    def _verify_members(self, group: Group) -> None:
        """Probe the members of a group that lost one, since losses come together."""
        for worker in group.members_by_rank.values():
            self._health_monitor.suspect(worker.id)

    def _has_all_ranks(self, group: Group) -> bool:
        model = self._engine.models_by_name.get(group.model)
        return model is not None and len(group.members_by_rank) == model.members

    def _release_members(self, group: Group) -> None:
        """Release the members of a group that can no longer serve."""
        for worker in group.members_by_rank.values():
            if not worker.silent:
                self.released_members.append(worker)

    def _detach_from_silent_head(self, group: Group) -> None:
        """Order the other members to leave a group whose head can't receive a close.

        A head that still runs but that the planner can't reach serves no requests
        without its members.
        """
        if group.key not in self._term.silent_heads:
            self._term.silent_heads.add(group.key)
            log_event(Event.HEAD_SILENT, group=group.key[0], epoch=group.key[1])
            self._verify_members(group)
        for worker in group.members_by_rank.values():
            if not worker.silent and worker is not group.head:
                self._send_order(worker, Leave(*group.key))

    def _send_order(
        self, worker: Worker, order: Order, duration_s: float | None = None
    ) -> bool:
        return self._dispatcher.dispatch(worker.observation, order, duration_s)
