"""Status reports of daemons."""

from dataclasses import dataclass

from poplarspar.state.entries import EntryStatus
from poplarspar.state.metrics import MetricsSummary


@dataclass(frozen=True)
class GroupStatus:
    """Status of a replica group or plain service, reported by one steward.

    Attributes
    ----------
    draining_from : str
        Entry whose requests must end before the owner admits any.
    """

    deployment: str
    zone: str
    epoch: int
    members: tuple[str, ...]
    accepts_work: bool
    owner: str
    draining_from: str


@dataclass(frozen=True)
class ClusterStatus:
    """Status of the cluster, reported by one steward."""

    steward: str
    revision: int
    in_force: int
    fresh: bool
    planner: bool
    serving_by_zone: dict[str, bool]
    entries_by_name: dict[str, EntryStatus]
    groups_by_name: dict[str, GroupStatus]
    metrics: MetricsSummary


@dataclass(frozen=True)
class LedgerStatus:
    """Load and limit of one owned backend server."""

    requests: int
    request_limit: int
    tokens: int
    token_limit: int


@dataclass(frozen=True)
class EntryReport:
    """An entry's state and metrics; the names of metrics include their units."""

    name: str
    revision: int
    fresh: bool
    draining: bool
    running: int
    ledger_by_backend: dict[str, LedgerStatus]
    metrics: MetricsSummary
