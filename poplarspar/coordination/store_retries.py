"""How often one watcher tries a store that is unavailable."""

import random
from collections.abc import Callable

import eventlet

from poplarspar.coordination.store_health import StoreHealth

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.4
# The longest pause of a node that another one tells what it must read.
INFORMED_MAX_BACKOFF_S = 1.6
# Interrupted calls of one watcher without an answered one in between.
MAX_INTERRUPTIONS = 1


class StoreRetries:
    """Pauses of one watcher after failed calls, in turn with the node's others.

    Parameters
    ----------
    is_informed : callable
        Returns whether another node, which tries the store more often, tells this one
        what it must read.
    is_urgent : bool
        Whether values must take effect within seconds.
    """

    def __init__(
        self, health: StoreHealth, is_informed: Callable[[], bool], is_urgent: bool
    ) -> None:
        self._health = health
        self._is_informed = is_informed
        self._is_urgent = is_urgent
        self._backoff_s = MIN_BACKOFF_S
        self._interruptions = 0

    def record_success(self) -> None:
        """Record an answered call."""
        self._health.record_success()
        self._interruptions = 0
        self._backoff_s = MIN_BACKOFF_S

    def wait_after_interruption(self, cause: str) -> None:
        """Wait after a call that says nothing of the store, unless it is repeated."""
        self._interruptions += 1
        if self._interruptions > MAX_INTERRUPTIONS:
            self.wait_while_unavailable(cause)
        else:
            eventlet.sleep(MIN_BACKOFF_S * random.uniform(0.5, 1.0))

    def wait_while_unavailable(self, cause: str) -> None:
        """Record a failure of the store and wait until this watcher may call it."""
        self._health.record_failure(cause)
        backoff_s = self._backoff_s * random.uniform(0.5, 1.0)
        # Informed nodes should not try it as often as one node may.
        self._health.wait_for_turn(self, backoff_s, self._is_urgent)
        max_backoff_s = INFORMED_MAX_BACKOFF_S if self._is_informed() else MAX_BACKOFF_S
        self._backoff_s = min(2 * self._backoff_s, max_backoff_s)
