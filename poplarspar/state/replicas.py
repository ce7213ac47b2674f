"""VMs, replica groups and the reports of their members."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Vm:
    """A VM in the platform's list.

    Attributes
    ----------
    address : str
        ``host:port`` of the VM's backend server.
    leaving : bool
        Whether the platform is about to remove the VM.
    """

    name: str
    zone: str
    domain: str
    address: str
    leaving: bool = False


@dataclass(frozen=True)
class Member:
    """A VM in a replica group; its position in `members` is its index."""

    vm: str
    address: str
    leaving: bool = False


@dataclass(frozen=True)
class ReplicaGroup:
    """VMs of one fabric domain that form one replica of a deployment.

    Attributes
    ----------
    epoch : int
        Generation of the domain's assignment that last changed the members.
        Orders to the members use it as the fencing token.
    """

    name: str
    deployment: str
    zone: str
    epoch: int
    members: tuple[Member, ...]


@dataclass(frozen=True)
class DomainAssignment:
    """Assignment of a fabric domain's VMs to replica groups.

    Attributes
    ----------
    generation : int
        Number that rises by one with each change.
    """

    domain: str
    generation: int = 0
    groups: tuple[ReplicaGroup, ...] = ()

    def problems(self) -> list[str]:
        """Return a sentence for each VM that is assigned twice."""
        seen: set[str] = set()
        problems = []
        for group in self.groups:
            for member in group.members:
                if member.vm in seen:
                    problems.append(f"VM {member.vm!r} is in two places")
                seen.add(member.vm)
        return problems


@dataclass(frozen=True)
class MemberReport:
    """A backend server's report of its own state.

    Attributes
    ----------
    incarnation : str
        Identifier that changes with each start of the backend server.
    group : str
        Replica group that it was assigned to, empty for none.
    running : int
        Requests in flight when the backend server made the report.
    """

    vm: str
    incarnation: str
    group: str
    epoch: int
    index: int
    ready: bool
    running: int


@dataclass
class Reports:
    """The latest report of each VM and its time of arrival.

    Times are seconds of the monotonic clock.
    """

    by_vm: dict[str, MemberReport] = field(default_factory=dict)
    received_at_by_vm: dict[str, float] = field(default_factory=dict)

    def record(self, report: MemberReport, now: float) -> None:
        """Store `report` as the latest one of its VM."""
        self.by_vm[report.vm] = report
        self.received_at_by_vm[report.vm] = now

    def forget(self, vm: str) -> None:
        """Drop the report of `vm` after the loss of its connection."""
        self.by_vm.pop(vm, None)
        self.received_at_by_vm.pop(vm, None)

    def recent(self, vm: str, now: float, max_age_s: float) -> MemberReport | None:
        """Return the report of `vm` if it is less than `max_age_s` old."""
        if now - self.received_at_by_vm.get(vm, -max_age_s) >= max_age_s:
            return None
        return self.by_vm.get(vm)


def matches_assignment(group: ReplicaGroup, index: int, report: MemberReport) -> bool:
    """Return whether a VM reports its assigned place, ready or still loading."""
    return (
        report.group == group.name
        and report.epoch == group.epoch
        and report.index == index
    )


def is_ready_member(group: ReplicaGroup, index: int, report: MemberReport) -> bool:
    """Return whether a VM reports its assigned place and is ready."""
    return report.ready and matches_assignment(group, index, report)
