"""The right of this node to perform duties, which the planner's lease gives."""

from collections.abc import Callable
from typing import Protocol

from poplarspar.coordination.drain import Drain
from poplarspar.coordination.session import boot_clock_s
from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.state.duties import DutyTerm


class PlannerRole(Protocol):
    """What a session knows of the planner's role; see `session.Session`."""

    @property
    def is_planner(self) -> bool:
        """Whether this node was the planner at the last update from the store."""

    @property
    def planner_revision(self) -> int:
        """Revision at which the planner wrote its key."""

    def planner_lease_valid(self) -> bool:
        """Return whether this node's lease on the planner key is still valid."""


class DutyHolding:
    """Says whether this node may make calls of duties now, and with which token.

    Parameters
    ----------
    holder : str
        Name of the node, the same after a restart of its process.
    hold_s : float
        Time in seconds from the begin of a term to its first call, so that nodes
        don't act in turns within it.
    clock : callable
        Returns seconds of a clock that also counts while the VM is suspended.
    """

    def __init__(
        self,
        holder: str,
        hold_s: float,
        session: PlannerRole,
        drain: Drain,
        clock: Callable[[], float] = boot_clock_s,
    ) -> None:
        self._holder = holder
        self._hold_s = hold_s
        self._session = session
        self._drain = drain
        self._clock = clock
        self._token = 0
        self._began_at = float("-inf")
        self._superseded = False

    def holds(self) -> bool:
        """Return whether this node is the planner, and surely the only one."""
        return self._session.is_planner and self._session.planner_lease_valid()

    def term(self) -> DutyTerm | None:
        """Return the present term, None while this node must make no call.

        The answer holds at this moment only, so each call asks for itself.
        """
        if not self.holds():
            return None
        token = self._session.planner_revision
        if token != self._token:
            self._token = token
            self._began_at = self._clock()
            self._superseded = False
            log_event(Event.DUTIES_HELD, holder=self._holder, token=token)
        if self._drain.draining or self._superseded:
            return None
        if self._clock() < self._began_at + self._hold_s:
            return None
        return DutyTerm(self._holder, token)

    def lose(self, term: DutyTerm) -> None:
        """Make no further call in a term, since a node with a higher token acts."""
        if term.token == self._token and not self._superseded:
            self._superseded = True
            log_event(Event.DUTIES_SUPERSEDED, holder=self._holder, token=term.token)

    def held_s(self) -> float:
        """Return for how long this node has held the duties, 0 if it doesn't."""
        return self._clock() - self._began_at if self.term() is not None else 0.0
