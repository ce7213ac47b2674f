"""Limit on this node's calls of duties."""

import time
from collections.abc import Callable

from poplarspar.coordination.duties.ports import DutyPort
from poplarspar.state.duties import (
    CapacityOrder,
    DutyResult,
    DutyTerm,
    Postponed,
    UsageReport,
)

# Longest time for which unused calls add up, in seconds.
BURST_S = 0.5


class PacedDutyPort:
    """Postpones calls above the platform's limit without making them.

    One call of those that have added up is reserved for usage reports, which are few.
    """

    def __init__(
        self,
        port: DutyPort,
        calls_per_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._port = port
        self._calls_per_s = calls_per_s
        self._clock = clock
        # With a low limit, an order finds a call beyond the reserved one.
        self._most = max(2.0, calls_per_s * BURST_S)
        self._available = self._most
        self._updated_at = clock()

    def report_usage(self, term: DutyTerm, report: UsageReport) -> DutyResult:
        """Report the usage of one window."""
        if not self._take(1.0):
            return Postponed()
        return self._port.report_usage(term, report)

    def order_capacity(self, term: DutyTerm, order: CapacityOrder) -> DutyResult:
        """Order a number of backend servers."""
        if not self._take(2.0):
            return Postponed()
        return self._port.order_capacity(term, order)

    def _take(self, needed: float) -> bool:
        now = self._clock()
        gained = (now - self._updated_at) * self._calls_per_s
        self._available = min(self._most, self._available + gained)
        self._updated_at = now
        if self._available < needed:
            return False
        self._available -= 1.0
        return True
