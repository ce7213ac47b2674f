"""Objects that operators publish, as data classes that refer to each other by name."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Bounds:
    """Load that a backend server bears at once.

    Attributes
    ----------
    requests : int
        Requests that run at the same time.
    tokens : int
        Tokens that those requests may hold in memory together.
    """

    requests: int
    tokens: int


@dataclass(frozen=True)
class Zone:
    """An availability zone."""

    name: str
    region: str
    serving: bool = True


@dataclass(frozen=True)
class Workspace:
    """A customer's workspace and its part of the capacity.

    Attributes
    ----------
    weight : int
        Relative part of the capacity when workspaces compete.
    queue_limit : int
        Requests that may wait at one entry.
    """

    name: str
    weight: int
    queue_limit: int


@dataclass(frozen=True)
class ModelDeployment:
    """A model whose replicas span several VMs.

    Attributes
    ----------
    members : int
        VMs in each replica group.
    cold, warm : Bounds
        Load that a replica bears just after its start, and when warmed up.
    warm_after : int
        Answers to complete before the limit rises a step.
    fenced : bool
        Whether the engines refuse orders with an old fencing number.
    """

    name: str
    members: int
    cold: Bounds
    warm: Bounds
    warm_after: int = 2
    fenced: bool = True


@dataclass(frozen=True)
class ServiceDeployment:
    """A plain service; each of its VMs is a backend server of its own."""

    name: str
    cold: Bounds
    warm: Bounds
    warm_after: int = 2
    members: int = 1


Deployment = ModelDeployment | ServiceDeployment


@dataclass(frozen=True)
class VmGroup:
    """VMs, given by their fabric domains, that run replicas of a deployment."""

    name: str
    deployment: str
    domains: tuple[str, ...]
    replicas: int


@dataclass(frozen=True)
class Server:
    """An operator's order to keep a VM out of service or in it."""

    name: str
    serving: bool


@dataclass(frozen=True)
class Route:
    """A named path from workspaces to a deployment.

    Attributes
    ----------
    repeatable : bool
        Whether a request may be sent again after a failure.
    timeout_s : float
        Seconds until the answer has to be complete.
    """

    name: str
    workspaces: tuple[str, ...]
    deployment: str
    repeatable: bool
    timeout_s: float


@dataclass(frozen=True)
class ObjectSet:
    """The whole set of objects, checked as one."""

    zones_by_name: dict[str, Zone] = field(default_factory=dict)
    workspaces_by_name: dict[str, Workspace] = field(default_factory=dict)
    deployments_by_name: dict[str, Deployment] = field(default_factory=dict)
    groups_by_name: dict[str, VmGroup] = field(default_factory=dict)
    servers_by_name: dict[str, Server] = field(default_factory=dict)
    routes_by_name: dict[str, Route] = field(default_factory=dict)

    def problems(self, unread: frozenset[str] = frozenset()) -> list[str]:
        """Return every reference that names no object, one sentence each.

        Parameters
        ----------
        unread : frozenset of str
            Names of objects that exist but could not be read.
        """
        return [
            *self._group_problems(unread),
            *self._route_problems(unread),
            *self._deployment_problems(),
        ]

    def longest_timeout_s(self) -> float:
        """Return the longest time that any request may run, in seconds."""
        return max((r.timeout_s for r in self.routes_by_name.values()), default=0.0)

    def _group_problems(self, unread: frozenset[str]) -> list[str]:
        problems = []
        deployments = {*self.deployments_by_name, *unread}
        holder_by_domain: dict[str, str] = {}
        for group in self.groups_by_name.values():
            if group.deployment not in deployments:
                problems.append(
                    f"[group:{group.name}] deployment: "
                    f"no deployment is named {group.deployment!r}"
                )
            for domain in group.domains:
                holder = holder_by_domain.setdefault(domain, group.name)
                if holder != group.name:
                    problems.append(
                        f"[group:{group.name}] domains: "
                        f"{domain!r} already belongs to [group:{holder}]"
                    )
        return problems

    def _route_problems(self, unread: frozenset[str]) -> list[str]:
        problems = []
        deployments = {*self.deployments_by_name, *unread}
        workspaces = {*self.workspaces_by_name, *unread}
        for route in self.routes_by_name.values():
            if route.deployment not in deployments:
                problems.append(
                    f"[route:{route.name}] deployment: "
                    f"no deployment is named {route.deployment!r}"
                )
            for workspace in route.workspaces:
                if workspace not in workspaces:
                    problems.append(
                        f"[route:{route.name}] workspaces: "
                        f"no workspace is named {workspace!r}"
                    )
        return problems

    def _deployment_problems(self) -> list[str]:
        problems = []
        for deployment in self.deployments_by_name.values():
            cold, warm = deployment.cold, deployment.warm
            if cold.requests > warm.requests or cold.tokens > warm.tokens:
                problems.append(
                    f"[deployment:{deployment.name}] cold_requests, cold_tokens: "
                    "must not exceed warm_requests, warm_tokens"
                )
        return problems
