"""Admission of requests to the backend servers that this entry owns.

Each backend server has exactly one owner, so a single process enforces its
limit. The owner admits requests of its own callers and lends single slots to
other entries.
"""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from poplarspar.coordination.fairness import Demand, FairQueue, Waiter
from poplarspar.state.ledger import Ledger
from poplarspar.state.objects import ModelDeployment, ServiceDeployment
from poplarspar.state.outcomes import Broken, Completed, Outcome, Unused
from poplarspar.state.refusals import Reason, Refusal
from poplarspar.state.replicas import (
    MemberReport,
    ReplicaGroup,
    Reports,
    is_ready_member,
)
from poplarspar.state.results import Error, Ok, Result
from poplarspar.state.view import View

REPORT_MAX_AGE_S = 1.5


@dataclass(eq=False)
class Slot:
    """The right to send one request to one backend server.

    Attributes
    ----------
    lender : str
        Entry that lent the slot, empty if this entry owns the backend server.
    admitted_at : float
        Monotonic time in seconds. For a borrowed slot, the time at which this
        entry asked the lender, which is never later than the admission.
    """

    backend: str
    address: str
    workspace: str
    deployment: str
    tokens: int
    lender: str
    admitted_at: float


class Admission:
    """Enforces the limits of the backend servers that this entry owns.

    Parameters
    ----------
    entry : str
        Identifier of this entry's process.
    reports : Reports
        Last reports of the members of owned replica groups.
    is_fresh : callable
        Returns whether this entry may start new work now.
    """

    def __init__(
        self, entry: str, reports: Reports, is_fresh: Callable[[], bool]
    ) -> None:
        self._entry = entry
        self._reports = reports
        self._is_fresh = is_fresh
        self._view = View()
        self._queue_by_deployment: dict[str, FairQueue] = {}
        self.ledger_by_backend: dict[str, Ledger] = {}

    @property
    def view(self) -> View:
        """The view on which this entry bases its decisions."""
        return self._view

    def update(self, view: View) -> None:
        """Replace the view, update the ledgers and admit waiting requests."""
        for group in view.groups_by_name.values():
            self._update_ledger(self._view, view, group)
        for backend in list(self.ledger_by_backend):
            ledger = self.ledger_by_backend[backend]
            if backend not in view.groups_by_name and ledger.requests == 0:
                del self.ledger_by_backend[backend]
        self._view = view
        self.admit_waiting()

    def take(self, demand: Demand, until: float) -> Result[Slot, Refusal]:
        """Admit a request, waiting for capacity until monotonic time `until`."""
        queue = self._queue(demand.deployment)
        if not queue.has_waiters():
            slot = self.try_take(demand)
            if slot is not None:
                return Ok(slot)
        wait_s = until - time.monotonic()
        if wait_s <= 0:
            return Error(self._no_room(demand))
        if queue.is_full(demand):
            message = f"workspace {demand.workspace!r} has too many requests waiting"
            return Error(Refusal(Reason.QUEUE_FULL, message))
        return self._wait(queue, demand, wait_s)

    def try_take(self, demand: Demand) -> Slot | None:
        """Admit a request if a backend server has capacity now."""
        now = time.monotonic()
        if not self._is_fresh():
            return None
        usable = [
            (self.ledger_by_backend[group.name], group)
            for group in self._usable_groups(demand.deployment, now)
            if self.ledger_by_backend[group.name].has_room(demand.tokens)
        ]
        if not usable:
            return None
        ledger, group = min(usable, key=lambda pair: pair[0].load)
        ledger.reserve(demand.tokens)
        self._queue(demand.deployment).start(demand.workspace)
        return Slot(
            backend=group.name,
            address=group.members[0].address,
            workspace=demand.workspace,
            deployment=demand.deployment,
            tokens=demand.tokens,
            lender="",
            admitted_at=now,
        )

    def give_back(self, slot: Slot, outcome: Outcome) -> None:
        """Release a slot of a backend server that this entry owns."""
        self._queue(slot.deployment).finish(slot.workspace)
        ledger = self.ledger_by_backend.get(slot.backend)
        if ledger is None:
            return
        ledger.release(slot.tokens)
        match outcome:
            case Completed(incarnation) if ledger.is_current_incarnation(incarnation):
                ledger.complete()
            case Completed():
                self._assume_restarted(ledger)
            case Broken():
                self._assume_restarted(ledger)
            case Unused():
                pass
        self.admit_waiting()

    def check_fresh(self) -> Result[None, Refusal]:
        """Return a refusal if this entry may not start new work now."""
        if self._is_fresh():
            return Ok(None)
        message = "this entry lost contact with the cluster"
        return Error(Refusal(Reason.STALE, message))

    def is_usable(self, slot: Slot) -> bool:
        """Return whether a request may still be sent on the slot."""
        group = self._view.groups_by_name.get(slot.backend)
        if group is None or not self._is_fresh():
            return False
        return self._view.accepts_work(group)

    def admit_waiting(self) -> None:
        """Admit waiting requests while backend servers have capacity."""
        for queue in self._queue_by_deployment.values():
            queue.serve(self._try_grant)

    def finished_handovers(self) -> list[str]:
        """Return ``backend@generation`` of each handover that can finish.

        This entry is the previous owner of these backend servers, and none of
        its requests is in flight on them.
        """
        ready = []
        for backend, ownership in self._view.owners.by_backend.items():
            ledger = self.ledger_by_backend.get(backend)
            idle = ledger is None or ledger.requests == 0
            if ownership.previous == self._entry and idle:
                ready.append(f"{backend}@{ownership.generation}")
        return ready

    def owns_backends(self) -> bool:
        """Return whether this entry owns or is handing over a backend server."""
        return any(
            self._entry in (ownership.owner, ownership.previous)
            for ownership in self._view.owners.by_backend.values()
        )

    def owned_vm_addresses(self) -> dict[str, str]:
        """Return the address of each VM of an owned replica group, by VM."""
        return {
            member.vm: member.address
            for group in self._view.groups_by_name.values()
            if self._view.ownership_of(group.name).owner == self._entry
            for member in group.members
        }

    def _queue(self, deployment: str) -> FairQueue:
        return self._queue_by_deployment.setdefault(deployment, FairQueue())

    def _wait(
        self, queue: FairQueue, demand: Demand, wait_s: float
    ) -> Result[Slot, Refusal]:
        waiter = queue.join(demand)
        try:
            slot = waiter.granted.wait(timeout=wait_s)
        finally:
            queue.leave(waiter)
        if slot is None and waiter.granted.ready():
            slot = waiter.granted.wait()
        return Error(self._no_room(demand)) if slot is None else Ok(slot)

    def _try_grant(self, waiter: Waiter) -> bool:
        slot = self.try_take(waiter.demand)
        if slot is not None:
            waiter.granted.send(slot)
        return slot is not None

    def _no_room(self, demand: Demand) -> Refusal:
        message = f"no backend server of {demand.deployment!r} has room"
        return Refusal(Reason.NO_BACKEND, message)

    def _update_ledger(self, old: View, new: View, group: ReplicaGroup) -> None:
        deployment = new.deployment_of(group)
        if deployment is None:
            return
        ledger = self.ledger_by_backend.get(group.name)
        if ledger is None:
            if new.ownership_of(group.name).owner != self._entry:
                return
            ledger = Ledger.create(group.name, deployment)
            self.ledger_by_backend[group.name] = ledger
        ledger.cold, ledger.warm = deployment.cold, deployment.warm
        readmitted = new.accepts_work(group) and not self._accepts_work(old, group.name)
        owner_changed = old.ownership_of(group.name) != new.ownership_of(group.name)
        if readmitted or owner_changed:
            ledger.reset_limit()

    @staticmethod
    def _accepts_work(view: View, backend: str) -> bool:
        group = view.groups_by_name.get(backend)
        return group is not None and view.accepts_work(group)

    def _usable_groups(self, deployment: str, now: float) -> Iterator[ReplicaGroup]:
        for group in self._view.groups_of(deployment):
            ownership = self._view.ownership_of(group.name)
            if ownership.owner != self._entry or ownership.previous:
                continue
            if self._view.accepts_work(group) and self._has_recent_reports(group, now):
                yield group

    def _has_recent_reports(self, group: ReplicaGroup, now: float) -> bool:
        """Check that each member reported ready recently, and record incarnations."""
        reports = [
            self._reports.recent(member.vm, now, REPORT_MAX_AGE_S)
            for member in group.members
        ]
        if not all(
            report is not None and self._is_ready_member(group, index, report)
            for index, report in enumerate(reports)
        ):
            return False
        ledger = self.ledger_by_backend[group.name]
        incarnations = tuple(report.incarnation for report in reports)
        ledger.record_incarnations(incarnations, now)
        return True

    def _is_ready_member(
        self, group: ReplicaGroup, index: int, report: MemberReport
    ) -> bool:
        match self._view.deployment_of(group):
            case ModelDeployment():
                return is_ready_member(group, index, report)
            case ServiceDeployment():
                return report.ready
            case None:
                return False

    def _assume_restarted(self, ledger: Ledger) -> None:
        """Treat a backend server as restarted until it reports again."""
        ledger.reset_limit()
        group = self._view.groups_by_name.get(ledger.backend)
        for member in group.members if group is not None else ():
            self._reports.forget(member.vm)
