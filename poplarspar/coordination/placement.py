"""Placement of VMs into replica groups within their fabric domains."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from poplarspar.state.objects import Deployment, ModelDeployment, VmGroup
from poplarspar.state.replicas import DomainAssignment, Member, ReplicaGroup, Vm


@dataclass(frozen=True)
class DomainVms:
    """State of one fabric domain's VMs.

    Attributes
    ----------
    usable_by_name : dict of str to Vm
        VMs that send reports, are not about to leave and are in service.
    draining : frozenset of str
        VMs that send reports, but are about to leave or out of service.
    idle : frozenset of str
        VMs that run no request and have none in flight to them.
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
    """Return the next assignment of a fabric domain.

    Parameters
    ----------
    target_count : int
        Number of replica groups that the domain should have; it gets fewer if
        it lacks VMs.

    Returns
    -------
    DomainAssignment
        `assignment` itself if nothing changes, else one of the next generation.
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
    """Computes the groups of one domain; moves only members of broken groups."""

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
        assigned = {m.vm for group in assignment.groups for m in group.members}
        self._spares = [
            vm
            for name, vm in sorted(vms.usable_by_name.items())
            if name not in assigned
        ]

    def run(self, target_count: int) -> tuple[ReplicaGroup, ...]:
        groups = [self._mark_leaving(group) for group in self._assignment.groups]
        if isinstance(self._deployment, ModelDeployment):
            groups = self._merge_broken_groups(groups)
        else:
            groups = [group for group in groups if not self._members_to_replace(group)]
        groups = [self._replace_members(group) for group in groups]
        groups.extend(self._new_groups(groups, target_count))
        return tuple(
            sorted(groups[: max(target_count, 0)], key=lambda group: group.name)
        )

    def _mark_leaving(self, group: ReplicaGroup) -> ReplicaGroup:
        members = tuple(
            replace(member, leaving=member.vm in self._vms.draining)
            for member in group.members
        )
        return replace(group, members=members)

    def _members_to_replace(self, group: ReplicaGroup) -> list[Member]:
        """Return dead members, and draining ones once the whole group is idle."""
        group_idle = all(member.vm in self._vms.idle for member in group.members)
        return [
            member
            for member in group.members
            if member.vm not in self._vms.usable_by_name
            and (member.vm not in self._vms.draining or group_idle)
        ]

    def _merge_broken_groups(self, groups: list[ReplicaGroup]) -> list[ReplicaGroup]:
        """Dissolve broken groups whose usable VMs complete other broken groups."""
        broken = sorted(
            (group for group in groups if self._members_to_replace(group)),
            key=lambda group: len(self._members_to_replace(group)),
        )
        while len(broken) > 1 and self._spare_shortfall(broken[0]) > 0:
            donor = broken.pop()
            usable_vms = self._usable_vms(donor)
            if len(usable_vms) < self._spare_shortfall(broken[0]):
                break
            groups = [group for group in groups if group.name != donor.name]
            self._spares.extend(usable_vms)
        return groups

    def _spare_shortfall(self, group: ReplicaGroup) -> int:
        return len(self._members_to_replace(group)) - len(self._spares)

    def _usable_vms(self, group: ReplicaGroup) -> list[Vm]:
        usable_by_name = self._vms.usable_by_name
        return [usable_by_name[m.vm] for m in group.members if m.vm in usable_by_name]

    def _replace_members(self, group: ReplicaGroup) -> ReplicaGroup:
        replaced = {member.vm for member in self._members_to_replace(group)}
        if not replaced or len(replaced) > len(self._spares):
            return group
        members = tuple(
            self._member_from_spare() if member.vm in replaced else member
            for member in group.members
        )
        return replace(group, epoch=self._epoch, members=members)

    def _new_groups(
        self, groups: list[ReplicaGroup], target_count: int
    ) -> Iterator[ReplicaGroup]:
        names = {group.name for group in groups}
        count = len(groups)
        while count < target_count and len(self._spares) >= self._deployment.members:
            zone = self._spares[0].zone
            members = tuple(
                self._member_from_spare() for _ in range(self._deployment.members)
            )
            name = self._unused_name(names, members[0].vm)
            names.add(name)
            count += 1
            yield ReplicaGroup(name, self._deployment.name, zone, self._epoch, members)

    def _unused_name(self, names: set[str], first_vm: str) -> str:
        if not isinstance(self._deployment, ModelDeployment):
            return f"{self._vm_group.name}-{first_vm}"
        prefix = f"{self._vm_group.name}-{self._assignment.domain}"
        number = 1
        while f"{prefix}-{number}" in names:
            number += 1
        return f"{prefix}-{number}"

    def _member_from_spare(self) -> Member:
        vm = self._spares.pop(0)
        return Member(vm.name, vm.address)


def spread_replicas(
    replicas: int,
    members_per_group: int,
    assignment_by_domain: dict[str, DomainAssignment],
    vms_by_domain: dict[str, DomainVms],
) -> dict[str, int]:
    """Return the number of groups for each domain; existing groups come first.

    Each further group goes to the domain with the fewest groups that has enough
    unassigned VMs.
    """
    target_by_domain = {}
    unplaced = replicas
    for domain, assignment in assignment_by_domain.items():
        target_by_domain[domain] = min(len(assignment.groups), unplaced)
        unplaced -= target_by_domain[domain]
    spare_count_by_domain = {}
    for domain, assignment in assignment_by_domain.items():
        assigned = {m.vm for group in assignment.groups for m in group.members}
        spare_count_by_domain[domain] = len(
            set(vms_by_domain[domain].usable_by_name) - assigned
        )
    while unplaced > 0:
        domain = min(
            (
                name
                for name in target_by_domain
                if spare_count_by_domain[name] >= members_per_group
            ),
            key=lambda name: target_by_domain[name],
            default=None,
        )
        if domain is None:
            return target_by_domain
        target_by_domain[domain] += 1
        spare_count_by_domain[domain] -= members_per_group
        unplaced -= 1
    return target_by_domain
