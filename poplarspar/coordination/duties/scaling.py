"""Decision how many backend servers a service needs in each availability zone."""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from poplarspar.coordination.pools.demand import SATURATION_RATE
from poplarspar.state.serving import CapacityRange, Engine

# With the groups that this share asks for, one request in twenty is late or refused.
SERVED_SHARE = 0.95
# With as many groups as the demand, which must be left after the loss of a zone, one in
# seven is.
SERVED_SHARE_WITHOUT_ZONE = 0.86
# While the loss of a replica group is noticed and its survivors form groups again, its
# requests are late.
RECOVERY_S = 1.2
# Slots of plain services that are kept for each request that runs.
SLOTS_PER_REQUEST = 1.5


@dataclass(frozen=True)
class GroupDemand:
    """Demand for the models of a service, in replica groups."""

    groups_by_model: Mapping[str, float]
    engine: Engine


@dataclass(frozen=True)
class SlotDemand:
    """Requests of a plain service that run at the same time."""

    running: float
    slots_per_server: int


@dataclass(frozen=True)
class Unmeasured:
    """No request has arrived, or the demand isn't measured."""


ServiceDemand = GroupDemand | SlotDemand | Unmeasured


@dataclass(frozen=True)
class ZoneSupply:
    """Backend servers of a service in an availability zone.

    Attributes
    ----------
    present : int
        Backend servers in the platform's list that are not leaving.
    cold : int
        Those of them that must still load a model from the weight store.
    groups_by_model : Counter
        Replica groups that serve, by model.
    domains : int
        Fabric domains of those that are present.
    away : bool
        Whether the zone has lost all its backend servers, which may come back.
    """

    present: int
    cold: int = 0
    groups_by_model: Counter[str] = field(default_factory=Counter)
    domains: int = 1
    away: bool = False


@dataclass(frozen=True)
class CapacityNeed:
    """How many backend servers the availability zones in service need, and why.

    Attributes
    ----------
    zones : tuple of str
        Zones in service.
    demand : int
        Backend servers that the demand needs.
    losses : int
        Backend servers to be lost until others serve.
    remainders : int
        Members of domains that fit no group.
    without_zone : int
        Backend servers that must be left after the loss of any zone.
    groups_by_model : dict of str to int
        Replica groups that the demand needs.
    """

    zones: tuple[str, ...]
    demand: int
    losses: int
    remainders: int
    without_zone: int
    groups_by_model: dict[str, int]

    @property
    def total(self) -> int:
        """Backend servers of all zones, also above the range."""
        return self.demand + self.losses + self.remainders

    def is_met(self, count_by_zone: Mapping[str, int]) -> bool:
        """Return whether so many backend servers are enough."""
        counts = [count_by_zone.get(zone, 0) for zone in self.zones]
        total = sum(counts)
        return total >= self.total and total - max(counts) >= self.without_zone


def needed_groups(demand: GroupDemand, served_share: float) -> dict[str, int]:
    """Return the fewest replica groups of each model that serve a share in time.

    The share served in time is that of `pools.demand.Demand.utility`.
    """
    factor = -math.log(1.0 - served_share) / SATURATION_RATE
    return {
        model: max(1, math.ceil(factor * demand.groups_by_model.get(model, 0.0)))
        for model in demand.engine.models_by_name
    }


def assess_need(
    demand: ServiceDemand,
    lost: int,
    supply_by_zone: Mapping[str, ZoneSupply],
    evacuated_zones: frozenset[str] = frozenset(),
) -> CapacityNeed | None:
    """Return how many backend servers the zones in service need.

    Parameters
    ----------
    demand : ServiceDemand
        Demand to be expected until ordered backend servers serve.
    lost : int
        Backend servers to be lost until then.
    supply_by_zone : mapping of str to ZoneSupply
        All zones of the service.

    Returns
    -------
    CapacityNeed or None
        None if nothing is known on which to decide.
    """
    match demand:
        case Unmeasured():
            return None
        case SlotDemand(running, slots_per_server):
            members = math.ceil(SLOTS_PER_REQUEST * running / max(1, slots_per_server))
            without_zone = math.ceil(running / max(1, slots_per_server))
            groups_by_model, smallest, largest = {}, 1, 1
        case GroupDemand(engine=engine):
            sizes = {
                name: model.members for name, model in engine.models_by_name.items()
            }
            groups_by_model = needed_groups(demand, SERVED_SHARE)
            members = sum(sizes[m] * n for m, n in groups_by_model.items())
            kept = needed_groups(demand, SERVED_SHARE_WITHOUT_ZONE)
            without_zone = sum(sizes[m] * n for m, n in kept.items())
            smallest, largest = min(sizes.values()), max(sizes.values())
    zones = [
        zone
        for zone, supply in supply_by_zone.items()
        if zone not in evacuated_zones and not supply.away
    ]
    if not zones:
        return None
    # With a zone away already, the others must carry the demand, not the next loss too.
    is_whole = len(zones) == len(supply_by_zone) and len(zones) > 1
    domains = sum(supply_by_zone[zone].domains for zone in zones)
    return CapacityNeed(
        tuple(zones),
        demand=members,
        losses=max(lost, largest),
        remainders=domains * (smallest - 1) // 2,
        without_zone=without_zone if is_whole else 0,
        groups_by_model=groups_by_model,
    )


