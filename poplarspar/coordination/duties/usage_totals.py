"""Counts of all processes in windows that are not committed yet."""

from collections import Counter
from collections.abc import Callable, Collection, Mapping

from poplarspar.coordination.duties.usage_meter import MAX_WINDOWS
from poplarspar.state.usage import CountsByProcess, NodeUsage, UsageRecord


class UsageTotals:
    """Sums up what nodes hand on, and what earlier holders of the duties stored.

    Counts of a process only grow, so of two the larger one is newer.

    Parameters
    ----------
    clock : callable
        Returns the Unix time in seconds.

    Attributes
    ----------
    change_count : int
        Rises with each new count.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._counts_by_window: dict[int, dict[str, dict[str, int]]] = {}
        self._ended_window_by_process: dict[str, int] = {}
        self._seen_at_by_process: dict[str, float] = {}
        self._committed_window = 0
        self.change_count = 0

    def receive(self, process: str, usage: NodeUsage) -> None:
        """Add what a node hands on."""
        if not usage.ended_window:
            return
        self._ended_window_by_process[process] = usage.ended_window
        self._seen_at_by_process[process] = self._clock()
        for count in usage.counts:
            self._add(count.window, process, count.workspace, count.requests)

    def merge(self, record: UsageRecord) -> None:
        """Add the stored counts."""
        for window, counts_by_process in record.counts_by_window.items():
            for process, requests_by_workspace in counts_by_process.items():
                for workspace, requests in requests_by_workspace.items():
                    self._add(window, process, workspace, requests)
        self.close(record.newest_committed)

    def close(self, window: int) -> None:
        """Forget windows up to one whose counts are final."""
        self._committed_window = max(self._committed_window, window)
        for closed in [w for w in self._counts_by_window if w <= window]:
            del self._counts_by_window[closed]

    def requests_by_workspace(self, window: int) -> dict[str, int]:
        """Return the sums over all processes."""
        sums: Counter[str] = Counter()
        for counts in self._counts_by_window.get(window, {}).values():
            sums.update(counts)
        return dict(sums)

    def counts_after(self, window: int) -> Mapping[int, CountsByProcess]:
        """Return a copy of the counts in later windows."""
        return {
            open_window: {process: dict(counts) for process, counts in by.items()}
            for open_window, by in self._counts_by_window.items()
            if open_window > window
        }

    def first_window(self) -> int | None:
        """Return the oldest window with counts, None without any."""
        return min(self._counts_by_window, default=None)

    def see(self, processes: Collection[str], forget_after_s: float) -> None:
        """Note which processes the list of nodes has now; forget those lost long ago.

        A process that can't renew its key in the list may still run.
        """
        now = self._clock()
        self._seen_at_by_process.update(dict.fromkeys(processes, now))
        lost = [
            process
            for process, seen_at in self._seen_at_by_process.items()
            if seen_at < now - forget_after_s
        ]
        for process in lost:
            del self._seen_at_by_process[process]
            self._ended_window_by_process.pop(process, None)

    def has_all(self, window: int, began_at: float) -> bool:
        """Return whether all processes have handed on a window after its end.

        Parameters
        ----------
        began_at : float
            Begin of the window; processes that were not seen since have no part in it.
        """
        ended = self._ended_window_by_process
        awaited = [p for p, at in self._seen_at_by_process.items() if at >= began_at]
        return bool(awaited) and all(ended.get(p, 0) >= window for p in awaited)

    def _add(self, window: int, process: str, workspace: str, requests: int) -> None:
        if window <= self._committed_window:
            return
        counts_by_process = self._counts_by_window.setdefault(window, {})
        if len(self._counts_by_window) > MAX_WINDOWS:
            # They can't be committed, since the store is down.
            del self._counts_by_window[min(self._counts_by_window)]
        counts = counts_by_process.setdefault(process, {})
        if requests > counts.get(workspace, 0):
            counts[workspace] = requests
            self.change_count += 1
