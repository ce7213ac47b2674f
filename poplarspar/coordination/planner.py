"""The planner: the steward that holds the lease places VMs and names owners."""

import time
from collections.abc import Iterator

import eventlet

from poplarspar.coordination.cluster import (
    DOMAIN_PREFIX,
    OWNERS_KEY,
    ClusterState,
)
from poplarspar.coordination.compare_and_swap import Written, compare_and_swap
from poplarspar.coordination.handover import Handovers
from poplarspar.coordination.lease import ORDER_TIMEOUT_S, PlannerLease
from poplarspar.coordination.owners import OwnerInputs, plan_owners
from poplarspar.coordination.placement import DomainVms, plan_domain, spread_replicas
from poplarspar.coordination.ports import Documents, Orders, Store, VmList
from poplarspar.coordination.report_readers import ReportReaders
from poplarspar.exceptions import BackendFailed, CoordinationError
from poplarspar.state.objects import ModelDeployment, VmGroup
from poplarspar.state.ownership import Ownership
from poplarspar.state.replicas import (
    DomainAssignment,
    ReplicaGroup,
    Reports,
    Vm,
    matches_assignment,
)

PLAN_PERIOD_S = 0.5
VM_LIST_PERIOD_S = 2.0
MEMBER_TIMEOUT_S = 2.0
REPORT_LAG_S = 1.0
START_UP_S = 3.0


