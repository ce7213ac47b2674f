"""Admission of a node's requests while all nodes together have too few groups."""

import random
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from poplarspar.coordination.forwarding.demand import DecayingRate
from poplarspar.coordination.forwarding.routing import RoutedRequest
from poplarspar.coordination.forwarding.target import Target
from poplarspar.state.plan import FleetPlan, ModelDemand, Rank

# Refused callers of an overloaded model return over the time in which about one
# generation of running requests ends, not all at once.
OVERLOAD_SPREAD_S = 1.0
# Share of the time that a caller has left within which it should return.
MAX_PAUSE_FRACTION = 0.5
# The planner answers within a second, so an older plan is late.
LATE_S = 1.0
# A planner that is lost is replaced within its lease and one round of reports.
HOLD_S = 4.0
# Without a planner for longer, demand is unknown and free slots decide.
EASE_S = 6.0
ARRIVALS_TIME_CONSTANT_S = 1.0

# Service and model.
ModelKey = tuple[str, str]


@dataclass(frozen=True)
class UniformShare:
    """One share for all requests for a model."""

    share: float


@dataclass(frozen=True)
class RankedShares:
    """Shares by rank and workspace; a workspace without one has that of ``""``."""

    share_by_class: dict[tuple[Rank, str], float]


def uniform_shares(
    demands: Iterable[ModelDemand], targets: Iterable[Target]
) -> dict[ModelKey, UniformShare]:
    """Return the share of each overloaded model that all nodes admit alike.

    Parameters
    ----------
    demands : iterable of ModelDemand
        Demand of all nodes, in replica groups.
    targets : iterable of Target
        The open replica groups, with the load that the plan shows.
    """
    groups: Counter[ModelKey] = Counter()
    slots: Counter[ModelKey] = Counter()
    free: Counter[ModelKey] = Counter()
    for target in targets:
        key = (target.backend.service, target.model)
        groups[key] += 1
        slots[key] += target.slots
        in_flight = target.in_flight + target.others_in_flight
        free[key] += max(0, target.slots - in_flight)
    shares = {}
    for demand in demands:
        key = (demand.service, demand.model)
        if demand.groups > groups[key] > 0:
            # Free slots show that the demand is overestimated.
            spare_share = 1.0 + free[key] / slots[key]
            share = groups[key] * spare_share / demand.groups
            shares[key] = UniformShare(min(1.0, share))
    return shares


