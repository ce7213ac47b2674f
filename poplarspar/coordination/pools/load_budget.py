"""The rate at which loads from the weight store may begin."""

from collections import deque

from poplarspar.state.serving import Engine, EngineModel

# Before the first request loads are quick and bound by nothing but the store.
EARLY_LOADS_AT_ONCE = 16
EARLY_PART = 0.1
# Reports show the end of a load a little later.
REPORT_MARGIN_S = 0.6
# Part of the store's rate that is used; its windows count other nodes' loads too.
RATE_PART = 0.8
# Part of the loads at once that may only give hosts a second model.
SECOND_PART = 0.34


# A backend server from one start to the next: its identifier and the start.
Incarnation = tuple[str, int]


class LoadBudget:
    """Bounds the loads that begin in a second and that run at once."""

    def __init__(self) -> None:
        self._begun: deque[float] = deque()
        self._load_by_life: dict[Incarnation, tuple[float, str]] = {}

    def loading(self, now: float) -> dict[str, str]:
        """Return the models of loads that still run, by backend server."""
        self._load_by_life = {
            life: (end, model)
            for life, (end, model) in self._load_by_life.items()
            if end > now
        }
        return {id: model for (id, _), (_, model) in self._load_by_life.items()}

    def remove_finished(self, ready_by_life: dict[Incarnation, set[str]]) -> None:
        """Forget loads that are done, or that ended with their backend server.

        Parameters
        ----------
        ready_by_life : dict of Life to set of str
            Models that each backend server that answers has.
        """
        self._load_by_life = {
            life: (end, model)
            for life, (end, model) in self._load_by_life.items()
            if life in ready_by_life and model not in ready_by_life[life]
        }

    def may_start(
        self, engine: Engine, now: float, early: bool, urgent: bool = True
    ) -> bool:
        """Return whether one more load may begin now.

        Parameters
        ----------
        early : bool
            Whether there has been no request yet.
        urgent : bool
            Whether it is for more than a second model on a host.
        """
        while self._begun and self._begun[0] < now - 1.0:
            self._begun.popleft()
        running = len(self.loading(now))
        if early:
            return running < EARLY_LOADS_AT_ONCE
        if len(self._begun) >= max(1, int(engine.loads_per_s * RATE_PART)):
            return False
        part = 1.0 if urgent else SECOND_PART
        return running < max(1.0, engine.concurrent_loads * part)

    def resume(self, life: Incarnation, model: EngineModel, now: float) -> None:
        """Count a load that the last planner began, for its longest time left."""
        self._load_by_life[life] = (now + model.load_s, model.name)

    def start(
        self, life: Incarnation, model: EngineModel, now: float, before_traffic: bool
    ) -> None:
        """Count a load that begins now."""
        self._begun.append(now)
        load_s = model.load_s * EARLY_PART if before_traffic else model.load_s
        self._load_by_life[life] = (now + load_s + REPORT_MARGIN_S, model.name)
