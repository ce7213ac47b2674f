"""Urgency of each model's callers, which weighs the utility of its replica groups."""

import math
from collections import defaultdict
from collections.abc import Mapping

from poplarspar.coordination.pools.admission_shares import CallerClass
from poplarspar.state.plan import Rank

# As long as for the demand that the split between models follows.
TIME_CONSTANT_S = 6.0
# Callers of one rank count this much against those of the next more urgent one.
RANK_FACTOR = 0.7
# A model keeps at least this share of the weight of the most urgent callers' model.
MIN_WEIGHT = 0.5
# With less demand, the priorities of single requests would decide.
MIN_GROUPS = 0.1


def urgency_weights(
    demand_by_model: Mapping[str, Mapping[Rank, float]],
) -> dict[str, float]:
    """Return the weight of each model's callers, 1 on average.

    Parameters
    ----------
    demand_by_model : mapping of str to mapping of Rank to float
        Demand in replica groups by model and rank.
    """
    ranks = sorted({r for demands in demand_by_model.values() for r in demands})
    factor_by_rank = {rank: RANK_FACTOR**place for place, rank in enumerate(ranks)}
    urgency_by_model = {}
    for model, demands in demand_by_model.items():
        asked = sum(demands.values())
        if asked < MIN_GROUPS:
            return {}
        urgent = sum(g * factor_by_rank[rank] for rank, g in demands.items())
        urgency_by_model[model] = urgent / asked
    highest = max(urgency_by_model.values(), default=1.0)
    weights = {
        model: max(MIN_WEIGHT, urgency / highest)
        for model, urgency in urgency_by_model.items()
    }
    mean = sum(weights.values()) / max(1, len(weights))
    return {model: weight / mean for model, weight in weights.items()}


class UrgencyMeter:
    """Smooths the demand by priority, so that bursts don't move groups to and fro."""

    def __init__(self) -> None:
        self._demand_by_model: dict[str, dict[Rank, float]] = {}
        self._updated_at = float("-inf")

    def update(
        self, demand_by_model: Mapping[str, Mapping[CallerClass, float]], now: float
    ) -> None:
        """Take over the present demand of each model by rank and workspace."""
        kept = math.exp(min(0.0, self._updated_at - now) / TIME_CONSTANT_S)
        self._updated_at = now
        smoothed: dict[str, dict[Rank, float]] = {}
        for model, by_class in demand_by_model.items():
            present: dict[Rank, float] = defaultdict(float)
            for (rank, _), groups in by_class.items():
                present[rank] += groups
            earlier = self._demand_by_model.get(model, {})
            smoothed[model] = {
                rank: kept * earlier.get(rank, 0.0)
                + (1.0 - kept) * present.get(rank, 0.0)
                for rank in {*earlier, *present}
            }
        self._demand_by_model = smoothed

    def weights(self) -> dict[str, float]:
        """Return the weight of each model, empty while too little is asked."""
        return urgency_weights(self._demand_by_model)
