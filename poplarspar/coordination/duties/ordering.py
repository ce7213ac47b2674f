"""The duty to order backend servers, performed by one node at a time."""

import time
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable, Mapping, Set
from typing import Protocol

import eventlet

from poplarspar.coordination.duties.capacity_orders import CapacityOrders
from poplarspar.coordination.duties.forecast import DemandForecast, LossForecast
from poplarspar.coordination.duties.ports import DutyPort
from poplarspar.coordination.duties.scaling import (
    CapacityNeed,
    GroupDemand,
    ServiceDemand,
    Unmeasured,
    ZoneSupply,
    assess_need,
    bearable_need,
    higher_counts,
    largest_step,
    surplus_of,
    useful_additions,
)
from poplarspar.events import Event
from poplarspar.logs import log_event
from poplarspar.state.backends import BackendServer
from poplarspar.state.duties import (
    CapacityOrder,
    DutyResult,
    DutyTerm,
    Superseded,
)
from poplarspar.state.plan import FleetPlan
from poplarspar.state.serving import Fleet, ServiceSpec

CHECK_INTERVAL_S = 0.5


class Holding(Protocol):
    """The right to perform duties; see `duties.holding.DutyHolding`."""

    def term(self) -> DutyTerm | None:
        """Return the present term, None while this node must make no call."""

    def lose(self, term: DutyTerm) -> None:
        """Make no further call in a term."""


def lead_time_s(service: ServiceSpec) -> float:
    """Return the time from an order until an ordered backend server serves."""
    models = service.engine.models_by_name.values() if service.engine else ()
    return service.capacity.boot_s + max((m.load_s for m in models), default=0.0)


