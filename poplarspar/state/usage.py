"""Counts of requests that began to run, by window and workspace."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from poplarspar.state.duties import UsageReport

# Requests by workspace, for each process that counted them.
CountsByProcess = Mapping[str, Mapping[str, int]]


@dataclass(frozen=True)
class UsageCount:
    """Requests of a workspace that one process has counted in a window so far."""

    window: int
    workspace: str
    requests: int


@dataclass(frozen=True)
class NodeUsage:
    """What a node hands on to the planner.

    Attributes
    ----------
    ended_window : int
        Newest window that has ended by the node's clock; 0 if it counts nothing.
    counts : tuple of UsageCount
        Counts that have changed since the node last handed them to this planner.
    """

    ended_window: int = 0
    counts: tuple[UsageCount, ...] = ()


@dataclass(frozen=True)
class UsageRecord:
    """What holders of the duties store for their successors.

    Attributes
    ----------
    reported : int
        Newest window whose report is confirmed, 0 for none.
    committed : tuple of UsageReport
        Reports that may have been sent and are not confirmed, in order of windows.
        They never change.
    counts_by_window : mapping of int to mapping
        Counts of each process in windows that are not committed.
    """

    reported: int = 0
    committed: tuple[UsageReport, ...] = ()
    counts_by_window: Mapping[int, CountsByProcess] = field(default_factory=dict)

    @property
    def newest_committed(self) -> int:
        """Newest window whose counts are final, 0 for none."""
        return max([self.reported, *(report.window for report in self.committed)])
