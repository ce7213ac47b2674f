"""Shares of requests that all nodes together admit while a model is short of groups."""

import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.state.plan import (
    AdmittedShare,
    ClassDemand,
    GroupKey,
    GroupTotal,
    PlannedGroup,
    Rank,
)
from poplarspar.state.serving import Engine

# Each rank and workspace is admitted at least this share as often as all requests
# for the model. A quarter is the bound; the difference covers errors of measurement.
FLOOR = 1 / 3
# Room that is left however much waits at the groups, since some of it ends at any time.
MIN_ROOM_SHARE = 0.25
# Waiting prompts take room out of the next second, over which demand is measured.
BACKLOG_HORIZON_S = 1.0
# Workspaces with shares of their own, for each model and rank.
MAX_NAMED_WORKSPACES = 16
# A node that polls no longer has lost its callers to other nodes, which report them.
REPORT_TTL_S = 1.5
# Demand changes little within this time, and sums of many nodes take time.
REFRESH_S = 0.1
LOG_PERIOD_S = 1.0

# Rank and workspace.
CallerClass = tuple[Rank, str]


@dataclass(frozen=True)
class ModelSupply:
    """The open replica groups of a model."""

    service: str
    model: str
    engine: Engine
    groups: tuple[PlannedGroup, ...]

    def room(self, totals: Iterable[GroupTotal]) -> float:
        """Return how much demand the groups can take, in replica groups.

        Free slots show that demand is overestimated. Requests beyond the slots and
        prompts that wait have taken room already.

        Parameters
        ----------
        totals : iterable of GroupTotal
            Load of each group, in the order of `groups`.
        """
        speed = sum(1.0 / max(1.0, group.slowdown) for group in self.groups)
        if not self.groups:
            return 0.0
        time_factor = self.engine.models_by_name[self.model].time_factor
        token_s = time_factor / self.engine.tokens_read_per_s
        unused = backlog = 0.0
        for group, total in zip(self.groups, totals, strict=True):
            unused += (self.engine.slots - total.in_flight) / self.engine.slots
            reading_s = total.reading_tokens * token_s * group.slowdown
            backlog += reading_s / BACKLOG_HORIZON_S
        correction = (unused - backlog) / len(self.groups)
        return speed * max(MIN_ROOM_SHARE, 1.0 + correction)


def admitted_shares(
    demand_by_class: Mapping[CallerClass, float], room: float
) -> dict[CallerClass, float]:
    """Return the share of each class that is admitted, empty if there is enough room.

    The most urgent rank gets room first, and workspaces of one rank share its room by
    max-min fairness. No class gets less than `FLOOR` times the mean share.

    Parameters
    ----------
    demand_by_class : mapping of (Rank, str) to float
        Demand in replica groups, by rank and workspace.
    room : float
        Demand that can be admitted.
    """
    by_rank: dict[Rank, dict[str, float]] = defaultdict(dict)
    for (rank, workspace), groups in demand_by_class.items():
        if groups > 0.0:
            by_rank[rank][workspace] = groups
    total = sum(sum(demands.values()) for demands in by_rank.values())
    if total <= room:
        return {}
    floor = FLOOR * room / total
    left = room - floor * total
    shares = {}
    for rank, demands in sorted(by_rank.items()):
        asked = sum(demands.values())
        extra = min(left, (1.0 - floor) * asked)
        left -= extra
        room_here = extra + floor * asked
        for workspace, share in _workspace_shares(demands, room_here, floor):
            shares[(rank, workspace)] = share
    return shares


def _workspace_shares(
    demands: dict[str, float], room: float, min_share: float
) -> Iterable[tuple[str, float]]:
    """Yield each workspace's share of a rank's room, by max-min fairness."""
    asked = sum(demands.values())
    if asked <= room:
        yield from ((workspace, 1.0) for workspace in demands)
        return
    floor = max(min_share, FLOOR * room / asked)
    # The unnamed workspaces are at most as large as the smallest named one.
    smallest = min((d for w, d in demands.items() if w), default=asked)
    level = _water_level(demands, smallest, floor, room)
    for workspace, demand in demands.items():
        unit = min(demand, smallest) if not workspace else demand
        yield workspace, min(1.0, max(floor, level / unit))


def _water_level(
    demands: dict[str, float], smallest: float, floor: float, room: float
) -> float:
    """Return the demand up to which each workspace is admitted whole."""
    low, high = 0.0, max(demands.values())
    for _ in range(30):
        level = (low + high) / 2
        used = 0.0
        for workspace, demand in demands.items():
            unit = min(demand, smallest) if not workspace else demand
            used += demand * min(1.0, max(floor, level / unit))
        low, high = (level, high) if used <= room else (low, level)
    return low