class ServiceCapacity:
    """What one service needs, and the orders for it, during a term.

    Parameters
    ----------
    forecast : DemandForecast
        Demand that this node has seen, also before the term.
    """

    def __init__(self, service: ServiceSpec, forecast: DemandForecast) -> None:
        self.spec = service
        self._boot_s = service.capacity.boot_s
        lead_s = lead_time_s(service)
        self._forecast = forecast
        self._losses = LossForecast(lead_s, self._boot_s)
        self._needs: deque[tuple[float, CapacityNeed]] = deque()
        self._supply_by_zone: dict[str, ZoneSupply] = {}
        self._present_at_by_zone: dict[str, float] = {}
        self._is_at_most = False
        self.orders = CapacityOrders(service.name, self._boot_s)
        self.need: CapacityNeed | None = None

    def observe(
        self, now: float, fleet: Fleet, plan: FleetPlan, silent: Set[str]
    ) -> None:
        """Take in the list of backend servers, the plan and the demand.

        Parameters
        ----------
        silent : set of str
            Ids of backend servers that don't answer, which count as lost.
        """
        backends = [
            backend
            for backend in fleet.backends_by_id.values()
            if backend.service == self.spec.name and backend.id not in silent
        ]
        present_by_zone: dict[str, set[str]] = {zone: set() for zone in self._zones()}
        for backend in backends:
            present = present_by_zone.setdefault(backend.zone, set())
            if not backend.draining:
                present.add(backend.id)
        change = self.orders.observe(now, present_by_zone, silent)
        self._losses.record(now, change.lost)
        for zone in change.not_shown:
            ordered = self.orders.by_zone[zone].ordered
            present = len(present_by_zone[zone])
            log_event(
                Event.CAPACITY_NOT_SHOWN,
                service=self.spec.name,
                zone=zone,
                count=ordered,
                present=present,
            )
        for zone, ids in present_by_zone.items():
            if ids:
                self._present_at_by_zone[zone] = now
        self._supply_by_zone = self._supplies(now, backends, present_by_zone, plan)
        self.need = assess_need(
            self._demand(now),
            self._losses.expected(now),
            self._supply_by_zone,
            fleet.evacuated_zones,
        )
        if self.need is not None:
            self._needs.append((now, self._least_need(now)))
            self._log_shortage()
        while self._needs and self._needs[0][0] < now - self._boot_s:
            self._needs.popleft()

    def due(self, now: float) -> list[CapacityOrder]:
        """Return the orders that are due, at most one to take servers away."""
        if self.need is None:
            return []
        capacity = self.spec.capacity
        expected = {zone: self.orders.expected(zone) for zone in self.need.zones}
        higher = higher_counts(self.need, capacity, expected, self._useful_additions())
        orders = self.orders.repeated(now) + [
            order
            for zone, count in higher.items()
            if (order := self.orders.more(now, zone, count)) is not None
        ]
        if orders or not self._may_lower(now):
            return orders
        needs = [need for _, need in self._needs]
        ready = {
            zone: self._supply_by_zone[zone].present - self._supply_by_zone[zone].cold
            for zone in self.need.zones
        }
        for zone in sorted(ready, key=lambda zone: -ready[zone]):
            if self.orders.by_zone[zone].arriving:
                continue
            surplus = surplus_of(zone, needs, capacity, ready)
            step = min(surplus, self._largest_step(zone))
            order = self.orders.fewer(now, zone, step)
            if order is not None:
                return [order]
        return []

    def fields(self) -> dict[str, object]:
        """Return log fields with the reasons of the present target."""
        need = self.need
        return {
            "needed": need.total,
            "demand": need.demand,
            "losses": need.losses,
            "without_zone": need.without_zone,
            "groups_by_model": need.groups_by_model,
            "present": sum(s.present for s in self._supply_by_zone.values()),
        }

    def present(self) -> int:
        """Return how many backend servers are present."""
        return sum(supply.present for supply in self._supply_by_zone.values())

    def needed(self) -> int:
        """Return how many backend servers are needed."""
        return self.need.total if self.need else 0

    def _zones(self) -> Iterable[str]:
        return self.orders.by_zone

    def _demand(self, now: float) -> ServiceDemand:
        engine = self.spec.engine
        if engine is None:
            # Nodes don't report the requests that plain services run.
            return Unmeasured()
        expected = self._forecast.expected(now)
        return GroupDemand(expected, engine) if expected else Unmeasured()

    def _supplies(
        self,
        now: float,
        backends: list[BackendServer],
        present_by_zone: Mapping[str, set[str]],
        plan: FleetPlan,
    ) -> dict[str, ZoneSupply]:
        by_id = {backend.id: backend for backend in backends}
        # Groups with a member that leaves will close.
        closing = {
            backend.engine_state.membership.key
            for backend in backends
            if backend.draining
            and backend.engine_state is not None
            and backend.engine_state.membership is not None
        }
        groups: dict[str, Counter[str]] = defaultdict(Counter)
        for group in plan.groups:
            if group.head in by_id and (group.name, group.epoch) not in closing:
                groups[by_id[group.head].zone][group.model] += 1
        return {
            zone: ZoneSupply(
                len(ids),
                sum(map(_is_cold, (by_id[id] for id in ids))),
                groups[zone],
                _count_domains(by_id, ids),
                away=not ids and self._present_s_ago(now, zone) < self._boot_s,
            )
            for zone, ids in present_by_zone.items()
        }

    def _present_s_ago(self, now: float, zone: str) -> float:
        return now - self._present_at_by_zone.get(zone, float("-inf"))

    def _log_shortage(self) -> None:
        """Log once when the range ends below what is needed."""
        most = self.spec.capacity.most
        at_most = not self.need.is_met(dict.fromkeys(self.need.zones, most))
        if at_most and not self._is_at_most:
            log_event(
                Event.CAPACITY_AT_MOST,
                service=self.spec.name,
                needed=self.need.total,
                most=most,
            )
        self._is_at_most = at_most

    def _may_lower(self, now: float) -> bool:
        watched_s = min(self._forecast.observed_s(now), self._losses.watched_s(now))
        return watched_s >= self._boot_s and self.orders.is_settled(now)

    def _useful_additions(self) -> float:
        cold = sum(supply.cold for supply in self._supply_by_zone.values())
        arriving = sum(orders.arriving for orders in self.orders.by_zone.values())
        return useful_additions(self.spec.engine, self._boot_s, cold + arriving)

    def _least_need(self, now: float) -> CapacityNeed:
        """Return the need below which nothing is taken away."""
        engine = self.spec.engine
        if engine is None:
            return self.need
        rate = self._losses.rate_per_s(now)
        return bearable_need(self.need, engine, rate, lead_time_s(self.spec))

    def _largest_step(self, zone: str) -> int:
        return largest_step(
            zone,
            self._supply_by_zone,
            self._needs[-1][1].groups_by_model,
            self.spec.engine,
        )


