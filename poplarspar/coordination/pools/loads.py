"""The rate at which loads from the weight store may begin."""

from collections import deque

from poplarspar.state.serving import Engine, EngineModel


class LoadBudget:
    """Bounds the loads that begin in a second and that run at once.

    Parameters
    ----------
    factor : float
        Factor on the engine's rate that is borne for a short while; it is kept
        as a reserve for loads that this node does not know of.
    """

    def __init__(self, factor: float) -> None:
        self._factor = factor
        self._begun: deque[float] = deque()
        self._ends: list[float] = []

    def take(self, engine: Engine, model: EngineModel, now: float) -> bool:
        """Count a load that begins now; return False if it has to wait."""
        while self._begun and self._begun[0] < now - 1.0:
            self._begun.popleft()
        self._ends = [end for end in self._ends if end > now]
        if engine.loads_per_s and len(self._begun) >= int(engine.loads_per_s):
            return False
        if engine.loads_at_once and len(self._ends) >= engine.loads_at_once:
            return False
        self._begun.append(now)
        self._ends.append(now + model.load_s)
        return True
