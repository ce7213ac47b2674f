"""A node's part in counting usage: its own counts, and those handed on to it."""

import time

import eventlet

from poplarspar.coordination.duties.true_clock import TrueClock
from poplarspar.coordination.duties.usage_meter import UsageMeter
from poplarspar.coordination.duties.usage_totals import UsageTotals
from poplarspar.state.duties import Duty, DutySettings

HANDOVER_CHECK_INTERVAL_S = 0.05


class UsageExchange:
    """Counts of this node, and of all nodes while it is the planner.

    Without the duty to report usage it counts nothing.

    Parameters
    ----------
    clock : TrueClock
        Decides in which window a request begins.
    """

    def __init__(self, settings: DutySettings | None, clock: TrueClock) -> None:
        is_reported = settings is not None and Duty.USAGE in settings.duties
        self.clock = clock
        self.meter = UsageMeter(
            settings.window_s if is_reported else 0.0, self.clock.now
        )
        self.totals = UsageTotals(self.clock.now)
        self._reported_window = 0

    def reported_window(self) -> int:
        """Return the newest window that is known to be reported, 0 for none."""
        return max(self._reported_window, self.meter.reported_window)

    def record_reported(self, window: int) -> None:
        """Note that a window is reported; the plan's updates tell all nodes."""
        self._reported_window = max(self._reported_window, window)

    def wait_handed_on(self, timeout_s: float) -> None:
        """Wait until the planner has all counts of this node, which counts no more."""
        self.meter.finish()
        ends_at = time.monotonic() + timeout_s
        while not self.meter.is_handed_on() and time.monotonic() < ends_at:
            eventlet.sleep(HANDOVER_CHECK_INTERVAL_S)