class AdmissionShares:
    """Sums the demand that nodes report and works out what all together admit."""

    def __init__(self) -> None:
        self._demands_by_node: dict[str, tuple[float, tuple[ClassDemand, ...]]] = {}
        self._supplies: tuple[ModelSupply, ...] = ()
        self._shares: tuple[AdmittedShare, ...] = ()
        self._computed_at = float("-inf")
        self._logged_at: dict[tuple[str, str], float] = {}

    def record(self, node: str, demands: tuple[ClassDemand, ...]) -> None:
        """Replace a node's demand."""
        if demands or node in self._demands_by_node:
            self._demands_by_node[node] = (time.monotonic(), demands)

    def set_supplies(self, supplies: tuple[ModelSupply, ...]) -> None:
        """Replace the open groups of each model; a change takes effect at once."""
        if supplies != self._supplies:
            self._supplies = supplies
            self._computed_at = float("-inf")

    def clear(self) -> None:
        """Forget all, when another node becomes the planner."""
        self._demands_by_node.clear()
        self._supplies = ()
        self._shares = ()

    def demands_by_model(self, service: str) -> dict[str, dict[CallerClass, float]]:
        """Return the demand of all nodes' callers for a service's models, in groups."""
        return {
            model: by_class
            for (name, model), by_class in self._sums().items()
            if name == service
        }

    def shares(
        self, totals: Callable[[list[GroupKey]], tuple[GroupTotal, ...]]
    ) -> tuple[AdmittedShare, ...]:
        """Return the present shares of all models that are short of groups.

        Parameters
        ----------
        totals : callable
            Returns the load of groups, given their keys.
        """
        now = time.monotonic()
        if now < self._computed_at + REFRESH_S or not self._demands_by_node:
            return self._shares
        self._computed_at = now
        sums = self._sums()
        shares = []
        for supply in self._supplies:
            demands = sums.get((supply.service, supply.model))
            if not demands or not supply.groups:
                # Nodes refuse by themselves what no group can run.
                continue
            room = supply.room(totals([group.key for group in supply.groups]))
            share_by_class = admitted_shares(demands, room)
            shares += [
                AdmittedShare(supply.service, supply.model, *key, round(share, 3))
                for key, share in share_by_class.items()
            ]
            if share_by_class:
                self._log(supply, demands, room, share_by_class)
        self._shares = tuple(shares)
        return self._shares

    def _sums(self) -> dict[tuple[str, str], dict[CallerClass, float]]:
        """Return demands by service and model, the largest workspaces by name."""
        since = time.monotonic() - REPORT_TTL_S
        sums: dict[tuple[str, str], dict[CallerClass, float]] = {}
        for node, (at, demands) in list(self._demands_by_node.items()):
            if at < since:
                del self._demands_by_node[node]
                continue
            for demand in demands:
                by_class = sums.setdefault((demand.service, demand.model), {})
                key = (demand.rank, demand.workspace)
                by_class[key] = by_class.get(key, 0.0) + demand.groups
        return {model: name_largest(by_class) for model, by_class in sums.items()}

    def _log(
        self,
        supply: ModelSupply,
        demands: dict[CallerClass, float],
        room: float,
        share_by_class: dict[CallerClass, float],
    ) -> None:
        key = (supply.service, supply.model)
        if self._computed_at < self._logged_at.get(key, float("-inf")) + LOG_PERIOD_S:
            return
        self._logged_at[key] = self._computed_at
        asked: dict[Rank, float] = defaultdict(float)
        admitted: dict[Rank, float] = defaultdict(float)
        for (rank, workspace), groups in demands.items():
            asked[rank] += groups
            admitted[rank] += groups * share_by_class[(rank, workspace)]
        log_event(
            Event.ADMISSION_SHORT,
            service=supply.service,
            model=supply.model,
            room=round(room, 2),
            asked_by_rank=_log_field(asked),
            admitted_by_rank=_log_field(admitted),
            lowest_share=round(min(share_by_class.values()), 2),
        )


def _log_field(groups_by_rank: dict[Rank, float]) -> dict[str, float]:
    """Return groups with ranks as text: priority, then that of the route."""
    return {
        f"{priority}.{route_priority}": round(groups, 2)
        for (priority, route_priority), groups in sorted(groups_by_rank.items())
    }


def name_largest(
    by_class: Mapping[CallerClass, float], limit: int = MAX_NAMED_WORKSPACES
) -> dict[CallerClass, float]:
    """Return demands with at most `limit` workspaces of each rank by name.

    The others are added up without a name.
    """
    named_by_rank: dict[Rank, int] = defaultdict(int)
    result: dict[CallerClass, float] = {}
    for (rank, workspace), groups in sorted(
        by_class.items(), key=lambda item: -item[1]
    ):
        if workspace and named_by_rank[rank] < limit:
            named_by_rank[rank] += 1
            result[(rank, workspace)] = groups
        else:
            rest = (rank, "")
            result[rest] = result.get(rest, 0.0) + groups
    return result
