"""Load reports of nodes to the planner, and the planner's plan for nodes."""

from dataclasses import dataclass

from poplarspar.state.rate_limits import RateLimit
from poplarspar.state.usage import NodeUsage

# Head and epoch of a replica group.
GroupKey = tuple[str, int]
# Identifier and start time, Unix milliseconds, of a spare.
SpareKey = tuple[str, int]
# Priority of a request, and that of its route, which decides among equals: workspaces
# can override the first. 0 is the most urgent.
Rank = tuple[int, int]


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

    @property
    def key(self) -> GroupKey:
        """Key of the replica group."""
        return self.head, self.epoch


@dataclass(frozen=True)
class GroupTotal:
    """Load that all nodes together put on a replica group.

    Attributes
    ----------
    stalled : bool
        Whether any node's requests there make no progress.
    """

    in_flight: int
    reading_tokens: int
    stalled: bool


@dataclass(frozen=True)
class ModelDemand:
    """Number of replica groups that callers would keep busy with a model."""

    service: str
    model: str
    groups: float


@dataclass(frozen=True)
class ClassDemand:
    """Demand for a model by the callers of one rank in one workspace.

    Attributes
    ----------
    workspace : str
        Empty for all workspaces together that are not named by themselves.
    groups : float
        Replica groups that these callers would keep busy.
    """

    service: str
    model: str
    rank: Rank
    workspace: str
    groups: float


@dataclass(frozen=True)
class AdmittedShare:
    """Share of the requests of a rank and workspace that nodes admit.

    Attributes
    ----------
    workspace : str
        Empty for all workspaces that have no share of their own.
    share : float
        From 0 to 1.
    """

    service: str
    model: str
    rank: Rank
    workspace: str
    share: float


@dataclass(frozen=True)
class NodeLoad:
    """A node's load report to the planner.

    Attributes
    ----------
    plan_serial : int
        Serial of the plan that the node uses.
    rate_limits : tuple of RateLimit
        Limits that the node has observed recently.
    usage : NodeUsage
        Requests that began to run at this node.
    class_demands : tuple of ClassDemand
        Demand for the services whose routes have several priorities.
    """

    plan_serial: int
    groups: tuple[GroupLoad, ...] = ()
    demands: tuple[ModelDemand, ...] = ()
    rate_limits: tuple[RateLimit, ...] = ()
    usage: NodeUsage = NodeUsage()
    class_demands: tuple[ClassDemand, ...] = ()


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

    @property
    def key(self) -> GroupKey:
        """Key of the replica group."""
        return self.head, self.epoch


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

    @property
    def key(self) -> SpareKey:
        """Key of the spare, which changes when the backend server restarts."""
        return self.backend, self.started_ms


@dataclass(frozen=True)
class FleetPlan:
    """The replica groups that serve, and state for the next planner.

    Attributes
    ----------
    serial : int
        Rises with each change of groups or spares; 0 while the planner lacks reports.
    node_count : int
        Nodes that have recently reported their load.
    rate_limits : tuple of RateLimit
        Limits that any node has observed.
    demands : tuple of ModelDemand
        Demand of all nodes' callers.
    admitted_shares : tuple of AdmittedShare
        Shares for the models that are short of groups, of services whose routes
        have several priorities.
    """

    serial: int = 0
    node_count: int = 0
    groups: tuple[PlannedGroup, ...] = ()
    spares: tuple[Spare, ...] = ()
    rate_limits: tuple[RateLimit, ...] = ()
    demands: tuple[ModelDemand, ...] = ()
    admitted_shares: tuple[AdmittedShare, ...] = ()

    def open_groups_by_head(self) -> dict[str, tuple[tuple[str, int], str]]:
        """Return the key and model of each open replica group, by its head."""
        return {g.head: ((g.name, g.epoch), g.model) for g in self.groups}


@dataclass(frozen=True)
class StoreRevisions:
    """Revisions of the store's values that nodes must have read.

    The planner reads for all nodes and names the newest revisions that concern them. 0
    means that it can't read the store, so that nodes watch it themselves.

    Attributes
    ----------
    operator, nodes : int
        Newest change of the operator's documents, and of the list of nodes.
    quarantine : int
        Newest change by which prompt parts are suspected, or quarantined.
    backends : int
        Newest change of a backend server's entry that nodes must read.
    operator_digest : int
        Sum of the revisions of all the operator's documents, 0 if unknown.
    backends_age_ms : int
        Time for which the planner may have missed changes of entries, 0 if unknown.
    """

    operator: int = 0
    quarantine: int = 0
    backends: int = 0
    nodes: int = 0
    operator_digest: int = 0
    backends_age_ms: int = 0


@dataclass(frozen=True)
class PlanUpdate:
    """What the planner sends to nodes: changes of the plan, and the load of all groups.

    Attributes
    ----------
    base_serial : int
        Serial of the plan that the changes apply to; 0 if they are the whole plan.
    groups, spares : tuple
        New or changed ones; the load in `groups` has no meaning.
    removed_groups, removed_spares : tuple
        Keys of those that the plan no longer contains.
    totals : tuple of GroupTotal
        Load of each group of the new plan, ordered by the groups' keys. It contains
        the receiver's own load.
    revisions : StoreRevisions
        What nodes must read from the store.
    reported_window : int
        Newest window whose usage is reported, 0 for none.
    """

    serial: int = 0
    base_serial: int = 0
    node_count: int = 0
    groups: tuple[PlannedGroup, ...] = ()
    removed_groups: tuple[GroupKey, ...] = ()
    spares: tuple[Spare, ...] = ()
    removed_spares: tuple[SpareKey, ...] = ()
    totals: tuple[GroupTotal, ...] = ()
    revisions: StoreRevisions = StoreRevisions()
    rate_limits: tuple[RateLimit, ...] = ()
    demands: tuple[ModelDemand, ...] = ()
    reported_window: int = 0
    admitted_shares: tuple[AdmittedShare, ...] = ()
