"""An operator's configuration of a fleet: routes, services, API keys and limits."""

from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

from poplarspar.state.backends import BackendServer


class RouteKind(Enum):
    """Kind of a route; it decides which requests may run twice."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True)
class WeightedService:
    """A service and its share of a route's traffic."""

    service: str
    weight: float


@dataclass(frozen=True)
class ServiceRoute:
    """Routing of a host's paths under a prefix to services.

    Attributes
    ----------
    timeout_s : float
        Longest time that a caller waits for its answer.
    target_latency_s : float
        Target time to an answer, or to the first event of a stream.
    target_gap_s : float
        Target for the longest pause between two events of a stream.
    priority : int
        Rank among routes, 0 first.
    max_attempts : int
        Limit on the backend servers that one request is sent to.
    public : bool
        Whether callers need no API key.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    target_latency_s: float
    target_gap_s: float
    priority: int
    max_attempts: int
    public: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        match self.kind:
            case RouteKind.IDEMPOTENT:
                return True
            case RouteKind.STREAM:
                return self.resumable
            case RouteKind.NON_IDEMPOTENT:
                return False


@dataclass(frozen=True)
class EngineModel:
    """A model that the replica groups of a service can serve.

    Attributes
    ----------
    members : int
        Backend servers in one replica group.
    time_factor : float
        Factor on all times of the engine for this model.
    share : float
        Expected share of the load.
    load_s, staged_load_s : float
        Time to load the weights from the weight store, and staged weights from the
        host.
    """

    name: str
    members: int
    time_factor: float
    share: float
    load_s: float
    staged_load_s: float


@dataclass(frozen=True)
class PromptMemory:
    """How much of the prompts that they have read replica groups keep, and how long.

    Attributes
    ----------
    keep_s : float
        Time for which a prompt is kept after a request with it has ended, in seconds.
    capacity_tokens : int
        Memory of a replica group, for running requests and for kept prompts.
    mean_request_tokens : int
        Memory that a running request needs on average.
    """

    keep_s: float
    capacity_tokens: int
    mean_request_tokens: int


@dataclass(frozen=True)
class Engine:
    """Performance figures of a service's model engines.

    Attributes
    ----------
    slots : int
        Requests that one replica group runs concurrently.
    loads_per_s : float
        Limit on loads from the weight store that begin in a second, over the fleet.
    concurrent_loads : int
        Number of concurrent loads above which each load takes longer.
    open_s : float
        Time from the order that opens a replica group until it accepts requests.
    mean_answer_tokens : int
        Mean length of answers, 0 if unknown.
    far_factor : float
        Factor on all times of a replica group whose members are in several fabric
        domains.
    prompt_memory : PromptMemory or None
        None if no prompt is kept after its request.
    """

    slots: int
    models_by_name: dict[str, EngineModel]
    step_s: float
    step_per_request_s: float
    tokens_read_per_s: float
    tokens_per_event: int
    loads_per_s: float
    concurrent_loads: int
    open_s: float
    mean_answer_tokens: int = 0
    far_factor: float = 1.0
    prompt_memory: PromptMemory | None = None


@dataclass(frozen=True)
class CapacityRange:
    """How many backend servers of a service may be ordered in an availability zone.

    Attributes
    ----------
    boot_s : float
        Time until an ordered backend server serves, in seconds.
    """

    fewest: int
    most: int
    boot_s: float


@dataclass(frozen=True)
class ServiceSpec:
    """A service behind the routes; `engine` is None for a plain service.

    Attributes
    ----------
    capacity : CapacityRange or None
        None if the operator decides on the number of backend servers.
    cold_requests_per_s : float
        Limit on requests a second to a cold backend server; 0 for no limit.
    """

    name: str
    connection_limit: int
    cold_requests_per_s: float
    engine: Engine | None
    capacity: CapacityRange | None = None


@dataclass(frozen=True)
class KeyHolder:
    """The workspace that an API key belongs to.

    Attributes
    ----------
    priority : int or None
        Rank that overrides the route's.
    """

    workspace: str
    priority: int | None


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size and duration of a caller's request."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True)
class ServingConfiguration:
    """One version of the operator's configuration.

    Attributes
    ----------
    routes_by_host : dict of str to tuple of ServiceRoute
        Routes of each host, longest prefix first.
    """

    version: int
    routes_by_host: dict[str, tuple[ServiceRoute, ...]]
    services_by_name: dict[str, ServiceSpec]
    holder_by_key: dict[str, KeyHolder]
    keys_required: bool
    limits: CallerLimits

    @cached_property
    def prioritized_services(self) -> frozenset[str]:
        """Services whose requests have more than one priority.

        The priorities are those of routes, and those that workspaces have of their own.
        """
        holder_priorities = {holder.priority for holder in self.holder_by_key.values()}
        own_priorities = holder_priorities - {None}
        return frozenset(
            service
            for service, priorities in self._route_priorities_by_service().items()
            if len(priorities | own_priorities) > 1
        )

    @cached_property
    def ranked_services(self) -> frozenset[str]:
        """Names of model services whose routes have more than one priority."""
        return frozenset(
            service
            for service, priorities in self._route_priorities_by_service().items()
            if len(priorities) > 1
            and service in self.services_by_name
            and self.services_by_name[service].engine is not None
        )

    def _route_priorities_by_service(self) -> dict[str, set[int]]:
        priorities_by_service: dict[str, set[int]] = {}
        for routes in self.routes_by_host.values():
            for route in routes:
                for weighted in route.services:
                    priorities = priorities_by_service.setdefault(
                        weighted.service, set()
                    )
                    priorities.add(route.priority)
        return priorities_by_service

    def find_route(self, host: str, path: str) -> ServiceRoute | None:
        """Return the route with the longest prefix of `path`."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


@dataclass(frozen=True)
class ConfigurationBasis:
    """What a node knew of the configuration when it decided on a request.

    Attributes
    ----------
    version : int
        Version of the configuration, 0 before the first one.
    age_s : float
        Seconds since the node applied that version.
    answered_s : float
        Seconds since the store last answered the node's watch of the configuration.
    """

    version: int = 0
    age_s: float = 0.0
    answered_s: float = 0.0


@dataclass
class Fleet:
    """A node's copy of the configuration, evacuated zones and backend servers.

    Attributes
    ----------
    cold_until_by_id : dict of str to float
        Monotonic times in seconds until which backend servers count as cold.
    """

    configuration: ServingConfiguration | None = None
    evacuated_zones: frozenset[str] = frozenset()
    backends_by_id: dict[str, BackendServer] = field(default_factory=dict)
    cold_until_by_id: dict[str, float] = field(default_factory=dict)
