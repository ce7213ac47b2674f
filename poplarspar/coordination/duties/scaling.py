"""Decision how many backend servers a service needs in each availability zone."""

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from poplarspar.coordination.pools.demand import SATURATION_RATE
from poplarspar.state.serving import CapacityRange, Engine

# With the groups that this share asks for, one request in twenty is late or refused.
SERVED_SHARE = 0.95
# With as many groups as the demand, which must be left after the loss of a zone, one in
# seven is.
SERVED_SHARE_WITHOUT_ZONE = 0.86
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
    groups_by_model : Counter
        Replica groups that serve, by model.
    domains : int
        Fabric domains of those that are present.
    away : bool
        Whether the zone has lost all its backend servers, which may come back.
    """

    present: int
    groups_by_model: Counter[str] = field(default_factory=Counter)
    domains: int = 1
    away: bool = False


@dataclass(frozen=True)
class CapacityTarget:
    """How many backend servers each availability zone should have, and why.

    Attributes
    ----------
    demand : int
        Backend servers that the demand needs.
    losses : int
        Backend servers to be lost until others serve.
    floor : int
        Backend servers with which the demand is met after the loss of a zone.
    groups_by_model : dict of str to int
        Replica groups that the demand needs.
    """

    count_by_zone: dict[str, int]
    demand: int
    losses: int
    floor: int
    groups_by_model: dict[str, int]

    @property
    def total(self) -> int:
        """Backend servers that are needed, also above the range."""
        return max(self.demand + self.losses, self.floor)


def needed_groups(demand: GroupDemand, served_share: float) -> dict[str, int]:
    """Return the fewest replica groups of each model that serve a share in time.

    The share served in time is that of `pools.demand.Demand.utility`.
    """
    factor = -math.log(1.0 - served_share) / SATURATION_RATE
    return {
        model: max(1, math.ceil(factor * demand.groups_by_model.get(model, 0.0)))
        for model in demand.engine.models_by_name
    }


def choose_target(
    capacity: CapacityRange,
    demand: ServiceDemand,
    lost: int,
    supply_by_zone: Mapping[str, ZoneSupply],
    evacuated_zones: frozenset[str] = frozenset(),
) -> CapacityTarget | None:
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
    CapacityTarget or None
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
    losses = max(lost, largest)
    # With a zone away already, the others must carry the demand, not the next loss too.
    is_whole = len(zones) == len(supply_by_zone) and len(zones) > 1
    floor = 0
    if is_whole:
        floor = math.ceil(without_zone * len(zones) / (len(zones) - 1))
    share = math.ceil(max(members + losses, floor) / len(zones))
    count_by_zone = {}
    for zone in zones:
        # Members of a domain that fit no group.
        remainder = supply_by_zone[zone].domains * (smallest - 1) // 2
        count = share + remainder
        count_by_zone[zone] = max(capacity.fewest, min(capacity.most, count))
    return CapacityTarget(count_by_zone, members, losses, floor, groups_by_model)


def largest_step(
    zone: str,
    supply_by_zone: Mapping[str, ZoneSupply],
    groups_by_model: Mapping[str, int],
    engine: Engine | None,
) -> int:
    """Return how many backend servers may be taken from a zone at once.

    The platform may take members although there are spares, each from another replica
    group. So many may go that the groups that are left still meet the demand.

    Parameters
    ----------
    groups_by_model : mapping of str to int
        Replica groups that the demand needs.
    """
    supply = supply_by_zone[zone]
    if engine is None:
        return max(0, supply.present - 1)
    serving = sum((s.groups_by_model for s in supply_by_zone.values()), Counter())
    spares = supply.present
    step = supply.present
    for name, model in engine.models_by_name.items():
        here = supply.groups_by_model[name]
        surplus = max(0, serving[name] - groups_by_model.get(name, 0))
        spares -= model.members * max(0, here - surplus)
        if surplus < here:
            step = min(step, surplus)
    return max(0, min(step, spares))
