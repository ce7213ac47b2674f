"""Load reports of nodes to the planner, and the planner's plan for nodes."""

from dataclasses import dataclass

from poplarspar.state.rate_limits import RateLimit


@dataclass(frozen=True)
class GroupLoad:
    """Load that one node puts on a replica group.

    Attributes
    ----------
    head : str
        Backend server that receives the group's requests.
    stalled_ms : int
        Time since the node's requests there last made progress, 0 without requests.
    """

    head: str
    epoch: int
    in_flight: int
    reading_tokens: int
    stalled_ms: int


@dataclass(frozen=True)
class ModelDemand:
    """Number of replica groups that a node's callers would keep busy with a model."""

    service: str
    model: str
    groups: float


@dataclass(frozen=True)
class NodeLoad:
    """A node's load report to the planner.

    Attributes
    ----------
    plan_serial : int
        Serial of the plan that the node uses.
    rate_limits : tuple of RateLimit
        Limits that the node has observed recently.
    """

    plan_serial: int
    groups: tuple[GroupLoad, ...] = ()
    demands: tuple[ModelDemand, ...] = ()
    rate_limits: tuple[RateLimit, ...] = ()


@dataclass(frozen=True)
class PlannedGroup:
    """A replica group to which nodes may send requests.

    Attributes
    ----------
    in_flight, reading_tokens : int
        Load there of all nodes except the receiver of the plan.
    stalled : bool
        Whether any node's requests there make no progress.
    slowdown : float
        Factor on the engine's configured times; above 1 for a slow group.
    """

    head: str
    name: str
    epoch: int
    model: str
    in_flight: int = 0
    reading_tokens: int = 0
    stalled: bool = False
    slowdown: float = 1.0


@dataclass(frozen=True)
class Spare:
    """State of a backend server that its reports lack, for the next planner.

    Attributes
    ----------
    last_model : str
        Model that it served last, if it is in no replica group now.
    staging_model : str
        Model whose weights its host is loading.
    """

    backend: str
    started_ms: int
    last_model: str
    staging_model: str = ""


@dataclass(frozen=True)
class FleetPlan:
    """The replica groups that serve, and state for the next planner.

    Attributes
    ----------
    serial : int
        Rises with each change of the groups; 0 while the planner lacks reports.
    node_count : int
        Nodes that have recently reported their load.
    operator_revision : int
        Newest revision of the operator's documents that the planner has read.
    quarantine_revision : int
        The same for the quarantine of prompt parts.
    rate_limits : tuple of RateLimit
        Limits that any node has observed.
    """

    serial: int = 0
    node_count: int = 0
    groups: tuple[PlannedGroup, ...] = ()
    spares: tuple[Spare, ...] = ()
    operator_revision: int = 0
    quarantine_revision: int = 0
    rate_limits: tuple[RateLimit, ...] = ()

    def open_groups_by_head(self) -> dict[str, tuple[tuple[str, int], str]]:
        """Return the key and model of each open replica group, by its head."""
        return {g.head: ((g.name, g.epoch), g.model) for g in self.groups}
