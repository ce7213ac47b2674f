"""A node's duties towards the platform, which it performs while it is the planner."""

from contextlib import ExitStack

from poplarspar.coordination.drain import Drain
from poplarspar.coordination.duties import DutyHolding, DutyPort, PacedDutyPort
from poplarspar.coordination.session import Session
from poplarspar.state.duties import DutySettings


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
    ) -> None:
        self._settings = settings
        self.holding = DutyHolding(holder, settings.hold_s, session, drain)
        self.port = PacedDutyPort(port, settings.calls_per_s)

    def start(self, stack: ExitStack) -> None:
        """Start the task of each duty and register its cleanup with `stack`."""

    def gauges(self) -> dict[str, float]:
        """Return the gauges of the duties."""
        return {"duties_held_seconds": self.holding.held_s()}
