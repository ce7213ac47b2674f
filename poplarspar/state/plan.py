"""What nodes tell the planner, and the plan that it tells them."""

from dataclasses import dataclass


@dataclass(frozen=True)
class GroupLoad:
    """A node's own work at a replica group.

    Attributes
    ----------
    head : str
        Backend server that takes the group's requests.
    stalled_ms : int
        Time since the last sign of work on the node's requests, 0 without any.
    """

    head: str
    epoch: int
    in_flight: int
    reading_tokens: int
    stalled_ms: int


@dataclass(frozen=True)
class ModelDemand:
    """How many replica groups a node's callers would keep busy with a model."""

    service: str
    model: str
    groups: float


@dataclass(frozen=True)
class NodeLoad:
    """A node's work, for the planner.

    Attributes
    ----------
    plan_serial : int
        Serial of the plan that the node acts on.
    """

    plan_serial: int
    groups: tuple[GroupLoad, ...] = ()
    demands: tuple[ModelDemand, ...] = ()


@dataclass(frozen=True)
class PlannedGroup:
    """A replica group that may be sent requests.

    Attributes
    ----------
    in_flight, reading_tokens : int
        Work there of all nodes but the receiver.
    stalled : bool
        Whether some node sees no sign of work there.
    pace : float
        How much slower it is than the engine's figures.
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
    """What reports don't tell of a backend server, for the next planner.

    Attributes
    ----------
    model : str
        Model that it served last, if it is in no replica group now.
    loading : str
        Model that is being loaded onto its host.
    """

    backend: str
    started_ms: int
    last_model: str
    staging_model: str = ""


@dataclass(frozen=True)
class FleetPlan:
    """The replica groups that serve, and what a next planner has to know.

    Attributes
    ----------
    serial : int
        Rises whenever the groups change; 0 while the planner knows too little.
    nodes : int
        Nodes that have told their work lately.
    operator_revision : int
        Newest revision of what the operator wrote that the planner has seen.
    """

    serial: int = 0
    node_count: int = 0
    groups: tuple[PlannedGroup, ...] = ()
    spares: tuple[Spare, ...] = ()
    operator_revision: int = 0

    def open_groups_by_head(self) -> dict[str, tuple[tuple[str, int], str]]:
        """Return key and model of each replica group that serves, by its head."""
        return {g.head: ((g.name, g.epoch), g.model) for g in self.groups}
