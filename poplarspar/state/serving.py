"""What an operator has configured for a fleet: routes, services, keys and limits."""

from dataclasses import dataclass, field
from enum import Enum

from poplarspar.state.backends import BackendServer


class RouteKind(Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True)
class WeightedService:
    """One part of a route's traffic."""

    service: str
    weight: float


@dataclass(frozen=True)
class ServiceRoute:
    """Which services answer a host's paths under a prefix, and how.

    Attributes
    ----------
    timeout_s : float
        Longest time that a caller is kept waiting.
    aim_s : float
        Time within which an answer, or a stream's first event, is on time.
    pause_aim_s : float
        Longest pause between two events of a stream that is on time.
    urgency : int
        Rank among routes, 0 first.
    max_attempts : int
        Backend servers that one request may be sent to.
    public : bool
        Whether callers need no key.
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
    """A model that replica groups of a service may serve.

    Attributes
    ----------
    members : int
        Backend servers in one replica group.
    pace : float
        Factor on all times of the engine.
    share : float
        Expected part of the work.
    load_s, staged_load_s : float
        Time to load the weights from the weight store, and from the host.
    """

    name: str
    members: int
    time_factor: float
    share: float
    load_s: float
    staged_load_s: float


@dataclass(frozen=True)
class Engine:
    """How the model engines of a service work.

    Attributes
    ----------
    slots : int
        Requests that one replica group runs at once.
    loads_per_s : float
        Loads from the weight store that may begin in a second, in all.
    loads_at_once : int
        Loads beyond which each takes longer.
    open_s : float
        Time from the order to open a replica group to its first request.
    usual_answer_tokens : int
        Mean length of answers, 0 if it is not known.
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


@dataclass(frozen=True)
class ServiceSpec:
    """A service behind the routes; `engine` is None for a plain one.

    Attributes
    ----------
    cold_requests_per_s : float
        Requests a second that a cold backend server bears; 0 for no bound.
    """

    name: str
    connection_limit: int
    cold_requests_per_s: float
    engine: Engine | None


@dataclass(frozen=True)
class KeyHolder:
    """The workspace that a key belongs to.

    Attributes
    ----------
    urgency : int or None
        Rank that goes before the route's.
    """

    workspace: str
    priority: int | None


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True)
class ServingConfiguration:
    """One version of all that the operator configured.

    Attributes
    ----------
    routes_by_host : dict of str to tuple of ServiceRoute
        Longest prefix first.
    """

    version: int
    routes_by_host: dict[str, tuple[ServiceRoute, ...]]
    services_by_name: dict[str, ServiceSpec]
    holder_by_key: dict[str, KeyHolder]
    keys_required: bool
    limits: CallerLimits

    def find_route(self, host: str, path: str) -> ServiceRoute | None:
        """Return the route with the longest prefix of `path`."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


@dataclass
class Fleet:
    """What one node knows of the configuration, zones and backend servers.

    Attributes
    ----------
    cold_until_by_id : dict of str to float
        Monotonic times until which backend servers said that they are cold.
    """

    configuration: ServingConfiguration | None = None
    evacuated_zones: frozenset[str] = frozenset()
    backends_by_id: dict[str, BackendServer] = field(default_factory=dict)
    cold_until_by_id: dict[str, float] = field(default_factory=dict)