class Planner:
    """Runs the placement of VMs and the choice of owners.

    All that it decides is written by compare-and-swap, so two planners at once
    do no harm; the lease only keeps them from working against each other.
    """

    def __init__(
        self,
        cluster: ClusterState,
        store: Store,
        documents: Documents,
        lease: PlannerLease,
        vm_list: VmList,
        orders: Orders,
        readers: ReportReaders,
        reports: Reports,
    ) -> None:
        self._cluster = cluster
        self._store = store
        self._documents = documents
        self._lease = lease
        self._vm_list = vm_list
        self._orders = orders
        self._readers = readers
        self._reports = reports
        self._vms_by_name: dict[str, Vm] = {}
        self._listed_at = float("-inf")
        self._planning_since: float | None = None
        self._handovers = Handovers(cluster.barrier)
        self._gone_since: dict[str, float] = {}
        self._ordering: set[str] = set()

    @property
    def is_active(self) -> bool:
        """Whether this steward is the planner now."""
        return self._planning_since is not None

    def run(self) -> None:
        """Plan for as long as the process lives."""
        while True:
            # A planner that hears no majority would take live entries for dead
            # and wait in vain until its changes are in force.
            if (
                self._cluster.freshness.reaches_majority()
                and self._lease.acquire_or_renew()
            ):
                self._plan_once()
            else:
                self._rest()
            eventlet.sleep(PLAN_PERIOD_S)

    def _rest(self) -> None:
        self._planning_since = None
        self._listed_at = float("-inf")
        self._readers.update_vms({})

    def _plan_once(self) -> None:
        self._refresh_vms()
        if self._planning_since is None:
            self._planning_since = time.monotonic()
        # Reports and heartbeats need a moment before silence means anything.
        if time.monotonic() - self._planning_since < START_UP_S:
            return
        if not self._cluster.freshness.is_fresh():
            return
        for vm_group in self._cluster.view.objects.groups_by_name.values():
            self._plan_group(vm_group)
        self._drop_foreign_domains()
        self._plan_owners()
        self._send_orders()

    def _refresh_vms(self) -> None:
        now = time.monotonic()
        if now < self._listed_at + VM_LIST_PERIOD_S:
            return
        self._listed_at = now
        try:
            vms = self._vm_list.list()
        except CoordinationError:
            # The last list serves on; reports tell which of its VMs answer.
            return
        self._vms_by_name = {vm.name: vm for vm in vms}
        self._readers.update_vms({vm.name: vm.address for vm in vms})

    def _plan_group(self, vm_group: VmGroup) -> None:
        deployment = self._cluster.view.objects.deployments_by_name[vm_group.deployment]
        assignments = {name: self._assignment(name) for name in vm_group.domains}
        vms = {name: self._domain_vms(assignments[name]) for name in vm_group.domains}
        wanted = spread_replicas(
            vm_group.replicas, deployment.members, assignments, vms
        )
        for name in vm_group.domains:
            planned = plan_domain(
                assignments[name], vm_group, deployment, vms[name], wanted[name]
            )
            self._write_assignment(assignments[name], planned)

    def _drop_foreign_domains(self) -> None:
        """Empty the domains that no VM group names any more."""
        groups = self._cluster.view.objects.groups_by_name.values()
        named = {name for group in groups for name in group.domains}
        for key in list(self._cluster.snapshot.values_by_key):
            domain = key.removeprefix(DOMAIN_PREFIX)
            if key.startswith(DOMAIN_PREFIX) and domain not in named:
                assignment = self._assignment(domain)
                nothing = DomainVms({}, frozenset(), frozenset())
                planned = plan_domain(assignment, None, None, nothing, 0)
                self._write_assignment(assignment, planned)

    def _assignment(self, domain: str) -> DomainAssignment:
        value = self._cluster.snapshot.get(DOMAIN_PREFIX + domain)
        return self._documents.assignment(domain, value.text)

    def _domain_vms(self, assignment: DomainAssignment) -> DomainVms:
        now = time.monotonic()
        usable: dict[str, Vm] = {}
        departing = set()
        for vm in self._vms_by_name.values():
            if vm.domain != assignment.domain:
                continue
            if self._reports.recent(vm.name, now, MEMBER_TIMEOUT_S) is None:
                continue
            if vm.leaving or self._is_out(vm.name):
                departing.add(vm.name)
            else:
                usable[vm.name] = vm
        return DomainVms(usable, frozenset(departing), self._idle_vms(assignment))

    def _is_out(self, vm: str) -> bool:
        server = self._cluster.view.objects.servers_by_name.get(vm)
        return server is not None and not server.serving

    def _idle_vms(self, assignment: DomainAssignment) -> frozenset[str]:
        """Return the VMs of groups that are emptied for a leaving member."""
        revision = self._cluster.snapshot.get(DOMAIN_PREFIX + assignment.domain)
        if not self._cluster.barrier.has_passed(revision.revision):
            return frozenset()
        return frozenset(
            member.vm
            for group in assignment.groups
            if any(member.leaving for member in group.members)
            for member in group.members
            if self._reports_idle(member.vm)
        )

    def _reports_idle(self, vm: str) -> bool:
        report = self._reports.by_vm.get(vm)
        return report is not None and report.running == 0

    def _write_assignment(
        self, current: DomainAssignment, planned: DomainAssignment
    ) -> None:
        if planned is not current and not planned.problems():
            key = DOMAIN_PREFIX + current.domain
            self._write(key, self._documents.assignment_text(planned))

    def _write(self, key: str, text: str) -> None:
        if not self._lease.is_valid():
            return
        expected = self._cluster.snapshot.get(key).revision
        match compare_and_swap(
            self._store, key, expected, text, lambda found: found == text
        ):
            case Written(value):
                self._cluster.merge([value])

    def _plan_owners(self) -> None:
        view = self._cluster.view
        groups = list(view.groups_by_name.values())
        value = self._cluster.snapshot.get(OWNERS_KEY)
        self._handovers.update(value.revision, view.owners.by_backend)
        inputs = OwnerInputs(
            groups, self._cluster.entries_by_name(), self._may_clear, self._long_gone()
        )
        planned = plan_owners(view.owners, inputs)
        if planned is not view.owners:
            self._write(OWNERS_KEY, self._documents.owners_text(planned))

    def _may_clear(self, backend: str, line: Ownership) -> bool:
        previous = self._cluster.entries_by_name().get(line.previous)
        if previous and f"{backend}@{line.generation}" in previous.drained:
            return True
        withdrawn_at = self._handovers.withdrawn_at(backend, line)
        if withdrawn_at is None:
            return False
        if time.monotonic() > withdrawn_at + self._longest_run_s():
            return True
        return self._idle_since(backend, withdrawn_at + REPORT_LAG_S)

    def _longest_run_s(self) -> float:
        return self._cluster.view.objects.longest_timeout_s()

    def _idle_since(self, backend: str, moment: float) -> bool:
        """Return whether a report made after `moment` shows no running request."""
        group = self._cluster.view.groups_by_name.get(backend)
        if group is None:
            return False
        leader = group.members[0].vm
        received_at = self._reports.received_at_by_vm.get(leader, float("-inf"))
        return received_at > moment and self._reports_idle(leader)

    def _long_gone(self) -> frozenset[str]:
        """Return vanished backend servers whose last requests must have ended."""
        now = time.monotonic()
        view = self._cluster.view
        gone = set(view.owners.by_backend) - set(view.groups_by_name)
        self._gone_since = {name: self._gone_since.get(name, now) for name in gone}
        keep_s = 2 * (self._longest_run_s() + START_UP_S)
        return frozenset(
            n for n, since in self._gone_since.items() if now > since + keep_s
        )

    def _send_orders(self) -> None:
        for group, index in self._misplaced_members():
            vm = group.members[index].vm
            if vm not in self._ordering and self._lease.may_send_orders():
                self._ordering.add(vm)
                eventlet.spawn(self._send_order, group, index, vm)

    def _send_order(self, group: ReplicaGroup, index: int, vm: str) -> None:
        try:
            self._orders.assign(group, index, ORDER_TIMEOUT_S)
        except BackendFailed:
            # The next round repeats the order if the report still disagrees.
            pass
        finally:
            self._ordering.discard(vm)

    def _misplaced_members(self) -> Iterator[tuple[ReplicaGroup, int]]:
        """Yield the members whose reports disagree with their assignment."""
        view = self._cluster.view
        now = time.monotonic()
        for group in view.groups_by_name.values():
            if not isinstance(view.deployment_of(group), ModelDeployment):
                continue
            for index, member in enumerate(group.members):
                report = self._reports.recent(member.vm, now, MEMBER_TIMEOUT_S)
                if report is None or matches_assignment(group, index, report):
                    continue
                # A member that stays in its group serves no other one, so only
                # a VM that moves waits until nobody uses its last group.
                stays = report.group in ("", group.name)
                if stays or self._assignment_in_force(group.name):
                    yield group, index

    def _assignment_in_force(self, group: str) -> bool:
        """Return whether no entry uses the VMs by an older assignment any more."""
        for key, value in self._cluster.snapshot.values_by_key.items():
            domain = key.removeprefix(DOMAIN_PREFIX)
            if not key.startswith(DOMAIN_PREFIX):
                continue
            groups = self._documents.assignment(domain, value.text).groups
            if any(found.name == group for found in groups):
                return self._cluster.barrier.has_passed(value.revision)
        return False
