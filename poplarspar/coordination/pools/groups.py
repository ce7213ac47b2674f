"""Replica groups, derived from the reports of their members."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from poplarspar.coordination.pools.health_monitor import Observation
from poplarspar.state.backends import MemberPhase, Membership
from poplarspar.state.serving import Engine, EngineModel

# A group runs at the speed of its slowest member; at half speed, the gaps between
# tokens of its streams are too long.
SLOWDOWN_THRESHOLD = 1.8

GroupKey = tuple[str, int]


@dataclass(frozen=True)
class Worker:
    """State of a backend server during one planning pass.

    Attributes
    ----------
    silent : bool
        Whether it no longer answers probes.
    draining : bool
        Whether its entry in the platform's list says that it drains.
    unlisted : bool
        Whether the platform's list no longer contains it.
    evacuated : bool
        Whether its zone is evacuated.
    """

    observation: Observation
    silent: bool
    draining: bool
    unlisted: bool
    evacuated: bool

    @property
    def id(self) -> str:
        """Identifier of the backend server."""
        return self.observation.backend.id

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identifier and start time, Unix milliseconds."""
        return self.id, self.observation.report.started_ms

    @property
    def leaving(self) -> bool:
        """Whether it will stop soon."""
        return self.draining or self.unlisted

    @property
    def doubtful(self) -> bool:
        """Whether it may be lost: nothing has shown since a doubt that it still runs.

        A group that it should join would wait for it until the planner knows.
        """
        observation = self.observation
        suspected = observation.reported_at < observation.suspected_at
        return suspected or observation.failures > 0

    @property
    def domain(self) -> str:
        """Fabric domain of the backend server."""
        return self.observation.report.engine_state.domain

    @property
    def membership(self) -> Membership | None:
        """Replica group, rank and phase, None outside a group."""
        report = self.observation.report
        return report.engine_state.membership if report else None

    @property
    def slow(self) -> bool:
        """Whether the backend server slows its replica group down."""
        report = self.observation.report
        return report is not None and report.slowdown >= SLOWDOWN_THRESHOLD

    @property
    def ready_models(self) -> set[str]:
        """Models that it can serve without a load from the weight store."""
        engine_state = self.observation.report.engine_state
        return {engine_state.model, *engine_state.staged_models} - {""}

    def load_s(self, model: EngineModel) -> float:
        """Return the time in seconds until it can serve a model."""
        engine_state = self.observation.report.engine_state
        if engine_state.model == model.name:
            return 0.0
        if model.name in engine_state.staged_models:
            return model.staged_load_s
        return model.load_s


@dataclass
class Group:
    """A replica group as reported by its members."""

    key: GroupKey
    members_by_rank: dict[int, Worker] = field(default_factory=dict)

    @property
    def head(self) -> Worker | None:
        """The member that receives requests, None if no member reports rank 0."""
        return self.members_by_rank.get(0)

    @property
    def phase(self) -> MemberPhase | None:
        """Phase of the head, None without a head."""
        return self.head.membership.phase if self.head else None

    @property
    def model(self) -> str:
        """Model of the members, empty if they report several or none."""
        names = {
            w.observation.report.engine_state.model
            for w in self.members_by_rank.values()
        } - {""}
        return next(iter(names)) if len(names) == 1 else ""

    @property
    def size(self) -> int:
        """Number of members that report the group."""
        return len(self.members_by_rank)

    @property
    def domain(self) -> str:
        """Fabric domain of the head, or else of any member."""
        return (self.head or next(iter(self.members_by_rank.values()))).domain

    @property
    def domains(self) -> set[str]:
        """Fabric domains of all members."""
        return {worker.domain for worker in self.members_by_rank.values()}

    @property
    def is_far(self) -> bool:
        """Whether the members are in several fabric domains, which slows the group."""
        return len(self.domains) > 1

    def is_healthy(self, engine: Engine) -> bool:
        """Return whether the group is complete and each member can serve.

        A member that drains serves until its group stops; a head that drains
        accepts no requests.
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
        """Whether the zone of the head is evacuated."""
        return self.head is not None and self.head.evacuated

    @property
    def slowdown(self) -> float:
        """Factor on the engine's configured times for the slowest member."""
        return max(w.observation.report.slowdown for w in self.members_by_rank.values())

    @property
    def draining_count(self) -> int:
        """Number of members that drain."""
        return sum(worker.draining for worker in self.members_by_rank.values())

    def silent_members(self) -> list[Worker]:
        """Return the members that no longer answer probes."""
        return [worker for worker in self.members_by_rank.values() if worker.silent]


def build_groups(workers: Iterable[Worker]) -> dict[GroupKey, Group]:
    """Return the replica groups that the reports name, by name and epoch."""
    groups: dict[GroupKey, Group] = {}
    for worker in workers:
        membership = worker.membership
        if membership is not None:
            group = groups.setdefault(membership.key, Group(membership.key))
            group.members_by_rank[membership.rank] = worker
    return groups
