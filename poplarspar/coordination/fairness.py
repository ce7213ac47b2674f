"""Weighted fair queueing of waiting requests between workspaces."""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from eventlet.event import Event

from poplarspar.coordination import waiting


@dataclass(frozen=True)
class Demand:
    """Capacity that one request needs.

    Attributes
    ----------
    tokens : int
        Most tokens that the request can occupy at the backend server.
    patience_s : float
        Longest time to wait for capacity, in seconds.
    hold_s : float
        Longest time that the request can occupy its slot, in seconds.
    """

    workspace: str
    weight: int
    queue_limit: int
    deployment: str
    tokens: int
    patience_s: float
    hold_s: float

    def within(self, limit_s: float) -> "Demand":
        """Return the same demand with `patience_s` limited to `limit_s`."""
        return replace(self, patience_s=min(self.patience_s, limit_s))


@dataclass(eq=False)
class Waiter(waiting.Waiter):
    """A waiting request; `granted` delivers its slot."""

    demand: Demand | None = None
    granted: Event = field(default_factory=Event)


class FairQueue:
    """Requests that wait for one deployment, in arrival order per workspace.

    The workspace with the fewest running requests relative to its weight goes
    first, so a large workspace cannot starve a small one.
    """

    def __init__(self) -> None:
        self._running_by_workspace: Counter[str] = Counter()
        self._waiting = waiting.WaitingQueue(self._running_by_workspace.__getitem__)

    def is_full(self, demand: Demand) -> bool:
        """Return whether the workspace has reached its queue limit."""
        count = sum(
            waiter.demand.workspace == demand.workspace
            for waiter in self._waiting.in_order()
        )
        return count >= demand.queue_limit

    def has_waiters(self) -> bool:
        """Return whether any request waits."""
        return bool(self._waiting)

    def join(self, demand: Demand) -> Waiter:
        """Add a request to the queue."""
        claim = waiting.ByUrgency(
            rank=0,
            standing=waiting.Standing.FIRST_ATTEMPT,
            workspace=demand.workspace,
            useful_until=math.inf,
            weight=demand.weight,
        )
        waiter = Waiter(claim, demand=demand)
        self._waiting.number(waiter)
        self._waiting.join(waiter)
        return waiter

    def leave(self, waiter: Waiter) -> None:
        """Remove a request if it is still in the queue."""
        self._waiting.leave(waiter)

    def start(self, workspace: str) -> None:
        """Add one running request to the count of the workspace."""
        self._running_by_workspace[workspace] += 1

    def finish(self, workspace: str) -> None:
        """Remove one running request from the count of the workspace."""
        self._running_by_workspace[workspace] -= 1

    def serve(self, try_grant: Callable[[Waiter], bool]) -> None:
        """Call `try_grant` on waiting requests until it grants none of them."""
        while any(self._grant(waiter, try_grant) for waiter in self._first_waiters()):
            pass

    def _grant(self, waiter: Waiter, try_grant: Callable[[Waiter], bool]) -> bool:
        if not try_grant(waiter):
            return False
        self.leave(waiter)
        return True

    def _first_waiters(self) -> list[Waiter]:
        first_by_workspace: dict[str, Waiter] = {}
        for waiter in self._waiting.in_order():
            first_by_workspace.setdefault(waiter.demand.workspace, waiter)
        return list(first_by_workspace.values())
