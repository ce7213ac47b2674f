"""Placing VMs into replica groups within their fabric domains."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from poplarspar.state.objects import Deployment, ModelDeployment, VmGroup
from poplarspar.state.replicas import DomainAssignment, Member, ReplicaGroup, Vm


@dataclass(frozen=True)
class DomainVms:
    """What is known of one fabric domain's VMs.

    Attributes
    ----------
    usable_by_name : dict of str to Vm
        VMs that answer, are not about to leave and are in service.
    departing : frozenset of str
        VMs that answer, but are about to leave or were taken out of service.
    idle : frozenset of str
        VMs that run no request, and to which none can be on its way.
    """

    usable_by_name: dict[str, Vm]
    draining: frozenset[str]
    idle: frozenset[str]


def plan_domain(
    assignment: DomainAssignment,
    vm_group: VmGroup | None,
    deployment: Deployment | None,
    vms: DomainVms,
    target_count: int,
) -> DomainAssignment:
    """Return the assignment that a fabric domain should have next.

    Parameters
    ----------
    wanted : int
        Replica groups that the domain should hold, as far as its VMs allow.

    Returns
    -------
    DomainAssignment
        The same one if nothing is to change, else one with the next generation.
    """
    if vm_group is None or deployment is None:
        groups = ()
    else:
        plan = _DomainPlan(assignment, vm_group, deployment, vms)
        groups = plan.run(target_count)
    if groups == assignment.groups:
        return assignment
    return replace(assignment, generation=assignment.generation + 1, groups=groups)


class _DomainPlan:
    """Works out the groups of one domain, keeping members where they are."""

    def __init__(
        self,
        assignment: DomainAssignment,
        vm_group: VmGroup,
        deployment: Deployment,
        vms: DomainVms,
    ) -> None:
        self._assignment = assignment
        self._vm_group = vm_group
        self._deployment = deployment
        self._vms = vms
        self._epoch = assignment.generation + 1
        taken = {m.vm for group in assignment.groups for m in group.members}
        self._spares = [
            vm for name, vm in sorted(vms.usable_by_name.items()) if name not in taken
        ]

    def run(self, wanted: int) -> tuple[ReplicaGroup, ...]:
        groups = [self._mark_leaving(group) for group in self._assignment.groups]
        if isinstance(self._deployment, ModelDeployment):
            groups = self._join_survivors(groups)
        else:
            groups = [group for group in groups if not self._missing(group)]
        groups = [self._repair(group) for group in groups]
        groups.extend(self._new_groups(groups, wanted))
        return tuple(sorted(groups[: max(wanted, 0)], key=lambda group: group.name))

    def _mark_leaving(self, group: ReplicaGroup) -> ReplicaGroup:
        members = tuple(
            replace(member, leaving=member.vm in self._vms.draining)
            for member in group.members
        )
        return replace(group, members=members)

    def _missing(self, group: ReplicaGroup) -> list[Member]:
        """Return the members to replace: dead ones, and leaving ones once idle."""
        group_idle = all(member.vm in self._vms.idle for member in group.members)
        return [
            member
            for member in group.members
            if member.vm not in self._vms.usable_by_name
            and (member.vm not in self._vms.draining or group_idle)
        ]

    def _join_survivors(self, groups: list[ReplicaGroup]) -> list[ReplicaGroup]:
        """Dissolve broken groups whose survivors complete other broken ones."""
        broken = sorted(
            (group for group in groups if self._missing(group)),
            key=lambda group: len(self._missing(group)),
        )
        while len(broken) > 1 and self._lacking(broken[0]) > 0:
            donor = broken.pop()
            survivors = self._survivors(donor)
            if len(survivors) < self._lacking(broken[0]):
                break
            groups = [group for group in groups if group.name != donor.name]
            self._spares.extend(survivors)
        return groups

    def _lacking(self, group: ReplicaGroup) -> int:
        return len(self._missing(group)) - len(self._spares)

    def _survivors(self, group: ReplicaGroup) -> list[Vm]:
        usable = self._vms.usable_by_name
        return [usable[m.vm] for m in group.members if m.vm in usable]

    def _repair(self, group: ReplicaGroup) -> ReplicaGroup:
        missing = {member.vm for member in self._missing(group)}
        if not missing or len(missing) > len(self._spares):
            return group
        members = tuple(
            self._next_spare() if member.vm in missing else member
            for member in group.members
        )
        return replace(group, epoch=self._epoch, members=members)

    def _new_groups(
        self, groups: list[ReplicaGroup], wanted: int
    ) -> Iterator[ReplicaGroup]:
        names = {group.name for group in groups}
        count = len(groups)
        while count < wanted and len(self._spares) >= self._deployment.members:
            zone = self._spares[0].zone
            members = tuple(self._next_spare() for _ in range(self._deployment.members))
            name = self._free_name(names, members[0].vm)
            names.add(name)
            count += 1
            yield ReplicaGroup(name, self._deployment.name, zone, self._epoch, members)

    def _free_name(self, names: set[str], first_vm: str) -> str:
        if not isinstance(self._deployment, ModelDeployment):
            return f"{self._vm_group.name}-{first_vm}"
        prefix = f"{self._vm_group.name}-{self._assignment.domain}"
        number = 1
        while f"{prefix}-{number}" in names:
            number += 1
        return f"{prefix}-{number}"

    def _next_spare(self) -> Member:
        vm = self._spares.pop(0)
        return Member(vm.name, vm.address)


def spread_replicas(
    replicas: int,
    members_per_group: int,
    assignment_by_domain: dict[str, DomainAssignment],
    vms_by_domain: dict[str, DomainVms],
) -> dict[str, int]:
    """Return how many groups each domain should hold, keeping existing ones."""
    wanted = {}
    left = replicas
    for domain, assignment in assignment_by_domain.items():
        wanted[domain] = min(len(assignment.groups), left)
        left -= wanted[domain]
    spares = {}
    for domain, assignment in assignment_by_domain.items():
        taken = {m.vm for group in assignment.groups for m in group.members}
        spares[domain] = len(set(vms_by_domain[domain].usable_by_name) - taken)
    while left > 0:
        domain = min(
            (name for name in wanted if spares[name] >= members_per_group),
            key=lambda name: wanted[name],
            default=None,
        )
        if domain is None:
            return wanted
        wanted[domain] += 1
        spares[domain] -= members_per_group
        left -= 1
    return wanted
