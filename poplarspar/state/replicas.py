"""VMs, replica groups and the reports of their members."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Vm:
    """A VM in the platform's list.

    Attributes
    ----------
    address : str
        ``host:port`` of its backend server.
    leaving : bool
        Whether the platform is about to take the VM away.
    """

    name: str
    zone: str
    domain: str
    address: str
    leaving: bool = False


@dataclass(frozen=True)
class Member:
    """A VM's place in a replica group; its index is its position."""

    vm: str
    address: str
    leaving: bool = False


@dataclass(frozen=True)
class ReplicaGroup:
    """VMs of one fabric domain that serve a deployment together.

    Attributes
    ----------
    epoch : int
        Generation of the domain's assignment that last changed the members.
        It is the fencing number of orders to them.
    """

    name: str
    deployment: str
    zone: str
    epoch: int
    members: tuple[Member, ...]


@dataclass(frozen=True)
class DomainAssignment:
    """Which VM of a fabric domain belongs to which replica group.

    Attributes
    ----------
    generation : int
        Rises by one with each change.
    """

    domain: str
    generation: int = 0
    groups: tuple[ReplicaGroup, ...] = ()

    def problems(self) -> list[str]:
        """Return each VM that is in two places, one sentence each."""
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
    """What a backend server says of itself.

    Attributes
    ----------
    incarnation : str
        Identifier that changes with each start of the backend server.
    group : str
        Replica group it was ordered into, empty for none.
    running : int
        Requests that ran when the report was made.
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
    """The last report of each VM and when it came.

    Times are seconds of the monotonic clock.
    """

    by_vm: dict[str, MemberReport] = field(default_factory=dict)
    received_at_by_vm: dict[str, float] = field(default_factory=dict)

    def record(self, report: MemberReport, now: float) -> None:
        """Keep `report` as the last one of its VM."""
        self.by_vm[report.vm] = report
        self.received_at_by_vm[report.vm] = now

    def forget(self, vm: str) -> None:
        """Drop the last report of `vm`, because its connection was lost."""
        self.by_vm.pop(vm, None)
        self.received_at_by_vm.pop(vm, None)

    def recent(self, vm: str, now: float, max_age_s: float) -> MemberReport | None:
        """Return the report of `vm` if it is at most `max_age_s` old."""
        if now - self.received_at_by_vm.get(vm, -max_age_s) >= max_age_s:
            return None
        return self.by_vm.get(vm)


def matches_assignment(group: ReplicaGroup, index: int, report: MemberReport) -> bool:
    """Return whether a VM follows its assignment, be it ready or still loading."""
    return (
        report.group == group.name
        and report.epoch == group.epoch
        and report.index == index
    )


def is_ready_member(group: ReplicaGroup, index: int, report: MemberReport) -> bool:
    """Return whether a VM is ready in the place that its assignment says."""
    return report.ready and matches_assignment(group, index, report)