class SharedAdmission:
    """Admits a node's part of what the groups of all nodes complete.

    With many nodes, most free slots are seen by several of them before any learns that
    one is taken. Each node therefore admits the shares of its own requests that the
    plan holds, and refuses the others at once.
    """

    def __init__(self) -> None:
        self._shares_by_model: dict[ModelKey, UniformShare | RankedShares] = {}
        # Fraction of an admission that each class has left, so that admissions are
        # spread evenly over its requests.
        self._credit_by_class: dict[tuple, float] = {}
        self._arrivals_by_model: dict[ModelKey, DecayingRate] = {}
        self._planned_rate_by_model: dict[ModelKey, float] = {}
        self._planned_at = float("-inf")
        self._refused_by_priority: Counter[int] = Counter()

    def clear(self) -> None:
        """Admit all requests."""
        self._shares_by_model = {}
        self._credit_by_class.clear()

    def apply(
        self, plan: FleetPlan, targets: list[Target], ranked_services: frozenset[str]
    ) -> None:
        """Replace the shares by those of a plan.

        Parameters
        ----------
        targets : list of Target
            The open replica groups, with the load that the plan shows.
        ranked_services : frozenset of str
            Services whose shares the plan names by rank and workspace.
        """
        shares: dict[ModelKey, UniformShare | RankedShares] = dict(
            uniform_shares(
                (d for d in plan.demands if d.service not in ranked_services), targets
            )
        )
        for admitted in plan.admitted_shares:
            key = (admitted.service, admitted.model)
            ranked = shares.setdefault(key, RankedShares({}))
            if isinstance(ranked, RankedShares):
                by_class = ranked.share_by_class
                by_class[(admitted.rank, admitted.workspace)] = admitted.share
        self._shares_by_model = shares
        self._credit_by_class = {
            key: credit
            for key, credit in self._credit_by_class.items()
            if key[:2] in shares
        }
        now = time.monotonic()
        self._planned_at = now
        self._planned_rate_by_model = {
            key: rate.read(now) for key, rate in self._arrivals_by_model.items()
        }

    def admits(self, routed: RoutedRequest) -> bool:
        """Return whether a new request may look for a free slot."""
        now = time.monotonic()
        model = (routed.service.name, routed.request.model)
        if routed.ranked:
            arrivals = self._arrivals_by_model.get(model)
            if arrivals is None:
                arrivals = DecayingRate(now, ARRIVALS_TIME_CONSTANT_S)
                self._arrivals_by_model[model] = arrivals
            arrivals.add(1.0, now)
        share = self._share(routed, now)
        if share >= 1.0:
            return True
        key = model
        if isinstance(self._shares_by_model[model], RankedShares):
            key = (*model, routed.rank, routed.workspace)
        # Credits begin at random, so that nodes with few requests aren't in step.
        credit = self._credit_by_class.get(key, random.random()) + share
        admitted = credit >= 1.0
        self._credit_by_class[key] = credit - 1.0 if admitted else credit
        if not admitted:
            self._refused_by_priority[routed.priority] += 1
        return admitted

    def pause_s(self, routed: RoutedRequest) -> float:
        """Return how long a refused caller should wait, spread over its class.

        A class with a share of 1/n gets in with the n-th try on average, so its callers
        return over n - 1 seconds, within the time that they have left.
        """
        now = time.monotonic()
        model = (routed.service.name, routed.request.model)
        match self._shares_by_model.get(model):
            case RankedShares():
                share = max(self._share(routed, now), 1e-3)
                pause_s = (1.0 / share - 1.0) * random.uniform(0.5, 1.5)
                latest_s = max(0.0, routed.deadline - now) * MAX_PAUSE_FRACTION
                return min(pause_s, latest_s * random.uniform(0.5, 1.0))
            case _:
                return random.uniform(0.0, OVERLOAD_SPREAD_S)

    def gauges(self) -> dict[str, float]:
        """Return gauges of the lowest share, and of refusals by priority."""
        refused = {
            f"refused_by_share_priority_{priority}": float(count)
            for priority, count in self._refused_by_priority.items()
        }
        return {"admitted_share_lowest": self._lowest_share(), **refused}

    def _lowest_share(self) -> float:
        shares = [1.0]
        for admitted in self._shares_by_model.values():
            match admitted:
                case UniformShare(share):
                    shares.append(share)
                case RankedShares(share_by_class):
                    shares.extend(share_by_class.values())
        return min(shares)

    def _share(self, routed: RoutedRequest, now: float) -> float:
        model = (routed.service.name, routed.request.model)
        match self._shares_by_model.get(model):
            case None:
                return 1.0
            case UniformShare(share):
                return self._aged(share, model, now)
            case RankedShares(share_by_class):
                unnamed = share_by_class.get((routed.rank, ""))
                if unnamed is None:
                    # No request of this kind had arrived anywhere.
                    unnamed = self._share_of_rank(share_by_class, routed.rank)
                key = (routed.rank, routed.workspace)
                return self._aged(share_by_class.get(key, unnamed), model, now)

    @staticmethod
    def _share_of_rank(
        share_by_class: dict[tuple[Rank, str], float], rank: Rank
    ) -> float:
        """Return the highest share of a rank, or of the next less urgent one."""
        known = sorted({known for known, _ in share_by_class})
        nearest = next((other for other in known if other >= rank), known[-1])
        return max(s for (other, _), s in share_by_class.items() if other == nearest)

    def _aged(self, share: float, model: ModelKey, now: float) -> float:
        """Return a share of a plan that may be late.

        It falls as the node's own requests increase, is held until another planner
        must have answered, and then rises to 1.
        """
        age_s = now - self._planned_at
        if age_s <= LATE_S:
            return share
        arrivals = self._arrivals_by_model.get(model)
        if arrivals is not None:
            # One request a second more than planned is no increase.
            planned = self._planned_rate_by_model.get(model, 0.0) + 1.0
            share *= min(1.0, planned / max(1e-9, arrivals.read(now)))
        eased = min(1.0, max(0.0, age_s - HOLD_S) / EASE_S)
        return share + (1.0 - share) * eased
