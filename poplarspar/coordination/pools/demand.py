"""Demand for the models, and the utility of replica groups that serve them."""

import math
from collections import Counter
from dataclasses import dataclass, field, replace

from poplarspar.state.serving import Engine

# At this rate, one request in eight is late or refused when the number of groups equals
# the demand, and one in twenty with 50% more groups.
SATURATION_RATE = 2.0
# The highest demand for a model is at most this multiple of any other model's.
MAX_DEMAND_RATIO = 8.0
# Demand in replica groups; below it the planner uses the expected demand, because
# the measured one is not accurate enough.
MIN_MEASURED_GROUPS = 1.0
# Share of the backend servers assumed busy until demand is measured.
EXPECTED_UTILIZATION = 0.7


@dataclass(frozen=True)
class Demand:
    """Number of replica groups that the callers of each model can keep busy.

    Attributes
    ----------
    weight_by_model : dict of str to float
        Urgency of each model's callers, 1 on average; 1 for a model without.
    """

    groups_by_model: dict[str, float]
    weight_by_model: dict[str, float] = field(default_factory=dict)

    def utility(self, count_by_model: Counter[str]) -> float:
        """Return the share of callers served in time, as a weighted sum over models.

        Half of a model's weight is fixed and half is proportional to its demand, so
        neither models with many callers nor small models are neglected.
        """
        total = sum(self.groups_by_model.values())
        models = len(self.groups_by_model)
        return sum(
            self.weight_by_model.get(model, 1.0)
            * (0.5 + 0.5 * models * groups / total)
            * (1.0 - math.exp(-SATURATION_RATE * count_by_model[model] / groups))
            for model, groups in self.groups_by_model.items()
        )

    def gain(self, count_by_model: Counter[str], change: Counter[str]) -> float:
        """Return the change in utility when group counts change."""
        after = Counter(count_by_model)
        after.update(change)
        return self.utility(after) - self.utility(count_by_model)

    def weighted(self, weight_by_model: dict[str, float]) -> "Demand":
        """Return the same demand with the urgency of each model's callers."""
        return replace(self, weight_by_model=weight_by_model)

    @classmethod
    def measured(cls, groups_by_model: dict[str, float]) -> "Demand":
        """Return measured demand with a minimum for each model."""
        floor = max([*groups_by_model.values(), 1e-3]) / MAX_DEMAND_RATIO
        return cls({m: max(floor, groups) for m, groups in groups_by_model.items()})

    @classmethod
    def estimated(
        cls, engine: Engine, measured: dict[str, float], backend_count: int
    ) -> "Demand":
        """Return the measured demand, or the expected one while little is measured."""
        models = engine.models_by_name.values()
        if sum(measured.values()) >= MIN_MEASURED_GROUPS:
            return cls.measured({m.name: measured.get(m.name, 0.0) for m in models})
        return cls.expected(
            {model.name: model.members for model in models},
            {model.name: model.share for model in models},
            backend_count,
        )

    @classmethod
    def expected(
        cls,
        members_by_model: dict[str, int],
        share_by_model: dict[str, float],
        backend_count: int,
    ) -> "Demand":
        """Return the assumed demand while none is measured.

        Parameters
        ----------
        members_by_model : dict of str to int
            Number of backend servers in one replica group.
        share_by_model : dict of str to float
            Share of the backend servers in use.
        backend_count : int
            Number of backend servers.
        """
        used = max(1.0, EXPECTED_UTILIZATION * backend_count)
        total = sum(share_by_model.values()) or 1.0
        return cls.measured(
            {
                model: used * share_by_model[model] / total / members
                for model, members in members_by_model.items()
            }
        )
