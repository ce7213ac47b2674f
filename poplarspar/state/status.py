"""What daemons tell of themselves."""

from dataclasses import dataclass

from poplarspar.state.entries import EntryStatus
from poplarspar.state.metrics import MetricsSummary


@dataclass(frozen=True)
class GroupStatus:
    """A replica group or plain service as a steward knows it.

    Attributes
    ----------
    draining_from : str
        Entry whose requests have to end before the owner starts.
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
    """The cluster as one steward knows it."""

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
    """An entry's state and metrics; the names of metrics carry their units."""

    name: str
    revision: int
    fresh: bool
    draining: bool
    running: int
    ledger_by_backend: dict[str, LedgerStatus]
    metrics: MetricsSummary
