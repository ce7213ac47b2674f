"""Objects that operators publish; they refer to each other by name."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Bounds:
    """Limit on the concurrent load of a backend server.

    Attributes
    ----------
    requests : int
        Requests in flight.
    tokens : int
        Tokens of these requests in memory, in total.
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
    """A customer's workspace and its share of the capacity.

    Attributes
    ----------
    weight : int
        Relative share of the capacity when workspaces compete.
    queue_limit : int
        Requests that one entry may queue.
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
        Limits of a replica after its start, and of a warm one.
    warm_after : int
        Minimum number of completed answers before the limit doubles.
    fenced : bool
        Whether the engines refuse orders with an old fencing token.
    """

    name: str
    members: int
    cold: Bounds
    warm: Bounds
    warm_after: int = 2
    fenced: bool = True


@dataclass(frozen=True)
class ServiceDeployment:
    """A plain service; each of its VMs is a separate backend server."""

    name: str
    cold: Bounds
    warm: Bounds
    warm_after: int = 2
    members: int = 1


Deployment = ModelDeployment | ServiceDeployment


@dataclass(frozen=True)
class VmGroup:
    """VMs in the listed fabric domains that run replicas of a deployment."""

    name: str
    deployment: str
    domains: tuple[str, ...]
    replicas: int


@dataclass(frozen=True)
class Server:
    """An operator's setting that puts a VM in or out of service."""

    name: str
    serving: bool


@dataclass(frozen=True)
class Route:
    """A route from workspaces to a deployment.

    Attributes
    ----------
    repeatable : bool
        Whether entries may retry a request after a failure.
    timeout_s : float
        Deadline for the complete answer, in seconds.
    """

    name: str
    workspaces: tuple[str, ...]
    deployment: str
    repeatable: bool
    timeout_s: float


@dataclass(frozen=True)
class ObjectSet:
    """The complete set of objects, validated together."""

    zones_by_name: dict[str, Zone] = field(default_factory=dict)
    workspaces_by_name: dict[str, Workspace] = field(default_factory=dict)
    deployments_by_name: dict[str, Deployment] = field(default_factory=dict)
    groups_by_name: dict[str, VmGroup] = field(default_factory=dict)
    servers_by_name: dict[str, Server] = field(default_factory=dict)
    routes_by_name: dict[str, Route] = field(default_factory=dict)

    def problems(self, unreadable: frozenset[str] = frozenset()) -> list[str]:
        """Return every problem of references and limits, one sentence each.

        Parameters
        ----------
        unreadable : frozenset of str
            Names of objects that exist but could not be parsed.
        """
        return [
            *self._group_problems(unreadable),
            *self._route_problems(unreadable),
            *self._deployment_problems(),
        ]

    def longest_timeout_s(self) -> float:
        """Return the longest timeout of any route, in seconds."""
        return max((r.timeout_s for r in self.routes_by_name.values()), default=0.0)

    def _group_problems(self, unreadable: frozenset[str]) -> list[str]:
        problems = []
        deployments = {*self.deployments_by_name, *unreadable}
        group_by_domain: dict[str, str] = {}
        for group in self.groups_by_name.values():
            if group.deployment not in deployments:
                problems.append(
                    f"[group:{group.name}] deployment: "
                    f"no deployment is named {group.deployment!r}"
                )
            for domain in group.domains:
                owner = group_by_domain.setdefault(domain, group.name)
                if owner != group.name:
                    problems.append(
                        f"[group:{group.name}] domains: "
                        f"{domain!r} already belongs to [group:{owner}]"
                    )
        return problems

    def _route_problems(self, unreadable: frozenset[str]) -> list[str]:
        problems = []
        deployments = {*self.deployments_by_name, *unreadable}
        workspaces = {*self.workspaces_by_name, *unreadable}
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
