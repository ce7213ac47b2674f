"""State of a planner during its term."""

import time
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from poplarspar.coordination.pools.groups import GroupKey, Worker
from poplarspar.coordination.pools.load_budget import LoadBudget
from poplarspar.state.orders import Join
from poplarspar.state.plan import Spare
from poplarspar.state.serving import Engine

# Allows for the lag of reports and for lost orders that the planner sends again.
JOIN_MARGIN_S = 2.0
# Retries of lost orders to join, for all members of one group together.
JOIN_RETRIES = 8


def group_name(model: str, epoch: int) -> str:
    """Return the name of a model's replica group."""
    return f"{model}-{epoch}"


def model_of_group(name: str) -> str:
    """Return the model that a group name contains."""
    return name.rpartition("-")[0]


@dataclass
class FormingGroup:
    """A replica group whose members are joining.

    Attributes
    ----------
    deadline : float
        Monotonic time after which the planner abandons the group.
    warming : bool
        Whether the group only warms one spare, which leaves it when ready.
    join_retries_left : int
        Number of orders to join that the planner may still send again.
    """

    join: Join
    domain: str
    deadline: float
    warming: bool = False
    join_retries_left: int = JOIN_RETRIES


@dataclass
class TermState:
    """State of the planner that reports don't contain.

    Attributes
    ----------
    started_at : float
        Monotonic time at which this node became the planner.
    inherited_spares : dict of (str, int) to Spare
        Spares in the previous planner's plan, by identifier and start time.
    before_traffic : bool
        Whether no request has arrived yet; loads are fast until then.
    closed : set of GroupKey
        Groups whose head accepted an order to close; its fencing token blocks late
        orders to open them.
    """

    started_at: float
    inherited_spares: dict[tuple[str, int], Spare] = field(default_factory=dict)
    before_traffic: bool = False
    forming: dict[GroupKey, FormingGroup] = field(default_factory=dict)
    silent_heads: set[GroupKey] = field(default_factory=set)
    closed: set[GroupKey] = field(default_factory=set)
    broken: set[GroupKey] = field(default_factory=set)
    retired: set[GroupKey] = field(default_factory=set)
    converted_at: float = float("-inf")
    load_budget: LoadBudget = field(default_factory=LoadBudget)
    state_logged_at: float = float("-inf")

    def apply_inherited_spares(self, workers: Iterable[Worker], engine: Engine) -> None:
        """Add last models and running loads from the previous planner's plan."""
        for worker in workers:
            spare = self.inherited_spares.get(worker.incarnation)
            if spare is None:
                continue
            worker.observation.restore_last_model(spare.last_model)
            model = engine.models_by_name.get(spare.staging_model)
            if model is not None:
                self.load_budget.resume(worker.incarnation, model, time.monotonic())
                self.inherited_spares[worker.incarnation] = replace(
                    spare, staging_model=""
                )
