"""How much each model's replica groups are worth, given what callers need."""

import math
from collections import Counter
from dataclasses import dataclass

# With as many groups as callers keep busy, this leaves one request in eight late
# or refused, and with half as many again one in twenty.
STEEPNESS = 2.0
# No model is taken to need less than this part of the most wanted one's groups.
MOST_UNEVEN = 8.0
# Part of all backend servers that callers are taken to keep busy, before it shows.
EXPECTED_USE = 0.7


@dataclass(frozen=True)
class Demand:
    """How many replica groups the callers of each model would keep busy."""

    groups_by_model: dict[str, float]

    def utility(self, count_by_model: Counter[str]) -> float:
        """Return the part of the callers that is served well, summed over models.

        Half of a model's weight is its part of the work, so that neither many
        callers nor those of a small model are forgotten.
        """
        total = sum(self.groups_by_model.values())
        models = len(self.groups_by_model)
        return sum(
            (0.5 + 0.5 * models * groups / total)
            * (1.0 - math.exp(-STEEPNESS * count_by_model[model] / groups))
            for model, groups in self.groups_by_model.items()
        )

    def gain(self, count_by_model: Counter[str], change: Counter[str]) -> float:
        """Return what more, or fewer, groups are worth."""
        after = Counter(count_by_model)
        after.update(change)
        return self.utility(after) - self.utility(count_by_model)

    @classmethod
    def measured(cls, groups_by_model: dict[str, float]) -> "Demand":
        """Return needs that callers have shown, at least a little of each model."""
        floor = max([*groups_by_model.values(), 1e-3]) / MOST_UNEVEN
        return cls({m: max(floor, groups) for m, groups in groups_by_model.items()})

    @classmethod
    def expected(
        cls,
        members_by_model: dict[str, int],
        share_by_model: dict[str, float],
        backend_count: int,
    ) -> "Demand":
        """Return needs before callers have shown any.

        Parameters
        ----------
        members_by_model : dict of str to int
            Backend servers in one replica group.
        share_by_model : dict of str to float
            Part of the work, of all backend servers in use.
        all : int
            Backend servers that there are.
        """
        used = max(1.0, EXPECTED_USE * backend_count)
        total = sum(share_by_model.values()) or 1.0
        return cls.measured(
            {
                model: used * share_by_model[model] / total / members
                for model, members in members_by_model.items()
            }
        )
