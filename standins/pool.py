"""Virtual backend servers of a model service, in one process.

They accept orders, load models, form replica groups and report with a delay, as
engines do. The pool records each violated invariant in `breaches`.
"""

import random
import time
from dataclasses import dataclass, field, replace

import eventlet

from poplarspar.exceptions import BackendFailed
from poplarspar.state.backends import (
    BackendReport,
    BackendServer,
    EngineState,
    MemberPhase,
    Membership,
)
from poplarspar.state.orders import (
    Accepted,
    Close,
    Join,
    Leave,
    Open,
    Refused,
    Stage,
    Unanswered,
)
from poplarspar.state.serving import Engine, EngineModel

REPORT_LAG_S = 0.2
REJOIN_S = 0.05
STALL_S = 2.0
# An order that is not answered is executed after a time between these.
LATE_S = (0.5, 2.0)


def small_engine(slots: int) -> Engine:
    """Return an engine with two models that load fast and form small groups."""
    return Engine(
        slots=slots,
        models_by_name={
            "m0": EngineModel("m0", 3, 1.0, 0.6, 2.0, 0.2),
            "m1": EngineModel("m1", 2, 0.6, 0.4, 1.5, 0.15),
        },
        step_s=0.006,
        step_per_request_s=0.0001,
        tokens_read_per_s=50_000.0,
        tokens_per_event=7,
        loads_per_s=10.0,
        concurrent_loads=6,
        open_s=0.1,
    )


@dataclass
class Worker:
    """One virtual backend server.

    Attributes
    ----------
    done_at : float
        Monotonic time at which the current join is done.
    opens_at : float
        Monotonic time at which the head starts to serve, None if not opening.
    ready_for : set
        Group keys with member lists for which it has reached the ready phase.
    """

    id: str
    domain: str
    started_ms: int = 1
    engine_state: EngineState = None
    members: tuple[str, ...] = ()
    done_at: float = 0.0
    opens_at: float | None = None
    fence: int = 0
    epoch: int = 0
    silent: bool = False
    draining: bool = False
    says_leaving: bool = False
    ready_for: set = field(default_factory=set)
    history: list = field(default_factory=list)

    def __post_init__(self):
        self.engine_state = self.engine_state or EngineState(
            "", (), self.domain, None, 0
        )

    def set_phase(self, phase: MemberPhase) -> None:
        membership = self.engine_state.membership
        self.engine_state = replace(
            self.engine_state, membership=replace(membership, phase=phase)
        )

    def advance(self, now: float) -> None:
        """Complete joins and openings that are due."""
        membership = self.engine_state.membership
        if membership is None:
            return
        if membership.phase is MemberPhase.JOINING and now >= self.done_at:
            self.set_phase(MemberPhase.READY)
            self.ready_for.add((membership.key, self.members))
        if self.opens_at is not None and now >= self.opens_at:
            self.opens_at = None
            self.set_phase(MemberPhase.OPEN)


