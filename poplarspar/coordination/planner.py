"""Planner of replica groups and owners, active on the steward with the lease."""

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
from poplarspar.coordination.owning import OwnerInputs, plan_owners
from poplarspar.coordination.placement import DomainVms, plan_domain, spread_replicas
from poplarspar.coordination.ports import (
    Documents,
    Orders,
    VmList,
)
from poplarspar.coordination.report_readers import ReportReaders
from poplarspar.coordination.store_ports import (
    Store,
)
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
MAX_REPORT_LAG_S = 1.0
STARTUP_DELAY_S = 3.0


class Planner:
    """Places VMs into replica groups and assigns owners to backend servers.

    The planner writes each decision by compare-and-swap, so two planners at the
    same time do no harm; the lease only prevents them from undoing each
    other's decisions.
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
        self._vms_listed_at = float("-inf")
        self._planner_since: float | None = None
        self._handovers = Handovers(cluster.barrier)
        self._missing_since_by_backend: dict[str, float] = {}
        self._vms_with_order_in_flight: set[str] = set()

    @property
    def is_active(self) -> bool:
        """Whether this steward is the planner."""
        return self._planner_since is not None

    def run(self) -> None:
        """Plan until the process ends."""
        while True:
            # A planner without contact with a majority would count live entries as
            # dead, and its changes would never come into force.
            if (
                self._cluster.freshness.reaches_majority()
                and self._lease.acquire_or_renew()
            ):
                self._plan_once()
            else:
                self._stand_by()
            eventlet.sleep(PLAN_PERIOD_S)

    def _stand_by(self) -> None:
        self._planner_since = None
        self._vms_listed_at = float("-inf")
        self._readers.update_vms({})

    def _plan_once(self) -> None:
        self._refresh_vms()
        if self._planner_since is None:
            self._planner_since = time.monotonic()
        # A missing report or heartbeat shows a failure only after each VM and entry
        # had time to send its first one.
        if time.monotonic() - self._planner_since < STARTUP_DELAY_S:
            return
        if not self._cluster.freshness.is_fresh():
            return
        for vm_group in self._cluster.view.objects.groups_by_name.values():
            self._plan_vm_group(vm_group)
        self._empty_unused_domains()
        self._plan_owners()
        self._send_orders()

    def _refresh_vms(self) -> None:
        now = time.monotonic()
        if now < self._vms_listed_at + VM_LIST_PERIOD_S:
            return
        self._vms_listed_at = now
        try:
            vms = self._vm_list.list()
        except CoordinationError:
            # The planner goes on with the last list; reports show which of its
            # VMs are alive.
            return
        self._vms_by_name = {vm.name: vm for vm in vms}
        self._readers.update_vms({vm.name: vm.address for vm in vms})

    def _plan_vm_group(self, vm_group: VmGroup) -> None:
        deployment = self._cluster.view.objects.deployments_by_name[vm_group.deployment]
        assignment_by_domain = {
            name: self._assignment(name) for name in vm_group.domains
        }
        vms_by_domain = {
            name: self._domain_vms(assignment_by_domain[name])
            for name in vm_group.domains
        }
        target_by_domain = spread_replicas(
            vm_group.replicas, deployment.members, assignment_by_domain, vms_by_domain
        )
        for name in vm_group.domains:
            planned = plan_domain(
                assignment_by_domain[name],
                vm_group,
                deployment,
                vms_by_domain[name],
                target_by_domain[name],
            )
            self._write_assignment(assignment_by_domain[name], planned)

    def _empty_unused_domains(self) -> None:
        """Remove the replica groups of domains that no VM group refers to."""
        groups = self._cluster.view.objects.groups_by_name.values()
        used_domains = {name for group in groups for name in group.domains}
        for key in list(self._cluster.snapshot.values_by_key):
            domain = key.removeprefix(DOMAIN_PREFIX)
            if key.startswith(DOMAIN_PREFIX) and domain not in used_domains:
                assignment = self._assignment(domain)
                no_vms = DomainVms({}, frozenset(), frozenset())
                planned = plan_domain(assignment, None, None, no_vms, 0)
                self._write_assignment(assignment, planned)

    def _assignment(self, domain: str) -> DomainAssignment:
        value = self._cluster.snapshot.get(DOMAIN_PREFIX + domain)
        return self._documents.assignment(domain, value.text)

    def _domain_vms(self, assignment: DomainAssignment) -> DomainVms:
        now = time.monotonic()
        usable_by_name: dict[str, Vm] = {}
        draining = set()
        for vm in self._vms_by_name.values():
            if vm.domain != assignment.domain:
                continue
            if self._reports.recent(vm.name, now, MEMBER_TIMEOUT_S) is None:
                continue
            if vm.leaving or self._is_out_of_service(vm.name):
                draining.add(vm.name)
            else:
                usable_by_name[vm.name] = vm
        return DomainVms(
            usable_by_name, frozenset(draining), self._idle_vms(assignment)
        )

    def _is_out_of_service(self, vm: str) -> bool:
        server = self._cluster.view.objects.servers_by_name.get(vm)
        return server is not None and not server.serving

    def _idle_vms(self, assignment: DomainAssignment) -> frozenset[str]:
        """Return the idle VMs of groups that drain because a member leaves.

        Returns none while an entry may start requests under an older assignment.
        """
        stored = self._cluster.snapshot.get(DOMAIN_PREFIX + assignment.domain)
        if not self._cluster.barrier.has_passed(stored.revision):
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
            groups,
            self._cluster.entries_by_name(),
            self._previous_owner_drained,
            self._expired_backends(),
        )
        planned = plan_owners(view.owners, inputs)
        if planned is not view.owners:
            self._write(OWNERS_KEY, self._documents.owners_text(planned))

    def _previous_owner_drained(self, backend: str, ownership: Ownership) -> bool:
        previous = self._cluster.entries_by_name().get(ownership.previous)
        if previous and f"{backend}@{ownership.generation}" in previous.drained:
            return True
        withdrawn_at = self._handovers.withdrawn_at(backend, ownership)
        if withdrawn_at is None:
            return False
        if time.monotonic() > withdrawn_at + self._longest_request_s():
            return True
        return self._reported_idle_after(backend, withdrawn_at + MAX_REPORT_LAG_S)

    def _longest_request_s(self) -> float:
        return self._cluster.view.objects.longest_timeout_s()

    def _reported_idle_after(self, backend: str, earliest: float) -> bool:
        """Return whether the leader reported no running request after `earliest`."""
        group = self._cluster.view.groups_by_name.get(backend)
        if group is None:
            return False
        leader = group.members[0].vm
        received_at = self._reports.received_at_by_vm.get(leader, float("-inf"))
        return received_at > earliest and self._reports_idle(leader)

    def _expired_backends(self) -> frozenset[str]:
        """Return vanished backend servers whose requests have certainly ended."""
        now = time.monotonic()
        view = self._cluster.view
        missing = set(view.owners.by_backend) - set(view.groups_by_name)
        self._missing_since_by_backend = {
            name: self._missing_since_by_backend.get(name, now) for name in missing
        }
        retention_s = 2 * (self._longest_request_s() + STARTUP_DELAY_S)
        return frozenset(
            n
            for n, since in self._missing_since_by_backend.items()
            if now > since + retention_s
        )

    def _send_orders(self) -> None:
        for group, index in self._misplaced_members():
            vm = group.members[index].vm
            if (
                vm not in self._vms_with_order_in_flight
                and self._lease.may_send_orders()
            ):
                self._vms_with_order_in_flight.add(vm)
                eventlet.spawn(self._send_order, group, index, vm)

    def _send_order(self, group: ReplicaGroup, index: int, vm: str) -> None:
        try:
            self._orders.assign(group, index, ORDER_TIMEOUT_S)
        except BackendFailed:
            # The planner repeats the order while the member's report still
            # differs from its assignment.
            pass
        finally:
            self._vms_with_order_in_flight.discard(vm)

    def _misplaced_members(self) -> Iterator[tuple[ReplicaGroup, int]]:
        """Yield the members whose reports differ from their assignment."""
        view = self._cluster.view
        now = time.monotonic()
        for group in view.groups_by_name.values():
            if not isinstance(view.deployment_of(group), ModelDeployment):
                continue
            for index, member in enumerate(group.members):
                report = self._reports.recent(member.vm, now, MEMBER_TIMEOUT_S)
                if report is None or matches_assignment(group, index, report):
                    continue
                # A VM that moves must wait until no entry sends requests to its
                # previous group; one that stays in its group serves no other.
                stays_in_group = report.group in ("", group.name)
                if stays_in_group or self._assignment_in_force(group.name):
                    yield group, index

    def _assignment_in_force(self, group: str) -> bool:
        """Return whether every entry uses the current assignment of the group.

        Then no entry starts a request on the group's VMs under an older assignment.
        """
        for key, value in self._cluster.snapshot.values_by_key.items():
            domain = key.removeprefix(DOMAIN_PREFIX)
            if not key.startswith(DOMAIN_PREFIX):
                continue
            groups = self._documents.assignment(domain, value.text).groups
            if any(candidate.name == group for candidate in groups):
                return self._cluster.barrier.has_passed(value.revision)
        return False
