"""A node's duties towards the platform, which it performs while it is the planner."""

from collections.abc import Callable
from contextlib import ExitStack

from poplarspar.coordination.drain import Drain
from poplarspar.coordination.duties import (
    CapacityDuty,
    DutyHolding,
    DutyPort,
    PacedDutyPort,
    UsageExchange,
    UsageLedger,
    UsageReporter,
    WindowClock,
)
from poplarspar.coordination.session import Session
from poplarspar.coordination.store_ports import Store
from poplarspar.coordination.supervision import spawn_supervised
from poplarspar.planning import PlanningPart
from poplarspar.protocol.usage import UsageJson
from poplarspar.state.duties import Duty, DutySettings
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
        store: Store,
        usage: UsageExchange,
        fleet: Callable[[], Fleet],
        planning: PlanningPart,
    ) -> None:
        self._settings = settings
        self.holding = DutyHolding(holder, settings.hold_s, session, drain)
        self.port = PacedDutyPort(port, settings.calls_per_s)
        self._reporter: UsageReporter | None = None
        if Duty.USAGE in settings.duties:
            self._reporter = UsageReporter(
                self.holding,
                self.port,
                UsageLedger(store, UsageJson()),
                usage,
                WindowClock(settings, usage.clock.now),
                lambda: frozenset(session.capacity_by_node),
            )
        self._capacity: CapacityDuty | None = None
        if Duty.CAPACITY in settings.duties:
            self._capacity = CapacityDuty(
                self.holding,
                self.port,
                fleet,
                lambda: planning.plan,
                planning.silent_backends,
            )

    def start(self, stack: ExitStack) -> None:
        """Start the task of each duty and register its cleanup with `stack`."""
        if self._reporter is not None:
            stack.callback(spawn_supervised(self._reporter.run).kill)
        if self._capacity is not None:
            stack.callback(spawn_supervised(self._capacity.run).kill)

    def gauges(self) -> dict[str, float]:
        """Return the gauges of the duties."""
        gauges = {"duties_held_seconds": self.holding.held_s()}
        if self._reporter is not None:
            gauges.update(self._reporter.gauges())
        if self._capacity is not None:
            gauges.update(self._capacity.gauges())
        return gauges
