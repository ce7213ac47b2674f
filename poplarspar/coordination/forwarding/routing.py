"""Lookup of a request's route, service and workspace."""

import random
from dataclasses import dataclass

from poplarspar.state.callers import CallerRequest
from poplarspar.state.plan import Rank
from poplarspar.state.quarantine import request_part
from poplarspar.state.refusals import Reason, Refusal
from poplarspar.state.results import Error, Ok, Result
from poplarspar.state.serving import (
    ServiceRoute,
    ServiceSpec,
    ServingConfiguration,
    WeightedService,
)


@dataclass(frozen=True)
class RoutedRequest:
    """A request with its route, service, workspace and deadline.

    Attributes
    ----------
    priority : int
        Priority of the workspace, or of the route if the workspace has none; 0 is
        the highest.
    deadline : float
        Monotonic time by which the caller needs the answer.
    prioritized : bool
        Whether requests for the service differ in priority.
    ranked : bool
        Whether the service's routes have more than one priority.
    """

    request: CallerRequest
    route: ServiceRoute
    service: ServiceSpec
    workspace: str
    priority: int
    deadline: float
    prioritized: bool = False
    ranked: bool = False

    @property
    def rank(self) -> Rank:
        """Rank among the service's requests, the most urgent first."""
        return self.priority, self.route.priority

    def quarantine_parts(self) -> tuple[str, ...]:
        """Return what may crash backend servers: prompt parts and the request itself.

        A repetition has another id and deadline, and may name its last event.
        """
        request = self.request
        target = f"{request.method} {request.host}{request.target}"
        own_part = request_part(self.workspace, target, request.body)
        return (*request.prompt_parts, own_part)


def route_request(
    configuration: ServingConfiguration | None, request: CallerRequest
) -> Result[RoutedRequest, Refusal]:
    """Return a request with its route, service and workspace, or a refusal."""
    if configuration is None:
        return Error(Refusal(Reason.STALE, "no configuration has been loaded yet"))
    route = configuration.find_route(request.host, request.path)
    if route is None:
        return Error(Refusal(Reason.NOT_FOUND, "no route for this host and path"))
    holder = configuration.holder_by_key.get(request.api_key)
    if configuration.keys_required and not route.public and holder is None:
        return Error(Refusal(Reason.UNAUTHORIZED, "unknown API key"))
    service = configuration.services_by_name.get(_pick_service(route.services))
    if service is None:
        return Error(
            Refusal(Reason.NO_BACKEND, "the route's service is not configured")
        )
    limit_s = route.timeout_s
    if request.timeout_s is not None:
        limit_s = min(limit_s, request.timeout_s)
    priority = route.priority
    if holder is not None and holder.priority is not None:
        priority = holder.priority
    return Ok(
        RoutedRequest(
            request=request,
            route=route,
            service=service,
            workspace=holder.workspace if holder else "",
            priority=priority,
            deadline=request.arrived_at + limit_s,
            prioritized=service.name in configuration.prioritized_services,
            ranked=service.name in configuration.ranked_services,
        )
    )


def _pick_service(services: tuple[WeightedService, ...]) -> str:
    if len(services) == 1:
        return services[0].service
    weights = [weighted.weight for weighted in services]
    if sum(weights) <= 0:
        return services[0].service
    return random.choices(services, weights)[0].service
