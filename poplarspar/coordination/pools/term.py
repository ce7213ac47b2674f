"""What one planner remembers from its beginning to its end."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from poplarspar.coordination.pools.forming import NewGroup
from poplarspar.coordination.pools.loads import LoadBudget
from poplarspar.coordination.pools.picture import GroupKey, Worker
from poplarspar.state.plan import Spare


@dataclass
class Forming:
    """A replica group whose members have been ordered to join."""

    new: NewGroup
    until: float


@dataclass(frozen=True)
class Inherited:
    """What the last planner knew of a spare.

    Attributes
    ----------
    model : str
        Model that it served last.
    held_until : float
        Monotonic time from which on it may join a group.
    """

    model: str
    held_until: float


@dataclass
class Term:
    """A planner's memory, beside what reports show.

    Attributes
    ----------
    began_at : float
        Monotonic time at which this node became the planner.
    stall_s : float
        Time after which a replica group without one of its members gives up.
    inherited : dict of (str, int) to Inherited
        What the last planner told of spares, by identifier and start.
    before_traffic : bool
        Whether there has been no request yet; loads are quick then.
    held_until : dict of str to float
        Times until which the last groups of backend servers may still serve.
    closed : set of GroupKey
        Groups that were closed and can't be opened again by a late order.
    """

    began_at: float
    stall_s: float
    inherited: dict[tuple[str, int], Inherited] = field(default_factory=dict)
    before_traffic: bool = False
    forming: dict[GroupKey, Forming] = field(default_factory=dict)
    held_until: dict[str, float] = field(default_factory=dict)
    headless: set[GroupKey] = field(default_factory=set)
    closed: set[GroupKey] = field(default_factory=set)
    broken: set[GroupKey] = field(default_factory=set)
    given_up: set[GroupKey] = field(default_factory=set)
    converted_at: float = float("-inf")
    loads: LoadBudget = field(default_factory=LoadBudget)
    logged_at: float = float("-inf")
    _life_by_id: dict[str, int] = field(default_factory=dict)

    def meet(self, workers: Iterable[Worker], now: float) -> None:
        """Hold back spares whose last replica group may still serve.

        A backend server that has had orders and is in no group when this planner
        first hears of it may have left one whose head is out of sight.
        """
        for worker in workers:
            report = worker.heard.report
            if self._life_by_id.get(worker.id) == report.started_ms:
                continue
            self._life_by_id[worker.id] = report.started_ms
            self.held_until.pop(worker.id, None)
            if worker.membership is None and report.hosting.orders:
                unknown = Inherited(report.hosting.model, now + self.stall_s)
                known = self.inherited.get((worker.id, report.started_ms), unknown)
                self.held_until[worker.id] = known.held_until
                worker.heard.note_model(known.model)

    def is_held(self, worker: Worker, now: float) -> bool:
        """Return whether a backend server may not join a group yet."""
        return now < self.held_until.get(worker.id, float("-inf"))

    def spare(self, worker: Worker, now: float) -> Spare:
        """Return what the next planner has to know of a spare."""
        held_s = max(0.0, self.held_until.get(worker.id, now) - now)
        report = worker.heard.report
        model = report.hosting.model
        return Spare(worker.id, report.started_ms, model, int(held_s * 1000))