def bearable_need(
    need: CapacityNeed, engine: Engine, losses_per_s: float, lead_s: float
) -> CapacityNeed:
    """Return the need below which nothing is taken away while losses go on.

    Each loss makes the requests of one group late until it is noticed and groups form
    again: the more, the fewer groups there are. And where more are lost than can load
    their model, those that serve become fewer, whatever is ordered.
    """
    total = sum(need.groups_by_model.values())
    least = losses_per_s * RECOVERY_S / (1.0 - SERVED_SHARE)
    groups_by_model = {
        model: max(count, math.ceil(least * count / total))
        for model, count in need.groups_by_model.items()
    }
    shortage = max(0.0, losses_per_s - loads_per_s(engine)) * lead_s
    return replace(
        need,
        demand=sum(
            engine.models_by_name[model].members * count
            for model, count in groups_by_model.items()
        ),
        losses=need.losses + math.ceil(shortage),
        groups_by_model=groups_by_model,
    )


def loads_per_s(engine: Engine | None) -> float:
    """Return how many backend servers can load a model in a second."""
    if engine is None:
        return math.inf
    slowest_s = max(model.load_s for model in engine.models_by_name.values())
    at_once = engine.concurrent_loads / slowest_s if slowest_s else math.inf
    return min(at_once, engine.loads_per_s or math.inf)


def useful_additions(engine: Engine | None, boot_s: float, unready: int) -> float:
    """Return how many more backend servers could begin to load once they have booted.

    Parameters
    ----------
    unready : int
        Backend servers that boot, wait for a load, or load.
    """
    if engine is None:
        return math.inf
    by_then = engine.concurrent_loads + loads_per_s(engine) * boot_s
    return max(0.0, by_then - unready)


def higher_counts(
    need: CapacityNeed,
    capacity: CapacityRange,
    count_by_zone: Mapping[str, int],
    most_more: float = math.inf,
) -> dict[str, int]:
    """Return the zones that need more backend servers, and how many they should have.

    The zone with the fewest comes first, so that the loss of one costs little.

    Parameters
    ----------
    most_more : float
        How many more can be of use.
    """
    counts = {
        zone: max(capacity.fewest, count_by_zone.get(zone, 0)) for zone in need.zones
    }
    while not need.is_met(counts) and most_more >= 1.0:
        most_more -= 1.0
        zone = min(counts, key=counts.__getitem__)
        if counts[zone] >= capacity.most:
            break
        counts[zone] += 1
    return {
        zone: count
        for zone, count in counts.items()
        if count > count_by_zone.get(zone, 0)
    }


def surplus_of(
    zone: str,
    needs: Iterable[CapacityNeed],
    capacity: CapacityRange,
    count_by_zone: Mapping[str, int],
) -> int:
    """Return how many backend servers a zone can spare by all of these needs."""
    needs = tuple(needs)
    surplus = 0
    while count_by_zone[zone] - surplus > capacity.fewest and all(
        need.is_met({**count_by_zone, zone: count_by_zone[zone] - surplus - 1})
        for need in needs
    ):
        surplus += 1
    return surplus


def largest_step(
    zone: str,
    supply_by_zone: Mapping[str, ZoneSupply],
    groups_by_model: Mapping[str, int],
    engine: Engine | None,
) -> int:
    """Return how many backend servers may be taken from a zone at once.

    The platform may take members although there are spares, each from another replica
    group. So many may go that the groups that are left still meet the demand, with
    those that form again at once from free backend servers. Half of these may be taken
    themselves, or be in other domains.

    Parameters
    ----------
    groups_by_model : mapping of str to int
        Replica groups that the demand needs.
    """
    supply = supply_by_zone[zone]
    if engine is None:
        return max(0, supply.present - 1)
    serving = sum((s.groups_by_model for s in supply_by_zone.values()), Counter())
    members = sum(
        model.members * supply.groups_by_model[name]
        for name, model in engine.models_by_name.items()
    )
    replaced = max(0, supply.present - supply.cold - members) // 2
    spares = supply.present
    step = supply.present
    for name, model in engine.models_by_name.items():
        here = supply.groups_by_model[name]
        surplus = max(0, serving[name] - groups_by_model.get(name, 0))
        spares -= model.members * max(0, here - surplus)
        if surplus < here:
            step = min(step, surplus + replaced)
    return max(0, min(step, spares))
