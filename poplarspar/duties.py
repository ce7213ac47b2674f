"""A node's duties towards the platform, which it performs while it is the planner."""

from collections.abc import Callable, Set
from contextlib import ExitStack

from poplarspar.coordination.drain import Drain
from poplarspar.coordination.duties import (
    CapacityDuty,
    DutyHolding,
    DutyPort,
    PacedDutyPort,
)
from poplarspar.coordination.session import Session
from poplarspar.coordination.supervision import spawn_supervised
from poplarspar.state.duties import Duty, DutySettings
from poplarspar.state.plan import FleetPlan
from poplarspar.state.serving import Fleet


class DutyPart:
    """Performs the duties that the settings name.

    Parameters
    ----------
    holder : str
        Name of this node, the same after a restart of its process.

    Attributes
    ----------
    holding : DutyHolding
        Says whether this node may make calls of duties now.
    port : PacedDutyPort
        Makes them within the platform's limit.
    """

    def __init__(
        self,
        holder: str,
        settings: DutySettings,
        port: DutyPort,
        session: Session,
        drain: Drain,
        fleet: Callable[[], Fleet],
        plan: Callable[[], FleetPlan],
        silent: Callable[[], Set[str]],
    ) -> None:
        self._settings = settings
        self.holding = DutyHolding(holder, settings.hold_s, session, drain)
        self.port = PacedDutyPort(port, settings.calls_per_s)
        self._capacity = CapacityDuty(self.holding, self.port, fleet, plan, silent)

    def start(self, stack: ExitStack) -> None:
        """Start the task of each duty and register its cleanup with `stack`."""
        if Duty.CAPACITY in self._settings.duties:
            stack.callback(spawn_supervised(self._capacity.run).kill)

    def gauges(self) -> dict[str, float]:
        """Return the gauges of the duties."""
        return {
            "duties_held_seconds": self.holding.held_s(),
            **self._capacity.gauges(),
        }
