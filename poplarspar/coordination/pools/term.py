"""What one planner remembers from its beginning to its end."""

import time
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from poplarspar.coordination.pools.groups import GroupKey, Worker
from poplarspar.coordination.pools.load_budget import LoadBudget
from poplarspar.state.orders import Join
from poplarspar.state.plan import Spare
from poplarspar.state.serving import Engine

# Reports of members that are ready lag, and orders may be lost and given again.
JOIN_MARGIN_S = 2.0
# Orders to join that are given again for one group, when others than these are lost.
JOIN_RETRIES = 8


def group_name(model: str, epoch: int) -> str:
    """Return the name of a replica group of a model."""
    return f"{model}-{epoch}"


def model_of_group(name: str) -> str:
    """Return the model that a group's name begins with."""
    return name.rpartition("-")[0]


@dataclass
class FormingGroup:
    """A replica group whose members have been ordered to join.

    Attributes
    ----------
    until : float
        Monotonic time after which it is given up.
    warming : bool
        Whether it is of one spare only, which leaves it again.
    repeats : int
        Orders to join that may still be given again.
    """

    join: Join
    domain: str
    deadline: float
    warming: bool = False
    join_retries_left: int = JOIN_RETRIES


@dataclass
class TermState:
    """A planner's memory, beside what reports show.

    Attributes
    ----------
    began_at : float
        Monotonic time at which this node became the planner.
    told : dict of (str, int) to Spare
        What the last planner told of backend servers, by identifier and start.
    before_traffic : bool
        Whether there has been no request yet; loads are quick then.
    closed : set of GroupKey
        Groups that were closed and can't be opened again by a late order.
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
        """Add what the last planner told of backend servers to their reports."""
        for worker in workers:
            told = self.inherited_spares.get(worker.incarnation)
            if told is None:
                continue
            worker.observation.restore_last_model(told.last_model)
            model = engine.models_by_name.get(told.staging_model)
            if model is not None:
                self.load_budget.resume(worker.incarnation, model, time.monotonic())
                self.inherited_spares[worker.incarnation] = replace(
                    told, staging_model=""
                )
