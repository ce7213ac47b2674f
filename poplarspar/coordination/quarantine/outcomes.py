"""Share of a node's recent requests whose answers begin, by pool."""

import time
from collections import deque

WINDOW_S = 10.0
# Bounds the memory; the share of the latest requests is as good.
MAX_OUTCOMES = 256
# With a smaller share of begun answers, the pool itself has failed.
MIN_BEGUN_SHARE = 0.25


class PoolOutcomes:
    """Tells whether a pool of backend servers serves other requests."""

    def __init__(self) -> None:
        self._outcomes_by_pool: dict[str, deque[tuple[float, bool]]] = {}

    def record(self, pool: str, begun: bool) -> None:
        """Record whether the answer to a request has begun."""
        outcomes = self._outcomes_by_pool.setdefault(pool, deque(maxlen=MAX_OUTCOMES))
        outcomes.append((time.monotonic(), begun))

    def are_serving(self, pools: set[str]) -> bool:
        """Return whether answers of the pools have begun recently."""
        since = time.monotonic() - WINDOW_S
        recent = [
            begun
            for pool in pools
            for at, begun in self._outcomes_by_pool.get(pool, ())
            if at > since
        ]
        return sum(recent) > MIN_BEGUN_SHARE * len(recent)
