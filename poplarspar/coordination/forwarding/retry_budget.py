"""Retry budget, per service."""

import time
from collections import deque

# Share of the budget that a node uses. Windows slide, and other processes count the
# requests near the edge of a window at slightly different times.
USABLE_FRACTION = 0.8


class RetryBudget:
    """Limits retries to a ratio of recent requests, plus a fixed part.

    Nodes divide the fixed part evenly, so they need no messages to stay within it.

    Parameters
    ----------
    retry_ratio : float
        Retries allowed for each request in the window.
    fixed_retries : float
        Retries in the window beyond that, over all nodes.
    window_s : float
        Length of the sliding window in seconds.
    """

    def __init__(
        self, retry_ratio: float, fixed_retries: float, window_s: float
    ) -> None:
        self.set_limits(retry_ratio, fixed_retries, window_s)
        self._node_count = 1
        self._request_times_by_service: dict[str, deque[float]] = {}
        self._retry_times_by_service: dict[str, deque[float]] = {}

    def set_limits(
        self, retry_ratio: float, fixed_retries: float, window_s: float
    ) -> None:
        """Replace the limits."""
        self._retry_ratio = retry_ratio
        self._fixed_retries = fixed_retries
        self._window_s = window_s

    def set_node_count(self, node_count: int) -> None:
        """Divide the fixed part by the number of nodes."""
        self._node_count = max(1, node_count)

    def record_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._request_times_by_service.setdefault(service, deque()).append(
            time.monotonic()
        )

    def remaining(self, service: str) -> int:
        """Return how many retries the window still allows."""
        since = time.monotonic() - self._window_s
        requests = _count_recent(
            self._request_times_by_service.setdefault(service, deque()), since
        )
        retries = _count_recent(
            self._retry_times_by_service.setdefault(service, deque()), since
        )
        allowed = self._retry_ratio * requests + self._fixed_retries / self._node_count
        return int(allowed * USABLE_FRACTION) - retries

    def gauges(self) -> dict[str, float]:
        """Return the retries left, for the metrics page."""
        return {
            f"repeats_left_{name}": self.remaining(name)
            for name in self._request_times_by_service
        }

    def try_consume(self, service: str) -> bool:
        """Use one retry of the budget and return whether one was available."""
        if self.remaining(service) <= 0:
            return False
        self._retry_times_by_service[service].append(time.monotonic())
        return True


def _count_recent(times: deque[float], since: float) -> int:
    while times and times[0] < since:
        times.popleft()
    return len(times)
