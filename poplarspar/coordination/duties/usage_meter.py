"""A node's counts of requests that began to run."""

from collections import Counter
from collections.abc import Callable

from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.state.usage import NodeUsage, UsageCount

# Windows kept while they can't be reported; with more, the oldest are dropped.
MAX_WINDOWS = 120
# A process that counts no more has handed on all windows.
LAST_WINDOW = 2**62


class UsageMeter:
    """Counts requests by window and workspace until their window is reported.

    Counts are cumulative, so handing them on again counts nothing twice.

    Parameters
    ----------
    window_s : float
        Length of a window in seconds; 0 where usage is not reported.
    clock : callable
        Returns the Unix time in seconds.

    Attributes
    ----------
    reported_window : int
        Newest window that this node knows to be reported, 0 for none.
    """

    def __init__(self, window_s: float, clock: Callable[[], float]) -> None:
        self._window_s = window_s
        self._clock = clock
        self._requests_by_window: dict[int, Counter[str]] = {}
        # What this planner has, and what any planner has had.
        self._handed_on: dict[tuple[int, str], int] = {}
        self._received: dict[tuple[int, str], int] = {}
        self._is_finished = False
        self._is_end_known = False
        self.reported_window = 0

    def window(self) -> int:
        """Return the number of the present window."""
        return int(self._clock() // self._window_s)

    def record(self, workspace: str) -> None:
        """Count a request that begins to run now; public ones have no workspace."""
        if not self._window_s or not workspace:
            return
        counts = self._requests_by_window.setdefault(self.window(), Counter())
        counts[workspace] += 1
        if len(self._requests_by_window) > MAX_WINDOWS:
            oldest = min(self._requests_by_window)
            self._drop(oldest)

    def start_link(self) -> None:
        """Hand all counts on, since another planner has none of them."""
        self._handed_on.clear()

    def load(self) -> NodeUsage:
        """Return the counts that the planner does not have yet."""
        if not self._window_s:
            return NodeUsage()
        ended_window = LAST_WINDOW if self._is_finished else self.window() - 1
        return NodeUsage(ended_window, tuple(self._pending()))

    def finish(self) -> None:
        """Tell the planner from now on that no more counts will come."""
        self._is_finished = True
        self._is_end_known = not self._window_s

    def confirm(self, usage: NodeUsage, reported_window: int) -> None:
        """Note that the planner has received counts, and what it has reported."""
        for count in usage.counts:
            self._handed_on[(count.window, count.workspace)] = count.requests
            self._received[(count.window, count.workspace)] = count.requests
        self._is_end_known |= usage.ended_window == LAST_WINDOW
        self.reported_window = max(self.reported_window, reported_window)
        for window in [w for w in self._requests_by_window if w <= reported_window]:
            self._drop(window)

    def is_handed_on(self) -> bool:
        """Return whether a planner has all counts, and knows that they are all."""
        return self._is_end_known and not self._pending()

    def _pending(self) -> list[UsageCount]:
        return [
            UsageCount(window, workspace, requests)
            for window, counts in self._requests_by_window.items()
            for workspace, requests in counts.items()
            if self._handed_on.get((window, workspace)) != requests
        ]

    def _drop(self, window: int) -> None:
        """Forget a window; logs how many of its requests no planner has received."""
        lost = 0
        for workspace, requests in self._requests_by_window.pop(window).items():
            self._handed_on.pop((window, workspace), None)
            lost += requests - self._received.pop((window, workspace), 0)
        if lost:
            log_event(Event.USAGE_LOST, window=window, requests=lost)
