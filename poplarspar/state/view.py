"""The cluster's objects, replica groups and owners at one revision."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from poplarspar.state.objects import Deployment, ObjectSet
from poplarspar.state.ownership import Ownership, OwnerTable
from poplarspar.state.replicas import DomainAssignment, ReplicaGroup


@dataclass(frozen=True)
class View:
    """Objects, replica groups and owners at one revision of the store."""

    revision: int = 0
    objects: ObjectSet = field(default_factory=ObjectSet)
    groups_by_name: dict[str, ReplicaGroup] = field(default_factory=dict)
    owners: OwnerTable = field(default_factory=OwnerTable)

    def groups_of(self, deployment: str) -> Iterator[ReplicaGroup]:
        """Yield the replica groups of a deployment."""
        for group in self.groups_by_name.values():
            if group.deployment == deployment:
                yield group

    def ownership_of(self, group: str) -> Ownership:
        """Return the ownership of the capacity of `group`."""
        return self.owners.by_backend.get(group, Ownership(owner=""))

    def deployment_of(self, group: ReplicaGroup) -> Deployment | None:
        """Return the deployment that `group` serves, if it still exists."""
        return self.objects.deployments_by_name.get(group.deployment)

    def accepts_work(self, group: ReplicaGroup) -> bool:
        """Return whether operators and the platform allow `group` new work."""
        zone = self.objects.zones_by_name.get(group.zone)
        if zone is None or not zone.serving:
            return False
        return all(
            not member.leaving and self._in_service(member.vm)
            for member in group.members
        )

    def _in_service(self, vm: str) -> bool:
        server = self.objects.servers_by_name.get(vm)
        return server is None or server.serving


def build_view(
    revision: int,
    objects: ObjectSet,
    assignments: list[DomainAssignment],
    owners: OwnerTable,
) -> View:
    """Combine the parts of a snapshot into one view."""
    groups_by_name = {
        group.name: group for part in assignments for group in part.groups
    }
    return View(revision, objects, groups_by_name, owners)
