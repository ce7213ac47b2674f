"""Limits on the rate and number of loads from the weight store."""

from collections import deque
from enum import Enum

from poplarspar.state.serving import Engine, EngineModel

# Before the first request, only the weight store limits loads, and they are fast.
MAX_EARLY_LOADS = 16
EARLY_LOAD_TIME_SHARE = 0.1
# Reports show the end of a load with a delay.
REPORT_MARGIN_S = 0.6
# Share of the weight store's rate that the planner uses. The weight store's rate
# windows also count loads of other nodes.
RATE_SHARE = 0.8


class Purpose(Enum):
    """What a load is for; the value is the share of concurrent loads that it may use.

    Loads take long, so those that complete a group must find some of them free.
    """

    GROUP = 1.0
    FIRST = 0.67
    SECOND = 0.34


# Identifier and start time of a backend server; a restart changes the start time.
Incarnation = tuple[str, int]


class LoadBudget:
    """Limits the loads that start within a second and the concurrent loads."""

    def __init__(self) -> None:
        self._recent_starts: deque[float] = deque()
        self._load_by_incarnation: dict[Incarnation, tuple[float, str]] = {}

    def loading(self, now: float) -> dict[str, str]:
        """Return the models that are being loaded, by backend server."""
        self._load_by_incarnation = {
            incarnation: (end, model)
            for incarnation, (end, model) in self._load_by_incarnation.items()
            if end > now
        }
        return {id: model for (id, _), (_, model) in self._load_by_incarnation.items()}

    def remove_finished(
        self, ready_by_incarnation: dict[Incarnation, set[str]]
    ) -> None:
        """Remove loads that are done or whose backend server was lost or restarted.

        Parameters
        ----------
        ready_by_incarnation : dict of Incarnation to set of str
            Models that each responsive backend server has ready.
        """
        self._load_by_incarnation = {
            incarnation: (end, model)
            for incarnation, (end, model) in self._load_by_incarnation.items()
            if incarnation in ready_by_incarnation
            and model not in ready_by_incarnation[incarnation]
        }

    def may_start(
        self,
        engine: Engine,
        now: float,
        before_traffic: bool,
        purpose: Purpose = Purpose.GROUP,
    ) -> bool:
        """Return whether one more load may start now.

        Parameters
        ----------
        before_traffic : bool
            Whether no request has arrived yet.
        purpose : Purpose
            Completion of a group, the first model of a host, or a second one.
        """
        while self._recent_starts and self._recent_starts[0] < now - 1.0:
            self._recent_starts.popleft()
        running = len(self.loading(now))
        if before_traffic:
            return running < MAX_EARLY_LOADS
        if len(self._recent_starts) >= max(1, int(engine.loads_per_s * RATE_SHARE)):
            return False
        return running < max(1.0, engine.concurrent_loads * purpose.value)

    def resume(self, incarnation: Incarnation, model: EngineModel, now: float) -> None:
        """Count a load of the previous planner until its latest possible end."""
        self._load_by_incarnation[incarnation] = (now + model.load_s, model.name)

    def start(
        self,
        incarnation: Incarnation,
        model: EngineModel,
        now: float,
        before_traffic: bool,
    ) -> None:
        """Count a load that starts now."""
        self._recent_starts.append(now)
        load_s = (
            model.load_s * EARLY_LOAD_TIME_SHARE if before_traffic else model.load_s
        )
        self._load_by_incarnation[incarnation] = (
            now + load_s + REPORT_MARGIN_S,
            model.name,
        )
