"""Retry budget, per service."""

import time
from collections import deque

from poplarspar.coordination.forwarding.routing import RoutedRequest
from poplarspar.coordination.waiting import Standing

# Share of the budget that a node uses. Windows slide, and other processes count the
# requests near the edge of a window at slightly different times.
USABLE_FRACTION = 0.8
# Share of the budget that less urgent requests leave to the most urgent ones and to
# streams that have been delivered in part.
KEPT_SHARE = 0.25


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
        allowed, retries = self._allowed_and_used(service)
        return allowed - retries

    def _allowed_and_used(self, service: str) -> tuple[int, int]:
        since = time.monotonic() - self._window_s
        requests = _count_recent(
            self._request_times_by_service.setdefault(service, deque()), since
        )
        retries = _count_recent(
            self._retry_times_by_service.setdefault(service, deque()), since
        )
        allowed = self._retry_ratio * requests + self._fixed_retries / self._node_count
        return int(allowed * USABLE_FRACTION), retries

    def gauges(self) -> dict[str, float]:
        """Return the retries left, for the metrics page."""
        return {
            f"repeats_left_{name}": self.remaining(name)
            for name in self._request_times_by_service
        }

    def may_consume(self, service: str, kept_share: float = 0.0) -> bool:
        """Return whether a retry is available that leaves a share of the budget."""
        allowed, retries = self._allowed_and_used(service)
        return allowed - retries > int(allowed * kept_share)

    def try_consume(self, service: str, kept_share: float = 0.0) -> bool:
        """Use one retry of the budget and return whether one was available.

        Parameters
        ----------
        kept_share : float
            Share of the budget that stays for other requests.
        """
        if not self.may_consume(service, kept_share):
            return False
        self._retry_times_by_service[service].append(time.monotonic())
        return True


def kept_share(routed: RoutedRequest, standing: Standing) -> float:
    """Return the share of the budget that a request's retry leaves to others."""
    if not routed.prioritized or routed.priority == 0:
        return 0.0
    return 0.0 if standing is Standing.DELIVERED_IN_PART else KEPT_SHARE


def _count_recent(times: deque[float], since: float) -> int:
    while times and times[0] < since:
        times.popleft()
    return len(times)