class Pool:
    """Virtual backend servers that answer reports and orders.

    Parameters
    ----------
    late_share : float
        Share of orders that are executed late and whose answer is lost.

    Attributes
    ----------
    late_s : tuple of float
        Shortest and longest delay of such orders, in seconds.
    """

    def __init__(self, engine: Engine, late_share: float = 0.0, seed: int = 0) -> None:
        self._engine = engine
        self.late_share = late_share
        self.late_s = LATE_S
        self._random = random.Random(seed)
        self.by_id: dict[str, Worker] = {}
        self.breaches: list[str] = []
        self.orders = 0

    def add(self, id: str, domain: str, **options) -> Worker:
        """Add a backend server."""
        self.by_id[id] = Worker(id, domain, **options)
        return self.by_id[id]

    def restart(self, id: str) -> None:
        """Restart a backend server under the same identifier."""
        stopped = self.by_id[id]
        staged = stopped.engine_state.staged_models
        engine_state = EngineState("", staged, stopped.domain, None, 0)
        self.by_id[id] = Worker(
            id, stopped.domain, stopped.started_ms + 1, engine_state
        )

    def entries(self) -> dict[str, BackendServer]:
        """Return the platform's list of backend servers."""
        return {
            worker.id: BackendServer(
                id=worker.id,
                started_ms=worker.started_ms,
                service="llm",
                address=f"{worker.id}:1",
                zone="a",
                draining=worker.draining,
                slots=self._engine.slots,
                cold_s=0.0,
                engine_state=worker.engine_state,
            )
            for worker in self.by_id.values()
        }

    def serving(self) -> list[tuple[str, int]]:
        """Return the open groups that have all their members."""
        return [key for key in self._open_groups() if not self._missing_members(key)]

    def head(self, key: tuple[str, int]) -> Worker:
        """Return the head of an open group."""
        return self._open_groups()[key]

    def read(self, backend: BackendServer, timeout_s: float) -> BackendReport:
        """Return a report that lags by `REPORT_LAG_S`."""
        worker = self._find_responsive(backend, timeout_s)
        now = time.monotonic()
        worker.history.append((now, worker.engine_state))
        visible = [h for at, h in worker.history if at <= now - REPORT_LAG_S]
        worker.history = [(at, h) for at, h in worker.history if at > now - 1.0]
        engine_state = visible[-1] if visible else worker.history[0][1]
        return BackendReport(
            worker.id,
            worker.started_ms,
            engine_state,
            0,
            0,
            False,
            1.0,
            worker.says_leaving,
        )

    def disconnect(self, backend: BackendServer) -> None:
        """Do nothing: a virtual backend server has no connection."""

    def send(self, backend, order, *, fence, accepted_before, timeout_s):
        """Execute an order at once, or late and without an answer."""
        try:
            worker = self._find_responsive(backend, timeout_s)
        except BackendFailed:
            return Unanswered()
        self.orders += 1
        if self._random.random() < self.late_share:
            delay_s = self._random.uniform(*self.late_s)
            eventlet.spawn_after(
                delay_s, self._execute, worker, order, fence, accepted_before
            )
            eventlet.sleep(timeout_s)
            return Unanswered()
        return self._execute(worker, order, fence, accepted_before)

    def _find_responsive(self, backend: BackendServer, timeout_s: float) -> Worker:
        worker = self.by_id.get(backend.id)
        if worker is None or worker.silent:
            eventlet.sleep(timeout_s)
            raise BackendFailed("silent", sent=True)
        worker.advance(time.monotonic())
        return worker

    def _execute(self, worker: Worker, order, fence: int, accepted_before):
        worker.advance(time.monotonic())
        orders = worker.engine_state.accepted_orders
        if fence < worker.fence:
            return Refused(412, fenced=True)
        if accepted_before is not None and accepted_before != orders:
            return Refused(409, fenced=False)
        worker.fence = fence
        result = self._apply(worker, order)
        if result == Accepted(done=False):
            worker.engine_state = replace(
                worker.engine_state, accepted_orders=orders + 1
            )
        worker.history.append((time.monotonic(), worker.engine_state))
        return result

    def _apply(self, worker: Worker, order):
        membership = worker.engine_state.membership
        match order:
            case Join():
                return self._join(worker, order)
            case Stage(model):
                worker.engine_state = replace(
                    worker.engine_state, staged_models=(model,)
                )
                return Accepted(done=False)
            case Open(group, epoch) | Close(group, epoch) | Leave(group, epoch):
                if membership is None or membership.key != (group, epoch):
                    return Refused(409, fenced=False)
        match order, membership.phase:
            case Open(), MemberPhase.OPEN:
                return Accepted(done=True)
            case Open(), MemberPhase.READY:
                worker.opens_at = time.monotonic() + self._engine.open_s
                self._check_complete(worker)
                return Accepted(done=False)
            case Close(), MemberPhase.OPEN:
                worker.set_phase(MemberPhase.READY)
                return Accepted(done=False)
            case Close(), MemberPhase.READY:
                worker.opens_at = None
                return Accepted(done=True)
            case Leave(), _:
                worker.engine_state = replace(
                    worker.engine_state,
                    membership=None,
                    accepted_orders=worker.engine_state.accepted_orders + 1,
                )
                worker.opens_at = None
                return Accepted(done=True)
        return Refused(409, fenced=False)

    def _join(self, worker: Worker, order: Join):
        membership = worker.engine_state.membership
        key = (order.group, order.epoch)
        if membership is not None and membership.key == key:
            return Accepted(done=membership.phase is not MemberPhase.JOINING)
        if order.epoch < worker.epoch:
            return Refused(412, fenced=False)
        if membership is not None and membership.key in self._open_groups():
            self.breaches.append(f"{worker.id} joined {key}, {membership.key} is open")
        model = self._engine.models_by_name[order.model]
        load_s = model.load_s
        if worker.engine_state.model == order.model:
            load_s = REJOIN_S
        elif order.model in worker.engine_state.staged_models:
            load_s = model.staged_load_s
        rank = order.members.index(worker.id)
        worker.epoch = order.epoch
        worker.members = order.members
        worker.opens_at = None
        worker.done_at = time.monotonic() + load_s
        worker.engine_state = replace(
            worker.engine_state,
            model=order.model,
            staged_models=worker.engine_state.staged_models or (order.model,),
            membership=Membership(*key, rank, MemberPhase.JOINING),
        )
        return Accepted(done=False)

    def _open_groups(self) -> dict[tuple[str, int], Worker]:
        """Return the responsive heads of open groups, by group key."""
        now = time.monotonic()
        head_by_key = {}
        for worker in self.by_id.values():
            worker.advance(now)
            membership = worker.engine_state.membership
            if membership is not None and membership.rank == 0 and not worker.silent:
                if membership.phase is MemberPhase.OPEN:
                    head_by_key[membership.key] = worker
        return head_by_key

    def _missing_members(self, key) -> list[str]:
        head = self._open_groups()[key]
        return [
            id
            for id in head.members
            if self.by_id[id].silent
            or self.by_id[id].engine_state.membership is None
            or self.by_id[id].engine_state.membership.key != key
        ]

    def _check_complete(self, head: Worker) -> None:
        membership = head.engine_state.membership
        size = self._engine.models_by_name[head.engine_state.model].members
        if len(head.members) != size:
            self.breaches.append(f"{membership.key} opened with {len(head.members)}")
        for id in head.members:
            if (membership.key, head.members) not in self.by_id[id].ready_for:
                self.breaches.append(f"{membership.key} opened, {id} was never ready")
