"""The budget for sending requests once more."""

import time
from collections import deque

# Part of the budget that is used: windows slide, and requests near the edge of one
# are counted by others at slightly different times.
SAFETY = 0.8


class RetryBudget:
    """Bounds repeats to a share of recent requests, plus a fixed part.

    Nodes share the fixed part evenly, so no message is needed to keep the sum.

    Parameters
    ----------
    share : float
        Repeats for each request in the window.
    slack : float
        Repeats in the window beyond that, over all nodes.
    window_s : float
        Length of the sliding window in seconds.
    """

    def __init__(
        self, retry_ratio: float, fixed_retries: float, window_s: float
    ) -> None:
        self.set_limits(retry_ratio, fixed_retries, window_s)
        self._nodes = 1
        self._requests: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}

    def set_limits(
        self, retry_ratio: float, fixed_retries: float, window_s: float
    ) -> None:
        """Act on other bounds from now on."""
        self._share = retry_ratio
        self._slack = fixed_retries
        self._window_s = window_s

    def set_node_count(self, node_count: int) -> None:
        """Divide the fixed part by the number of nodes."""
        self._nodes = max(1, node_count)

    def record_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._requests.setdefault(service, deque()).append(time.monotonic())

    def remaining(self, service: str) -> int:
        """Return how many repeats the window still allows."""
        since = time.monotonic() - self._window_s
        requests = _recent(self._requests.setdefault(service, deque()), since)
        repeats = _recent(self._repeats.setdefault(service, deque()), since)
        allowed = self._share * requests + self._slack / self._nodes
        return int(allowed * SAFETY) - repeats

    def gauges(self) -> dict[str, float]:
        """Return the repeats left, for the metrics page."""
        return {f"repeats_left_{name}": self.remaining(name) for name in self._requests}

    def try_consume(self, service: str) -> bool:
        """Use one repeat and return whether the budget had it."""
        if self.remaining(service) <= 0:
            return False
        self._repeats[service].append(time.monotonic())
        return True


def _recent(moments: deque[float], since: float) -> int:
    while moments and moments[0] < since:
        moments.popleft()
    return len(moments)
