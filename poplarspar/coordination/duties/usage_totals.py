"""Counts of all processes in windows that are not committed yet."""

from collections import Counter
from collections.abc import Callable, Collection, Mapping

from poplarspar.coordination.duties.usage_meter import MAX_WINDOWS
from poplarspar.state.usage import CountsByProcess, NodeUsage, UsageRecord

# A process that runs hands its counts on more often than this.
RECENT_S = 3.0


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
        self._received_at_by_process: dict[str, float] = {}
        self._committed_window = 0
        self.change_count = 0

    def receive(self, process: str, usage: NodeUsage) -> None:
        """Add what a node hands on."""
        if not usage.ended_window:
            return
        self._ended_window_by_process[process] = usage.ended_window
        now = self._clock()
        self._seen_at_by_process[process] = now
        self._received_at_by_process[process] = now
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
            self._received_at_by_process.pop(process, None)

    def has_all(self, window: int, began_at: float) -> bool:
        """Return whether all processes have handed on a window after its end.

        Parameters
        ----------
        began_at : float
            Begin of the window; processes that were not seen since have no part in it.
            One that is silent while another of its node runs has ended.
        """
        ended = self._ended_window_by_process
        running = self._running()
        restarted = {_node_of(process) for process in running}
        awaited = [
            process
            for process, seen_at in self._seen_at_by_process.items()
            if seen_at >= began_at
            and (process in running or _node_of(process) not in restarted)
        ]
        return bool(awaited) and all(ended.get(p, 0) >= window for p in awaited)

    def most_have_ended(self, window: int) -> bool:
        """Return whether a window has ended by the clocks of half the running nodes.

        The holder's own clock may be wrong.
        """
        running = self._running()
        ended = [p for p in running if self._ended_window_by_process[p] >= window]
        return 2 * len(ended) >= len(running)

    def _running(self) -> set[str]:
        since = self._clock() - RECENT_S
        return {p for p, at in self._received_at_by_process.items() if at >= since}

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


def _node_of(process: str) -> str:
    """Return the name of a process's node, which a dot parts from its own."""
    return process.rpartition(".")[0]
