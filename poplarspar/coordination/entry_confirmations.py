"""How old a node's knowledge of backend servers' entries is, by another one's word."""

from collections.abc import Callable

from poplarspar.coordination.store_leases import boot_clock_s

# Shares of the time between two reads of a node that reads by itself. The rest of it is
# for the update of the plan and for the nodes' own reads.
PLANNER_PAUSE_SHARE = 0.45
PLANNER_WAIT_SHARE = 0.15
# Below this, updates of the plan would hardly arrive in time.
MIN_INTERVAL_S = 1.0


class EntryConfirmations:
    """The planner's confirmations that it has announced all changes of entries.

    A node needs no read of its own as long as the last confirmation is younger than one
    of its reads would be.

    Parameters
    ----------
    clock_s : callable
        Returns the time; it also counts while the VM is suspended.

    Attributes
    ----------
    interval_s : float
        Time after which a node that gets no confirmation reads the entries.
    """

    def __init__(self, clock_s: Callable[[], float] = boot_clock_s) -> None:
        self._clock_s = clock_s
        self._confirmed_at = float("-inf")
        self.interval_s = 0.0

    def record(self, age_ms: int, asked_at: float) -> None:
        """Record the age that an answer named, and when this node asked for it.

        The answer may have been on its way since then. An age of 0 is unknown.
        """
        if age_ms:
            self._confirmed_at = asked_at - age_ms / 1000

    def left_s(self) -> float:
        """Return the seconds for which no read is needed, negative if one is due."""
        if self.interval_s < MIN_INTERVAL_S:
            return float("-inf")
        return self._confirmed_at + self.interval_s - self._clock_s()

    def planner_pause_s(self) -> float:
        """Return the time between the planner's watches of the entries."""
        if self.interval_s < MIN_INTERVAL_S:
            return self.interval_s
        return self.interval_s * PLANNER_PAUSE_SHARE

    def planner_wait_s(self, usual_s: float) -> float:
        """Return how long the planner's watches may wait, given the usual time."""
        if self.interval_s < MIN_INTERVAL_S:
            return usual_s
        return min(usual_s, self.interval_s * PLANNER_WAIT_SHARE)
