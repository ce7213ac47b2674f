"""Replica groups as the reports of their members show them."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from poplarspar.coordination.pools.health_monitor import Observation
from poplarspar.state.backends import MemberPhase, Membership
from poplarspar.state.serving import Engine, EngineModel

# A group runs at the pace of its slowest member; at half the pace its streams pause
# for too long.
SLOW_PACE = 1.8

GroupKey = tuple[str, int]


@dataclass(frozen=True)
class Worker:
    """A backend server as the planner sees it in one round.

    Attributes
    ----------
    draining : bool
        Whether it says that it is about to stop.
    gone : bool
        Whether it is listed no more.
    out : bool
        Whether its zone is evacuated.
    """

    observation: Observation
    silent: bool
    draining: bool
    unlisted: bool
    evacuated: bool

    @property
    def id(self) -> str:
        """Its identifier."""
        return self.observation.backend.id

    @property
    def incarnation(self) -> tuple[str, int]:
        """Its identifier and start."""
        return self.id, self.observation.report.started_ms

    @property
    def leaving(self) -> bool:
        """Whether it will stop soon."""
        return self.draining or self.unlisted

    @property
    def domain(self) -> str:
        """Its fabric domain."""
        return self.observation.report.engine_state.domain

    @property
    def membership(self) -> Membership | None:
        """Its place in a replica group."""
        report = self.observation.report
        return report.engine_state.membership if report else None

    @property
    def slow(self) -> bool:
        """Whether it slows its replica group down."""
        report = self.observation.report
        return report is not None and report.slowdown >= SLOW_PACE

    @property
    def ready_models(self) -> set[str]:
        """Models that it gets ready without the weight store."""
        hosting = self.observation.report.engine_state
        return {hosting.model, *hosting.staged_models} - {""}

    def load_s(self, model: EngineModel) -> float:
        """Return how long it needs to get a model ready."""
        hosting = self.observation.report.engine_state
        if hosting.model == model.name:
            return 0.0
        if model.name in hosting.staged_models:
            return model.staged_load_s
        return model.load_s


@dataclass
class Group:
    """A replica group, known from what its members report."""

    key: GroupKey
    members_by_rank: dict[int, Worker] = field(default_factory=dict)

    @property
    def head(self) -> Worker | None:
        """The member that takes requests, None if nobody says it is it."""
        return self.members_by_rank.get(0)

    @property
    def phase(self) -> MemberPhase | None:
        """How far the head is."""
        return self.head.membership.phase if self.head else None

    @property
    def model(self) -> str:
        """The model that the members were told to serve."""
        names = {
            w.observation.report.engine_state.model
            for w in self.members_by_rank.values()
        } - {""}
        return next(iter(names)) if len(names) == 1 else ""

    @property
    def domain(self) -> str:
        """The fabric domain of its members."""
        return next(iter(self.members_by_rank.values())).domain

    def is_healthy(self, engine: Engine) -> bool:
        """Return whether each member is ready and well.

        A member that drains stays for as long as its group works, but the head
        may be sent nothing more.
        """
        model = engine.models_by_name.get(self.model)
        if model is None or set(self.members_by_rank) != set(range(model.members)):
            return False
        return all(
            not worker.silent
            and not worker.unlisted
            and not (worker.draining and rank == 0)
            and worker.membership.phase is not MemberPhase.JOINING
            and worker.membership.phase is not MemberPhase.BROKEN
            for rank, worker in self.members_by_rank.items()
        )

    @property
    def is_evacuated(self) -> bool:
        """Whether nothing is to be sent to the head's zone."""
        return self.head is not None and self.head.evacuated

    @property
    def slowdown(self) -> float:
        """How much slower the slowest member is than the engine's figures."""
        return max(w.observation.report.slowdown for w in self.members_by_rank.values())

    @property
    def draining_count(self) -> int:
        """How many members are about to stop."""
        return sum(worker.draining for worker in self.members_by_rank.values())

    def silent_members(self) -> list[Worker]:
        """Return the members that do not answer."""
        return [worker for worker in self.members_by_rank.values() if worker.silent]


def build_groups(workers: Iterable[Worker]) -> dict[GroupKey, Group]:
    """Return the replica groups that reports name, by name and epoch."""
    groups: dict[GroupKey, Group] = {}
    for worker in workers:
        membership = worker.membership
        if membership is not None:
            group = groups.setdefault(membership.key, Group(membership.key))
            group.members_by_rank[membership.rank] = worker
    return groups