class CapacityDuty:
    """Orders backend servers while this node holds the duties.

    Parameters
    ----------
    fleet, plan : callable
        Return the present copy of each.
    silent : callable
        Returns the ids of backend servers that don't answer the planner.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        holding: Holding,
        port: DutyPort,
        fleet: Callable[[], Fleet],
        plan: Callable[[], FleetPlan],
        silent: Callable[[], Set[str]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._holding = holding
        self._port = port
        self._fleet = fleet
        self._plan = plan
        self._silent = silent
        self._token = 0
        self._forecast_by_key: dict[tuple[str, float], DemandForecast] = {}
        self._capacity_by_service: dict[str, ServiceCapacity] = {}

    def run(self) -> None:
        """Order what is due until the task is killed."""
        while True:
            self.check(self._clock())
            eventlet.sleep(CHECK_INTERVAL_S)

    def check(self, now: float) -> None:
        """Record the demand, and order what is due while this node holds the duties."""
        configuration = self._fleet().configuration
        if configuration is None:
            return
        services = [
            service
            for service in configuration.services_by_name.values()
            if service.capacity is not None
        ]
        for service in services:
            self._record_demand(now, service)
        term = self._holding.term()
        if term is None or term.token != self._token:
            # What was ordered in an earlier term says nothing about the present.
            self._capacity_by_service.clear()
        if term is None:
            return
        self._token = term.token
        for service in services:
            self._check_service(now, service)

    def gauges(self) -> dict[str, float]:
        """Return the gauges of the duty."""
        capacities = self._capacity_by_service.values()
        return {
            "capacity_servers_present": sum(c.present() for c in capacities),
            "capacity_servers_needed": sum(c.needed() for c in capacities),
            "capacity_orders_unconfirmed": sum(
                c.orders.unconfirmed() for c in capacities
            ),
        }

    def _record_demand(self, now: float, service: ServiceSpec) -> None:
        """Record the demand, also for a later term of this node."""
        key = _key(service)
        forecast = self._forecast_by_key.get(key)
        if forecast is None:
            forecast = self._forecast_by_key[key] = DemandForecast(key[1])
        forecast.record(
            now,
            {
                demand.model: demand.groups
                for demand in self._plan().demands
                if demand.service == service.name
            },
        )

    def _check_service(self, now: float, service: ServiceSpec) -> None:
        capacity = self._capacity_by_service.get(service.name)
        if capacity is None or capacity.spec != service:
            capacity = ServiceCapacity(service, self._forecast_by_key[_key(service)])
            self._capacity_by_service[service.name] = capacity
        capacity.observe(now, self._fleet(), self._plan(), self._silent())
        for order in capacity.due(now):
            term = self._holding.term()
            if term is None or term.token != self._token:
                return
            result = self._port.order_capacity(term, order)
            self._record(capacity, term, order, result)

    def _record(
        self,
        capacity: ServiceCapacity,
        term: DutyTerm,
        order: CapacityOrder,
        result: DutyResult,
    ) -> None:
        capacity.orders.record(self._clock(), order, result)
        log_event(
            Event.CAPACITY_ORDERED,
            service=order.service,
            zone=order.zone,
            count=order.count,
            result=type(result).__name__.lower(),
            **capacity.fields(),
        )
        if isinstance(result, Superseded):
            self._holding.lose(term)


def _key(service: ServiceSpec) -> tuple[str, float]:
    return service.name, lead_time_s(service)


def _is_cold(backend: BackendServer) -> bool:
    state = backend.engine_state
    return state is not None and not (state.model or state.staged_models)


def _count_domains(by_id: Mapping[str, BackendServer], ids: Iterable[str]) -> int:
    states = (by_id[id].engine_state for id in ids)
    return len({state.domain for state in states if state is not None and state.domain})
