"""Demand and losses to be expected until an ordered backend server serves."""

import math
from collections import deque

# Reports of nodes arrive within this time, so a history that is shorter by it counts as
# complete.
START_TOLERANCE_S = 1.0
# Nodes measure rates over about this time; before, they are too inaccurate.
SETTLING_S = 6.0


class DemandForecast:
    """Highest demand of each model to be expected within the lead time.

    Swings that are shorter than half of the lead time change nothing, since the highest
    demand of the past lead time is expected again.

    Parameters
    ----------
    lead_s : float
        Time from an order until an ordered backend server serves, in seconds.
    """

    def __init__(self, lead_s: float) -> None:
        self._lead_s = lead_s
        self._samples: deque[tuple[float, dict[str, float]]] = deque()
        self._began_at: float | None = None

    def record(self, now: float, groups_by_model: dict[str, float]) -> None:
        """Add the demand measured at a time; without any, the history doesn't begin."""
        if self._began_at is None:
            if not any(groups_by_model.values()):
                return
            self._began_at = now
        if now < self._began_at + SETTLING_S:
            return
        self._samples.append((now, dict(groups_by_model)))
        while self._samples[0][0] < now - self._lead_s:
            self._samples.popleft()

    def observed_s(self, now: float) -> float:
        """Return for how long demand has been measured."""
        return 0.0 if self._began_at is None else now - self._began_at

    def expected(self, now: float) -> dict[str, float]:
        """Return the demand to be expected, in replica groups by model."""
        earlier: dict[str, float] = {}
        later: dict[str, float] = {}
        for at, groups_by_model in self._samples:
            peaks = earlier if at < now - self._lead_s / 2 else later
            for model, groups in groups_by_model.items():
                peaks[model] = max(peaks.get(model, 0.0), groups)
        complete = self.observed_s(now) >= SETTLING_S + self._lead_s - START_TOLERANCE_S
        return {
            model: max(
                earlier.get(model, 0.0),
                later.get(model, 0.0)
                + 2 * self._growth(model, earlier, later) * complete,
            )
            for model in earlier.keys() | later.keys()
        }

    @staticmethod
    def _growth(
        model: str, earlier: dict[str, float], later: dict[str, float]
    ) -> float:
        """Return the growth of the peak within half of the lead time."""
        return max(0.0, later.get(model, 0.0) - earlier.get(model, 0.0))


class LossForecast:
    """Backend servers that will be lost within the lead time, at the present rate.

    Parameters
    ----------
    lead_s : float
        Time from an order until an ordered backend server serves, in seconds.
    recent_s : float
        Shortest time to which losses are related, in seconds.
    """

    def __init__(self, lead_s: float, recent_s: float) -> None:
        self._lead_s = lead_s
        self._recent_s = recent_s
        self._lost_at: deque[float] = deque()
        self._began_at: float | None = None

    def record(self, now: float, count: int) -> None:
        """Add backend servers that have been lost since the last call."""
        if self._began_at is None:
            self._began_at = now
        self._lost_at.extend([now] * count)

    def watched_s(self, now: float) -> float:
        """Return for how long losses have been counted."""
        return 0.0 if self._began_at is None else now - self._began_at

    def rate_per_s(self, now: float) -> float:
        """Return the losses in a second, over the past lead time or recently."""
        while self._lost_at and self._lost_at[0] < now - self._lead_s:
            self._lost_at.popleft()
        watched_s = min(self._lead_s, max(self._recent_s, self.watched_s(now)))
        recent = sum(at > now - self._recent_s for at in self._lost_at)
        return max(len(self._lost_at) / watched_s, recent / self._recent_s)

    def expected(self, now: float) -> int:
        """Return how many will be lost within the lead time."""
        return math.ceil(self.rate_per_s(now) * self._lead_s)
